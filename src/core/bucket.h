/* bucket.h - a token bucket with exact integer arithmetic. */
#ifndef CORE_BUCKET_H
#define CORE_BUCKET_H

#include <stdint.h>

/*
 * level + pending - spent never exceeds the capacity. Tokens that came back
 * on top of a full bucket would exceed the burst. So when the bucket fills
 * up, that many of the pending tokens are spent: the next refunds give
 * nothing back until they made up for it.
 */
struct bucket {
	uint32_t rate_milli_per_s;
	uint32_t capacity_milli;
	uint32_t level_milli; /* tokens there, x 1000 */
	uint64_t pending_milli; /* taken, neither committed nor refunded */
	uint64_t forfeited_milli; /* of pending */
	uint64_t remainder; /* of a milli-token, in 1 / 1,000,000 */
	int64_t updated_us;
};

/* Adds the tokens of the time since the last call. */
void bucket_advance(struct bucket *b, int64_t now_us);

/*
 * Changes rate and capacity from the time of the last advance on. New
 * capacity is empty; tokens above a lower capacity are lost.
 */
void bucket_resize(struct bucket *b, uint32_t rate_milli_per_s,
		   uint32_t capacity_milli);

/* Drops all tokens, pending ones too, and starts again at now_us. */
void bucket_clear(struct bucket *b, int64_t now_us);

/* Takes tokens. Returns 0, or -EAGAIN when there are not enough. */
int bucket_take(struct bucket *b, uint32_t cost_milli);

/* Ends a take for good, or gives back what is not spent. */
void bucket_commit(struct bucket *b, uint32_t cost_milli);
void bucket_refund(struct bucket *b, uint32_t cost_milli);

/* Adds tokens from elsewhere, at most up to the capacity. */
void bucket_add(struct bucket *b, uint32_t tokens_milli);

/*
 * Returns the time from the last advance until the level reaches the cost
 * at `rate_milli_per_s`, or -1 when it never does.
 */
int64_t bucket_wait_us(const struct bucket *b, uint32_t cost_milli,
		       uint32_t rate_milli_per_s);

#endif
