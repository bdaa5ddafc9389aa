#include "proxy/quota_homes.h"

#include "core/sizes.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

enum {
	/*
	 * Percentages of a lease. The difference between them is larger than
	 * the possible difference in clock rates.
	 */
	SETTLE_PERCENT = 103,
	VIEW_AGE_PERCENT = 97,
	PERCENT = 100,
};

struct candidate {
	char *name;
	char zone[NAME_BYTES];
	bool settled;
	int64_t absent_us; /* see quota_homes_put() */
	int64_t position; /* of the entry; 0: it is not in the store yet */
	int64_t seen_us; /* since when that position is known */
};

/* The home of one part, by the current entries. */
struct home {
	uint64_t hash;
	char zone[NAME_BYTES];
	/* The settled candidate with the highest score, or NULL. */
	const struct candidate *best_settled;
	/* The highest score of all candidates, this instance included. */
	const struct candidate *best;
};

struct quota_homes {
	/*
	 * This instance. Comparisons treat it as settled; callers check that it
	 * is.
	 */
	struct candidate *self;
	GHashTable *candidates; /* instance name to struct candidate */
	GHashTable *homes; /* &hash to struct home; filled on demand */
	GPtrArray *names; /* of the candidates, sorted */
	const struct candidate *founder; /* NULL: there is none */
	bool founder_known; /* false: the candidates have changed */
};

static void candidate_free(gpointer p)
{
	struct candidate *c = p;

	g_free(c->name);
	g_free(c);
}

int64_t quota_home_settle_us(int64_t lease_us)
{
	return lease_us * SETTLE_PERCENT / PERCENT;
}

int64_t quota_home_max_view_age_us(int64_t lease_us)
{
	return lease_us * VIEW_AGE_PERCENT / PERCENT;
}

struct quota_homes *quota_homes_new(const char *self, const char *zone)
{
	struct quota_homes *h = g_new0(struct quota_homes, 1);

	h->candidates = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      candidate_free);
	h->names = g_ptr_array_new();
	h->homes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	quota_homes_put(h,
			&(struct quota_home_entry){ .instance = self,
						    .zone = zone,
						    .absent_us = INT64_MIN });
	h->self = g_hash_table_lookup(h->candidates, self);
	return h;
}

void quota_homes_free(struct quota_homes *h)
{
	g_ptr_array_free(h->names, TRUE);
	g_hash_table_destroy(h->homes);
	g_hash_table_destroy(h->candidates);
	g_free(h);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static uint64_t score_candidate(const struct candidate *c, uint64_t hash)
{
	return XXH64(c->name, strlen(c->name), hash);
}

/*
 * The same order on all instances: first those of the part's zone; with equal
 * scores the lower name wins.
 */
static const struct candidate *
choose_better_candidate(const struct candidate *a, const struct candidate *b,
			const struct quota_part *p)
{
	uint64_t score_a;
	uint64_t score_b;

	if (!a || !b || a == b)
		return a ? a : b;
	if (!strcmp(a->zone, p->zone) != !strcmp(b->zone, p->zone))
		return strcmp(a->zone, p->zone) ? b : a;
	score_a = score_candidate(a, p->hash);
	score_b = score_candidate(b, p->hash);
	if (score_a != score_b)
		return score_a > score_b ? a : b;
	return strcmp(a->name, b->name) < 0 ? a : b;
}

static void add_candidate(struct home *home, const struct candidate *c)
{
	const struct quota_part p = { home->hash, home->zone };

	home->best = choose_better_candidate(home->best, c, &p);
	if (c->settled)
		home->best_settled =
			choose_better_candidate(home->best_settled, c, &p);
}

void quota_homes_put(struct quota_homes *h, const struct quota_home_entry *e)
{
	struct candidate *c = g_hash_table_lookup(h->candidates, e->instance);
	GHashTableIter it;
	gpointer home;

	h->founder_known = false;
	if (c && c->position != e->position) {
		c->position = e->position;
		c->seen_us = e->seen_us;
	}
	if (c && c->settled == e->settled && !strcmp(c->zone, e->zone))
		return;
	if (c && (!e->settled || strcmp(c->zone, e->zone) != 0)) {
		/*
		 * Its settled entry was lost, or it was in another zone: treat
		 * it like a new instance.
		 */
		c->settled = e->settled;
		c->absent_us = e->absent_us;
		g_strlcpy(c->zone, e->zone, sizeof(c->zone));
		g_hash_table_remove_all(h->homes);
		return;
	}
	if (!c) {
		c = g_new0(struct candidate, 1);
		c->name = g_strdup(e->instance);
		g_strlcpy(c->zone, e->zone, sizeof(c->zone));
		c->absent_us = e->absent_us;
		c->position = e->position;
		c->seen_us = e->seen_us;
		g_ptr_array_add(h->names, c->name);
		g_ptr_array_sort(h->names, compare_names);
		g_hash_table_insert(h->candidates, c->name, c);
	}
	c->settled = e->settled;
	g_hash_table_iter_init(&it, h->homes);
	while (g_hash_table_iter_next(&it, NULL, &home))
		add_candidate(home, c);
}

static const struct candidate *choose_founder(const struct quota_homes *h)
{
	const struct candidate *founder = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, h->candidates);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct candidate *c = value;

		if (c->settled)
			return NULL;
		if (c->position &&
		    (!founder || c->position < founder->position))
			founder = c;
	}
	return founder;
}

