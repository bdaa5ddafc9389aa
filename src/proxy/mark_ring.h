/*
 * mark_ring.h - recent log positions of a service's primary, with their times.
 *
 * A mark says that at `requested_us` or later an endpoint was the primary of
 * its service and its log ended at `position`. So that log held every write
 * acknowledged before the request was sent, and the data of a replica that
 * covers the position is no older than `requested_us`.
 */
#ifndef PROXY_MARK_RING_H
#define PROXY_MARK_RING_H

#include "core/position.h"

#include <stdbool.h>
#include <stdint.h>

enum { MARK_RING_SIZE = 64 };

/* Minimum distance of the marks in the ring, which then spans 6.4 s. */
#define MARK_SPACING_US (100 * US_PER_MS)

struct mark {
	int64_t requested_us;
	struct position position;
};

/* A ring of marks, oldest first. */
struct mark_ring {
	struct mark marks[MARK_RING_SIZE];
	uint32_t first;
	uint32_t count;
	struct mark newest; /* latest mark, even if too close for the ring */
};

/* Adds a primary's answer to a request sent at requested_us. */
void mark_ring_add(struct mark_ring *r, int64_t requested_us,
		   struct position p);

void mark_ring_clear(struct mark_ring *r);

/* Returns requested_us of the newest mark, or INT64_MIN if there is none. */
int64_t mark_ring_newest_us(const struct mark_ring *r);

/*
 * Sets *out to the oldest mark requested at `since_us` or later; the oldest is
 * the one that most replicas cover. Returns false if there is none.
 */
bool mark_ring_find(const struct mark_ring *r, int64_t since_us,
		    struct mark *out);

/*
 * Returns the minimum replication lag of a replica at `p` according to the
 * marks; 0 if it covers the newest one.
 */
int64_t mark_ring_min_lag_us(const struct mark_ring *r, struct position p,
			     int64_t now_us);

#endif
