#include "proxy/upstream_conn.h"

#include "proxy/session.h"

#include <string.h>

struct upstream_conn *upstream_conn_new(struct engine *e, struct upstream *u,
					const char *workspace, int64_t now_us)
{
	struct upstream_conn *c = g_new0(struct upstream_conn, 1);

	c->engine = e;
	c->upstream = u;
	c->workspace = g_strdup(workspace);
	c->opened_us = now_us;
	c->used_us = now_us;
	c->signature = g_strdup("");
	c->prepared =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->out = g_string_new(NULL);
	return c;
}

void upstream_conn_free(struct upstream_conn *c)
{
	g_free(c->workspace);
	g_free(c->signature);
	g_hash_table_destroy(c->prepared);
	g_string_free(c->out, TRUE);
	g_free(c);
}

void upstream_conn_expect(struct upstream_conn *c, enum step_kind kind,
			  int64_t now_us)
{
	uint32_t i = (c->step_first + c->step_count) % STEPS_MAX;

	g_assert(c->step_count < STEPS_MAX);
	c->steps[i].kind = kind;
	c->steps[i].sent_us = now_us;
	c->step_count++;
}

const struct step *upstream_conn_step(const struct upstream_conn *c)
{
	return c->step_count ? &c->steps[c->step_first] : NULL;
}

void upstream_conn_pop(struct upstream_conn *c)
{
	c->step_first = (c->step_first + 1) % STEPS_MAX;
	c->step_count--;
}

void upstream_conn_put(struct upstream_conn *c, const struct wire_ops *wire,
		       const struct own_message *m, enum step_kind kind,
		       int64_t now_us)
{
	wire->put_own(c->out, m);
	upstream_conn_expect(c, kind, now_us);
}

static void put_values(struct upstream_conn *c, const struct wire_ops *wire,
		       const struct session *s, int64_t now_us)
{
	GHashTableIter it;
	gpointer name;
	gpointer value;

	if (*c->signature) {
		const struct own_message m = { .statement = OWN_RESET };

		upstream_conn_put(c, wire, &m, STEP_SETUP, now_us);
		g_hash_table_remove_all(c->prepared);
	}
	g_hash_table_iter_init(&it, s->values);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const struct own_message m = { .statement = OWN_SET,
					       .name = name,
					       .value = value };

		upstream_conn_put(c, wire, &m, STEP_SETUP, now_us);
	}
	g_free(c->signature);
	c->signature = g_strdup(s->signature);
}

static char *shape_key(const struct prepared *p)
{
	return g_strconcat(p->writes ? "W " : "R ", p->shape, NULL);
}

static bool put_prepared(struct upstream_conn *c, const struct wire_ops *wire,
			 const struct prepared *p, int64_t now_us)
{
	g_autofree char *key = shape_key(p);
	char *name;
	struct own_message m = { .statement = OWN_PREPARE };

	if (g_hash_table_contains(c->prepared, key))
		return false;
	name = g_strdup_printf("p%u", ++c->prepared_count);
	m.name = name;
	m.value = p->shape;
	m.writes = p->writes;
	upstream_conn_put(c, wire, &m, STEP_SETUP, now_us);
	g_hash_table_insert(c->prepared, g_steal_pointer(&key), name);
	return true;
}

bool upstream_conn_put_setup(struct upstream_conn *c,
			     const struct wire_ops *wire,
			     const struct session *s, const char *prepared_name,
			     int64_t now_us)
{
	const struct prepared *p =
		prepared_name ? session_prepared(s, prepared_name) : NULL;
	bool any = false;

	/* One message a value, one to reset, one to prepare, one to begin. */
	g_assert(g_hash_table_size(s->values) + 8 < STEPS_MAX);
	if (strcmp(c->signature, s->signature) != 0) {
		put_values(c, wire, s, now_us);
		any = true;
	}
	if (p && put_prepared(c, wire, p, now_us))
		any = true;
	return any;
}

const char *upstream_conn_prepared(const struct upstream_conn *c,
				   const struct session *s, const char *name)
{
	const struct prepared *p = session_prepared(s, name);
	g_autofree char *key = p ? shape_key(p) : NULL;

	return key ? g_hash_table_lookup(c->prepared, key) : NULL;
}
