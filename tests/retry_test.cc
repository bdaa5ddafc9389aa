#include <gtest/gtest.h>

extern "C" {
#include "core/conn.h"
#include "core/retry.h"
}

namespace
{

TEST(Retry, RetriesAreLimitedToAFractionOfFirstSends)
{
	struct retry_budget b;
	uint32_t initial = 0;
	uint32_t retries = 0;
	const uint32_t sends = 1000;

	retry_budget_init(&b);
	while (initial < sends && retry_budget_take(&b))
		initial++;
	for (uint32_t i = 0; i < sends; i++) {
		retry_budget_add(&b);
		retries += retry_budget_take(&b);
	}
	EXPECT_LE(initial, 20u);
	EXPECT_LE(retries, sends / 10);
	EXPECT_GT(retries, 0u);
}

TEST(ConnTable, IdOfAnEarlierConnectionIsNotFound)
{
	struct conn_table t;

	conn_table_init(&t, 1);
	uint32_t row = conn_add(&t, 0, CONN_FOR_WORK, 0);
	uint32_t earlier_id = conn_id(&t, row);
	EXPECT_EQ(row, conn_find(&t, earlier_id));
	conn_remove(&t, row);
	EXPECT_EQ(NO_INDEX, conn_find(&t, earlier_id));
	conn_add(&t, 0, CONN_FOR_WORK, 0);
	EXPECT_EQ(NO_INDEX, conn_find(&t, earlier_id));
	conn_table_clear(&t);
}

} // namespace
