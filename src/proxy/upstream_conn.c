#include "proxy/upstream_conn.h"

#include "proxy/session.h"

#include <string.h>

/* Of a buffer that is not in use. */
enum { ROWS_KEPT_BYTES = 16 * 1024 };

struct upstream_conn *upstream_conn_new(struct engine *e, struct upstream *u,
					const char *workspace, int64_t now_us)
{
	struct upstream_conn *c = g_new0(struct upstream_conn, 1);

	c->engine = e;
	c->upstream = u;
	c->workspace = g_strdup(workspace);
	c->opened_us = now_us;
	c->idle_since_us = now_us;
	c->values_key = g_strdup("");
	c->prepared =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->replies = reply_check_new();
	c->rows = g_string_new(NULL);
	c->out = g_string_new(NULL);
	return c;
}

void upstream_conn_free(struct upstream_conn *c)
{
	g_free(c->workspace);
	g_free(c->values_key);
	g_hash_table_destroy(c->prepared);
	reply_check_free(c->replies);
	g_string_free(c->rows, TRUE);
	g_string_free(c->out, TRUE);
	g_free(c);
}

void upstream_conn_push_request(struct upstream_conn *c,
				enum conn_request_kind kind, int64_t now_us)
{
	uint32_t i = (c->request_first + c->request_count) % CONN_REQUESTS_MAX;

	g_assert(c->request_count < CONN_REQUESTS_MAX);
	c->requests[i].kind = kind;
	c->requests[i].sent_us = now_us;
	c->request_count++;
}

void upstream_conn_clear_answer(struct upstream_conn *c)
{
	memset(&c->answer, 0, sizeof(c->answer));
	g_string_truncate(c->rows, 0);
	if (c->rows->allocated_len > ROWS_KEPT_BYTES) {
		g_string_free(c->rows, TRUE);
		c->rows = g_string_new(NULL);
	}
}

const struct conn_request *
upstream_conn_oldest_request(const struct upstream_conn *c)
{
	return c->request_count ? &c->requests[c->request_first] : NULL;
}

void upstream_conn_pop_request(struct upstream_conn *c)
{
	c->request_first = (c->request_first + 1) % CONN_REQUESTS_MAX;
	c->request_count--;
}

void upstream_conn_put_message(struct upstream_conn *c,
			       const struct wire_ops *wire,
			       const struct proxy_message *m,
			       enum conn_request_kind kind, int64_t now_us)
{
	wire->put_proxy_message(c->out, m);
	upstream_conn_push_request(c, kind, now_us);
}

static void put_reset(struct upstream_conn *c, const struct wire_ops *wire,
		      enum conn_request_kind kind, int64_t now_us)
{
	const struct proxy_message m = { .statement = PROXY_STATEMENT_RESET };

	upstream_conn_put_message(c, wire, &m, kind, now_us);
	g_hash_table_remove_all(c->prepared);
}

void upstream_conn_put_seal(struct upstream_conn *c,
			    const struct wire_ops *wire, int64_t now_us)
{
	put_reset(c, wire, CONN_REQUEST_SEAL, now_us);
	g_free(c->values_key);
	c->values_key = g_strdup("");
}

static void put_session_values(struct upstream_conn *c,
			       const struct wire_ops *wire,
			       const struct session *s, int64_t now_us)
{
	GHashTableIter it;
	gpointer name;
	gpointer value;

	if (*c->values_key)
		put_reset(c, wire, CONN_REQUEST_SETUP, now_us);
	g_hash_table_iter_init(&it, s->values);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const struct proxy_message m = { .statement =
							 PROXY_STATEMENT_SET,
						 .name = name,
						 .value = value };

		upstream_conn_put_message(c, wire, &m, CONN_REQUEST_SETUP,
					  now_us);
	}
	g_free(c->values_key);
	c->values_key = g_strdup(s->values_key);
}

static char *make_prepared_key(const struct prepared_statement *p)
{
	return g_strconcat(p->writes ? "W " : "R ", p->definition, NULL);
}

static bool put_prepared(struct upstream_conn *c, const struct wire_ops *wire,
			 const struct prepared_statement *p, int64_t now_us)
{
	g_autofree char *key = make_prepared_key(p);
	char *name;
	struct proxy_message m = { .statement = PROXY_STATEMENT_PREPARE };

	if (g_hash_table_contains(c->prepared, key))
		return false;
	name = g_strdup_printf("p%u", ++c->prepared_count);
	m.name = name;
	m.value = p->definition;
	m.writes = p->writes;
	upstream_conn_put_message(c, wire, &m, CONN_REQUEST_SETUP, now_us);
	g_hash_table_insert(c->prepared, g_steal_pointer(&key), name);
	return true;
}

bool upstream_conn_put_setup(struct upstream_conn *c,
			     const struct wire_ops *wire,
			     const struct session *s, const char *prepared_name,
			     int64_t now_us)
{
	const struct prepared_statement *p =
		prepared_name ? session_find_prepared(s, prepared_name) : NULL;
	bool appended = false;

	/* One message per value, and one each for RESET, PREPARE and BEGIN. */
	g_assert(g_hash_table_size(s->values) + 8 < CONN_REQUESTS_MAX);
	if (strcmp(c->values_key, s->values_key) != 0) {
		put_session_values(c, wire, s, now_us);
		appended = true;
	}
	if (p && put_prepared(c, wire, p, now_us))
		appended = true;
	return appended;
}

bool upstream_conn_had_error(const struct upstream_conn *c, int64_t now_us)
{
	return c->error_us && now_us - c->error_us <= REPLY_COPY_MAX_US;
}

const char *upstream_conn_find_prepared(const struct upstream_conn *c,
					const struct session *s,
					const char *name)
{
	const struct prepared_statement *p = session_find_prepared(s, name);
	g_autofree char *key = p ? make_prepared_key(p) : NULL;

	return key ? g_hash_table_lookup(c->prepared, key) : NULL;
}
