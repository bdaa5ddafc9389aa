#include "proxy/placement.h"

#include <glib.h>

enum {
	/*
	 * Round trip between availability zones of a region: a few
	 * milliseconds.
	 */
	CROSS_ZONE_US = 3000,
	/*
	 * Only the primary can take writes and strict reads. A read that any
	 * endpoint can serve goes to the primary only if that is faster by this
	 * much.
	 */
	PRIMARY_BIAS_US = 30 * 1000,
	/*
	 * An endpoint that fails does so quickly, so its time does not show
	 * what it costs: about a second attempt.
	 */
	REDUCED_US = 30 * 1000,
	MILLI = 1000,
	/*
	 * A refused attempt costs a round trip, so other endpoints come first.
	 */
	LIKELY_FAILURE_US = 1000 * 1000,
	/*
	 * Cost of an eviction, in handshakes: the workspace of the closed
	 * connection will have to open one again.
	 */
	EVICTION_HANDSHAKES = 2,
};

int64_t placement_cost_us(const struct placement_candidate *c)
{
	int64_t cost = c->latency_us;

	/* Statements beyond the endpoint's slots wait there. */
	if (c->running >= c->slots)
		cost += c->latency_us * (c->running - c->slots + 1) / c->slots;
	if (c->reduced_milli)
		cost = cost * MILLI / MAX(MILLI - c->reduced_milli, 1) +
		       (int64_t)REDUCED_US * c->reduced_milli / MILLI;
	if (c->source == CONN_SOURCE_OPEN)
		cost += c->handshake_us;
	else if (c->source == CONN_SOURCE_EVICT)
		cost += c->handshake_us * EVICTION_HANDSHAKES;
	if (!c->same_zone)
		cost += CROSS_ZONE_US;
	if (c->is_primary)
		cost += PRIMARY_BIAS_US;
	if (c->likely_to_fail)
		cost += LIKELY_FAILURE_US;
	return cost;
}

int placement_choose(const struct placement_candidate *c, uint32_t count)
{
	int64_t best_us = INT64_MAX;
	int best = -1;

	for (uint32_t i = 0; i < count; i++) {
		int64_t cost;

		if (c[i].source == CONN_SOURCE_NONE)
			continue;
		cost = placement_cost_us(&c[i]);
		if (cost >= best_us)
			continue;
		best_us = cost;
		best = (int)i;
	}
	return best;
}
