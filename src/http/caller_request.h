/*
 * caller_request.h - parses and checks one request of a caller.
 *
 *   POST /v1/groups/{group}/read                            sql, params
 *   POST /v1/groups/{group}/write                           sql, params
 *   POST /v1/groups/{group}/transactions
 *   POST /v1/groups/{group}/transactions/{id}/statements    sql, params
 *   POST /v1/groups/{group}/transactions/{id}/commit
 *   POST /v1/groups/{group}/transactions/{id}/rollback
 */
#ifndef HTTP_CALLER_REQUEST_H
#define HTTP_CALLER_REQUEST_H

#include "base/statement.h"
#include "core/event.h"

#include <stddef.h>
#include <stdint.h>

/* Values of the headers that are evaluated; NULL if absent. */
struct caller_headers {
	const char *authorization; /* Bearer KEY */
	const char *profile;
	const char *request_id;
	const char *repeatable; /* yes or no */
	const char *deadline_ms; /* milliseconds from the request's arrival */
	const char *session; /* encoded session token; not parsed here */
};

struct caller_request_input {
	const char *method;
	const char *path; /* percent-decoded */
	struct caller_headers headers;
	const char *body;
	size_t body_len;
	int64_t received_us; /* monotonic clock */
	uint32_t statement_max_bytes; /* SQL and parameters together */
	int64_t deadline_default_us;
	int64_t deadline_max_us;
};

struct caller_request {
	struct request_opts opts; /* caller_id and session are not set */
	/* Its workspace is not set; its SQL is "" if the request has none. */
	struct statement *statement;
};

/*
 * Parses a request into *out. Returns 0, and out->statement is owned by the
 * caller of this function; or returns an error number and leaves it NULL.
 * *detail then points to a constant text that describes the error, or is NULL.
 */
int32_t caller_request_parse(const struct caller_request_input *in,
			     struct caller_request *out, const char **detail);

#endif
