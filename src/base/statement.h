/* statement.h - a caller's SQL statement, kept by the host. */
#ifndef BASE_STATEMENT_H
#define BASE_STATEMENT_H

#include "core/sizes.h"

#include <jansson.h>
#include <stdint.h>

enum { STATEMENT_PARAMS_MAX = 64 };

/* Text in, text out: parameters are PostgreSQL text format, NULL is SQL's. */
struct statement {
	char *sql; /* "" for begin, commit and rollback */
	uint32_t param_count;
	char *params[STATEMENT_PARAMS_MAX];
	char workspace[NAME_BYTES]; /* scope of the request id */
	char request_id[REQUEST_KEY_BYTES]; /* "" if none */
	char fingerprint[65]; /* hex hash of SQL and parameters */
};

/*
 * Returns a copy owned by the caller, freed with statement_free(), or NULL
 * when `params` is neither NULL nor an array of at most
 * STATEMENT_PARAMS_MAX strings, numbers, booleans and nulls.
 */
struct statement *statement_new(const char *sql, const json_t *params);
void statement_free(struct statement *s);

#endif
