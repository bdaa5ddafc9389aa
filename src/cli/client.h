/* client.h - HTTP requests to the operator listeners of instances. */
#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include <jansson.h>
#include <stdint.h>

struct client;

struct client_opts {
	const char *const *servers; /* "ip:port", tried in turn; borrowed */
	uint32_t server_count;
	const char *operator_key; /* NULL: none is sent; borrowed */
	uint32_t timeout_ms; /* of one request to one server */
};

/* What one request came to; cleared with client_answer_clear(). */
struct client_answer {
	int exit_code; /* enum exit_code */
	int32_t http_status; /* 0: no server answered */
	int32_t error; /* of the problem document, or 0 */
	json_t *body; /* NULL if it is not JSON */
	char *text; /* the body as received, "" if none */
	char *message; /* for people, if exit_code is not EXIT_OK */
};

/* Returns a new client, freed with client_free(). */
struct client *client_new(const struct client_opts *opts);
void client_free(struct client *c);

/*
 * Sends one request and fills *out. The next server is tried when one
 * cannot be reached or refuses without any effect because of its own
 * state. A change whose answer is lost ends as EXIT_UNKNOWN.
 * `body` may be NULL.
 */
void client_call(struct client *c, const char *method, const char *path,
		 const json_t *body, struct client_answer *out);
void client_answer_clear(struct client_answer *a);

#endif
