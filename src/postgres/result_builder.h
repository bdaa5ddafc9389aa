/*
 * result_builder.h - converts a statement's result to JSON, up to a size
 * limit.
 */
#ifndef POSTGRES_RESULT_BUILDER_H
#define POSTGRES_RESULT_BUILDER_H

#include <jansson.h>
#include <libpq-fe.h>
#include <stdbool.h>
#include <stdint.h>

struct result_builder {
	uint32_t max_bytes;
	uint64_t bytes; /* names and values so far, with JSON overhead */
	bool too_large; /* over max_bytes; rows are dropped from then on */
	json_t *columns;
	json_t *rows;
};

void result_builder_init(struct result_builder *b, uint32_t max_bytes);
void result_builder_clear(struct result_builder *b);

/* Adds the rows of one result, in single-row mode or not. */
void result_builder_add(struct result_builder *b, const PGresult *r);

/*
 * Returns {"command", "rows_affected", "columns", "rows"}, owned by the
 * caller. Command and row count come from the command tag of `last`.
 */
json_t *result_builder_finish(struct result_builder *b, const PGresult *last);

/* Returns {"sqlstate", "message"}, owned by the caller. */
json_t *build_error_result(const char *sqlstate, const char *message);

#endif
