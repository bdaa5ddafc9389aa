#include "proxy/failover_plan.h"

#include "core/sizes.h"

#include <stddef.h>

/* Returns true if `a` is preferred to `b`; both may become primary. */
static bool is_better(const struct failover_candidate *a,
		      const struct failover_candidate *b)
{
	int order = position_cmp(a->received, b->received);

	if (a->is_pending_choice != b->is_pending_choice)
		return a->is_pending_choice;
	if (order)
		return order > 0;
	if (a->was_primary != b->was_primary)
		return !a->was_primary;
	if (a->unlisted != b->unlisted)
		return !a->unlisted;
	if (a->leaving != b->leaving)
		return !a->leaving;
	if (a->unwanted != b->unwanted)
		return !a->unwanted;
	return a->local && !b->local;
}

/*
 * Returns true if the log of the previous primary is complete: it has stepped
 * down, and receives nothing from another primary.
 */
static bool has_complete_log(const struct failover_candidate *c)
{
	return c->was_primary && c->stepped_down && c->paused;
}

/* Returns true if its log is complete to where it is known. */
static bool has_final_log(const struct failover_candidate *c)
{
	return c->paused && (!c->was_primary || c->stepped_down);
}

/*
 * Returns the paused endpoint with the longest log, or NO_INDEX. This may be
 * the previous primary if it has stepped down.
 */
static uint32_t find_longest_log(const struct failover_candidate *candidates,
				 uint32_t count)
{
	uint32_t best = NO_INDEX;

	for (uint32_t i = 0; i < count; i++) {
		if (!has_final_log(&candidates[i]) || candidates[i].id_unknown)
			continue;
		if (best == NO_INDEX ||
		    is_better(&candidates[i], &candidates[best]))
			best = i;
	}
	return best;
}

/* Returns true if the longest log contains every acknowledged commit. */
static bool longest_log_is_safe(const struct failover_candidate *candidates,
				uint32_t count)
{
	bool all_paused = true;

	for (uint32_t i = 0; i < count; i++) {
		if (has_complete_log(&candidates[i]))
			return true;
		all_paused &= candidates[i].was_primary || candidates[i].paused;
	}
	return all_paused;
}

/*
 * Returns a replica that is to stay and whose log covers that of the previous
 * primary after it stepped down, or NO_INDEX.
 */
static uint32_t
find_covering_replica(const struct failover_candidate *candidates,
		      uint32_t count)
{
	const struct failover_candidate *old = NULL;
	uint32_t best = NO_INDEX;

	for (uint32_t i = 0; i < count; i++) {
		if (candidates[i].was_primary && candidates[i].stepped_down)
			old = &candidates[i];
	}
	for (uint32_t i = 0; old && i < count; i++) {
		const struct failover_candidate *c = &candidates[i];

		if (c->was_primary || c->leaving || c->id_unknown ||
		    (c->unlisted && !c->is_pending_choice) ||
		    !position_covers(c->received, old->received))
			continue;
		if (best == NO_INDEX || is_better(c, &candidates[best]))
			best = i;
	}
	return best;
}

/*
 * Returns true if an endpoint whose id is awaited has more of the log than the
 * best of the others. One that an earlier order names has what is needed.
 */
static bool must_wait_for_id(const struct failover_candidate *candidates,
			     uint32_t count,
			     const struct failover_candidate *best)
{
	for (uint32_t i = 0; i < count && !best->is_pending_choice; i++) {
		const struct failover_candidate *c = &candidates[i];

		if (c->id_awaited && has_final_log(c) &&
		    position_cmp(c->received, best->received) > 0)
			return true;
	}
	return false;
}

enum failover_decision
failover_choose_primary(const struct failover_candidate *candidates,
			uint32_t count, bool confirms_writes, uint32_t *chosen)
{
	uint32_t listed = 0;

	for (uint32_t i = 0; i < count; i++)
		listed += !candidates[i].unlisted &&
			  (!candidates[i].was_primary ||
			   has_complete_log(&candidates[i]));
	if (!listed)
		return FAILOVER_NO_CANDIDATE;
	*chosen = find_covering_replica(candidates, count);
	if (*chosen != NO_INDEX)
		return FAILOVER_CHOSEN;
	if (confirms_writes && !longest_log_is_safe(candidates, count))
		return FAILOVER_WAIT;
	*chosen = find_longest_log(candidates, count);
	if (*chosen == NO_INDEX)
		return FAILOVER_WAIT;
	if (confirms_writes &&
	    must_wait_for_id(candidates, count, &candidates[*chosen]))
		return FAILOVER_WAIT;
	return FAILOVER_CHOSEN;
}
