/*
 * placement.h - the choice among the endpoints that could run a statement.
 *
 * Pure arithmetic over what is known of each candidate.
 */
#ifndef PROXY_PLACEMENT_H
#define PROXY_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

/* How a connection would be had. */
enum conn_way {
	CONN_WAY_IDLE, /* one of the workspace is free */
	CONN_WAY_OPEN,
	CONN_WAY_EVICT, /* one of another workspace is closed first */
	CONN_WAY_NONE, /* all are in use */
};

struct placement_candidate {
	enum conn_way way;
	bool is_primary;
	bool same_zone;
	bool doubtful; /* it refused, lost or probably lacks the data */
	uint32_t running; /* own statements there */
	uint32_t slots;
	int64_t latency_us; /* of a statement there lately */
	int64_t handshake_us;
};

/* Returns the expected time until the answer. */
int64_t placement_cost_us(const struct placement_candidate *c);

/* Returns the index of the best candidate with a connection, or -1. */
int placement_choose(const struct placement_candidate *c, uint32_t count);

#endif
