#include "proxy/failover_plan.h"

#include "core/sizes.h"

#include <stddef.h>

/* Returns true if a is the better leader of two that may lead. */
static bool is_better(const struct takeover_copy *a,
		      const struct takeover_copy *b)
{
	int order = position_cmp(a->received, b->received);

	if (a->named != b->named)
		return a->named;
	if (order)
		return order > 0;
	if (a->leaving != b->leaving)
		return !a->leaving;
	return a->local && !b->local;
}

/* The longest log of the replicas that answered, or NO_INDEX. */
static uint32_t longest(const struct takeover_copy *copies, uint32_t count)
{
	uint32_t best = NO_INDEX;

	for (uint32_t i = 0; i < count; i++) {
		if (copies[i].was_primary || !copies[i].held)
			continue;
		if (best == NO_INDEX || is_better(&copies[i], &copies[best]))
			best = i;
	}
	return best;
}

static bool all_replicas_held(const struct takeover_copy *copies,
			      uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (!copies[i].was_primary && !copies[i].held)
			return false;
	}
	return true;
}

/* A replica that stays and has all that the earlier primary had. */
static uint32_t covering(const struct takeover_copy *copies, uint32_t count)
{
	const struct takeover_copy *old = NULL;
	uint32_t best = NO_INDEX;

	for (uint32_t i = 0; i < count; i++) {
		if (copies[i].was_primary && copies[i].stepped_down)
			old = &copies[i];
	}
	for (uint32_t i = 0; old && i < count; i++) {
		const struct takeover_copy *c = &copies[i];

		if (c->was_primary || c->leaving ||
		    !position_covers(c->received, old->received))
			continue;
		if (best == NO_INDEX || is_better(c, &copies[best]))
			best = i;
	}
	return best;
}

enum takeover_verdict takeover_choose(const struct takeover_copy *copies,
				      uint32_t count, bool confirms_writes,
				      uint32_t *chosen)
{
	uint32_t others = 0;

	for (uint32_t i = 0; i < count; i++)
		others += !copies[i].was_primary;
	if (!others)
		return TAKEOVER_IMPOSSIBLE;
	*chosen = covering(copies, count);
	if (*chosen != NO_INDEX)
		return TAKEOVER_CHOSEN;
	if (confirms_writes && !all_replicas_held(copies, count))
		return TAKEOVER_WAIT;
	*chosen = longest(copies, count);
	return *chosen == NO_INDEX ? TAKEOVER_WAIT : TAKEOVER_CHOSEN;
}
