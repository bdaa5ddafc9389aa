#include "proxy/failure_reports.h"

#include "proxy/upstream.h"

enum {
	/*
	 * Six report intervals: an instance without a report for this long has
	 * ended or is cut off, and is not counted.
	 */
	REPORT_MAX_AGE_US = 1500 * 1000,
	/* Percentage of the counted instances that must get no answer. */
	QUORUM_PERCENT = 50,
	PERCENT = 100,
};

/* The latest report of another instance. */
struct instance_report {
	int64_t received_us;
	GArray *silent; /* uint64_t, see upstream_id_hash() */
};

struct failure_reports {
	GHashTable *by_instance; /* name to struct instance_report */
};

static void instance_report_free(gpointer p)
{
	struct instance_report *r = p;

	g_array_free(r->silent, TRUE);
	g_free(r);
}

struct failure_reports *failure_reports_new(void)
{
	struct failure_reports *f = g_new0(struct failure_reports, 1);

	f->by_instance = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       instance_report_free);
	return f;
}

void failure_reports_free(struct failure_reports *f)
{
	g_hash_table_destroy(f->by_instance);
	g_free(f);
}

void failure_reports_update(struct failure_reports *f, const char *instance,
			    const uint64_t *silent, uint32_t count,
			    int64_t now_us)
{
	struct instance_report *r =
		g_hash_table_lookup(f->by_instance, instance);

	if (!r) {
		r = g_new0(struct instance_report, 1);
		r->silent = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_hash_table_insert(f->by_instance, g_strdup(instance), r);
	}
	r->received_us = now_us;
	g_array_set_size(r->silent, 0);
	g_array_append_vals(r->silent, silent, count);
}

static bool report_contains(const struct instance_report *r, uint64_t id_hash)
{
	for (guint i = 0; i < r->silent->len; i++) {
		if (g_array_index(r->silent, uint64_t, i) == id_hash)
			return true;
	}
	return false;
}

bool failure_reports_confirm_silence(const struct failure_reports *f,
				     const struct upstream *u, int64_t now_us)
{
	uint64_t id_hash = upstream_id_hash(u);
	const struct service *svc = u->service;
	uint32_t reporting = 1;
	uint32_t silent = upstream_is_silent(u, now_us);
	GHashTableIter it;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&it, f->by_instance);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const struct instance_report *r = value;

		if (now_us - r->received_us > REPORT_MAX_AGE_US ||
		    (svc->has_homes &&
		     !g_hash_table_contains(svc->observers, name)))
			continue;
		reporting++;
		silent += report_contains(r, id_hash);
	}
	return silent * PERCENT >= reporting * QUORUM_PERCENT && silent;
}
