#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "core/sizes.h"
#include "proxy/failover_plan.h"
}

namespace
{

constexpr uint64_t TERM = 3;

struct takeover_copy primary_copy(bool stepped_down, uint64_t offset)
{
	struct takeover_copy c = {};

	c.was_primary = true;
	c.stepped_down = stepped_down;
	c.received = { TERM, offset };
	return c;
}

struct takeover_copy replica_copy(bool held, uint64_t offset,
				  bool leaving = false, bool local = false)
{
	struct takeover_copy c = {};

	c.held = held;
	c.leaving = leaving;
	c.local = local;
	c.received = { TERM, offset };
	return c;
}

struct takeover_copy named_copy(bool held, uint64_t offset)
{
	struct takeover_copy c = replica_copy(held, offset);

	c.named = true;
	return c;
}

struct PlanCase {
	const char *name;
	std::vector<struct takeover_copy> copies;
	bool confirms_writes;
	enum takeover_verdict verdict;
	uint32_t chosen;
};

const PlanCase plan_cases[] = {
	{ "no other copy",
	  { primary_copy(false, 9) },
	  true,
	  TAKEOVER_IMPOSSIBLE,
	  0 },
	{ "the longest of all that stopped",
	  { primary_copy(false, 0), replica_copy(true, 7),
	    replica_copy(true, 8) },
	  true,
	  TAKEOVER_CHOSEN,
	  2 },
	{ "one has not stopped: it may have more",
	  { primary_copy(false, 0), replica_copy(true, 7),
	    replica_copy(false, 8) },
	  true,
	  TAKEOVER_WAIT,
	  0 },
	{ "nothing was promised: any answer will do",
	  { primary_copy(false, 0), replica_copy(true, 7),
	    replica_copy(false, 8) },
	  false,
	  TAKEOVER_CHOSEN,
	  1 },
	{ "the old primary stepped down and one copy has it all",
	  { primary_copy(true, 8), replica_copy(false, 7),
	    replica_copy(false, 8) },
	  true,
	  TAKEOVER_CHOSEN,
	  2 },
	{ "it stepped down, but nobody has it all yet",
	  { primary_copy(true, 9), replica_copy(false, 7),
	    replica_copy(false, 8) },
	  true,
	  TAKEOVER_WAIT,
	  0 },
	{ "it stepped down, nobody gets it all, and all have stopped",
	  { primary_copy(true, 9), replica_copy(true, 7),
	    replica_copy(true, 8) },
	  true,
	  TAKEOVER_CHOSEN,
	  2 },
	{ "a leaving copy has more: it leads for a while",
	  { primary_copy(false, 0), replica_copy(true, 9, true),
	    replica_copy(true, 8) },
	  true,
	  TAKEOVER_CHOSEN,
	  1 },
	{ "a leaving copy has as much as one that stays",
	  { primary_copy(false, 0), replica_copy(true, 8, true),
	    replica_copy(true, 8) },
	  true,
	  TAKEOVER_CHOSEN,
	  2 },
	{ "a leaving copy covers a planned change, another stays",
	  { primary_copy(true, 8), replica_copy(false, 8, true),
	    replica_copy(false, 8) },
	  true,
	  TAKEOVER_CHOSEN,
	  2 },
	{ "of two equal ones, that of the own availability zone",
	  { primary_copy(false, 0), replica_copy(true, 8),
	    replica_copy(true, 8, false, true) },
	  true,
	  TAKEOVER_CHOSEN,
	  2 },
	{ "an earlier order names one: it had everything when it was named",
	  { named_copy(true, 7), replica_copy(true, 9) },
	  true,
	  TAKEOVER_CHOSEN,
	  0 },
	{ "the one that an earlier order names has not stopped",
	  { named_copy(false, 7), replica_copy(true, 9) },
	  true,
	  TAKEOVER_WAIT,
	  0 },
	{ "the primary stepped down past the one that is named",
	  { primary_copy(true, 9), named_copy(false, 8),
	    replica_copy(false, 9) },
	  true,
	  TAKEOVER_CHOSEN,
	  2 },
	{ "two cover the primary, one of them is named",
	  { primary_copy(true, 9), replica_copy(false, 9, false, true),
	    named_copy(false, 9) },
	  true,
	  TAKEOVER_CHOSEN,
	  2 },
	{ "no primary was known",
	  { replica_copy(true, 8), replica_copy(true, 9),
	    replica_copy(true, 7) },
	  true,
	  TAKEOVER_CHOSEN,
	  1 },
};

TEST(TakeoverPlan, ChoosesWhatHasEveryAcknowledgedCommit)
{
	for (const PlanCase &k : plan_cases) {
		uint32_t chosen = 0;

		SCOPED_TRACE(k.name);
		EXPECT_EQ(k.verdict,
			  takeover_choose(k.copies.data(),
					  (uint32_t)k.copies.size(),
					  k.confirms_writes, &chosen));
		if (k.verdict == TAKEOVER_CHOSEN) {
			EXPECT_EQ(k.chosen, chosen);
		}
	}
}

/*
 * Every way in which a commit can be on the primary and one replica, and
 * every set of copies that answer: what is chosen has the commit.
 */
TEST(TakeoverPlan, LosesNoAcknowledgedCommit)
{
	int chosen_cases = 0;

	for (unsigned bits = 0; bits < 1u << 9; bits++) {
		struct takeover_copy copies[3] = {};
		bool acked_on[3] = { true, (bits & 1) != 0, (bits & 2) != 0 };
		uint32_t chosen = NO_INDEX;

		if (!acked_on[1] && !acked_on[2])
			continue;
		copies[0].was_primary = true;
		copies[0].stepped_down = bits & 4;
		copies[0].received = { TERM, 10 };
		for (int i = 1; i < 3; i++) {
			copies[i].held = bits & (8u << i);
			copies[i].leaving = bits & (32u << i);
			copies[i].received = { TERM, acked_on[i] ? 10u : 9u };
		}
		if (takeover_choose(copies, 3, true, &chosen) !=
		    TAKEOVER_CHOSEN)
			continue;
		chosen_cases++;
		EXPECT_TRUE(acked_on[chosen]) << bits;
	}
	EXPECT_GT(chosen_cases, 50);
}

} // namespace
