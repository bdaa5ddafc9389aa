/* backoff.h - growing, jittered delays between attempts. */
#ifndef ETCD_BACKOFF_H
#define ETCD_BACKOFF_H

#include <glib.h>
#include <stdint.h>

struct backoff {
	int64_t delay_us; /* of the next attempt, before jitter */
};

void backoff_reset(struct backoff *b);

/* Returns the delay until the next attempt and doubles the one after. */
int64_t backoff_next_us(struct backoff *b, GRand *rand);

#endif
