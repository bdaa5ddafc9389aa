#include "engine.h"

#include <apr_strings.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

void engine_set_error(struct engine_result *out, const char *sqlstate,
		      const char *message)
{
	out->sqlstate = sqlstate;
	out->message = message;
}

static const char *get_operand_text(const struct engine_call *c,
				    const struct sql_operand *o)
{
	if (o->param == 0)
		return o->text;
	return o->param <= c->param_count ? c->params[o->param - 1] : NULL;
}

static uint64_t get_integer_argument(const struct engine_call *c)
{
	const char *text = NULL;

	if (c->statement->operand_count > 0)
		text = get_operand_text(c, &c->statement->operands[0]);
	return text ? strtoull(text, NULL, 10) : 0;
}

static void add_value(struct engine_result *out, const char *text)
{
	g_ptr_array_add(out->values, (gpointer)text);
}

static void add_number(const struct engine_call *c, struct engine_result *out,
		       uint64_t n)
{
	add_value(out, apr_psprintf(c->pool, "%" PRIu64, n));
}

/* SQL functions. */

static void run_state(struct engine *e, const struct engine_call *c,
		      struct engine_result *out)
{
	const struct group_log_entry *last = group_last_entry(e->group);

	add_number(c, out, group_current_term(e->group));
	add_number(c, out, last ? last->term : 0);
	add_number(c, out, last ? last->offset : 0);
	add_value(out, group_is_primary(e->group) ? "primary" : "replica");
}

static void run_raise_term(struct engine *e, const struct engine_call *c,
			   struct engine_result *out)
{
	group_raise_term(e->group, get_integer_argument(c));
	run_state(e, c, out);
}

static void run_promote(struct engine *e, const struct engine_call *c,
			struct engine_result *out)
{
	if (group_promote(e->group, get_integer_argument(c))) {
		engine_set_error(out, SQLSTATE_STATE,
				 "term is behind or taken");
		return;
	}
	run_state(e, c, out);
}

static void run_sleep(struct engine *e, const struct engine_call *c,
		      struct engine_result *out)
{
	add_value(out, "");
}

static const struct function {
	const char *name;
	bool uses_slot; /* occupies a slot while it runs */
	uint32_t column_count;
	const char *columns[4];
	void (*run)(struct engine *e, const struct engine_call *c,
		    struct engine_result *out);
} functions[] = {
	{ "group_state",
	  false,
	  4,
	  { "current_term", "last_term", "last_offset", "role" },
	  run_state },
	{ "group_raise_term",
	  false,
	  4,
	  { "current_term", "last_term", "last_offset", "role" },
	  run_raise_term },
	{ "group_promote",
	  false,
	  4,
	  { "current_term", "last_term", "last_offset", "role" },
	  run_promote },
	{ "zl_sleep", true, 1, { "zl_sleep" }, run_sleep },
};

static const struct function *find_function(const char *name)
{
	for (guint i = 0; i < G_N_ELEMENTS(functions); i++)
		if (!strcmp(functions[i].name, name))
			return &functions[i];
	return NULL;
}

/* Row selection by a WHERE clause. */

static int compare_values(const char *a, const char *b)
{
	char *a_end;
	char *b_end;
	int64_t x = strtoll(a, &a_end, 10);
	int64_t y = strtoll(b, &b_end, 10);

	if (*a && *b && !*a_end && !*b_end)
		return x < y ? -1 : x > y;
	return strcmp(a, b);
}

static bool condition_holds(enum sql_compare compare, int order)
{
	switch (compare) {
	case SQL_EQ:
		return order == 0;
	case SQL_GE:
		return order >= 0;
	case SQL_LE:
		return order <= 0;
	case SQL_GT:
		return order > 0;
	default:
		return order < 0;
	}
}

static bool row_matches(const struct engine_call *c, struct table *t,
			const GPtrArray *values)
{
	for (uint32_t i = 0; i < c->statement->condition_count; i++) {
		const struct sql_condition *cond = &c->statement->conditions[i];
		const char *stored;
		const char *expected = get_operand_text(c, &cond->operand);

		stored = values_get(values,
				    table_find_column(t, cond->column, false));
		if (!stored || !expected ||
		    !condition_holds(cond->compare,
				     compare_values(stored, expected)))
			return false;
	}
	return true;
}

/*
 * Looks up the row by its key if the conditions give a value for each key
 * column. Returns false if they do not; else sets `out` to the row, or to NULL
 * if there is none.
 */
