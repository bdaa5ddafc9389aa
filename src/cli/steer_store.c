#include "cli/steer_store.h"

#include "proxy/adapter.h"

#include <string.h>

static const int64_t WAIT_US = 100 * US_PER_MS;

struct steer_store {
	struct loop *loop;
	struct proxy_link link;
	GHashTable *subjects[STEER_KINDS]; /* set of names */
	GPtrArray *entries; /* struct steer_entry */
	/* The answer of the pending call. */
	bool answered;
	enum store_outcome outcome;
	int64_t revision;
	bool more;
	char after[sizeof(((struct store_answer *)0)->after)];
};

int steer_store_open(struct steer_store **out, const struct proxy_settings *s,
		     apr_pool_t *pool)
{
	struct proxy_adapter_opts o = {
		.store_address = s->platform.store,
		.promotions_address = s->platform.promotions,
		.call_timeout_us = s->platform.call_timeout_ms * US_PER_MS,
	};
	struct steer_store *st;
	int rc = loop_new(&o.loop, pool);

	if (rc)
		return rc;
	st = g_new0(struct steer_store, 1);
	st->loop = o.loop;
	for (uint32_t i = 0; i < STEER_KINDS; i++)
		st->subjects[i] = g_hash_table_new_full(g_str_hash, g_str_equal,
							g_free, NULL);
	st->entries = g_ptr_array_new_with_free_func(g_free);
	proxy_adapter()->open(&st->link, &o);
	*out = st;
	return 0;
}

void steer_store_free(struct steer_store *s)
{
	proxy_adapter()->close(&s->link);
	for (uint32_t i = 0; i < STEER_KINDS; i++)
		g_hash_table_destroy(s->subjects[i]);
	g_ptr_array_free(s->entries, TRUE);
	g_free(s);
}

static void add_subject(struct steer_store *s, enum steer_kind kind,
			const char *name)
{
	g_hash_table_add(s->subjects[kind], g_strdup(name));
}

static void add_workspaces(struct steer_store *s, const struct fleet_config *c)
{
	for (guint i = 0; i < c->workspaces->len; i++) {
		const struct workspace_config *w =
			g_ptr_array_index(c->workspaces, i);

		add_subject(s, STEER_PAUSE_WRITES, w->name);
	}
}

static void add_entry(struct steer_store *s, const struct store_item *i)
{
	struct steer_entry *e = g_new0(struct steer_entry, 1);

	if (i->readable)
		e->request = i->steer;
	e->request.kind = i->steer_kind;
	g_strlcpy(e->request.subject, i->name, sizeof(e->request.subject));
	e->readable = i->readable;
	e->revision = i->revision;
	g_ptr_array_add(s->entries, e);
}

static void add_item(struct steer_store *s, const struct store_item *i)
{
	if (i->kind == ITEM_STEER)
		add_entry(s, i);
	if (!i->readable)
		return;
	if (i->kind == ITEM_UPSTREAM) {
		add_subject(s, STEER_AVOID_ENDPOINT, i->name);
		add_subject(s, STEER_MOVE_PRIMARY, i->name);
		add_subject(s, STEER_AVOID_ZONE, i->upstream.zone);
	} else if (i->kind == ITEM_INSTANCE) {
		add_subject(s, STEER_AVOID_INSTANCE, i->name);
		add_subject(s, STEER_AVOID_ZONE, i->instance.zone);
	} else if (i->kind == ITEM_CONFIG) {
		add_workspaces(s, i->config);
	}
}

static void on_answer(void *data, const struct store_answer *a)
{
	struct steer_store *s = data;

	s->answered = true;
	s->outcome = a->outcome;
	s->revision = a->revision;
	s->more = a->more;
	g_strlcpy(s->after, a->after, sizeof(s->after));
	for (uint32_t i = 0; i < a->item_count; i++)
		add_item(s, &a->items[i]);
}

static enum store_outcome wait_for_answer(struct steer_store *s)
{
	while (!s->answered) {
		if (loop_run_once(s->loop, WAIT_US))
			return STORE_UNKNOWN;
	}
	return s->outcome;
}

enum store_outcome steer_store_load(struct steer_store *s)
{
	enum store_outcome outcome;

	s->after[0] = '\0';
	do {
		char after[sizeof(s->after)];

		memcpy(after, s->after, sizeof(after));
		s->answered = false;
		s->link.store->ops->list(s->link.store, after, on_answer, s);
		outcome = wait_for_answer(s);
	} while (outcome == STORE_DONE && s->more);
	return outcome;
}

bool steer_store_has_subject(const struct steer_store *s, enum steer_kind kind,
			     const char *subject)
{
	return g_hash_table_contains(s->subjects[kind], subject);
}

const GPtrArray *steer_store_entries(const struct steer_store *s)
{
	return s->entries;
}

const struct steer_entry *steer_store_find(const struct steer_store *s,
					   enum steer_kind kind,
					   const char *subject)
{
	for (guint i = 0; i < s->entries->len; i++) {
		const struct steer_entry *e = g_ptr_array_index(s->entries, i);

		if (e->request.kind == kind &&
		    !strcmp(e->request.subject, subject))
			return e;
	}
	return NULL;
}

enum store_outcome steer_store_change(struct steer_store *s,
				      const struct store_change *c,
				      int64_t *revision)
{
	enum store_outcome outcome;

	s->answered = false;
	s->link.store->ops->change(s->link.store, c, on_answer, s);
	outcome = wait_for_answer(s);
	*revision = s->revision;
	return outcome;
}
