/*
 * hedge.h - when work that has no answer yet is sent to a second endpoint.
 *
 * Pure. Hedges are a bounded part of the reads, so that a service whose
 * endpoints are all slow does not get twice the load.
 */
#ifndef HEALTH_HEDGE_H
#define HEALTH_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

struct hedge_budget {
	uint32_t tokens_milli; /* zero-initialized: none yet */
};

/* Records a read that was sent; each earns a part of a hedge. */
void hedge_earn(struct hedge_budget *b);

/* Takes a hedge from the budget; returns false if none is left. */
bool hedge_take(struct hedge_budget *b);

enum { HEDGE_BINS = 60 };

/* How long recent work took, over all endpoints; zero-initialized: none. */
struct hedge_times {
	uint32_t counts[HEDGE_BINS];
	uint32_t count;
};

/* Records the duration of work that was answered. */
void hedge_times_add(struct hedge_times *t, int64_t took_us);

/* Returns the duration that nearly all recent work stayed below. */
int64_t hedge_times_high_us(const struct hedge_times *t);

/*
 * Returns how long after it was sent work is hedged, given the duration that
 * nearly all such work stays below and the time that was left to its aim when
 * it was sent.
 */
int64_t hedge_delay_us(int64_t high_us, int64_t left_us);

#endif
