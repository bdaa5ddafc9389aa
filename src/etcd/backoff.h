/* backoff.h - exponential backoff with jitter between attempts. */
#ifndef ETCD_BACKOFF_H
#define ETCD_BACKOFF_H

#include <glib.h>
#include <stdint.h>

struct backoff {
	/* Delay before the next attempt, without jitter; 0 after a reset. */
	int64_t delay_us;
};

/* Starts again at the shortest delay. */
void backoff_reset(struct backoff *b);

/*
 * Returns the delay until the next attempt, in microseconds, with a jitter of
 * 50% up or down. Without jitter the delay is 50 ms after a reset and doubles
 * with every call, up to 1 s.
 */
int64_t backoff_next_us(struct backoff *b, GRand *rand);

#endif
