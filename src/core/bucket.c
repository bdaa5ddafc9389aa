#include "core/bucket.h"

#include <errno.h>
#include <glib.h>

/*
 * Rates are per second and times in microseconds, so rate times elapsed time
 * is in millionths of a milli-token.
 */
static const uint64_t MILLIONTHS = 1000000;

/* Longest time credited at once, so that rate times time fits 64 bits. */
static const int64_t CREDIT_MAX_US = INT64_C(1) << 31;

static uint32_t free_capacity(const struct bucket *b)
{
	return b->capacity_milli - b->level_milli;
}

/*
 * Restores the invariant after the level rose or the capacity fell: marks
 * the refundable tokens that no longer fit as forfeited.
 */
static void forfeit_overflow(struct bucket *b)
{
	uint64_t refundable = b->pending_milli - b->forfeited_milli;

	if (refundable > free_capacity(b))
		b->forfeited_milli += refundable - free_capacity(b);
}

void bucket_advance(struct bucket *b, int64_t now_us)
{
	int64_t elapsed = now_us - b->updated_us;
	uint64_t gain;

	if (elapsed <= 0)
		return;
	b->updated_us = now_us;
	elapsed = MIN(elapsed, CREDIT_MAX_US);
	gain = (uint64_t)elapsed * b->rate_milli_per_s + b->remainder;
	b->remainder = gain % MILLIONTHS;
	gain /= MILLIONTHS;
	if (gain >= free_capacity(b)) {
		gain = free_capacity(b);
		b->remainder = 0;
	}
	b->level_milli += (uint32_t)gain;
	forfeit_overflow(b);
}

void bucket_resize(struct bucket *b, uint32_t rate_milli_per_s,
		   uint32_t capacity_milli)
{
	b->rate_milli_per_s = rate_milli_per_s;
	b->capacity_milli = capacity_milli;
	if (b->level_milli >= capacity_milli) {
		b->level_milli = capacity_milli;
		b->remainder = 0;
	}
	forfeit_overflow(b);
}

void bucket_clear(struct bucket *b, int64_t now_us)
{
	b->level_milli = 0;
	b->forfeited_milli = b->pending_milli;
	b->remainder = 0;
	b->updated_us = now_us;
}

int bucket_take(struct bucket *b, uint32_t cost_milli)
{
	if (b->level_milli < cost_milli)
		return -EAGAIN;
	b->level_milli -= cost_milli;
	b->pending_milli += cost_milli;
	return 0;
}

void bucket_commit(struct bucket *b, uint32_t cost_milli)
{
	b->pending_milli -= MIN(cost_milli, b->pending_milli);
	b->forfeited_milli = MIN(b->forfeited_milli, b->pending_milli);
}

void bucket_refund(struct bucket *b, uint32_t cost_milli)
{
	uint32_t refunded = (uint32_t)MIN(cost_milli, b->pending_milli);
	uint32_t forfeited = (uint32_t)MIN(refunded, b->forfeited_milli);

	b->pending_milli -= refunded;
	b->forfeited_milli -= forfeited;
	bucket_add(b, refunded - forfeited);
}

void bucket_add(struct bucket *b, uint32_t tokens_milli)
{
	b->level_milli += MIN(tokens_milli, free_capacity(b));
	forfeit_overflow(b);
}

int64_t bucket_wait_us(const struct bucket *b, uint32_t cost_milli,
		       uint32_t rate_milli_per_s)
{
	uint64_t need;

	if (b->level_milli >= cost_milli)
		return 0;
	if (cost_milli > b->capacity_milli || !rate_milli_per_s)
		return -1;
	need = (uint64_t)(cost_milli - b->level_milli) * MILLIONTHS -
	       b->remainder;
	return (int64_t)((need + rate_milli_per_s - 1) / rate_milli_per_s);
}
