#include "etcd/backoff.h"

#define BACKOFF_MIN_US (INT64_C(50) * 1000)
#define BACKOFF_MAX_US (INT64_C(1000) * 1000)

void backoff_reset(struct backoff *b)
{
	b->delay_us = 0;
}

int64_t backoff_next_us(struct backoff *b, GRand *rand)
{
	int64_t delay = b->delay_us ? b->delay_us : BACKOFF_MIN_US;

	b->delay_us = MIN(delay * 2, BACKOFF_MAX_US);
	return (int64_t)((double)delay * g_rand_double_range(rand, 0.5, 1.5));
}
