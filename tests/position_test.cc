#include <gtest/gtest.h>

extern "C" {
#include "core/position.h"
}

namespace
{

struct PositionCase {
	const char *name;
	struct position a;
	struct position b;
	int order;
};

const PositionCase cases[] = {
	{ "equal", { 2, 5 }, { 2, 5 }, 0 },
	{ "offset decides within a term", { 2, 5 }, { 2, 6 }, -1 },
	{ "a later term is later at a smaller offset", { 3, 1 }, { 2, 9 }, 1 },
	{ "zero is before all", { 0, 0 }, { 1, 0 }, -1 },
};

TEST(Position, Order)
{
	for (const PositionCase &c : cases) {
		SCOPED_TRACE(c.name);
		EXPECT_EQ(c.order, position_cmp(c.a, c.b));
		EXPECT_EQ(-c.order, position_cmp(c.b, c.a));
		EXPECT_EQ(c.order >= 0, position_covers(c.a, c.b));
	}
}

} // namespace
