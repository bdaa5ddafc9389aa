/*
 * http_server.h - what the HTTP listeners have in common.
 *
 * A request is passed on once, when all of it has arrived. While it waits
 * for its answer its connection is suspended. A client that closes its
 * connection meanwhile, or only its sending direction, counts as gone.
 *
 * A message that MHD cannot parse or that is far larger than the header
 * limit is answered by MHD itself, with a short page, and never passed on.
 */
#ifndef HTTP_HTTP_SERVER_H
#define HTTP_HTTP_SERVER_H

#include "base/loop.h"
#include "http/http_request.h"
#include "http/problem.h"

#include <stdint.h>

struct http_server;

struct http_server_opts {
	struct loop *loop;
	const char *address; /* "ip:port"; port 0 takes a free one */
	uint32_t body_max_bytes;
	uint32_t header_max_bytes; /* names and values, with the path */
	uint32_t connections_max;
	int64_t idle_timeout_us;
	/*
	 * Answers with http_server_answer(), during the call or later. The
	 * request is valid during the call.
	 */
	void (*on_request)(void *data, struct http_request *r);
	/* The client went away before the answer, which has no owner now. */
	void (*on_gone)(void *data, uint64_t id);
	void *data;
};

/* Freed with its parent pool. Returns 0 or a negative errno. */
int http_server_new(struct http_server **out,
		    const struct http_server_opts *opts, apr_pool_t *parent);

/* Port that the server took. */
uint16_t http_server_port(const struct http_server *s);

/* Accepts what has connected so far, then refuses new connections. */
void http_server_stop_accepting(struct http_server *s);

/* Requests whose answer is not sent completely. */
uint32_t http_server_pending(const struct http_server *s);

enum { HTTP_ANSWER_HEADERS_MAX = 4 };

struct http_answer_header {
	const char *name;
	const char *value; /* NULL: left out */
};

struct http_answer {
	uint32_t status;
	const char *content_type;
	char *text; /* from malloc(); owned by the server afterwards */
	struct http_answer_header headers[HTTP_ANSWER_HEADERS_MAX];
};

/* Answers a request; does nothing if it is gone or has its answer. */
void http_server_answer(struct http_server *s, uint64_t id,
			const struct http_answer *a);

/*
 * Answers with a problem document. `extra` (owned by the server afterwards,
 * may be NULL) is added to it; `header` may be NULL.
 */
void http_server_answer_problem(struct http_server *s, uint64_t id,
				const struct problem *p, json_t *extra,
				const struct http_answer_header *header);

#endif
