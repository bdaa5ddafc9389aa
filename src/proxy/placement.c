#include "proxy/placement.h"

enum {
	/* Between availability zones, there and back; a few ms in a region. */
	CROSS_ZONE_US = 3000,
	/*
	 * The primary alone takes writes and strict reads: a read that any
	 * copy can serve goes there only if it is this much faster.
	 */
	PRIMARY_BIAS_US = 30 * 1000,
	/* A refused try costs a round trip and leaves others to be tried. */
	DOUBT_US = 1000 * 1000,
	/* The closed connection's workspace will open one again. */
	EVICTION_HANDSHAKES = 2,
};

int64_t placement_cost_us(const struct placement_candidate *c)
{
	int64_t cost = c->latency_us;

	/* Own statements beyond the endpoint's slots wait there. */
	if (c->running >= c->slots)
		cost += c->latency_us * (c->running - c->slots + 1) / c->slots;
	if (c->way == CONN_WAY_OPEN)
		cost += c->handshake_us;
	else if (c->way == CONN_WAY_EVICT)
		cost += c->handshake_us * EVICTION_HANDSHAKES;
	if (!c->same_zone)
		cost += CROSS_ZONE_US;
	if (c->is_primary)
		cost += PRIMARY_BIAS_US;
	if (c->doubtful)
		cost += DOUBT_US;
	return cost;
}

int placement_choose(const struct placement_candidate *c, uint32_t count)
{
	int64_t best_us = INT64_MAX;
	int best = -1;

	for (uint32_t i = 0; i < count; i++) {
		int64_t cost;

		if (c[i].way == CONN_WAY_NONE)
			continue;
		cost = placement_cost_us(&c[i]);
		if (cost >= best_us)
			continue;
		best_us = cost;
		best = (int)i;
	}
	return best;
}
