#include "store.h"

#include <string.h>

struct row {
	char *key;
	GPtrArray *committed; /* values; NULL: the insert is not committed */
	GPtrArray *pending; /* values set by the owner; NULL: deleted */
	struct transaction *owner; /* whose change is pending; NULL: none */
	GList *link; /* in the table's rows */
};

struct table {
	char *name;
	char *constraint;
	uint32_t key_column_count;
	GPtrArray *columns; /* names */
	GHashTable *rows_by_key; /* encoded key to struct row; owns the rows */
	GQueue rows; /* struct row, in insertion order */
};

struct store {
	GHashTable *tables; /* name to struct table */
};

/* A row that a transaction has changed. */
struct change {
	struct table *table;
	struct row *row;
};

/* Predefined tables. */
static const struct schema {
	const char *name;
	uint32_t key_column_count;
	const char *columns[8];
} schemas[] = {
	{ "orders", 1, { "id", "item", "qty", "workspace" } },
	{ "stock", 1, { "item", "qty" } },
	{ "zl_request",
	  2,
	  { "workspace", "request_id", "fingerprint", "answer" } },
};

static void values_free(GPtrArray *values)
{
	if (values)
		g_ptr_array_free(values, TRUE);
}

static void row_free(gpointer p)
{
	struct row *r = p;

	values_free(r->committed);
	values_free(r->pending);
	g_free(r->key);
	g_free(r);
}

static void table_free(gpointer p)
{
	struct table *t = p;

	g_queue_clear(&t->rows);
	g_hash_table_destroy(t->rows_by_key);
	g_ptr_array_free(t->columns, TRUE);
	g_free(t->constraint);
	g_free(t->name);
	g_free(t);
}

static struct table *table_new(struct store *st, const char *name)
{
	struct table *t = g_new0(struct table, 1);

	t->name = g_strdup(name);
	t->constraint = g_strdup_printf("%s_pkey", name);
	t->key_column_count = 1;
	t->columns = g_ptr_array_new_with_free_func(g_free);
	t->rows_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
	g_hash_table_insert(st->tables, t->name, t);
	return t;
}

static void add_schemas(struct store *st)
{
	for (guint i = 0; i < G_N_ELEMENTS(schemas); i++) {
		struct table *t = table_new(st, schemas[i].name);

		t->key_column_count = schemas[i].key_column_count;
		for (guint k = 0; schemas[i].columns[k]; k++)
			table_find_column(t, schemas[i].columns[k], true);
	}
}

struct store *store_new(void)
{
	struct store *st = g_new0(struct store, 1);

	st->tables = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   table_free);
	add_schemas(st);
	return st;
}

void store_free(struct store *st)
{
	g_hash_table_destroy(st->tables);
	g_free(st);
}

void store_reset(struct store *st)
{
	g_hash_table_remove_all(st->tables);
	add_schemas(st);
}

struct table *store_get_table(struct store *st, const char *name, bool create)
{
	struct table *t = g_hash_table_lookup(st->tables, name);

	return t || !create ? t : table_new(st, name);
}

const char *table_name(const struct table *t)
{
	return t->name;
}

const char *table_constraint(const struct table *t)
{
	return t->constraint;
}

uint32_t table_column_count(const struct table *t)
{
	return t->columns->len;
}

const char *table_column_name(const struct table *t, uint32_t i)
{
	return g_ptr_array_index(t->columns, i);
}

uint32_t table_key_column_count(const struct table *t)
{
	return t->key_column_count;
}

int32_t table_find_column(struct table *t, const char *name, bool add)
{
	for (guint i = 0; i < t->columns->len; i++)
		if (!strcmp(table_column_name(t, i), name))
			return (int32_t)i;
	if (!add)
		return -1;
	g_ptr_array_add(t->columns, g_strdup(name));
	return (int32_t)t->columns->len - 1;
}

/* Joins the key values, each with its length, as they may hold any text. */
static char *encode_key(const struct table *t, const char *const *key)
{
	GString *s = g_string_new(NULL);

	for (uint32_t i = 0; i < t->key_column_count; i++) {
		const char *v = key[i] ? key[i] : "";

		g_string_append_printf(s, "%zu:%s", strlen(v), v);
	}
	return g_string_free(s, FALSE);
}

struct row *table_find_row(struct table *t, const char *const *key)
{
	char *text = encode_key(t, key);
	struct row *r = g_hash_table_lookup(t->rows_by_key, text);

	g_free(text);
	return r;
}

GList *table_rows(struct table *t)
{
	return t->rows.head;
}

GPtrArray *row_visible_values(const struct row *r, const struct transaction *tx)
{
	return r->owner && r->owner == tx ? r->pending : r->committed;
}

const char *values_get(const GPtrArray *values, int32_t column)
{
	if (column < 0 || (guint)column >= values->len)
		return NULL;
	return g_ptr_array_index(values, (guint)column);
}

static struct row *add_row(struct table *t, char *key)
{
	struct row *r = g_new0(struct row, 1);

	r->key = key;
	g_queue_push_tail(&t->rows, r);
	r->link = t->rows.tail;
	g_hash_table_insert(t->rows_by_key, r->key, r);
	return r;
}

