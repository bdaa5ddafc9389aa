#include "proxy/quota_division.h"

#include "core/sizes.h"

#include <glib.h>

enum {
	/*
	 * Several report intervals, so that an instance keeps its grant when a
	 * few reports are lost.
	 */
	GRANT_DURATION_US = 1500 * 1000,
	PERCENT = 100,
	MILLI = 1000,
	/* Of the measured demand, as operations arrive in bursts. */
	HEADROOM_PERCENT = 130,
};

/* Demand and grants of one instance for one workspace's limit. */
struct division_row {
	uint32_t demand_milli_per_s;
	int64_t demand_us; /* when it was reported */
	uint32_t granted; /* thousandths per second, in the last message */
	uint64_t sequence; /* number of that message */
	int64_t until_us; /* end of that grant */
	uint32_t in_use_max; /* highest granted rate that may be in use */
	int64_t in_use_until_us;
};

struct division_member {
	uint64_t sequence; /* of the last message to the instance */
	uint64_t confirmed;
	GHashTable *rows; /* workspace hash to struct division_row */
};

struct quota_division {
	GHashTable *members; /* instance name to struct division_member */
	/* Until then, grants of the previous holder may be in use. */
	int64_t first_grant_us;
	uint32_t surplus_milli; /* granted beyond a limit, in thousandths */
};

int64_t quota_division_grant_duration_us(void)
{
	return GRANT_DURATION_US;
}

static void member_free(gpointer p)
{
	struct division_member *m = p;

	g_hash_table_destroy(m->rows);
	g_free(m);
}

struct quota_division *quota_division_new(void)
{
	struct quota_division *d = g_new0(struct quota_division, 1);

	d->members = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   member_free);
	d->first_grant_us = INT64_MAX;
	return d;
}

void quota_division_free(struct quota_division *d)
{
	g_hash_table_destroy(d->members);
	g_free(d);
}

void quota_division_set_overrun(struct quota_division *d,
				uint32_t overrun_milli)
{
	d->surplus_milli = overrun_milli * QUOTA_SURPLUS_PERCENT / PERCENT;
}

void quota_division_start(struct quota_division *d, int64_t now_us)
{
	g_hash_table_remove_all(d->members);
	d->first_grant_us = now_us + GRANT_DURATION_US;
}

static struct division_member *get_or_create_member(struct quota_division *d,
						    const char *name)
{
	struct division_member *m = g_hash_table_lookup(d->members, name);

	if (m)
		return m;
	m = g_new0(struct division_member, 1);
	m->rows = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					g_free);
	g_hash_table_insert(d->members, g_strdup(name), m);
	return m;
}

static struct division_row *get_or_create_row(struct division_member *m,
					      uint64_t hash)
{
	struct division_row *r = g_hash_table_lookup(m->rows, &hash);

	if (r)
		return r;
	r = g_new0(struct division_row, 1);
	g_hash_table_insert(m->rows, g_memdup2(&hash, sizeof(hash)), r);
	return r;
}

static void apply_confirmation(struct division_member *m, uint64_t sequence)
{
	GHashTableIter it;
	gpointer row;

	m->confirmed = sequence;
	g_hash_table_iter_init(&it, m->rows);
	while (g_hash_table_iter_next(&it, NULL, &row)) {
		struct division_row *r = row;

		if (sequence < r->sequence)
			continue;
		r->in_use_max = r->granted;
		r->in_use_until_us = r->until_us;
	}
}

void quota_division_apply_report(struct quota_division *d,
				 const struct quota_report *report,
				 int64_t now_us)
{
	bool first_report =
		!g_hash_table_contains(d->members, report->instance);
	struct division_member *m = get_or_create_member(d, report->instance);

	if (report->confirmed > m->confirmed &&
	    report->confirmed <= m->sequence)
		apply_confirmation(m, report->confirmed);
	for (uint32_t i = 0; i < report->need_count; i++) {
		struct division_row *r =
			get_or_create_row(m, report->needs[i].workspace);

		r->demand_milli_per_s = report->needs[i].demand_milli_per_s;
		r->demand_us = now_us;
		if (!first_report)
			continue;
		/*
		 * The previous holder of the duty may have granted it just now.
		 */
		r->in_use_max = report->needs[i].in_use_milli_per_s;
		r->in_use_until_us = now_us + GRANT_DURATION_US;
	}
}

