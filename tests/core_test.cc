#include "model.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t MS = US_PER_MS;
constexpr int64_t S = US_PER_S;
/* After this time, newly started instances use their parts of the limits. */
constexpr int64_t START_US = 8 * S;

void expect_no_violations(Model &m)
{
	m.check_final();
	for (const std::string &v : m.oracle.violations)
		ADD_FAILURE() << v;
}

TEST(Core, ServesWithoutFaults)
{
	Model m({});

	m.run(START_US);
	m.run_load(5 * S);
	m.run(3 * S);
	expect_no_violations(m);
	EXPECT_EQ(0u, m.promotions());
	EXPECT_EQ(0, m.oracle.may_have_run);
	for (const Call &c : m.oracle.calls) {
		if (c.key == KEY_MILL) {
			EXPECT_EQ(VERDICT_RAN, c.reply.verdict);
		}
	}
	EXPECT_GT(m.oracle.replica_reads, 0);
}

/*
 * Node 1 learns endpoints' positions only from its probes, whose interval is
 * longer than the time between write and read here.
 */
TEST(Core, ReadsOwnWritesFromReplicasAfterTheLag)
{
	enum { ROUNDS = 200 };
	Model m({});
	int before;

	m.run(START_US);
	before = m.oracle.replica_reads;
	for (int i = 0; i < ROUNDS; i++) {
		m.write(0, 0, true, 2 * S);
		m.run(40 * MS);
		m.read(1, 0, 1 * S, 2 * S);
		m.run(10 * MS);
	}
	m.run(START_US);
	expect_no_violations(m);
	EXPECT_EQ(0, m.oracle.not_run);
	EXPECT_GE(m.oracle.replica_reads - before, ROUNDS * 95 / 100);
}

/*
 * A write was executed but its answer was lost, and the retry is refused by
 * an endpoint that is no longer the primary. The refusal must not be taken as
 * proof that the first attempt did not run.
 */
TEST(Core, RefusedRetryDoesNotUndoFirstAttempt)
{
	Model m({});
	int order;

	m.run(START_US);
	m.on_fail_point(
		[](const FailPoint &x) {
			return x.kind == FAIL_POINT_EXECUTED &&
			       x.detail == PLAN_WRITE_BY_ID;
		},
		[&m](const FailPoint &x) {
			m.set_platform_outage(true);
			m.reset_connections(x.endpoint);
			/* By then the log has been replicated. */
			m.run_later(10 * MS,
				    [&m, x] { m.demote_endpoint(x.endpoint); });
		});
	order = m.write(0, 0, true, 600 * MS);
	m.run(2 * S);
	EXPECT_EQ(VERDICT_MAY_HAVE_RUN, m.oracle.calls[order].reply.verdict);
	m.heal_all();
	m.run(START_US);
	expect_no_violations(m);
}

struct PrimaryFault {
	const char *name;
	void (*apply)(Model &m);
};

const PrimaryFault primary_faults[] = {
	{ "refuses connections", [](Model &m) { m.refuse_connections(0); } },
	{ "goes silent", [](Model &m) { m.freeze_endpoint(0); } },
	{ "zone cut off", [](Model &m) { m.cut_zone(0); } },
	{ "is leaving", [](Model &m) { m.set_leaving(0, true); } },
};

TEST(Core, ReplacesPrimary)
{
	for (const PrimaryFault &f : primary_faults) {
		SCOPED_TRACE(f.name);
		Model m({});

		m.run(START_US);
		m.run_load(1 * S);
		f.apply(m);
		m.run_load(6 * S);
		EXPECT_NE(0, m.primary());
		m.heal_all();
		m.run(8 * S);
		expect_no_violations(m);
		EXPECT_GE(m.promotions(), 1u);
	}
}

TEST(Core, KeepsPrimaryThatMostInstancesReach)
{
	ModelOpts opts;

	opts.nodes = 5;
	Model m(opts);
	m.run(3 * S);
	m.duplicate_peer_messages(100);
	m.cut_link(1, 0); /* two of the five instances are in zone 1 */
	m.run_load(5 * S);
	EXPECT_EQ(0u, m.promotions());
	EXPECT_EQ(0, m.primary());
}

/* Expects that all calls of sessions with KEY_MILL from index `first` on ran. */
void expect_ran(const Model &m, size_t first)
{
	for (size_t i = first; i < m.oracle.calls.size(); i++) {
		const Call &c = m.oracle.calls[i];

		if (c.key == KEY_MILL && c.session >= 0) {
			EXPECT_EQ(VERDICT_RAN, c.reply.verdict)
				<< "call " << c.caller_id;
		}
	}
}