static bool find_by_key(const struct engine_call *c, struct table *t,
			struct row **out)
{
	const char *key[2] = { NULL, NULL };

	for (uint32_t k = 0; k < table_key_column_count(t); k++) {
		for (uint32_t i = 0; i < c->statement->condition_count; i++) {
			const struct sql_condition *cond =
				&c->statement->conditions[i];

			if (cond->compare == SQL_EQ &&
			    !strcmp(cond->column, table_column_name(t, k)))
				key[k] = get_operand_text(c, &cond->operand);
		}
		if (!key[k])
			return false;
	}
	*out = table_find_row(t, key);
	return true;
}

static void add_if_match(const struct engine_call *c, struct table *t,
			 struct row *r, GPtrArray *out)
{
	GPtrArray *values = row_visible_values(r, c->transaction);

	if (values && row_matches(c, t, values))
		g_ptr_array_add(out, r);
}

/* Returns the matching rows in an array that the caller frees. */
static GPtrArray *find_rows(const struct engine_call *c, struct table *t)
{
	GPtrArray *out = g_ptr_array_new();
	struct row *r = NULL;

	if (find_by_key(c, t, &r)) {
		if (r)
			add_if_match(c, t, r, out);
		return out;
	}
	for (GList *l = table_rows(t); l; l = l->next)
		add_if_match(c, t, l->data, out);
	return out;
}

/* Statement execution. */

static void run_function(struct engine *e, const struct engine_call *c,
			 struct engine_result *out)
{
	const struct function *f = find_function(c->statement->name);

	if (!f) {
		engine_set_error(out, SQLSTATE_NO_FUNCTION, "no such function");
		return;
	}
	f->run(e, c, out);
	if (c->statement->has_last_column && !out->sqlstate)
		add_value(out, get_operand_text(c, &c->statement->last_column));
	out->tag = "SELECT 1";
}

static void run_constant(struct engine *e, const struct engine_call *c,
			 struct engine_result *out)
{
	add_value(out, get_operand_text(c, &c->statement->operands[0]));
	out->tag = "SELECT 1";
}

static void run_select(struct engine *e, const struct engine_call *c,
		       struct engine_result *out)
{
	struct table *t = store_get_table(e->store, c->statement->name, false);
	GPtrArray *rows;

	if (!t) {
		engine_set_error(out, SQLSTATE_NO_TABLE, "no such table");
		return;
	}
	rows = find_rows(c, t);
	for (guint i = 0; i < rows->len; i++) {
		const GPtrArray *values =
			row_visible_values(g_ptr_array_index(rows, i),
					   c->transaction);

		for (uint32_t k = 0; k < out->column_count; k++) {
			const char *v =
				values_get(values,
					   table_find_column(t, out->columns[k],
							     false));

			add_value(out, apr_pstrdup(c->pool, v));
		}
	}
	out->tag = apr_psprintf(c->pool, "SELECT %u", rows->len);
	g_ptr_array_free(rows, TRUE);
}

static void run_count(struct engine *e, const struct engine_call *c,
		      struct engine_result *out)
{
	struct table *t = store_get_table(e->store, c->statement->name, false);
	GPtrArray *rows;

	if (!t) {
		engine_set_error(out, SQLSTATE_NO_TABLE, "no such table");
		return;
	}
	rows = find_rows(c, t);
	add_number(c, out, rows->len);
	out->tag = "SELECT 1";
	g_ptr_array_free(rows, TRUE);
}

/* Returns false and sets the error unless the outcome is STORE_DONE. */
static bool check_outcome(enum store_outcome outcome, const struct table *t,
			  const struct engine_call *c,
			  struct engine_result *out)
{
	if (outcome == STORE_DONE)
		return true;
	if (outcome == STORE_CONFLICT) {
		engine_set_error(out, SQLSTATE_SERIALIZATION,
				 "row is changed by another transaction");
		return false;
	}
	out->constraint = apr_pstrdup(c->pool, table_constraint(t));
	engine_set_error(out, SQLSTATE_UNIQUE,
			 apr_psprintf(c->pool,
				      "duplicate key value violates unique "
				      "constraint \"%s\"",
				      out->constraint));
	return false;
}

static void set_value(GPtrArray *values, int32_t column, const char *text)
{
	if (values->len <= (guint)column)
		g_ptr_array_set_size(values, column + 1);
	g_free(g_ptr_array_index(values, (guint)column));
	g_ptr_array_index(values, (guint)column) = g_strdup(text);
}

