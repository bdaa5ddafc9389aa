#include "core/sizes.h"
#include "summary.h"

/* Target for reads that a replica may serve. */
static const double replica_share_min_percent = 95;

/*
 * Returns the endpoint that confirmed most of the group's writes. This is the
 * primary only in runs without a promotion.
 */
static uint32_t guess_primary(const struct records *r, uint32_t group)
{
	uint32_t counts[PLAN_ENDPOINTS_MAX] = { 0 };
	uint32_t best = NO_INDEX;

	for (guint i = 0; i < r->rows->len; i++) {
		const struct work_record *x =
			&g_array_index(r->rows, struct work_record, i);

		if (x->error || !work_is_write(x->kind) || x->group != group ||
		    x->endpoint == NO_INDEX)
			continue;
		counts[x->endpoint]++;
		if (best == NO_INDEX || counts[x->endpoint] > counts[best])
			best = x->endpoint;
	}
	return best;
}

/*
 * Whether a replica may serve the read: its profile accepts stale data and
 * the replicas have the session's last write, as the lag has passed since.
 */
static bool may_use_replica(const struct work_record *x, const struct plan *p)
{
	return x->kind == WORK_READ && x->since_write_us > p->lag_us &&
	       !g_str_equal(p->read_profile, p->strict_profile);
}

static double percent(uint32_t part, uint32_t whole)
{
	return whole ? 100.0 * part / whole : 0;
}

void summary_add_reads(const struct records *r, const struct plan *p,
		       struct figures *f)
{
	uint32_t primaries[PLAN_GROUPS_MAX];
	uint32_t reads = 0;
	uint32_t allowed = 0;
	uint32_t by_replica = 0;
	uint32_t allowed_by_replica = 0;
	bool replica;

	for (uint32_t g = 0; g < p->group_count; g++)
		primaries[g] = guess_primary(r, g);
	for (guint i = 0; i < r->rows->len; i++) {
		const struct work_record *x =
			&g_array_index(r->rows, struct work_record, i);

		if (x->error || work_is_write(x->kind))
			continue;
		reads++;
		replica = x->endpoint != NO_INDEX &&
			  x->endpoint != primaries[x->group];
		by_replica += replica;
		allowed += may_use_replica(x, p);
		allowed_by_replica += replica && may_use_replica(x, p);
	}
	figures_add(f, "reads", reads, "requests");
	figures_add(f, "replica_share_all", percent(by_replica, reads), "%");
	if (allowed)
		figures_add_with_target(f, "replica_share_allowed",
					percent(allowed_by_replica, allowed),
					"%", BOUND_AT_LEAST,
					replica_share_min_percent);
	figures_add_with_target(f, "session_reads_stale",
				(double)r->stale_session_reads, "requests",
				BOUND_AT_MOST, 0);
}