void silence_all(Model &m)
{
	for (int i = 0; i < 3; i++)
		m.silence_connections(i);
}

TEST(Core, RetiresSilentConnectionsUnderLoad)
{
	Model m({});

	m.run(3 * S);
	m.run_load(1 * S);
	silence_all(m);
	m.run_load(3 * S);
	size_t first = m.oracle.calls.size();
	m.run_load(2 * S);
	m.run(2 * S);
	expect_ran(m, first);
	expect_no_violations(m);
}

TEST(Core, RetiresSilentConnectionsThatAreIdle)
{
	Model m({});

	m.run(3 * S);
	m.run_load(1 * S);
	m.run(2 * S);
	silence_all(m);
	m.run(4 * S);
	size_t first = m.oracle.calls.size();
	for (int i = 0; i < 3; i++)
		m.write(i, i, false, 1 * S);
	m.run(2 * S);
	expect_ran(m, first);
	expect_no_violations(m);
}

TEST(Core, WithdrawalEndsWaitingRequests)
{
	Model m({});

	m.run(7 * S);
	m.freeze_endpoint(0);
	m.freeze_endpoint(1);
	m.run(1 * S);
	m.write(2, 1, true, 8 * S);
	m.run(100 * MS);
	EXPECT_TRUE(m.withdraw_key(0));
	m.run(4500 * MS);
	m.heal_all();
	m.run(8 * S);
	expect_no_violations(m);
}

TEST(Core, WithdrawalEndsIdleTransactions)
{
	Model m({});

	m.run(7 * S);
	m.begin(1, 1, 1 * S);
	m.run(500 * MS);
	EXPECT_TRUE(m.withdraw_key(0));
	m.run(5 * S);
	expect_no_violations(m);
}

/*
 * The only replica with the latest log stops responding before it answers
 * the request to raise the term. A promotion without it would lose confirmed writes.
 */
TEST(Core, PromotionWaitsForAMajority)
{
	Model m({});

	m.run(3 * S);
	m.set_lag(1, 20 * S);
	m.run_load(1 * S);
	m.on_fail_point(
		[](const FailPoint &at) {
			return at.kind == FAIL_POINT_SENT &&
			       at.detail == PLAN_RAISE_TERM;
		},
		[&](const FailPoint &at) { m.freeze_endpoint(2); });
	m.freeze_endpoint(0);
	m.run_load(4 * S);
	m.heal_all();
	m.run(8 * S);
	expect_no_violations(m);
}

/*
 * The logs of the later term become longer than that of the replaced primary,
 * so its writes must not be taken as confirmed by their offset alone.
 */
TEST(Core, ReplacedPrimaryConfirmsNoWrites)
{
	Model m({});

	m.run(3 * S);
	m.cut_zone(0);
	for (int i = 0; i < 3; i++)
		m.write(0, i, true, 8 * S);
	m.run_load(3 * S);
	m.heal_zone(0);
	m.run(10 * S);
	expect_no_violations(m);
	EXPECT_GE(m.promotions(), 1u);
}

/*
 * Guards against exceeding a limit after a pause. An instance is paused past
 * its lease. When it resumes, other instances have taken its part of the
 * limits, which it does not know yet.
 */
TEST(Core, PausedInstanceDoesNotUseReallocatedShare)
{
	ModelOpts opts;

	opts.lease_ttl_us = 2 * S;
	for (int64_t paused_us = 1 * S; paused_us <= 12 * S;
	     paused_us += 500 * MS) {
		Model m(opts);

		m.run(8 * S);
		m.pause(1);
		m.run(paused_us);
		for (int i = 0; i < 3; i++)
			m.flood(i, 40);
		m.run(1 * MS);
		m.resume(1);
		for (int i = 0; i < 20; i++) {
			m.flood(i % 3, 10);
			m.run(20 * MS);
		}
		m.run(3 * S);
		expect_no_violations(m);
	}
}

/*
 * Guards against applying an older configuration after a newer one: the
 * platform's answers arrive in another order than they were sent.
 */
TEST(Core, ConfigurationNeverReverts)
{
	Model m({});

	m.run(8 * S);
	m.delay_platform(900 * MS);
	for (int i = 0; i < 6; i++) {
		m.change_marker();
		m.run(150 * MS);
	}
	m.run(4 * S);
	expect_no_violations(m);
	EXPECT_EQ(6, m.marker());
}

} // namespace
