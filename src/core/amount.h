/* amount.h - rate and burst of a workspace's limit or of a share of it. */
#ifndef CORE_AMOUNT_H
#define CORE_AMOUNT_H

#include <stdbool.h>
#include <stdint.h>

struct amount {
	uint32_t rate_milli_per_s; /* tokens per second, x 1000 */
	uint32_t burst_milli; /* tokens, x 1000 */
};

/*
 * All operations work on each field separately. Sums saturate at UINT32_MAX
 * and differences at 0.
 */
struct amount amount_add(struct amount a, struct amount b);
struct amount amount_subtract(struct amount a, struct amount b);
struct amount amount_max(struct amount a, struct amount b);
struct amount amount_min(struct amount a, struct amount b);

/* Returns `ppm` millionths of `whole`, rounded down. */
struct amount amount_scale_ppm(struct amount whole, uint32_t ppm);

/* Returns true when neither field of b exceeds the same field of a. */
bool amount_covers(struct amount a, struct amount b);
/* Returns true when both fields are 0. */
bool amount_is_zero(struct amount a);

#endif