/*
 * Returns the rate that the instance would use beyond its standing part, in
 * thousandths per second.
 */
static uint64_t calculate_need(const struct division_row *r, uint32_t standing,
			       int64_t now_us)
{
	uint64_t demand;

	if (now_us - r->demand_us > GRANT_DURATION_US)
		return 0;
	demand = (uint64_t)r->demand_milli_per_s * HEADROOM_PERCENT / PERCENT;
	return demand > standing ? demand - standing : 0;
}

/* Needs of all instances, and what the other instances may be using. */
struct division_sum {
	uint64_t needed;
	uint64_t in_use_by_others;
	uint32_t sharers; /* instances that reported the workspace lately */
};

static struct division_sum sum_needs(const struct quota_division *d,
				     uint64_t hash, const char *instance,
				     uint32_t standing, int64_t now_us)
{
	struct division_sum sum = { 0 };
	GHashTableIter it;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&it, d->members);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const struct division_member *m = value;
		const struct division_row *r =
			g_hash_table_lookup(m->rows, &hash);

		if (!r)
			continue;
		sum.needed += calculate_need(r, standing, now_us);
		sum.sharers += now_us - r->demand_us <= GRANT_DURATION_US;
		if (!g_str_equal(name, instance) && now_us < r->in_use_until_us)
			sum.in_use_by_others += r->in_use_max;
	}
	return sum;
}

/*
 * Returns the instance's part of the pool, which is proportional to its need if
 * the pool does not cover the needs of all instances.
 */
static uint64_t calculate_fair_part(uint64_t pool, uint64_t need,
				    const struct division_sum *sum)
{
	if (sum->needed > pool)
		return need * pool / sum->needed;
	/*
	 * The rest is divided evenly, for the next burst of any instance.
	 */
	return need + (pool - sum->needed) / MAX(sum->sharers, 1);
}

static void record_grant(struct division_member *m, struct division_row *r,
			 uint64_t rate, int64_t now_us)
{
	if (now_us >= r->in_use_until_us)
		r->in_use_max = 0;
	r->granted = (uint32_t)rate;
	r->sequence = m->sequence;
	r->until_us = now_us + GRANT_DURATION_US;
	r->in_use_max = MAX(r->in_use_max, r->granted);
	r->in_use_until_us = r->until_us;
}

/*
 * Returns the rate that the instance may use of a workspace's granted part from
 * now on, in thousandths per second.
 */
static uint64_t calculate_grant(const struct quota_division *d,
				const struct division_row *r,
				const struct workspace_config *w,
				const struct quota_grants *g, int64_t now_us)
{
	uint64_t rate = w->rate_milli_per_s;
	uint32_t standing = (uint32_t)(rate * QUOTA_STANDING_PERCENT / PERCENT /
				       MAX(g->instances, 1));
	uint64_t pool = rate * (PERCENT - QUOTA_STANDING_PERCENT) / PERCENT +
			rate * d->surplus_milli / MILLI;
	struct division_sum sum = sum_needs(d, quota_workspace_hash(w->name),
					    g->instance, standing, now_us);
	uint64_t part =
		calculate_fair_part(pool, calculate_need(r, standing, now_us),
				    &sum);

	return MIN(part, pool - MIN(pool, sum.in_use_by_others));
}

void quota_division_fill_grants(struct quota_division *d,
				struct quota_grants *g, int64_t now_us)
{
	struct division_member *m = get_or_create_member(d, g->instance);

	g->sequence = ++m->sequence;
	g->count = 0;
	if (now_us < d->first_grant_us &&
	    g_hash_table_size(d->members) < g->instances)
		return;
	for (guint i = 0; i < g->config->workspaces->len && g->count < g->max;
	     i++) {
		const struct workspace_config *w =
			g_ptr_array_index(g->config->workspaces, i);
		uint64_t hash = quota_workspace_hash(w->name);
		struct division_row *r = g_hash_table_lookup(m->rows, &hash);
		uint64_t part;

		if (!r || w->rate_milli_per_s == UINT32_MAX)
			continue;
		part = calculate_grant(d, r, w, g, now_us);
		record_grant(m, r, part, now_us);
		g->out[g->count].workspace = hash;
		g->out[g->count++].demand_milli_per_s = (uint32_t)part;
	}
}