static bool has_complete_key(const struct table *t, const GPtrArray *values)
{
	for (uint32_t i = 0; i < table_key_column_count(t); i++)
		if (!values_get(values, (int32_t)i))
			return false;
	return true;
}

static void run_insert(struct engine *e, const struct engine_call *c,
		       struct engine_result *out)
{
	const struct sql_statement *st = c->statement;
	struct table *t = store_get_table(e->store, st->name, true);
	GPtrArray *values = g_ptr_array_new_with_free_func(g_free);

	g_ptr_array_set_size(values, (gint)table_key_column_count(t));
	for (uint32_t i = 0; i < st->column_count; i++)
		set_value(values, table_find_column(t, st->columns[i], true),
			  get_operand_text(c, &st->operands[i]));
	if (!has_complete_key(t, values)) {
		g_ptr_array_free(values, TRUE);
		engine_set_error(out, SQLSTATE_NOT_NULL, "key column is null");
		return;
	}
	if (check_outcome(store_insert_row(t, c->transaction, values), t, c,
			  out))
		out->tag = "INSERT 0 1";
}

/*
 * Applies an assignment to the row's new values. Returns false and sets the
 * error if the column is missing or part of the key, or if an operand of + or -
 * is not a number.
 */
static bool apply_assignment(const struct engine_call *c, struct table *t,
			     const struct sql_assignment *a, GPtrArray *values,
			     struct engine_result *out)
{
	int32_t column = table_find_column(t, a->column, false);
	const char *stored = values_get(values, column);
	const char *text = get_operand_text(c, &a->operand);
	char *stored_end;
	char *text_end;
	int64_t n;
	int64_t delta;

	if (column < (int32_t)table_key_column_count(t)) {
		engine_set_error(out, SQLSTATE_NO_COLUMN,
				 "no such column, or part of the key");
		return false;
	}
	if (a->sign == 0) {
		set_value(values, column, text);
		return true;
	}
	n = strtoll(stored ? stored : "", &stored_end, 10);
	delta = strtoll(text ? text : "", &text_end, 10);
	if (!stored || !text || *stored_end || *text_end) {
		engine_set_error(out, SQLSTATE_BAD_NUMBER, "not a number");
		return false;
	}
	n = a->sign == '+' ? n + delta : n - delta;
	set_value(values, column, apr_psprintf(c->pool, "%" PRId64, n));
	return true;
}

static gpointer copy_text(gconstpointer text, gpointer unused)
{
	return g_strdup(text);
}

static bool update_row(const struct engine_call *c, struct table *t,
		       struct row *r, struct engine_result *out)
{
	const struct sql_statement *st = c->statement;
	GPtrArray *old = row_visible_values(r, c->transaction);
	GPtrArray *values = g_ptr_array_copy(old, copy_text, NULL);

	g_ptr_array_set_free_func(values, g_free);
	for (uint32_t i = 0; i < st->assignment_count; i++) {
		if (!apply_assignment(c, t, &st->assignments[i], values, out)) {
			g_ptr_array_free(values, TRUE);
			return false;
		}
	}
	return check_outcome(store_replace_row(t, c->transaction, r, values), t,
			     c, out);
}

static bool delete_row(const struct engine_call *c, struct table *t,
		       struct row *r, struct engine_result *out)
{
	return check_outcome(store_replace_row(t, c->transaction, r, NULL), t,
			     c, out);
}

static void change_rows(struct engine *e, const struct engine_call *c,
			const char *verb, struct engine_result *out)
{
	struct table *t = store_get_table(e->store, c->statement->name, false);
	GPtrArray *rows;
	bool done = true;

	if (!t) {
		engine_set_error(out, SQLSTATE_NO_TABLE, "no such table");
		return;
	}
	rows = find_rows(c, t);
	for (guint i = 0; i < rows->len && done; i++) {
		struct row *r = g_ptr_array_index(rows, i);

		done = c->statement->kind == SQL_UPDATE ?
			       update_row(c, t, r, out) :
			       delete_row(c, t, r, out);
	}
	out->tag = apr_psprintf(c->pool, "%s %u", verb, rows->len);
	g_ptr_array_free(rows, TRUE);
}

static void run_update(struct engine *e, const struct engine_call *c,
		       struct engine_result *out)
{
	change_rows(e, c, "UPDATE", out);
}

