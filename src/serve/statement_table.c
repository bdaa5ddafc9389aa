#include "serve/statement_table.h"

#include <glib.h>

struct caller_row {
	uint64_t caller_id;
	struct statement *statement;
	json_t *result;
};

struct caller_table {
	GHashTable *rows;
};

static void row_free(gpointer p)
{
	struct caller_row *r = p;

	statement_free(r->statement);
	json_decref(r->result);
	g_free(r);
}

struct caller_table *caller_table_new(void)
{
	struct caller_table *t = g_new0(struct caller_table, 1);

	t->rows = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					row_free);
	return t;
}

void caller_table_free(struct caller_table *t)
{
	g_hash_table_destroy(t->rows);
	g_free(t);
}

void caller_table_add(struct caller_table *t, uint64_t caller_id,
		      struct statement *s)
{
	struct caller_row *r = g_new0(struct caller_row, 1);

	r->caller_id = caller_id;
	r->statement = s;
	g_hash_table_replace(t->rows, &r->caller_id, r);
}

const struct statement *caller_table_statement(const struct caller_table *t,
					       uint64_t caller_id)
{
	struct caller_row *r = g_hash_table_lookup(t->rows, &caller_id);

	return r ? r->statement : NULL;
}

void caller_table_set_result(struct caller_table *t, uint64_t caller_id,
			     json_t *result)
{
	struct caller_row *r = g_hash_table_lookup(t->rows, &caller_id);

	if (!r) {
		json_decref(result);
		return;
	}
	json_decref(r->result);
	r->result = result;
}

json_t *caller_table_take(struct caller_table *t, uint64_t caller_id)
{
	struct caller_row *r = g_hash_table_lookup(t->rows, &caller_id);
	json_t *result;

	if (!r)
		return NULL;
	result = r->result;
	r->result = NULL;
	g_hash_table_remove(t->rows, &caller_id);
	return result;
}
