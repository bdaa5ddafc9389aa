#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

extern "C" {
#include "core/bucket.h"
}

namespace
{

bucket make_bucket(uint32_t rate, uint32_t capacity, uint32_t level)
{
	bucket b = {};

	b.rate_milli_per_s = rate;
	b.capacity_milli = capacity;
	b.level_milli = level;
	return b;
}

RC_GTEST_PROP(Bucket, AdvancingInStepsEqualsAdvancingOnce,
	      (std::vector<uint16_t> steps, uint16_t rate))
{
	bucket stepwise = make_bucket(rate, UINT32_MAX, 0);
	bucket at_once = stepwise;
	int64_t t = 0;

	for (uint16_t step_us : steps) {
		t += step_us;
		bucket_advance(&stepwise, t);
	}
	bucket_advance(&at_once, t);
	RC_ASSERT(stepwise.level_milli == at_once.level_milli);
	RC_ASSERT(stepwise.remainder == at_once.remainder);
}

struct WaitCase {
	const char *name;
	bucket b;
	uint32_t cost;
	int64_t wait_us;
};

const WaitCase wait_cases[] = {
	{ "enough tokens", make_bucket(1000, 5000, 1000), 1000, 0 },
	{ "half of the cost missing", make_bucket(1000, 5000, 500), 1000,
	  500000 },
	{ "wait is rounded up", make_bucket(3, 5000, 999), 1000, 333334 },
	{ "cost above the capacity", make_bucket(1000, 500, 500), 1000, -1 },
	{ "no rate", make_bucket(0, 5000, 0), 1000, -1 },
};

TEST(Bucket, WaitEndsWhenTheCostIsAvailable)
{
	for (const WaitCase &c : wait_cases) {
		bucket b = c.b;

		SCOPED_TRACE(c.name);
		EXPECT_EQ(c.wait_us,
			  bucket_wait_us(&b, c.cost, b.rate_milli_per_s));
		if (c.wait_us <= 0)
			continue;
		bucket_advance(&b, c.wait_us - 1);
		EXPECT_NE(0, bucket_take(&b, c.cost));
		bucket_advance(&b, c.wait_us);
		EXPECT_EQ(0, bucket_take(&b, c.cost));
	}
}

TEST(Bucket, RefundDoesNotExceedCapacityAfterRefill)
{
	bucket b = make_bucket(1000, 10000, 10000);

	EXPECT_EQ(0, bucket_take(&b, 10000));
	bucket_advance(&b, 10000000);
	EXPECT_EQ(0, bucket_take(&b, 10000));
	bucket_refund(&b, 10000);
	EXPECT_EQ(0U, b.level_milli);
	bucket_refund(&b, 10000);
	EXPECT_EQ(10000U, b.level_milli);
	bucket_refund(&b, 10000);
	EXPECT_EQ(10000U, b.level_milli);
}

TEST(Bucket, AddedCapacityIsEmptyAndLostTokensAreNotRestored)
{
	bucket b = make_bucket(1000, 10000, 10000);

	bucket_resize(&b, 1000, 4000);
	EXPECT_EQ(4000U, b.level_milli);
	bucket_resize(&b, 1000, 10000);
	EXPECT_EQ(4000U, b.level_milli);
	bucket_add(&b, 20000);
	EXPECT_EQ(10000U, b.level_milli);
}

TEST(Bucket, LongPauseDoesNotOverflow)
{
	bucket b = make_bucket(UINT32_MAX, UINT32_MAX, 0);

	bucket_advance(&b, INT64_MAX);
	EXPECT_EQ(UINT32_MAX, b.level_milli);
	bucket_advance(&b, 0);
	EXPECT_EQ(INT64_MAX, b.updated_us);
}

} // namespace
