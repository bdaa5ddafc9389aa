#include "core/sizes.h"
#include "summary.h"

/* Target for the reads whose profile allows an age. */
static const double replica_share_target = 95;

/*
 * The endpoint that confirmed most of a group's writes counts as its
 * primary; right for runs without a promotion.
 */
static uint32_t primary_of(const struct records *r, uint32_t group)
{
	uint32_t counts[PLAN_ENDPOINTS_MAX] = { 0 };
	uint32_t best = NO_INDEX;

	for (guint i = 0; i < r->rows->len; i++) {
		const struct record *x =
			&g_array_index(r->rows, struct record, i);

		if (x->error || !work_writes(x->kind) || x->group != group ||
		    x->endpoint == NO_INDEX)
			continue;
		counts[x->endpoint]++;
		if (best == NO_INDEX || counts[x->endpoint] > counts[best])
			best = x->endpoint;
	}
	return best;
}

/* A replica has the session's last write once the lag has passed. */
static bool is_allowed(const struct record *x, const struct plan *p)
{
	return x->kind == WORK_READ && x->behind_us > p->lag_us &&
	       !g_str_equal(p->read_profile, p->strict_profile);
}

static double percent(uint32_t part, uint32_t whole)
{
	return whole ? 100.0 * part / whole : 0;
}

void summary_reads(const struct records *r, const struct plan *p,
		   struct figures *f)
{
	uint32_t primaries[PLAN_GROUPS_MAX];
	uint32_t reads = 0;
	uint32_t allowed = 0;
	uint32_t by_replica = 0;
	uint32_t allowed_by_replica = 0;
	bool replica;

	for (uint32_t g = 0; g < p->group_count; g++)
		primaries[g] = primary_of(r, g);
	for (guint i = 0; i < r->rows->len; i++) {
		const struct record *x =
			&g_array_index(r->rows, struct record, i);

		if (x->error || work_writes(x->kind))
			continue;
		reads++;
		replica = x->endpoint != NO_INDEX &&
			  x->endpoint != primaries[x->group];
		by_replica += replica;
		allowed += is_allowed(x, p);
		allowed_by_replica += replica && is_allowed(x, p);
	}
	figures_add(f, "reads", reads, "requests");
	figures_add(f, "replica_share_all", percent(by_replica, reads), "%");
	if (allowed)
		figures_target(f, "replica_share_allowed",
			       percent(allowed_by_replica, allowed), "%",
			       BOUND_AT_LEAST, replica_share_target);
	figures_target(f, "session_reads_stale", (double)r->stale_sessions,
		       "requests", BOUND_AT_MOST, 0);
}
