#include "model.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t MS = US_PER_MS;
constexpr int64_t S = US_PER_S;
constexpr int64_t START_US = 8 * S;
constexpr uint64_t SEEDS = 5;
constexpr int64_t FAR_BEHIND_US = 60 * S;

/* Endpoint A is the first primary. */
enum { A, B, C, D };

struct MembershipCase {
	const char *name;
	int records; /* of the first endpoints, at the start */
	void (*run)(Model &m);
};

/* Lets the endpoints from `first` on receive nothing more. */
void stop_replication(Model &m, int first)
{
	for (int i = first; i <= D; i++)
		m.set_lag(i, FAR_BEHIND_US);
	m.run(50 * MS);
}

/* Writes through node 0, which must confirm it. */
void write_confirmed(Model &m)
{
	int call = m.write(0, 1, true, 1 * S);

	m.run(500 * MS);
	EXPECT_EQ(VERDICT_RAN, m.oracle.calls[call].reply.verdict);
	EXPECT_EQ(ERR_NONE, m.oracle.calls[call].reply.error);
}

/*
 * Repeats a change that node 1 refuses for now, as the client does. Returns
 * false if it stays refused.
 */
bool change_and_wait(Model &m, int endpoint, bool deleted)
{
	for (int i = 0; i < 30; i++) {
		if (m.change_endpoint(1, endpoint, deleted)) {
			m.run(400 * MS);
			return true;
		}
		m.run(50 * MS);
	}
	return false;
}

/* Node 0 hears of no change from now on. */
void cut_platform_and_wait(Model &m)
{
	m.cut_platform(0);
	m.run(100 * MS);
}

void lose_primary(Model &m)
{
	m.freeze_endpoint(A);
	m.run(5 * S);
}

void run_case(const MembershipCase &c, uint64_t seed)
{
	ModelOpts opts;

	opts.seed = seed;
	opts.endpoints = 4;
	opts.records = c.records;
	Model m(opts);
	m.run(START_US);
	c.run(m);
	m.heal_all();
	m.run(START_US);
	m.check_final();
	for (const std::string &v : m.oracle.violations)
		ADD_FAILURE() << "seed " << seed << ": " << v;
}

template <size_t N> void run_cases(const MembershipCase (&cases)[N])
{
	for (const MembershipCase &c : cases) {
		SCOPED_TRACE(c.name);
		for (uint64_t seed = 1; seed <= SEEDS; seed++)
			run_case(c, seed);
	}
}

const MembershipCase single_changes[] = {
	{ "the replica that has the write is deleted", 3,
	  [](Model &m) {
		  stop_replication(m, C);
		  write_confirmed(m);
		  EXPECT_TRUE(change_and_wait(m, B, true));
		  lose_primary(m);
	  } },
	{ "the primary is deleted", 3,
	  [](Model &m) {
		  stop_replication(m, C);
		  write_confirmed(m);
		  EXPECT_TRUE(change_and_wait(m, A, true));
		  m.run(5 * S);
	  } },
	{ "one that is far behind is added", 3,
	  [](Model &m) {
		  stop_replication(m, C);
		  write_confirmed(m);
		  EXPECT_TRUE(change_and_wait(m, D, false));
		  lose_primary(m);
	  } },
	{ "one is replaced by one that has caught up", 3,
	  [](Model &m) {
		  write_confirmed(m);
		  EXPECT_TRUE(change_and_wait(m, B, true));
		  EXPECT_TRUE(change_and_wait(m, D, false));
		  stop_replication(m, D);
		  write_confirmed(m);
		  lose_primary(m);
	  } },
	{ "an instance has not heard of a deletion", 3,
	  [](Model &m) {
		  cut_platform_and_wait(m);
		  EXPECT_TRUE(change_and_wait(m, B, true));
		  stop_replication(m, C);
		  write_confirmed(m);
		  lose_primary(m);
	  } },
	{ "an instance has not heard of an addition", 3,
	  [](Model &m) {
		  cut_platform_and_wait(m);
		  EXPECT_TRUE(change_and_wait(m, D, false));
		  stop_replication(m, C);
		  write_confirmed(m);
		  lose_primary(m);
	  } },
};

