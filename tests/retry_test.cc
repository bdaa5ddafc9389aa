#include <gtest/gtest.h>

extern "C" {
#include "core/conn.h"
#include "core/retry.h"
}

namespace
{

TEST(Retry, RepeatsAreAPartOfFirstSends)
{
	struct retry_budget b;
	uint32_t start = 0;
	uint32_t repeats = 0;
	const uint32_t sends = 1000;

	retry_init(&b);
	while (start < sends && retry_spend(&b))
		start++;
	for (uint32_t i = 0; i < sends; i++) {
		retry_earn(&b);
		repeats += retry_spend(&b);
	}
	EXPECT_LE(start, 20u);
	EXPECT_LE(repeats, sends / 10);
	EXPECT_GT(repeats, 0u);
}

TEST(ConnTable, AnEarlierConnectionOfTheRowIsNotFound)
{
	struct conn_table t;

	conn_table_init(&t, 1);
	uint32_t row = conn_add(&t, 0, CONN_FOR_WORK, 0);
	uint32_t earlier = conn_id(&t, row);
	EXPECT_EQ(row, conn_find(&t, earlier));
	conn_drop(&t, row);
	EXPECT_EQ(NO_INDEX, conn_find(&t, earlier));
	conn_add(&t, 0, CONN_FOR_WORK, 0);
	EXPECT_EQ(NO_INDEX, conn_find(&t, earlier));
	conn_table_clear(&t);
}

} // namespace
