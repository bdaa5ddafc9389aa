#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "core/sizes.h"
#include "proxy/failover_plan.h"
}

namespace
{

constexpr uint64_t TERM = 3;

struct failover_candidate primary_candidate(bool stepped_down, uint64_t offset)
{
	struct failover_candidate c = {};

	c.was_primary = true;
	c.stepped_down = stepped_down;
	c.received = { TERM, offset };
	return c;
}

struct failover_candidate replica_candidate(bool paused, uint64_t offset,
					    bool leaving = false,
					    bool local = false)
{
	struct failover_candidate c = {};

	c.paused = paused;
	c.leaving = leaving;
	c.local = local;
	c.received = { TERM, offset };
	return c;
}

struct failover_candidate pending_candidate(bool paused, uint64_t offset)
{
	struct failover_candidate c = replica_candidate(paused, offset);

	c.is_pending_choice = true;
	return c;
}

/* The old primary, a replica now, to which replication is paused. */
struct failover_candidate stepped_down_candidate(uint64_t offset)
{
	struct failover_candidate c = primary_candidate(true, offset);

	c.paused = true;
	return c;
}

struct failover_candidate unlisted_candidate(bool paused, uint64_t offset)
{
	struct failover_candidate c = replica_candidate(paused, offset);

	c.unlisted = true;
	return c;
}

/* `awaited`: its id may still become known. */
struct failover_candidate unknown_candidate(bool paused, uint64_t offset,
					    bool awaited)
{
	struct failover_candidate c = unlisted_candidate(paused, offset);

	c.id_unknown = true;
	c.id_awaited = awaited;
	return c;
}

struct failover_candidate stepped_down_unknown_candidate(uint64_t offset)
{
	struct failover_candidate c = unknown_candidate(true, offset, true);

	c.was_primary = true;
	c.stepped_down = true;
	return c;
}

struct failover_candidate pending_unknown_candidate(uint64_t offset)
{
	struct failover_candidate c = unknown_candidate(true, offset, true);

