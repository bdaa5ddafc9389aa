/*
 * caller_request.h - one request of a caller, parsed and checked.
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

/* Values of the headers that have a meaning here; NULL if absent. */
struct caller_headers {
	const char *authorization; /* Bearer KEY */
	const char *profile;
	const char *request_id;
	const char *repeatable; /* yes or no */
	const char *deadline_ms; /* from the arrival of the request */
	const char *session; /* token text, not looked at here */
};

struct caller_request_input {
	const char *method;
	const char *path; /* decoded */
	struct caller_headers headers;
	const char *body;
	size_t body_len;
	int64_t received_us;
	uint32_t statement_max_bytes; /* SQL and parameters together */
	int64_t deadline_default_us;
	int64_t deadline_max_us;
};

struct caller_request {
	struct request_opts opts; /* without caller_id and session */
	struct statement *statement; /* without workspace; "" if none */
};

/*
 * Fills *out, whose statement is the caller's. Returns 0, or an error
 * number and no statement; *detail then says what is wrong, or is NULL.
 */
int32_t caller_request_parse(const struct caller_request_input *in,
			     struct caller_request *out, const char **detail);

#endif
