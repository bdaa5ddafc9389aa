/* http_request.h - one HTTP request while it arrives and waits. */
#ifndef HTTP_HTTP_REQUEST_H
#define HTTP_HTTP_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct MHD_Connection;
struct http_request;

struct http_request_opts {
	uint64_t id;
	struct MHD_Connection *conn;
	const char *method; /* kept by the connection, like the path */
	const char *path;
	uint32_t body_max_bytes;
	uint32_t header_max_bytes; /* names and values, with the path */
};

/*
 * Returns a request whose header has arrived, owned by its connection's
 * server and freed with http_request_free().
 */
struct http_request *http_request_new(const struct http_request_opts *opts);
void http_request_free(struct http_request *r);

/*
 * Takes a part of the body. A refused body is read to its end and dropped,
 * to keep the connection. Returns false if the connection has to be closed
 * because that end does not come.
 */
bool http_request_take_body(struct http_request *r, const char *data,
			    size_t len);

/* Returns what is wrong with the message itself, 0 if nothing. */
int32_t http_request_error(const struct http_request *r);

/* Returns true if it is answered without reading on, and then closed. */
bool http_request_is_refused_early(const struct http_request *r);

/* Unique in its server, never 0. */
uint64_t http_request_id(const struct http_request *r);

/* When its header had arrived, by the monotonic clock. */
int64_t http_request_received_us(const struct http_request *r);

const char *http_request_method(const struct http_request *r);

/* Returns the path, decoded. */
const char *http_request_path(const struct http_request *r);

/* Returns the whole body, not terminated by a NUL. */
const char *http_request_body(const struct http_request *r, size_t *len);

/* Returns the value of a header, NULL if absent. */
const char *http_request_header(const struct http_request *r, const char *name);

/* Returns how often a header was given. */
uint32_t http_request_header_count(const struct http_request *r,
				   const char *name);

/* Overwrites the value of a secret header, which is "" from now on. */
void http_request_erase_header(struct http_request *r, const char *name);

#endif
