/*
 * mark_ring.h - which log positions were current, and when.
 *
 * A mark says that at `asked_us` or later an endpoint led its service and
 * its log ended at `position`. So that log held every write that had been
 * acknowledged when the question was sent, and a copy which covers the
 * position is no older than the mark.
 */
#ifndef PROXY_MARK_RING_H
#define PROXY_MARK_RING_H

#include "core/position.h"

#include <stdbool.h>
#include <stdint.h>

enum { MARK_RING_SIZE = 64 };

/* Marks are kept this far apart; the ring then spans 6.4 s. */
#define MARK_SPACING_US (100 * US_PER_MS)

struct mark {
	int64_t asked_us;
	struct position position;
};

/* A ring of marks, oldest first. */
struct mark_ring {
	struct mark marks[MARK_RING_SIZE];
	uint32_t first;
	uint32_t count;
	struct mark newest; /* also if too close for the ring */
};

/* Takes a leader's answer to a question sent at asked_us. */
void mark_ring_add(struct mark_ring *f, int64_t asked_us, struct position p);

/* Returns when the newest mark was asked, or INT64_MIN. */
int64_t mark_ring_newest_us(const struct mark_ring *f);

/*
 * Sets *out to the oldest mark that was asked at `since_us` or later, which
 * most copies cover. Returns false if there is none.
 */
bool mark_ring_find(const struct mark_ring *f, int64_t since_us,
		    struct mark *out);

/*
 * Returns the least age that a copy at `p` may have by the marks: 0 if it
 * covers the newest one.
 */
int64_t mark_ring_lag_us(const struct mark_ring *f, struct position p,
			 int64_t now_us);

#endif