	c.is_pending_choice = true;
	return c;
}

struct PlanCase {
	const char *name;
	std::vector<struct failover_candidate> candidates;
	bool confirms_writes;
	enum failover_decision verdict;
	uint32_t chosen;
};

const PlanCase plan_cases[] = {
	{ "no other endpoint",
	  { primary_candidate(false, 9) },
	  true,
	  FAILOVER_NO_CANDIDATE,
	  0 },
	{ "no other endpoint, and the old primary stepped down: it leads again",
	  { stepped_down_candidate(9) },
	  true,
	  FAILOVER_CHOSEN,
	  0 },
	{ "all replicas are paused: the longest log is chosen",
	  { primary_candidate(false, 0), replica_candidate(true, 7),
	    replica_candidate(true, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  2 },
	{ "one replica is not paused: its log may be longer",
	  { primary_candidate(false, 0), replica_candidate(true, 7),
	    replica_candidate(false, 8) },
	  true,
	  FAILOVER_WAIT,
	  0 },
	{ "writes are not confirmed: one paused replica is enough",
	  { primary_candidate(false, 0), replica_candidate(true, 7),
	    replica_candidate(false, 8) },
	  false,
	  FAILOVER_CHOSEN,
	  1 },
	{ "the old primary stepped down and one replica covers its log",
	  { primary_candidate(true, 8), replica_candidate(false, 7),
	    replica_candidate(false, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  2 },
	{ "the old primary stepped down, but no replica covers its log yet",
	  { primary_candidate(true, 9), replica_candidate(false, 7),
	    replica_candidate(false, 8) },
	  true,
	  FAILOVER_WAIT,
	  0 },
	{ "the old primary stepped down, none covers it, all are paused",
	  { primary_candidate(true, 9), replica_candidate(true, 7),
	    replica_candidate(true, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  2 },
	{ "the old primary stepped down and has the longest log: it leads again",
	  { stepped_down_candidate(9), replica_candidate(true, 7),
	    replica_candidate(true, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  0 },
	{ "the old primary has stepped down; its log covers a silent replica's",
	  { stepped_down_candidate(9), replica_candidate(false, 0),
	    replica_candidate(true, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  0 },
	{ "a leaving replica has the longest log: it leads for a while",
	  { primary_candidate(false, 0), replica_candidate(true, 9, true),
	    replica_candidate(true, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  1 },
	{ "a leaving replica has the same log as one that stays",
	  { primary_candidate(false, 0), replica_candidate(true, 8, true),
	    replica_candidate(true, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  2 },
	{ "a leaving replica covers a planned change, as does one that stays",
	  { primary_candidate(true, 8), replica_candidate(false, 8, true),
	    replica_candidate(false, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  2 },
	{ "of two equal replicas, the one in the own availability zone",
	  { primary_candidate(false, 0), replica_candidate(true, 8),
	    replica_candidate(true, 8, false, true) },
	  true,
	  FAILOVER_CHOSEN,
	  2 },
	{ "an earlier order names a replica: it had every commit at that time",
	  { pending_candidate(true, 7), replica_candidate(true, 9) },
	  true,
	  FAILOVER_CHOSEN,
	  0 },
	{ "the replica that an earlier order names is not paused",
	  { pending_candidate(false, 7), replica_candidate(true, 9) },
	  true,
	  FAILOVER_WAIT,
	  0 },
	{ "the old primary stepped down beyond the log of the named replica",
	  { primary_candidate(true, 9), pending_candidate(false, 8),
	    replica_candidate(false, 9) },
	  true,
	  FAILOVER_CHOSEN,
	  2 },
	{ "two replicas cover the old primary, one of them is named",
	  { primary_candidate(true, 9),
	    replica_candidate(false, 9, false, true),
	    pending_candidate(false, 9) },
	  true,
	  FAILOVER_CHOSEN,
	  2 },
	{ "an unlisted replica is not paused: its log may be longer",
	  { primary_candidate(false, 0), unlisted_candidate(false, 7),
	    replica_candidate(true, 8) },
	  true,
	  FAILOVER_WAIT,
	  0 },
	{ "an unlisted replica has the longest log: it leads for a while",
	  { primary_candidate(false, 0), unlisted_candidate(true, 9),
	    replica_candidate(true, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  1 },
	{ "an unlisted replica has the same log as a listed one",
	  { primary_candidate(false, 0), unlisted_candidate(true, 8),
	    replica_candidate(true, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  2 },
	{ "the old primary stepped down and an unlisted replica covers its log",
	  { primary_candidate(true, 8), unlisted_candidate(false, 8),
	    replica_candidate(false, 7) },
	  true,
	  FAILOVER_WAIT,
	  0 },
	{ "only unlisted replicas, which could not serve",
	  { primary_candidate(false, 0), unlisted_candidate(true, 8),
	    unlisted_candidate(true, 8) },
	  true,
	  FAILOVER_NO_CANDIDATE,
	  0 },
	{ "the longest log has an unknown id: it is awaited",
	  { primary_candidate(false, 0), unknown_candidate(true, 9, true),
	    replica_candidate(true, 8) },
	  true,
	  FAILOVER_WAIT,
	  0 },
	{ "the longest log has an unknown id, for too long",
	  { primary_candidate(false, 0), unknown_candidate(true, 9, false),
	    replica_candidate(true, 7), replica_candidate(true, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  3 },
	{ "an unknown id has the same log as a replica",
	  { primary_candidate(false, 0), unknown_candidate(true, 8, true),
	    replica_candidate(true, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  2 },
	{ "an unknown id is not paused, for too long: its log may be longer",
	  { primary_candidate(false, 0), unknown_candidate(false, 7, false),
	    replica_candidate(true, 8) },
	  true,
	  FAILOVER_WAIT,
	  0 },
	{ "the old primary stepped down and only an unknown id covers its log",
	  { primary_candidate(true, 8), unknown_candidate(true, 8, true),
	    replica_candidate(true, 7) },
	  true,
	  FAILOVER_WAIT,
	  0 },
	{ "the old primary stepped down and has an unknown id",
	  { stepped_down_unknown_candidate(9), replica_candidate(true, 8) },
	  true,
	  FAILOVER_WAIT,
	  0 },
	{ "the old primary has an unknown id and a replica covers its log",
	  { stepped_down_unknown_candidate(9), replica_candidate(false, 9) },
	  true,
	  FAILOVER_CHOSEN,
	  1 },
	{ "an earlier order names one that ended; its log is not longer",
	  { pending_unknown_candidate(8), replica_candidate(true, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  1 },
	{ "an earlier order names a replica behind an unknown id",
	  { unknown_candidate(true, 9, true), pending_candidate(true, 8) },
	  true,
	  FAILOVER_CHOSEN,
	  1 },
	{ "writes are not confirmed: no id is awaited",
	  { primary_candidate(false, 0), unknown_candidate(true, 9, true),
	    replica_candidate(true, 8) },
	  false,
	  FAILOVER_CHOSEN,
	  2 },
	{ "all known endpoints are unlisted or have an unknown id",
	  { unknown_candidate(true, 9, true), unlisted_candidate(true, 9) },
	  true,
	  FAILOVER_NO_CANDIDATE,
	  0 },
	{ "no primary was known",
	  { replica_candidate(true, 8), replica_candidate(true, 9),
	    replica_candidate(true, 7) },
	  true,
	  FAILOVER_CHOSEN,
	  1 },
};

TEST(FailoverPlan, ChoosesEndpointWithEveryAcknowledgedCommit)
{
	for (const PlanCase &k : plan_cases) {
		uint32_t chosen = 0;

		SCOPED_TRACE(k.name);
		EXPECT_EQ(k.verdict,
			  failover_choose_primary(k.candidates.data(),
						  (uint32_t)k.candidates.size(),
						  k.confirms_writes, &chosen));
		if (k.verdict == FAILOVER_CHOSEN) {
			EXPECT_EQ(k.chosen, chosen);
		}
	}
}

/*
 * Guards against losing an acknowledged commit: for every placement of a
 * commit on the primary and at least one replica, and every combination of
 * endpoints that answered, the chosen endpoint has the commit.
 */
TEST(FailoverPlan, LosesNoAcknowledgedCommit)
{
	int chosen_cases = 0;

	for (unsigned bits = 0; bits < 1u << 14; bits++) {
		struct failover_candidate candidates[3] = {};
		bool acked_on[3] = { true, (bits & 1) != 0, (bits & 2) != 0 };
		uint32_t chosen = NO_INDEX;

		if (!acked_on[1] && !acked_on[2])
			continue;
		candidates[0].was_primary = true;
		candidates[0].stepped_down = bits & 4;
		candidates[0].paused = (bits & 4) && (bits & 2048);
		candidates[0].received = { TERM, 10 };
		for (int i = 1; i < 3; i++) {
			candidates[i].paused = bits & (8u << i);
			candidates[i].leaving = bits & (32u << i);
			candidates[i].id_unknown = bits & (2048u << i);
			candidates[i].id_awaited = candidates[i].id_unknown;
			candidates[i].unlisted = candidates[i].id_unknown ||
						 (bits & (256u << i));
			candidates[i].received = { TERM,
						   acked_on[i] ? 10u : 9u };
		}
		if (failover_choose_primary(candidates, 3, true, &chosen) !=
		    FAILOVER_CHOSEN)
			continue;
		chosen_cases++;
		EXPECT_TRUE(acked_on[chosen]) << bits;
		EXPECT_FALSE(candidates[chosen].id_unknown) << bits;
	}
	EXPECT_GT(chosen_cases, 50);
}

} // namespace
