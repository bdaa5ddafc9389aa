#include "serve/statement_table.h"

#include <glib.h>

struct statement_row {
	uint64_t caller_id;
	struct statement *statement;
	json_t *result;
};

struct statement_table {
	GHashTable *rows;
};

static void free_row(gpointer p)
{
	struct statement_row *r = p;

	statement_free(r->statement);
	json_decref(r->result);
	g_free(r);
}

struct statement_table *statement_table_new(void)
{
	struct statement_table *t = g_new0(struct statement_table, 1);

	t->rows = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					free_row);
	return t;
}

void statement_table_free(struct statement_table *t)
{
	g_hash_table_destroy(t->rows);
	g_free(t);
}

void statement_table_add(struct statement_table *t, uint64_t caller_id,
			 struct statement *s)
{
	struct statement_row *r = g_new0(struct statement_row, 1);

	r->caller_id = caller_id;
	r->statement = s;
	g_hash_table_replace(t->rows, &r->caller_id, r);
}

const struct statement *statement_table_find(const struct statement_table *t,
					     uint64_t caller_id)
{
	struct statement_row *r = g_hash_table_lookup(t->rows, &caller_id);

	return r ? r->statement : NULL;
}

void statement_table_set_result(struct statement_table *t, uint64_t caller_id,
				json_t *result)
{
	struct statement_row *r = g_hash_table_lookup(t->rows, &caller_id);

	if (!r) {
		json_decref(result);
		return;
	}
	json_decref(r->result);
	r->result = result;
}

json_t *statement_table_remove(struct statement_table *t, uint64_t caller_id)
{
	struct statement_row *r = g_hash_table_lookup(t->rows, &caller_id);
	json_t *result;

	if (!r)
		return NULL;
	result = r->result;
	r->result = NULL;
	g_hash_table_remove(t->rows, &caller_id);
	return result;
}
