#include "platform/instance_list.h"

#include <string.h>

struct pending_change {
	char *key;
	const char *value; /* NULL: delete the key */
	int64_t due_us; /* time when it becomes visible */
};

struct instance_list {
	struct kv_store *store;
	char *prefix;
	int64_t lag_us;
	GQueue *pending; /* struct pending_change, oldest first */
};

/* A state in the control command, and the value of the instance's key. */
struct instance_state {
	const char *name;
	const char *value; /* NULL: there is no key */
};

static const struct instance_state states[] = {
	{ "live", "{\"leaving\":false}" },
	{ "leaving", "{\"leaving\":true}" },
	{ "gone", NULL },
};

struct instance_list *instance_list_new(struct kv_store *s, const char *prefix)
{
	struct instance_list *l = g_new0(struct instance_list, 1);

	l->store = s;
	l->prefix = g_strdup(prefix);
	l->pending = g_queue_new();
	return l;
}

static void pending_free(gpointer p)
{
	struct pending_change *c = p;

	g_free(c->key);
	g_free(c);
}

void instance_list_free(struct instance_list *l)
{
	g_queue_free_full(l->pending, pending_free);
	g_free(l->prefix);
	g_free(l);
}

void instance_list_set_lag(struct instance_list *l, int64_t lag_us)
{
	l->lag_us = lag_us;
}

bool instance_list_set_state(struct instance_list *l, const char *name,
			     const char *state, int64_t now_us)
{
	for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
		struct pending_change *c;

		if (strcmp(state, states[i].name) != 0)
			continue;
		c = g_new0(struct pending_change, 1);
		c->key = g_strconcat(l->prefix, name, NULL);
		c->value = states[i].value;
		c->due_us = now_us + l->lag_us;
		g_queue_push_tail(l->pending, c);
		return true;
	}
	return false;
}

void instance_list_apply_due(struct instance_list *l, int64_t now_us)
{
	struct pending_change *c = g_queue_peek_head(l->pending);

	while (c && c->due_us <= now_us) {
		int64_t revision = l->store->revision + 1;

		if (c->value)
			kv_put(l->store, revision, c->key, c->value, 0);
		else
			kv_delete_range(l->store, revision, c->key, "");
		pending_free(g_queue_pop_head(l->pending));
		c = g_queue_peek_head(l->pending);
	}
}
