#include "proxy/quota_homes.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* The present home of one workspace. */
struct home {
	const char *instance; /* key of .instances */
	uint64_t score;
};

struct quota_homes {
	const char *self; /* key of .instances */
	GHashTable *instances; /* set of names */
	GHashTable *homes; /* workspace to struct home, as it is asked for */
};

struct quota_homes *quota_homes_new(const char *self)
{
	struct quota_homes *h = g_new0(struct quota_homes, 1);
	char *name = g_strdup(self);

	h->instances =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	h->homes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 g_free);
	h->self = name;
	g_hash_table_add(h->instances, name);
	return h;
}

void quota_homes_free(struct quota_homes *h)
{
	g_hash_table_destroy(h->homes);
	g_hash_table_destroy(h->instances);
	g_free(h);
}

static uint64_t score_of(const char *instance, uint64_t workspace)
{
	return XXH64(instance, strlen(instance), workspace);
}

/* Of two with the same score the lower name is home, for everyone. */
static bool ranks_higher(const struct home *a, const struct home *b)
{
	if (a->score != b->score)
		return a->score > b->score;
	return strcmp(a->instance, b->instance) < 0;
}

static struct home find(const struct quota_homes *h, uint64_t workspace)
{
	struct home best = { h->self, score_of(h->self, workspace) };
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, h->instances);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		const struct home other = { name, score_of(name, workspace) };

		if (ranks_higher(&other, &best))
			best = other;
	}
	return best;
}

void quota_homes_join(struct quota_homes *h, const char *instance)
{
	GHashTableIter it;
	gpointer number;
	gpointer value;
	char *name;

	if (g_hash_table_contains(h->instances, instance))
		return;
	name = g_strdup(instance);
	g_hash_table_add(h->instances, name);
	g_hash_table_iter_init(&it, h->homes);
	while (g_hash_table_iter_next(&it, &number, &value)) {
		const struct home joined = {
			name, score_of(name, *(const uint64_t *)number)
		};

		if (ranks_higher(&joined, value))
			*(struct home *)value = joined;
	}
}

void quota_homes_leave(struct quota_homes *h, const char *instance)
{
	GHashTableIter it;
	gpointer value;

	if (!strcmp(instance, h->self) ||
	    !g_hash_table_contains(h->instances, instance))
		return;
	g_hash_table_iter_init(&it, h->homes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		/* Found again when it is asked for. */
		if (!strcmp(((struct home *)value)->instance, instance))
			g_hash_table_iter_remove(&it);
	}
	g_hash_table_remove(h->instances, instance);
}

static const struct home *home_of(struct quota_homes *h, uint64_t workspace)
{
	struct home *home = g_hash_table_lookup(h->homes, &workspace);

	if (home)
		return home;
	home = g_new0(struct home, 1);
	*home = find(h, workspace);
	g_hash_table_insert(h->homes, g_memdup2(&workspace, sizeof(workspace)),
			    home);
	return home;
}

const char *quota_homes_of(struct quota_homes *h, uint64_t workspace)
{
	return home_of(h, workspace)->instance;
}

bool quota_homes_is_self(struct quota_homes *h, uint64_t workspace)
{
	return home_of(h, workspace)->instance == h->self;
}
