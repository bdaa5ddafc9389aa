#include "platform/kv_store.h"

#include <string.h>

static void entry_free(gpointer p)
{
	struct kv_entry *e = p;

	g_free(e->key);
	g_free(e->value);
	g_free(e);
}

static void event_free(gpointer p)
{
	struct kv_event *e = p;

	g_free(e->kv.key);
	g_free(e->kv.value);
	g_free(e);
}

static struct kv_entry *entry_copy(const struct kv_entry *e)
{
	struct kv_entry *c = g_memdup2(e, sizeof(*e));

	c->key = g_strdup(e->key);
	c->value = g_strdup(e->value);
	return c;
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

struct kv_store *kv_store_new(void)
{
	struct kv_store *s = g_new0(struct kv_store, 1);

	s->revision = 1;
	s->entries = g_tree_new_full(compare_keys, NULL, NULL, entry_free);
	s->events = g_ptr_array_new_with_free_func(event_free);
	s->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
	return s;
}

void kv_store_free(struct kv_store *s)
{
	g_tree_destroy(s->entries);
	g_ptr_array_unref(s->events);
	g_hash_table_destroy(s->leases);
	g_free(s);
}

const struct kv_entry *kv_get(const struct kv_store *s, const char *key)
{
	return g_tree_lookup(s->entries, key);
}

bool kv_in_range(const char *key, const char *from, const char *end)
{
	if (!*end)
		return !strcmp(key, from);
	return strcmp(key, from) >= 0 && strcmp(key, end) < 0;
}

/* Rebuilds the entries as they were at `revision`; freed by the caller. */
static GTree *build_tree_at(const struct kv_store *s, int64_t revision)
{
	GTree *t = g_tree_new_full(compare_keys, NULL, NULL, entry_free);

	for (guint i = 0; i < s->events->len; i++) {
		const struct kv_event *e = g_ptr_array_index(s->events, i);
		struct kv_entry *c;

		if (e->kv.mod_revision > revision)
			break;
		if (e->deleted) {
			g_tree_remove(t, e->kv.key);
			continue;
		}
		c = entry_copy(&e->kv);
		g_tree_replace(t, c->key, c);
	}
	return t;
}

static void collect_range(GTree *t, const char *key, const char *end,
			  GPtrArray *out)
{
	GTreeNode *n = g_tree_lower_bound(t, key);

	for (; n; n = g_tree_node_next(n)) {
		const struct kv_entry *e = g_tree_node_value(n);

		if (!kv_in_range(e->key, key, end))
			break;
		g_ptr_array_add(out, entry_copy(e));
	}
}

GPtrArray *kv_range(const struct kv_store *s, const char *key, const char *end,
		    int64_t revision)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(entry_free);
	GTree *old;

	if (!revision || revision == s->revision) {
		collect_range(s->entries, key, end, out);
		return out;
	}
	old = build_tree_at(s, revision);
	collect_range(old, key, end, out);
	g_tree_destroy(old);
	return out;
}

static void add_event(struct kv_store *s, const struct kv_entry *e,
		      bool deleted)
{
	struct kv_event *ev = g_new0(struct kv_event, 1);

	ev->kv = *e;
	ev->kv.key = g_strdup(e->key);
	ev->kv.value = g_strdup(e->value);
	ev->deleted = deleted;
	g_ptr_array_add(s->events, ev);
	s->revision = e->mod_revision;
}

void kv_put(struct kv_store *s, int64_t revision, const char *key,
	    const char *value, int64_t lease)
{
	const struct kv_entry *old = kv_get(s, key);
	struct kv_entry *e = g_new0(struct kv_entry, 1);

	e->key = g_strdup(key);
	e->value = g_strdup(value);
	e->create_revision = old ? old->create_revision : revision;
	e->version = old ? old->version + 1 : 1;
	e->mod_revision = revision;
	e->lease = lease;
	add_event(s, e, false);
	g_tree_replace(s->entries, e->key, e);
}

int64_t kv_delete_range(struct kv_store *s, int64_t revision, const char *key,
			const char *end)
{
	GPtrArray *found = kv_range(s, key, end, 0);
	int64_t count = found->len;

	for (guint i = 0; i < found->len; i++) {
		const struct kv_entry *e = g_ptr_array_index(found, i);
		struct kv_entry deletion = {
			.key = e->key,
			.value = (char *)"",
			.mod_revision = revision,
		};

		add_event(s, &deletion, true);
		g_tree_remove(s->entries, e->key);
	}
	g_ptr_array_unref(found);
	return count;
}

void kv_compact(struct kv_store *s)
{
	GTreeNode *n;

	g_ptr_array_set_size(s->events, 0);
	s->compacted_revision = s->revision;
	for (n = g_tree_node_first(s->entries); n; n = g_tree_node_next(n)) {
		const struct kv_entry *e = g_tree_node_value(n);
		struct kv_event *ev = g_new0(struct kv_event, 1);

		ev->kv = *e;
		ev->kv.key = g_strdup(e->key);
		ev->kv.value = g_strdup(e->value);
		g_ptr_array_add(s->events, ev);
	}
}

const struct kv_lease *kv_lease_grant(struct kv_store *s, int64_t id,
				      int64_t ttl_s, int64_t now_us)
{
	struct kv_lease *l = g_new0(struct kv_lease, 1);

	while (!id || g_hash_table_contains(s->leases, &id))
		id = ((int64_t)g_random_int() << 31) | g_random_int();
	l->id = id;
	l->ttl_s = ttl_s < 1 ? 1 : ttl_s;
	l->expires_us = now_us + l->ttl_s * G_USEC_PER_SEC;
	g_hash_table_insert(s->leases, &l->id, l);
	return l;
}

const struct kv_lease *kv_lease_get(const struct kv_store *s, int64_t id)
{
	return g_hash_table_lookup(s->leases, &id);
}

int64_t kv_lease_renew(struct kv_store *s, int64_t id, int64_t now_us)
{
	struct kv_lease *l = g_hash_table_lookup(s->leases, &id);

	if (!l)
		return 0;
	l->expires_us = now_us + l->ttl_s * G_USEC_PER_SEC;
	return l->ttl_s;
}

bool kv_lease_revoke(struct kv_store *s, int64_t id)
{
	int64_t revision = s->revision + 1;
	GPtrArray *bound_keys = g_ptr_array_new_with_free_func(g_free);
	GTreeNode *n;

	if (!g_hash_table_remove(s->leases, &id)) {
		g_ptr_array_unref(bound_keys);
		return false;
	}
	for (n = g_tree_node_first(s->entries); n; n = g_tree_node_next(n)) {
		const struct kv_entry *e = g_tree_node_value(n);

		if (e->lease == id)
			g_ptr_array_add(bound_keys, g_strdup(e->key));
	}
	for (guint i = 0; i < bound_keys->len; i++)
		kv_delete_range(s, revision, g_ptr_array_index(bound_keys, i),
				"");
	g_ptr_array_unref(bound_keys);
	return true;
}

void kv_lease_expire(struct kv_store *s, int64_t now_us)
{
	GList *all = g_hash_table_get_values(s->leases);

	for (GList *i = all; i; i = i->next) {
		const struct kv_lease *l = i->data;

		if (l->expires_us <= now_us)
			kv_lease_revoke(s, l->id);
	}
	g_list_free(all);
}
