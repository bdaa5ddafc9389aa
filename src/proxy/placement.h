/*
 * placement.h - chooses among the endpoints that may run a statement.
 *
 * A pure function of what is known about each candidate.
 */
#ifndef PROXY_PLACEMENT_H
#define PROXY_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

/* How a connection to the endpoint can be obtained. */
enum conn_source {
	CONN_SOURCE_IDLE, /* one of this workspace is idle */
	CONN_SOURCE_OPEN, /* a new one can be opened */
	/* An idle one of another workspace is closed first. */
	CONN_SOURCE_EVICT,
	CONN_SOURCE_NONE, /* none can be obtained now */
};

struct placement_candidate {
	enum conn_source source;
	bool is_primary;
	bool same_zone;
	bool likely_to_fail; /* an attempt there would probably be refused */
	uint32_t reduced_milli; /* part of its work that others should get */
	uint32_t running; /* this instance's statements there */
	uint32_t slots; /* statements that the endpoint runs at once */
	int64_t latency_us; /* recent duration of a statement there */
	int64_t handshake_us; /* recent time to open a connection there */
};

/*
 * Returns the expected time until the answer, plus a penalty for an endpoint
 * that should be used less.
 */
int64_t placement_cost_us(const struct placement_candidate *c);

/* Returns the index of the cheapest candidate with a connection, or -1. */
int placement_choose(const struct placement_candidate *c, uint32_t count);

#endif