TEST(CoreMembership, OneChangeLosesNoConfirmedWrite)
{
	run_cases(single_changes);
}

const MembershipCase successive_changes[] = {
	{ "one is replaced by one that is behind", 3,
	  [](Model &m) {
		  stop_replication(m, C);
		  write_confirmed(m);
		  change_and_wait(m, B, true);
		  change_and_wait(m, D, false);
		  lose_primary(m);
	  } },
	{ "two are deleted", 3,
	  [](Model &m) {
		  stop_replication(m, C);
		  write_confirmed(m);
		  change_and_wait(m, B, true);
		  change_and_wait(m, A, true);
		  m.run(5 * S);
	  } },
	{ "two that are behind are added to a group of one", 1,
	  [](Model &m) {
		  stop_replication(m, B);
		  write_confirmed(m);
		  change_and_wait(m, B, false);
		  change_and_wait(m, C, false);
		  lose_primary(m);
	  } },
	{ "an instance has not heard of the changes", 3,
	  [](Model &m) {
		  cut_platform_and_wait(m);
		  change_and_wait(m, B, true);
		  change_and_wait(m, D, false);
		  stop_replication(m, C);
		  write_confirmed(m);
		  lose_primary(m);
	  } },
};

/*
 * Guards against two sets of endpoints whose majorities do not intersect. The
 * second change waits until the first is settled.
 */
TEST(CoreMembership, SuccessiveChangesLoseNoConfirmedWrite)
{
	run_cases(successive_changes);
}

/*
 * Nodes 1 and 2 promote C, which is then cut off, while node 0 still reaches A.
 * B has raised the term, and forgets it.
 */
void forget_raised_term(Model &m)
{
	m.set_lag(B, FAR_BEHIND_US);
	m.run(50 * MS);
	write_confirmed(m);
	m.set_lag(C, FAR_BEHIND_US);
	m.run(50 * MS);
	m.cut_platform(0);
	m.cut_link(1, 0);
	m.cut_link(2, 0);
	m.on_fail_point(
		[](const FailPoint &at) {
			return at.kind == FAIL_POINT_EXECUTED &&
			       at.detail == PLAN_PROMOTE;
		},
		[&m](const FailPoint &at) { m.cut_zone(2); });
	m.run(1200 * MS);
	EXPECT_EQ(2u, m.endpoint(B).current_term);
	EXPECT_EQ(1u, m.endpoint(A).current_term);
	m.forget_term(B);
	m.set_lag(B, 5 * MS);
	m.write(0, 2, true, 1 * S);
	m.run(1 * S);
}

const MembershipCase lost_logs[] = {
	{ "a replica starts again with an empty log", 3,
	  [](Model &m) {
		  stop_replication(m, C);
		  write_confirmed(m);
		  m.set_lag(B, FAR_BEHIND_US);
		  m.run(50 * MS);
		  m.erase_log(B);
		  m.run(200 * MS);
		  lose_primary(m);
	  } },
	{ "the primary starts again with an empty log", 3,
	  [](Model &m) {
		  stop_replication(m, C);
		  write_confirmed(m);
		  m.freeze_endpoint(B);
		  m.run(50 * MS);
		  m.erase_log(A);
		  m.run(5 * S);
	  } },
	{ "a replica starts again without the raised term", 3,
	  forget_raised_term },
};

/* Guards against counting an endpoint that has lost what it confirmed. */
TEST(CoreMembership, EndpointWithoutItsLogIsNotCounted)
{
	run_cases(lost_logs);
}

/*
 * Guards against the same when two operators change the set through two
 * instances before either has heard of the other's change.
 */
TEST(CoreMembership, ConcurrentChangesLoseNoConfirmedWrite)
{
	const MembershipCase c = {
		"one is deleted and one that is behind is added", 3,
		[](Model &m) {
			stop_replication(m, C);
			write_confirmed(m);
			m.change_endpoint(1, B, true);
			m.change_endpoint(2, D, false);
			m.run(400 * MS);
			lose_primary(m);
		}
	};

	run_case(c, 1);
}

} // namespace