static void run_delete(struct engine *e, const struct engine_call *c,
		       struct engine_result *out)
{
	change_rows(e, c, "DELETE", out);
}

static void run_set(struct engine *e, const struct engine_call *c,
		    struct engine_result *out)
{
	out->tag = "SET";
}

static void run_no_op(struct engine *e, const struct engine_call *c,
		      struct engine_result *out)
{
	out->tag = "";
}

/* BEGIN, COMMIT and ROLLBACK do nothing here; the session handles them. */
static void (*const executors[])(struct engine *e, const struct engine_call *c,
				 struct engine_result *out) = {
	[SQL_EMPTY] = run_no_op,       [SQL_BEGIN] = run_no_op,
	[SQL_COMMIT] = run_no_op,      [SQL_ROLLBACK] = run_no_op,
	[SQL_SET] = run_set,	       [SQL_SELECT] = run_select,
	[SQL_COUNT] = run_count,       [SQL_CONSTANT] = run_constant,
	[SQL_FUNCTION] = run_function, [SQL_INSERT] = run_insert,
	[SQL_UPDATE] = run_update,     [SQL_DELETE] = run_delete,
};

void engine_run(struct engine *e, const struct engine_call *c,
		struct engine_result *out)
{
	e->statement_count++;
	if (c->transaction->rollback_only ||
	    (sql_is_write(c->statement) && !group_is_primary(e->group))) {
		engine_set_error(out, SQLSTATE_READ_ONLY, "not primary");
		return;
	}
	if (sql_is_write(c->statement) && c->transaction->read_only) {
		engine_set_error(out, SQLSTATE_READ_ONLY,
				 "cannot write in a read-only transaction");
		return;
	}
	executors[c->statement->kind](e, c, out);
}

static int describe_select(struct engine *e, const struct sql_statement *st,
			   apr_pool_t *pool, struct engine_result *out)
{
	struct table *t = store_get_table(e->store, st->name, false);
	bool all = st->column_count == 0;
	uint32_t count;

	if (!t) {
		engine_set_error(out, SQLSTATE_NO_TABLE, "no such table");
		return -ENOENT;
	}
	count = all ? table_column_count(t) : st->column_count;
	for (uint32_t i = 0; i < count && i < SQL_COLUMNS_MAX; i++) {
		const char *name =
			all ? table_column_name(t, i) : st->columns[i];

		if (table_find_column(t, name, false) < 0) {
			engine_set_error(out, SQLSTATE_NO_COLUMN,
					 "no such column");
			return -ENOENT;
		}
		out->columns[out->column_count++] = apr_pstrdup(pool, name);
	}
	return 0;
}

int engine_describe(struct engine *e, const struct sql_statement *st,
		    apr_pool_t *pool, struct engine_result *out)
{
	const struct function *f;

	switch (st->kind) {
	case SQL_SELECT:
		return describe_select(e, st, pool, out);
	case SQL_COUNT:
		out->columns[out->column_count++] = "count";
		return 0;
	case SQL_CONSTANT:
		out->columns[out->column_count++] = "?column?";
		return 0;
	case SQL_FUNCTION:
		f = find_function(st->name);
		for (uint32_t i = 0; f && i < f->column_count; i++)
			out->columns[out->column_count++] = f->columns[i];
		if (f && st->has_last_column)
			out->columns[out->column_count++] = "text";
		return 0;
	default:
		return 0;
	}
}

int64_t engine_sleep_us(const struct engine_call *c)
{
	const struct function *f;

	switch (c->statement->kind) {
	case SQL_SELECT:
	case SQL_COUNT:
	case SQL_CONSTANT:
	case SQL_INSERT:
	case SQL_UPDATE:
	case SQL_DELETE:
		return 0;
	case SQL_FUNCTION:
		f = find_function(c->statement->name);
		if (!f || !f->uses_slot)
			return -1;
		return (int64_t)get_integer_argument(c) * 1000;
	default:
		return -1;
	}
}

void engine_commit(struct engine *e, struct transaction *tx,
		   struct engine_result *out)
{
	json_t *changes;

	if (tx->rollback_only) {
		transaction_rollback(tx);
		engine_set_error(out, SQLSTATE_READ_ONLY, "not primary");
		return;
	}
	changes = transaction_commit(tx);
	if (changes)
		group_append(e->group, changes);
}
