#include "proxy/session.h"

#include "proxy/engine_state.h"

#include <string.h>

static void prepared_statement_free(gpointer p)
{
	struct prepared_statement *e = p;

	g_free(e->definition);
	g_free(e);
}

struct session *session_new(struct engine *e, void *caller, int64_t now_us)
{
	struct session *s = g_new0(struct session, 1);

	s->engine = e;
	s->caller = caller;
	s->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    prepared_statement_free);
	s->values_key = g_strdup("");
	s->idle_since_us = now_us;
	s->op.rows = g_string_new(NULL);
	g_queue_init(&s->backlog);
	return s;
}

void session_free(struct session *s)
{
	operation_end(&s->op);
	g_string_free(s->op.rows, TRUE);
	g_queue_clear_full(&s->backlog, (GDestroyNotify)g_bytes_unref);
	g_hash_table_destroy(s->values);
	g_hash_table_destroy(s->prepared);
	g_free(s->values_key);
	g_free(s->database);
	g_free(s->key);
	g_free(s->workspace);
	g_free(s->service);
	g_free(s);
}

bool session_has_newer_route(const struct session *s)
{
	return s->relayed && s->relayed_version > s->engine->config->version;
}

const struct route *session_find_route(const struct session *s)
{
	if (!s->database)
		return NULL;
	if (session_has_newer_route(s))
		return &s->relayed_route;
	return fleet_config_find_route(s->engine->config, s->database);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

/* With lengths, as names and values may hold any byte but NUL. */
static void append_counted(GString *out, const char *text)
{
	g_string_append_printf(out, "%zu:%s", strlen(text), text);
}

static void update_values_key(struct session *s)
{
	GList *names =
		g_list_sort(g_hash_table_get_keys(s->values), compare_names);
	GString *out = g_string_new(NULL);

	for (GList *l = names; l; l = l->next) {
		append_counted(out, l->data);
		append_counted(out, g_hash_table_lookup(s->values, l->data));
	}
	g_list_free(names);
	g_free(s->values_key);
	s->values_key = g_string_free(out, FALSE);
}

void session_set_value(struct session *s, const char *name, const char *value)
{
	g_hash_table_replace(s->values, g_strdup(name), g_strdup(value));
	update_values_key(s);
}

void session_prepare(struct session *s, const struct query *q)
{
	struct prepared_statement *p = g_new0(struct prepared_statement, 1);

	p->writes = q->writes;
	p->definition = g_strdup(q->value);
	g_hash_table_replace(s->prepared, g_strdup(q->name), p);
}

const struct prepared_statement *session_find_prepared(const struct session *s,
						       const char *name)
{
	return g_hash_table_lookup(s->prepared, name);
}

bool session_deallocate(struct session *s, const char *name)
{
	return g_hash_table_remove(s->prepared, name);
}

void session_reset(struct session *s)
{
	g_hash_table_remove_all(s->values);
	g_hash_table_remove_all(s->prepared);
	update_values_key(s);
}

void operation_start(struct operation *op, struct query *q, int64_t now_us)
{
	GString *rows = op->rows;

	memset(op, 0, sizeof(*op));
	op->rows = rows;
	g_string_truncate(rows, 0);
	op->active = true;
	op->query = *q;
	memset(q, 0, sizeof(*q));
	op->arrived_us = now_us;
}

bool operation_is_waiting(const struct operation *op)
{
	return op->job.scheduler;
}

enum answer_code operation_refusal_code(const struct operation *op)
{
	if (op->last_code &&
	    answer_code_verdict(op->last_code) != VERDICT_NOT_RUN)
		return op->last_code;
	return ANSWER_OVERLOADED;
}

void operation_end(struct operation *op)
{
	query_clear(&op->query);
	op->active = false;
}

void operation_avoid_endpoint(struct operation *op, struct upstream *u)
{
	if (operation_avoids_endpoint(op, u))
		return;
	if (op->avoid_count == OPERATION_AVOID_MAX) {
		for (uint32_t i = 1; i < OPERATION_AVOID_MAX; i++)
			op->avoid[i - 1] = op->avoid[i];
		op->avoid_count--;
	}
	op->avoid[op->avoid_count++] = u;
}

bool operation_avoids_endpoint(const struct operation *op,
			       const struct upstream *u)
{
	for (uint32_t i = 0; i < op->avoid_count; i++) {
		if (op->avoid[i] == u)
			return true;
	}
	return false;
}
