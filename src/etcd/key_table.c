#include "etcd/key_table.h"

struct key_table {
	GHashTable *revisions; /* key to modification revision (int64_t) */
};

struct key_table *key_table_new(void)
{
	struct key_table *t = g_new0(struct key_table, 1);

	t->revisions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return t;
}

void key_table_free(struct key_table *t)
{
	g_hash_table_destroy(t->revisions);
	g_free(t);
}

int64_t key_table_get_revision(const struct key_table *t, const char *key)
{
	const int64_t *r = g_hash_table_lookup(t->revisions, key);

	return r ? *r : 0;
}

bool key_table_put(struct key_table *t, const char *key, int64_t revision)
{
	if (revision <= key_table_get_revision(t, key))
		return false;
	g_hash_table_replace(t->revisions, g_strdup(key),
			     g_memdup2(&revision, sizeof(revision)));
	return true;
}

bool key_table_delete(struct key_table *t, const char *key, int64_t revision)
{
	int64_t known = key_table_get_revision(t, key);

	if (!known || revision <= known)
		return false;
	g_hash_table_remove(t->revisions, key);
	return true;
}

uint32_t key_table_count(const struct key_table *t)
{
	return g_hash_table_size(t->revisions);
}

GPtrArray *key_table_list_missing(const struct key_table *t,
				  GHashTable *present)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter i;
	gpointer key;

	g_hash_table_iter_init(&i, t->revisions);
	while (g_hash_table_iter_next(&i, &key, NULL)) {
		if (!g_hash_table_contains(present, key))
			g_ptr_array_add(out, g_strdup(key));
	}
	return out;
}
