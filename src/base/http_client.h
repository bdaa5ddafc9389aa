/*
 * http_client.h - HTTP calls to one address, by libcurl on the event loop.
 *
 * Every call ends with exactly one response. Its timeout limits how long the
 * server may be silent; see struct curl_silence.
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
	const char *path; /* percent-encoded, with the query */
	const char *body; /* JSON, or NULL */
	const char *headers[HTTP_CALL_HEADERS_MAX]; /* "Name: value" */
	/*
	 * The call fails if nothing was received for this long, and first_us
	 * after its start if the answer has not begun by then.
	 */
	int64_t silence_us;
	int64_t first_us; /* 0: silence_us */
};

/*
 * Result of a call, valid during the callback. `error` is 0 if the server
 * answered, -ECONNREFUSED if nothing was sent, -ECANCELED after
 * http_client_cancel(), or -ETIMEDOUT after any other failure: the server may
 * have carried out the call.
 */
struct http_client_response {
	int error;
	int status; /* HTTP status, 0 if none was received */
	const char *body; /* as far as it was received; NUL-terminated */
	size_t body_len;
	int64_t start_us; /* when the call was started */
	const char *noted_header; /* value of opts.noted_header, or NULL */
};

typedef void (*http_client_response_fn)(void *data,
					const struct http_client_response *r);

struct http_client_opts {
	struct loop *loop;
	const char *address; /* "ip:port" */
	/*
	 * Answers are read at this rate in all, so that a large one leaves
	 * room on the link for what callers wait for; 0: as they arrive. An
	 * answer that takes longer than paced_us is then read as it arrives.
	 */
	int64_t paced_bytes_per_s;
	int64_t paced_us;
	/* Name of a header whose value is passed on; NULL: none. */
	const char *noted_header;
};

/*
 * Copies `opts`. Freed with http_client_free(), which drops the calls in
 * progress without calling their functions.
 */
struct http_client *http_client_new(const struct http_client_opts *opts);
void http_client_free(struct http_client *c);

/*
 * Starts a call; *call is copied. fn(data, response) is called once when the
 * call has ended, and never before this function has returned. Returns the
 * call's number, never 0.
 */
uint64_t http_client_call(struct http_client *c, const struct http_call *call,
			  http_client_response_fn fn, void *data);

/*
 * Ends a call at once and closes its connection. Its function is called before
 * this one returns. Does nothing if the call has ended.
 */
void http_client_cancel(struct http_client *c, uint64_t call);

/* Returns true if a part of the answer's body has arrived. */
bool http_client_is_arriving(const struct http_client *c, uint64_t call);

/* Returns `text` percent-encoded for a query, freed with g_free(). */
char *http_client_encode(const char *text);

#endif