static void remove_row(struct table *t, struct row *r)
{
	g_queue_delete_link(&t->rows, r->link);
	g_hash_table_remove(t->rows_by_key, r->key);
}

void transaction_start(struct transaction *tx, bool read_only)
{
	tx->read_only = read_only;
	tx->rollback_only = false;
	tx->changes = g_ptr_array_new_with_free_func(g_free);
}

/* Makes the transaction the owner of the row and records the change. */
static void lock_row(struct table *t, struct transaction *tx, struct row *r)
{
	struct change *c;

	if (r->owner == tx)
		return;
	r->owner = tx;
	c = g_new0(struct change, 1);
	c->table = t;
	c->row = r;
	g_ptr_array_add(tx->changes, c);
}

enum store_outcome store_replace_row(struct table *t, struct transaction *tx,
				     struct row *r, GPtrArray *values)
{
	if (r->owner && r->owner != tx) {
		values_free(values);
		return STORE_CONFLICT;
	}
	lock_row(t, tx, r);
	values_free(r->pending);
	r->pending = values;
	return STORE_DONE;
}

enum store_outcome store_insert_row(struct table *t, struct transaction *tx,
				    GPtrArray *values)
{
	char *key = encode_key(t, (const char *const *)values->pdata);
	struct row *r = g_hash_table_lookup(t->rows_by_key, key);

	if (!r)
		r = add_row(t, key);
	else
		g_free(key);
	if ((!r->owner || r->owner == tx) && row_visible_values(r, tx)) {
		values_free(values);
		return STORE_KEY_EXISTS;
	}
	return store_replace_row(t, tx, r, values);
}

static json_t *key_to_json(const struct table *t, const struct row *r)
{
	const GPtrArray *values = r->pending ? r->pending : r->committed;
	json_t *key = json_array();

	for (uint32_t i = 0; i < t->key_column_count; i++) {
		const char *v = values_get(values, (int32_t)i);

		json_array_append_new(key, json_string(v ? v : ""));
	}
	return key;
}

static json_t *values_to_json(const struct table *t, const GPtrArray *values)
{
	json_t *o = json_object();

	for (guint i = 0; i < values->len; i++) {
		const char *v = g_ptr_array_index(values, i);

		json_object_set_new(o, table_column_name(t, i),
				    v ? json_string(v) : json_null());
	}
	return o;
}

static json_t *change_to_json(const struct change *c)
{
	json_t *o = json_object();

	json_object_set_new(o, "table", json_string(c->table->name));
	json_object_set_new(o, "key", key_to_json(c->table, c->row));
	if (c->row->pending)
		json_object_set_new(o, "row",
				    values_to_json(c->table, c->row->pending));
	return o;
}

static void row_commit(struct table *t, struct row *r)
{
	values_free(r->committed);
	r->committed = r->pending;
	r->pending = NULL;
	r->owner = NULL;
	if (!r->committed)
		remove_row(t, r);
}

static void transaction_end(struct transaction *tx)
{
	g_ptr_array_free(tx->changes, TRUE);
	tx->changes = NULL;
}

json_t *transaction_commit(struct transaction *tx)
{
	json_t *changes = NULL;

	if (tx->changes->len > 0)
		changes = json_array();
	for (guint i = 0; i < tx->changes->len; i++) {
		struct change *c = g_ptr_array_index(tx->changes, i);

		if (c->row->committed || c->row->pending)
			json_array_append_new(changes, change_to_json(c));
		row_commit(c->table, c->row);
	}
	transaction_end(tx);
	return changes;
}

void transaction_rollback(struct transaction *tx)
{
	for (guint i = 0; i < tx->changes->len; i++) {
		struct change *c = g_ptr_array_index(tx->changes, i);

		values_free(c->row->pending);
		c->row->pending = NULL;
		c->row->owner = NULL;
		if (!c->row->committed)
			remove_row(c->table, c->row);
	}
	transaction_end(tx);
}

static GPtrArray *values_from_json(struct table *t, const json_t *row)
{
	GPtrArray *values = g_ptr_array_new_with_free_func(g_free);
	const char *name;
	json_t *v;

	json_object_foreach((json_t *)row, name, v)
	{
		guint i = (guint)table_find_column(t, name, true);

		if (values->len <= i)
			g_ptr_array_set_size(values, (gint)i + 1);
		g_ptr_array_index(values, i) = g_strdup(json_string_value(v));
	}
	return values;
}

static void apply_change(struct store *st, const json_t *change)
{
	struct table *t;
	const char *key[2] = { NULL, NULL };
	const json_t *row = json_object_get(change, "row");
	struct row *r;

	t = store_get_table(st,
			    json_string_value(json_object_get(change, "table")),
			    true);
	for (uint32_t i = 0; i < t->key_column_count; i++)
		key[i] = json_string_value(
			json_array_get(json_object_get(change, "key"), i));
	r = table_find_row(t, key);
	if (!r && row)
		r = add_row(t, encode_key(t, key));
	if (!r)
		return;
	r->pending = row ? values_from_json(t, row) : NULL;
	row_commit(t, r);
}

void store_apply(struct store *st, const json_t *changes)
{
	size_t i;
	json_t *change;

	json_array_foreach((json_t *)changes, i, change)
		apply_change(st, change);
}
