/*
 * retry.h - retry budget and backoff.
 *
 * Each retry is taken from a budget that grows with the number of requests that
 * are sent for the first time, so that an outage multiplies the load by at most
 * 1 + RETRY_CREDIT_MILLI / 1000 (see retry.c).
 */
#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct retry_budget {
	uint32_t retries_milli; /* retries available, x 1000 */
};

/* Fills the budget with its initial number of retries. */
void retry_budget_init(struct retry_budget *b);

/* Adds the credit for a request that is sent for the first time. */
void retry_budget_add(struct retry_budget *b);

/* Takes a retry from the budget; returns false if less than one is left. */
bool retry_budget_take(struct retry_budget *b);

/*
 * Returns the delay before retry number `attempt`, counted from 1: exponential
 * backoff with random jitter over the upper half of the interval.
 */
int64_t retry_delay_us(GRand *rand, uint32_t attempt);

#endif
