/*
 * http_request.h - one HTTP request, from the arrival of its header until its
 * response is sent.
 */
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
	const char *method; /* memory of the connection, like the path */
	const char *path;
	uint32_t body_max_bytes;
	uint32_t header_max_bytes; /* method, path, names and values */
};

/*
 * Creates and checks a request whose header has arrived. It is owned by the
 * server and freed with http_request_free().
 */
struct http_request *http_request_new(const struct http_request_opts *opts);
void http_request_free(struct http_request *r);

/*
 * Appends a part of the body. A rejected body is read to its end and
 * discarded, so that the connection stays usable. Returns false if the
 * connection must be closed because that body is too long to be discarded.
 */
bool http_request_append_body(struct http_request *r, const char *data,
			      size_t len);

/* Returns the error number of an invalid HTTP message, or 0 if valid. */
int32_t http_request_error(const struct http_request *r);

/*
 * Returns true if the request is answered without reading its body, after
 * which the connection is closed.
 */
bool http_request_is_rejected_early(const struct http_request *r);

/* Returns the id of the request: unique in its server, never 0. */
uint64_t http_request_id(const struct http_request *r);

/* Returns when the header had arrived, by loop_now_us(). */
int64_t http_request_received_us(const struct http_request *r);

const char *http_request_method(const struct http_request *r);

/* Returns the percent-decoded path. */
const char *http_request_path(const struct http_request *r);

/* Returns the whole body, not terminated by a NUL. */
const char *http_request_body(const struct http_request *r, size_t *len);

/* Returns the value of a header, NULL if absent. */
const char *http_request_header(const struct http_request *r, const char *name);

/* Returns how many times the request contains a header. */
uint32_t http_request_count_header(const struct http_request *r,
				   const char *name);

/* Overwrites the value of a secret header, which is "" afterwards. */
void http_request_erase_header(struct http_request *r, const char *name);

#endif
