/*
 * statement_table.h - statements and results of the requests in progress,
 * by caller id.
 */
#ifndef SERVE_STATEMENT_TABLE_H
#define SERVE_STATEMENT_TABLE_H

#include "base/statement.h"

#include <jansson.h>
#include <stdint.h>

struct statement_table;

/*
 * Returns an empty table, freed with statement_table_free(), which also frees
 * the statements and results in it.
 */
struct statement_table *statement_table_new(void);
void statement_table_free(struct statement_table *t);

/* Adds a request's statement; takes ownership of it. */
void statement_table_add(struct statement_table *t, uint64_t caller_id,
			 struct statement *s);

/* Returns the statement, owned by the table, or NULL. */
const struct statement *statement_table_find(const struct statement_table *t,
					     uint64_t caller_id);

/*
 * Sets a request's result, replacing an earlier one; takes ownership. A result
 * of a request that is not in the table is freed.
 */
void statement_table_set_result(struct statement_table *t, uint64_t caller_id,
				json_t *result);

/* Removes a request; returns its result for the caller to free, or NULL. */
json_t *statement_table_remove(struct statement_table *t, uint64_t caller_id);

#endif
