/* statement.h - an SQL statement of a caller with its parameters. */
#ifndef BASE_STATEMENT_H
#define BASE_STATEMENT_H

#include "core/sizes.h"

#include <jansson.h>
#include <stdint.h>

enum { STATEMENT_PARAMS_MAX = 64 };

/* Parameters are in PostgreSQL's text format; NULL stands for SQL's NULL. */
struct statement {
	char *sql; /* "" for begin, commit and rollback */
	uint32_t param_count;
	char *params[STATEMENT_PARAMS_MAX];
	char workspace[NAME_BYTES]; /* request_id is unique within it */
	char request_id[REQUEST_ID_BYTES]; /* "" if none */
	/* Hash of SQL and parameters in hex; detects reused request ids. */
	char fingerprint[65];
};

/*
 * Returns a new statement with copies of SQL and parameters, freed with
 * statement_free(), or NULL if `params` is neither NULL, nor JSON's null,
 * nor an array of at most STATEMENT_PARAMS_MAX strings without NUL, numbers,
 * booleans and nulls. Workspace and request id are left empty.
 */
struct statement *statement_new(const char *sql, const json_t *params);
void statement_free(struct statement *s);

#endif
