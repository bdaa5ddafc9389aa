#include "proxy/failure_reports.h"

#include "proxy/upstream.h"

enum {
	/* Six reports of an instance; it is gone or cut off then. */
	VIEW_MAX_US = 1500 * 1000,
	/* Half of the instances must miss the primary. */
	VIEW_PERCENT = 50,
	PERCENT = 100,
};

/* What another instance cannot reach. */
struct view {
	int64_t at_us;
	GArray *silent; /* numbers of endpoints */
};

struct silence_views {
	GHashTable *by_instance; /* name to struct view */
};

static void view_free(gpointer p)
{
	struct view *v = p;

	g_array_free(v->silent, TRUE);
	g_free(v);
}

struct silence_views *silence_views_new(void)
{
	struct silence_views *v = g_new0(struct silence_views, 1);

	v->by_instance = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       view_free);
	return v;
}

void silence_views_free(struct silence_views *v)
{
	g_hash_table_destroy(v->by_instance);
	g_free(v);
}

void silence_views_note(struct silence_views *vs, const char *instance,
			const uint64_t *silent, uint32_t count, int64_t now_us)
{
	struct view *v = g_hash_table_lookup(vs->by_instance, instance);

	if (!v) {
		v = g_new0(struct view, 1);
		v->silent = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_hash_table_insert(vs->by_instance, g_strdup(instance), v);
	}
	v->at_us = now_us;
	g_array_set_size(v->silent, 0);
	g_array_append_vals(v->silent, silent, count);
}

static bool view_has(const struct view *v, uint64_t number)
{
	for (guint i = 0; i < v->silent->len; i++) {
		if (g_array_index(v->silent, uint64_t, i) == number)
			return true;
	}
	return false;
}

bool silence_views_miss(const struct silence_views *vs,
			const struct upstream *u, int64_t now_us)
{
	uint64_t number = upstream_number(u);
	uint32_t asked = 1;
	uint32_t silent = upstream_is_silent(u, now_us);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, vs->by_instance);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct view *v = value;

		if (now_us - v->at_us > VIEW_MAX_US)
			continue;
		asked++;
		silent += view_has(v, number);
	}
	return silent * PERCENT >= asked * VIEW_PERCENT && silent;
}
