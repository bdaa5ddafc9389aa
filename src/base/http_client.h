/*
 * http_client.h - HTTP calls to one address, over libcurl on the loop.
 *
 * Every call ends within its timeout with exactly one answer.
 */
#ifndef BASE_HTTP_CLIENT_H
#define BASE_HTTP_CLIENT_H

#include "base/loop.h"

#include <stdbool.h>
#include <stddef.h>

struct http_client;

enum { HTTP_CALL_HEADERS_MAX = 2 };

struct http_call {
	const char *method;
	const char *path; /* with its query, encoded */
	const char *body; /* JSON, or NULL */
	const char *headers[HTTP_CALL_HEADERS_MAX]; /* "Name: value" */
	int64_t timeout_us;
};

/*
 * error: 0, or -ECONNREFUSED when nothing was sent, or -ETIMEDOUT when the
 * call may have been carried out without our knowing.
 */
struct http_answer_in {
	int error;
	int status;
	const char *body;
	size_t body_len;
	int64_t asked_us; /* when the call was started */
};

typedef void (*http_answer_fn)(void *data, const struct http_answer_in *a);

/* Freed with http_client_free(); calls under way get no answer then. */
struct http_client *http_client_new(struct loop *loop, const char *address);
void http_client_free(struct http_client *c);

void http_client_call(struct http_client *c, const struct http_call *call,
		      http_answer_fn fn, void *data);

/* Returns `text` encoded for a query, freed with g_free(). */
char *http_client_encode(const char *text);

#endif
