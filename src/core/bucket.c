#include "core/bucket.h"

#include <errno.h>
#include <glib.h>

/* Parts of a milli-token: rates are per second and times in microseconds. */
static const uint64_t PARTS = 1000000;

/* Longest time credited at once, so that the product fits 64 bits. */
static const int64_t ADVANCE_MAX_US = INT64_C(1) << 31;

static uint32_t room(const struct bucket *b)
{
	return b->capacity_milli - b->level_milli;
}

/* Restores the invariant after the level rose or the capacity fell. */
static void spend_pending(struct bucket *b)
{
	uint64_t open = b->pending_milli - b->spent_milli;

	if (open > room(b))
		b->spent_milli += open - room(b);
}

void bucket_advance(struct bucket *b, int64_t now_us)
{
	int64_t elapsed = now_us - b->updated_us;
	uint64_t gain;

	if (elapsed <= 0)
		return;
	b->updated_us = now_us;
	elapsed = MIN(elapsed, ADVANCE_MAX_US);
	gain = (uint64_t)elapsed * b->rate_milli_per_s + b->remainder;
	b->remainder = gain % PARTS;
	gain /= PARTS;
	if (gain >= room(b)) {
		gain = room(b);
		b->remainder = 0;
	}
	b->level_milli += (uint32_t)gain;
	spend_pending(b);
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
	spend_pending(b);
}

void bucket_clear(struct bucket *b, int64_t now_us)
{
	b->level_milli = 0;
	b->spent_milli = b->pending_milli;
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
	b->spent_milli = MIN(b->spent_milli, b->pending_milli);
}

void bucket_refund(struct bucket *b, uint32_t cost_milli)
{
	uint32_t back = (uint32_t)MIN(cost_milli, b->pending_milli);
	uint32_t spent = (uint32_t)MIN(back, b->spent_milli);

	b->pending_milli -= back;
	b->spent_milli -= spent;
	bucket_add(b, back - spent);
}

void bucket_add(struct bucket *b, uint32_t tokens_milli)
{
	b->level_milli += MIN(tokens_milli, room(b));
	spend_pending(b);
}

int64_t bucket_wait_us(const struct bucket *b, uint32_t cost_milli,
		       uint32_t rate_milli_per_s)
{
	uint64_t need;

	if (b->level_milli >= cost_milli)
		return 0;
	if (cost_milli > b->capacity_milli || !rate_milli_per_s)
		return -1;
	need = (uint64_t)(cost_milli - b->level_milli) * PARTS - b->remainder;
	return (int64_t)((need + rate_milli_per_s - 1) / rate_milli_per_s);
}
