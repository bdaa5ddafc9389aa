/*
 * retry.h - budget and delay of repeated sends.
 *
 * Repeats are paid from a budget that grows with first sends, so an outage
 * multiplies the load by at most 1 + RETRY_PER_MILLE / 1000.
 */
#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct retry_budget {
	uint32_t milli; /* repeats that may be made, x 1000 */
};

void retry_init(struct retry_budget *b);

/* Counts a first send. */
void retry_earn(struct retry_budget *b);

/* Takes one repeat out of the budget; returns false when it is empty. */
bool retry_spend(struct retry_budget *b);

/*
 * Returns the delay before repeat number `attempt` (from 1): exponential,
 * with full jitter from `rand`.
 */
int64_t retry_delay_us(GRand *rand, uint32_t attempt);

#endif
