/* client.h - HTTP client for the operator listeners of instances. */
#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include <jansson.h>
#include <stdint.h>

struct client;

struct client_opts {
	const char *const *servers; /* "ip:port", tried in turn; borrowed */
	uint32_t server_count;
	const char *operator_key; /* NULL: not sent; borrowed */
	uint32_t timeout_ms; /* of one request to one server */
};

/* Result of one request; cleared with client_response_clear(). */
struct client_response {
	int exit_code; /* enum exit_code */
	int32_t http_status; /* 0: no server answered */
	int32_t error; /* error number in the problem document, or 0 */
	json_t *body; /* NULL if it is not JSON */
	char *text; /* the body as received, "" if none */
	char *message; /* for the operator, NULL if exit_code is EXIT_OK */
};

/* Returns a new client, freed with client_free(). */
struct client *client_new(const struct client_opts *opts);
void client_free(struct client *c);

/*
 * Sends one request and fills *out. The next server is tried if one cannot
 * be reached, or refuses the request because of its own state without any
 * effect. If the response to a change is lost, the exit code is EXIT_UNKNOWN
 * and no other server is tried. `body` may be NULL.
 */
void client_call(struct client *c, const char *method, const char *path,
		 const json_t *body, struct client_response *out);
void client_response_clear(struct client_response *resp);

#endif
