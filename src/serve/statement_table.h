/* statement_table.h - statements and results of the requests in progress. */
#ifndef SERVE_STATEMENT_TABLE_H
#define SERVE_STATEMENT_TABLE_H

#include "base/statement.h"

#include <jansson.h>
#include <stdint.h>

struct caller_table;

/* Freed with caller_table_free(), which frees all that it holds. */
struct caller_table *caller_table_new(void);
void caller_table_free(struct caller_table *t);

/* Keeps a request's statement; takes ownership. */
void caller_table_add(struct caller_table *t, uint64_t caller_id,
		      struct statement *s);

/* Returns the statement, owned by the table, or NULL. */
const struct statement *caller_table_statement(const struct caller_table *t,
					       uint64_t caller_id);

/* Keeps the latest result of a request; takes ownership. */
void caller_table_set_result(struct caller_table *t, uint64_t caller_id,
			     json_t *result);

/* Removes a request; returns its result for the caller to free, or NULL. */
json_t *caller_table_take(struct caller_table *t, uint64_t caller_id);

#endif
