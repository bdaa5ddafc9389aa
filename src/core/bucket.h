/*
 * bucket.h - a token bucket with exact integer arithmetic.
 *
 * Amounts are in thousandths of a token (`_milli`). One token pays for one
 * request of cost 1.
 */
#ifndef CORE_BUCKET_H
#define CORE_BUCKET_H

#include <stdint.h>

/*
 * Invariant: level + pending - forfeited never exceeds the capacity. Tokens
 * that are refunded into a bucket that has filled up in the meantime would
 * exceed the burst. Therefore, when the level rises, the pending tokens that
 * no longer fit are marked as forfeited, and later refunds return nothing
 * until the forfeited tokens are used up.
 */
struct bucket {
	uint32_t rate_milli_per_s;
	uint32_t capacity_milli;
	uint32_t level_milli; /* tokens available now, x 1000 */
	uint64_t pending_milli; /* taken, not yet committed or refunded */
	uint64_t forfeited_milli; /* part of pending that is not refundable */
	uint64_t remainder; /* millionths of a milli-token, < 1,000,000 */
	int64_t updated_us;
};

/*
 * Adds the tokens for the time since the last advance, up to the capacity.
 * Does nothing when now_us is not later than that.
 */
void bucket_advance(struct bucket *b, int64_t now_us);

/*
 * Changes rate and capacity, effective from the last advance. Added capacity
 * starts empty; tokens above a reduced capacity are lost.
 */
void bucket_resize(struct bucket *b, uint32_t rate_milli_per_s,
		   uint32_t capacity_milli);

/*
 * Drops all tokens and starts again at now_us. Pending tokens become
 * non-refundable.
 */
void bucket_clear(struct bucket *b, int64_t now_us);

/* Takes tokens. Returns 0, or -EAGAIN when the level is too low. */
int bucket_take(struct bucket *b, uint32_t cost_milli);

/*
 * Each bucket_take() ends with one of the two: commit makes it final, refund
 * returns the tokens that are not forfeited.
 */
void bucket_commit(struct bucket *b, uint32_t cost_milli);
void bucket_refund(struct bucket *b, uint32_t cost_milli);

/* Adds tokens from another source, such as a loan, up to the capacity. */
void bucket_add(struct bucket *b, uint32_t tokens_milli);

/*
 * Returns the time in microseconds from the last advance until the level
 * reaches the cost at `rate_milli_per_s`, or -1 when it never does.
 */
int64_t bucket_wait_us(const struct bucket *b, uint32_t cost_milli,
		       uint32_t rate_milli_per_s);

#endif