const char *quota_homes_find_founder(struct quota_homes *h, int64_t lease_us,
				     int64_t now_us)
{
	if (!h->founder_known)
		h->founder = choose_founder(h);
	h->founder_known = true;
	return h->founder && now_us - h->founder->seen_us <
				       quota_home_max_view_age_us(lease_us) ?
		       h->founder->name :
		       NULL;
}

uint32_t quota_homes_list_others(struct quota_homes *h, uint32_t start,
				 const char **out, uint32_t max)
{
	uint32_t n = 0;

	for (guint i = 0; i < h->names->len && n < max; i++) {
		const char *name =
			g_ptr_array_index(h->names,
					  (start + i) % h->names->len);

		if (name != h->self->name)
			out[n++] = name;
	}
	return n;
}

void quota_homes_remove(struct quota_homes *h, const char *instance)
{
	const struct candidate *c =
		g_hash_table_lookup(h->candidates, instance);
	GHashTableIter it;
	gpointer value;

	h->founder_known = false;
	if (c == h->self) {
		/* The entry is gone; this instance may write it again. */
		h->self->settled = false;
		h->self->position = 0;
		g_hash_table_remove_all(h->homes);
	}
	if (!c || c == h->self)
		return;
	g_hash_table_iter_init(&it, h->homes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct home *home = value;

		/* Selected again when it is next looked up. */
		if (home->best_settled == c || home->best == c)
			g_hash_table_iter_remove(&it);
	}
	g_ptr_array_remove(h->names, c->name);
	g_hash_table_remove(h->candidates, instance);
}

static const struct home *find_home(struct quota_homes *h,
				    const struct quota_part *p)
{
	struct home *home = g_hash_table_lookup(h->homes, &p->hash);
	GHashTableIter it;
	gpointer c;

	if (home)
		return home;
	home = g_new0(struct home, 1);
	home->hash = p->hash;
	g_strlcpy(home->zone, p->zone, sizeof(home->zone));
	g_hash_table_iter_init(&it, h->candidates);
	while (g_hash_table_iter_next(&it, NULL, &c))
		add_candidate(home, c);
	g_hash_table_insert(h->homes, &home->hash, home);
	return home;
}

const char *quota_homes_find(struct quota_homes *h, const struct quota_part *p)
{
	const struct home *home = find_home(h, p);

	return home->best_settled ? home->best_settled->name : home->best->name;
}

/*
 * Returns when this instance must stop counting the part: the earliest end set
 * by the unsettled instances with a higher score.
 */
static int64_t find_earliest_end_us(const struct quota_homes *h,
				    const struct quota_part *p,
				    int64_t lease_us)
{
	int64_t end_us = INT64_MAX;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, h->candidates);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct candidate *c = value;

		if (c == h->self ||
		    choose_better_candidate(c, h->self, p) == h->self)
			continue;
		if (c->absent_us == INT64_MIN)
			return INT64_MIN;
		end_us = MIN(end_us, c->absent_us + quota_home_max_view_age_us(
							    lease_us));
	}
	return end_us;
}

int64_t quota_homes_valid_until_us(struct quota_homes *h,
				   const struct quota_part *p, int64_t lease_us)
{
	const struct home *home = find_home(h, p);

	if (home->best == h->self)
		return INT64_MAX;
	if (home->best_settled &&
	    choose_better_candidate(home->best_settled, h->self, p) != h->self)
		return INT64_MIN;
	return find_earliest_end_us(h, p, lease_us);
}
