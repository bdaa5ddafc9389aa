/*
 * http_server.h - HTTP server on libmicrohttpd (MHD), used by all HTTP
 * listeners.
 *
 * A request is passed to on_request() once, when all of it has arrived. While
 * it waits for its response, its connection is suspended. A client that closes
 * its connection in that time, or only its sending direction, counts as
 * disconnected.
 *
 * MHD itself responds, with a short page, to a message that it cannot parse or
 * that is far larger than the header limit. Such a message is never passed to
 * on_request().
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
	const char *address; /* "ip:port"; with port 0 the system picks one */
	uint32_t body_max_bytes;
	uint32_t header_max_bytes; /* method, path, names and values */
	uint32_t connections_max;
	int64_t idle_timeout_us;
	/*
	 * Called with each valid HTTP request. The callee responds with
	 * http_server_send_response(), during the call or later. The request
	 * is valid only during the call.
	 */
	void (*on_request)(void *data, struct http_request *r);
	/*
	 * The client disconnected before its response. A response that is sent
	 * to the request later is dropped.
	 */
	void (*on_disconnect)(void *data, uint64_t id);
	void *data;
};

/*
 * Starts listening. The server is freed with its parent pool. Returns 0 or a
 * negative errno.
 */
int http_server_new(struct http_server **out,
		    const struct http_server_opts *opts, apr_pool_t *parent);

/* Returns the port on which the server listens. */
uint16_t http_server_port(const struct http_server *s);

/* Accepts the connections that are already queued, then stops listening. */
void http_server_stop_accepting(struct http_server *s);

/* Returns the number of requests whose response is not sent completely. */
uint32_t http_server_count_pending(const struct http_server *s);

enum { HTTP_RESPONSE_HEADERS_MAX = 4 };

struct http_response_header {
	const char *name;
	const char *value; /* NULL: the header is omitted */
};

struct http_response {
	uint32_t status;
	const char *content_type;
	char *text; /* from malloc(); the server takes ownership */
	struct http_response_header headers[HTTP_RESPONSE_HEADERS_MAX];
};

/*
 * Sends the response to a request. Does nothing but free the text if the client
 * has disconnected or already has a response.
 */
void http_server_send_response(struct http_server *s, uint64_t id,
			       const struct http_response *response);

/*
 * Responds with a problem document. Members of `extra` (may be NULL; the server
 * takes ownership) are added to it. `header` may be NULL.
 */
void http_server_send_problem(struct http_server *s, uint64_t id,
			      const struct problem *p, json_t *extra,
			      const struct http_response_header *header);

#endif
