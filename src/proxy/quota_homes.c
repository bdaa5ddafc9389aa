#include "proxy/quota_homes.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

enum {
	/* Of a lease; clocks differ in rate by less than what lies between. */
	WAIT_PERCENT = 103,
	VIEW_PERCENT = 97,
	PERCENT = 100,
};

struct candidate {
	char *name;
	bool settled;
	int64_t absent_us;
};

/* The candidates for one half, as they are now. */
struct home {
	uint64_t half;
	const struct candidate *settled; /* the best of them; NULL: none */
	const struct candidate *any; /* the best of all, this one included */
};

struct quota_homes {
	struct candidate *self; /* as if settled: others ask if it is */
	GHashTable *candidates; /* name to struct candidate */
	GHashTable *homes; /* &half to struct home, as asked for */
};

static void candidate_free(gpointer p)
{
	struct candidate *c = p;

	g_free(c->name);
	g_free(c);
}

int64_t quota_home_wait_us(int64_t lease_us)
{
	return lease_us * WAIT_PERCENT / PERCENT;
}

int64_t quota_home_view_us(int64_t lease_us)
{
	return lease_us * VIEW_PERCENT / PERCENT;
}

struct quota_homes *quota_homes_new(const char *self)
{
	struct quota_homes *h = g_new0(struct quota_homes, 1);

	h->candidates = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      candidate_free);
	h->homes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	quota_homes_put(h, self, false, INT64_MIN);
	h->self = g_hash_table_lookup(h->candidates, self);
	return h;
}

void quota_homes_free(struct quota_homes *h)
{
	g_hash_table_destroy(h->homes);
	g_hash_table_destroy(h->candidates);
	g_free(h);
}

static uint64_t score_of(const struct candidate *c, uint64_t half)
{
	return XXH64(c->name, strlen(c->name), half);
}

/* Of two with the same score the lower name is home, for everyone. */
static const struct candidate *best_of(const struct candidate *a,
				       const struct candidate *b, uint64_t half)
{
	uint64_t score_a;
	uint64_t score_b;

	if (!a || !b || a == b)
		return a ? a : b;
	score_a = score_of(a, half);
	score_b = score_of(b, half);
	if (score_a != score_b)
		return score_a > score_b ? a : b;
	return strcmp(a->name, b->name) < 0 ? a : b;
}

static void add_candidate(struct home *home, const struct candidate *c)
{
	home->any = best_of(home->any, c, home->half);
	if (c->settled)
		home->settled = best_of(home->settled, c, home->half);
}

void quota_homes_put(struct quota_homes *h, const char *instance, bool settled,
		     int64_t absent_us)
{
	struct candidate *c = g_hash_table_lookup(h->candidates, instance);
	GHashTableIter it;
	gpointer home;

	if (c && c->settled == settled)
		return;
	if (c && !settled) {
		/* It lost its settled entry: as if it had come anew. */
		c->settled = false;
		c->absent_us = absent_us;
		g_hash_table_remove_all(h->homes);
		return;
	}
	if (!c) {
		c = g_new0(struct candidate, 1);
		c->name = g_strdup(instance);
		c->absent_us = absent_us;
		g_hash_table_insert(h->candidates, c->name, c);
	}
	c->settled = settled;
	g_hash_table_iter_init(&it, h->homes);
	while (g_hash_table_iter_next(&it, NULL, &home))
		add_candidate(home, c);
}

void quota_homes_leave(struct quota_homes *h, const char *instance)
{
	const struct candidate *c =
		g_hash_table_lookup(h->candidates, instance);
	GHashTableIter it;
	gpointer value;

	if (!c || c == h->self)
		return;
	g_hash_table_iter_init(&it, h->homes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct home *home = value;

		/* Found again when it is asked for. */
		if (home->settled == c || home->any == c)
			g_hash_table_iter_remove(&it);
	}
	g_hash_table_remove(h->candidates, instance);
}

static const struct home *home_of(struct quota_homes *h, uint64_t half)
{
	struct home *home = g_hash_table_lookup(h->homes, &half);
	GHashTableIter it;
	gpointer c;

	if (home)
		return home;
	home = g_new0(struct home, 1);
	home->half = half;
	g_hash_table_iter_init(&it, h->candidates);
	while (g_hash_table_iter_next(&it, NULL, &c))
		add_candidate(home, c);
	g_hash_table_insert(h->homes, &home->half, home);
	return home;
}

const char *quota_homes_of(struct quota_homes *h, uint64_t half)
{
	const struct home *home = home_of(h, half);

	return home->settled ? home->settled->name : home->any->name;
}

/* The first end that one of the higher, younger instances sets. */
static int64_t first_end_us(const struct quota_homes *h, uint64_t half,
			    int64_t lease_us)
{
	int64_t end_us = INT64_MAX;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, h->candidates);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct candidate *c = value;

		if (c == h->self || best_of(c, h->self, half) == h->self)
			continue;
		if (c->absent_us == INT64_MIN)
			return INT64_MIN;
		end_us = MIN(end_us,
			     c->absent_us + quota_home_view_us(lease_us));
	}
	return end_us;
}

int64_t quota_homes_until_us(struct quota_homes *h, uint64_t half,
			     int64_t lease_us)
{
	const struct home *home = home_of(h, half);

	if (home->any == h->self)
		return INT64_MAX;
	if (home->settled && best_of(home->settled, h->self, half) != h->self)
		return INT64_MIN;
	return first_end_us(h, half, lease_us);
}
