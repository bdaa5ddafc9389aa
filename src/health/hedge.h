/*
 * hedge.h - when a read that has no answer yet is sent to a second endpoint.
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

/*
 * Returns how long after it was sent a read is hedged, given the duration that
 * nearly all such reads stay below and the time left to its aim.
 */
int64_t hedge_delay_us(int64_t high_quantile_us, int64_t left_us);

#endif
