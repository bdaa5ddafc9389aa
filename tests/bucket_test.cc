#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

extern "C" {
#include "core/bucket.h"
}

namespace
{

bucket make(uint32_t rate, uint32_t capacity, uint32_t level)
{
	bucket b = {};

	b.rate_milli_per_s = rate;
	b.capacity_milli = capacity;
	b.level_milli = level;
	return b;
}

RC_GTEST_PROP(Bucket, AdvancesInStepsGiveTheSameAsOne,
	      (std::vector<uint16_t> steps, uint16_t rate))
{
	bucket parts = make(rate, UINT32_MAX, 0);
	bucket whole = parts;
	int64_t t = 0;

	for (uint16_t s : steps) {
		t += s;
		bucket_advance(&parts, t);
	}
	bucket_advance(&whole, t);
	RC_ASSERT(parts.level_milli == whole.level_milli);
	RC_ASSERT(parts.remainder == whole.remainder);
}

struct WaitCase {
	const char *name;
	bucket b;
	uint32_t cost;
	int64_t wait_us;
};

const WaitCase wait_cases[] = {
	{ "enough is there", make(1000, 5000, 1000), 1000, 0 },
	{ "half is missing", make(1000, 5000, 500), 1000, 500000 },
	{ "rounded up", make(3, 5000, 999), 1000, 333334 },
	{ "above the capacity", make(1000, 500, 500), 1000, -1 },
	{ "no rate", make(0, 5000, 0), 1000, -1 },
};

TEST(Bucket, WaitIsTheFirstTimeTheCostIsThere)
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

TEST(Bucket, ARefundDoesNotComeOnTopOfTokensThatCameSince)
{
	bucket b = make(1000, 10000, 10000);

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

TEST(Bucket, NewCapacityIsEmptyAndLostTokensStayLost)
{
	bucket b = make(1000, 10000, 10000);

	bucket_resize(&b, 1000, 4000);
	EXPECT_EQ(4000U, b.level_milli);
	bucket_resize(&b, 1000, 10000);
	EXPECT_EQ(4000U, b.level_milli);
	bucket_add(&b, 20000);
	EXPECT_EQ(10000U, b.level_milli);
}

TEST(Bucket, LongPausesDoNotOverflow)
{
	bucket b = make(UINT32_MAX, UINT32_MAX, 0);

	bucket_advance(&b, INT64_MAX);
	EXPECT_EQ(UINT32_MAX, b.level_milli);
	bucket_advance(&b, 0);
	EXPECT_EQ(INT64_MAX, b.updated_us);
}

} // namespace
