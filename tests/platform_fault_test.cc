#include "platform_harness.h"

#include <memory>

namespace
{

const char MEMBER_KEY[] = "/zinnialine/member/i1";

/* A fault of the service during which the configuration is changed. */
struct FaultCase {
	const char *name;
	std::vector<const char *> start_commands; /* sent before the changes */
	std::vector<const char *> end_commands; /* sent after the changes */
	bool keys_unchanged = false; /* values change, no key is deleted */
};

const FaultCase fault_cases[] = {
	{ "no fault", {}, {} },
	{ "outage without answers", { "outage on" }, { "outage off" } },
	{ "outage that refuses", { "outage refuse" }, { "outage off" } },
	{ "outage, history compacted",
	  { "outage on" },
	  { "compact", "outage off" } },
	{ "frozen", { "freeze" }, { "resume" } },
	{ "slow", { "slow 150" }, { "slow 0" } },
	{ "slower than the timeout", { "slow 600" }, { "slow 0" } },
	{ "silent watches", { "silent" }, {} },
	{ "silent watches, number of keys unchanged", { "silent" }, {}, true },
	{ "silent watches, history compacted", { "silent" }, { "compact" } },
	{ "silent watches in an outage",
	  { "silent", "outage on" },
	  { "outage off" } },
};

/* One case with its own service; all cases run concurrently. */
struct FaultRun {
	const FaultCase *test;
	PlatformProcess p;
	Client c;
	int64_t ended_us = 0;

	explicit FaultRun(const FaultCase *t) : test(t), c({ p.address() })
	{
	}

	void send_commands(const std::vector<const char *> &commands)
	{
		for (const char *command : commands)
			p.send_command(command);
	}

	void apply_changes()
	{
		p.send_command(put_command(WORKSPACE_A_KEY, WORKSPACE_RATE_2));
		if (test->keys_unchanged)
			return;
		p.send_command("delete /zinnialine/workspace/gone");
		p.send_command("instance e1 gone");
	}

	bool synced_after(int64_t time_us) const
	{
		return c.synced.requested_us > time_us;
	}
};

std::function<bool(const FaultRun &)> is_past(int64_t time_us)
{
	return [time_us](const FaultRun &) { return loop_now_us() > time_us; };
}

using FaultRuns = std::vector<std::unique_ptr<FaultRun>>;

bool wait_until_all(const FaultRuns &runs,
		    const std::function<bool(const FaultRun &)> &condition)
{
	int64_t end_us = loop_now_us() + WAIT_MAX_US;
	bool all = false;

	while (!all && loop_now_us() < end_us) {
		all = true;
		for (const auto &r : runs) {
			r->c.run_for(US_PER_MS);
			all = all && condition(*r);
		}
	}
	return all;
}

/*
 * Changes that are made during a fault of the service must be delivered after
 * it, in revision order, even if the watch reported nothing or the service has
 * compacted its history.
 */
TEST(PlatformFault, ConfigurationArrivesAfterEveryFault)
{
	FaultRuns runs;

	for (const FaultCase &t : fault_cases) {
		runs.push_back(std::make_unique<FaultRun>(&t));
		runs.back()->p.send_command(
			put_command(WORKSPACE_A_KEY, WORKSPACE_RATE_1));
		runs.back()->p.send_command(
			put_command("/zinnialine/workspace/gone",
				    WORKSPACE_RATE_1));
		runs.back()->p.send_command("instance e1 live");
	}
	int64_t start_us = loop_now_us();
	ASSERT_TRUE(wait_until_all(runs, [&](const FaultRun &r) {
		return r.synced_after(start_us) &&
		       r.c.has_record("instance/e1");
	}));
	for (const auto &r : runs)
		r->send_commands(r->test->start_commands);
	wait_until_all(runs, is_past(loop_now_us() + 700 * US_PER_MS));
	for (const auto &r : runs)
		r->apply_changes();
	wait_until_all(runs, is_past(loop_now_us() + 700 * US_PER_MS));
	for (const auto &r : runs) {
		r->send_commands(r->test->end_commands);
		r->ended_us = loop_now_us();
	}
	wait_until_all(runs, [](const FaultRun &r) {
		return r.synced_after(r.ended_us);
	});
	for (const auto &r : runs) {
		SCOPED_TRACE(r->test->name);
		EXPECT_TRUE(r->synced_after(r->ended_us));
		EXPECT_EQ(2u, r->c.get_rate("workspace/a"));
		EXPECT_EQ(r->test->keys_unchanged,
			  r->c.has_record("workspace/gone"));
		EXPECT_EQ(r->test->keys_unchanged,
			  r->c.has_record("instance/e1"));
		EXPECT_EQ(std::stoll(r->p.send_command("revision")),
			  r->c.synced.revision);
		EXPECT_FALSE(r->c.revision_decreased);
		EXPECT_TRUE(r->c.reachable);
	}
}

TEST(PlatformFault, OutageIsReportedAndStopsSyncs)
{
	PlatformProcess p;
	Client c({ p.address() });

	ASSERT_TRUE(c.wait_until_synced());
	p.send_command("outage on");
	EXPECT_TRUE(c.wait_until([&] { return !c.reachable; }));
	int sync_count = c.sync_count;
	c.run_for(3 * US_PER_S);
	EXPECT_EQ(sync_count, c.sync_count);
	p.send_command("outage off");
	EXPECT_TRUE(c.wait_until([&] { return c.reachable; }));
	EXPECT_TRUE(c.wait_until_synced());
}

/*
 * A member of the service that lost changes answers with a lower revision. Its
 * answers must be rejected until its revision has caught up, or the
 * configuration would go back to an older state.
 */
TEST(PlatformFault, AnswersWithOlderRevisionAreRejected)
{
	PlatformProcess current;
	PlatformProcess older;

	older.send_command(put_command(WORKSPACE_A_KEY, WORKSPACE_RATE_1));
	current.send_command(put_command(WORKSPACE_A_KEY, WORKSPACE_RATE_1));
	for (int i = 0; i < 10; i++)
		current.send_command(
			put_command(WORKSPACE_A_KEY, WORKSPACE_RATE_2));
	current.send_command(
		put_command("/zinnialine/workspace/lost", WORKSPACE_RATE_1));
	Client c({ current.address(), older.address() });
	ASSERT_TRUE(c.wait_until_synced());
	int64_t revision = c.synced.revision;
	size_t changes = c.revisions.size();

	current.kill();
	c.run_for(4 * US_PER_S);
	EXPECT_EQ(revision, c.synced.revision);
	EXPECT_EQ(changes, c.revisions.size());
	EXPECT_EQ(2u, c.get_rate("workspace/a"));
	for (int i = 0; i < 20; i++)
		older.send_command(put_command("/zinnialine/workspace/b",
					       WORKSPACE_RATE_2));
	EXPECT_TRUE(c.wait_until_synced());
	EXPECT_EQ(2u, c.get_rate("workspace/b"));
	EXPECT_FALSE(c.has_record("workspace/lost"));
	EXPECT_FALSE(c.revision_decreased);
}

TEST(PlatformFault, NextAddressIsUsed)
{
	PlatformProcess p;
	PlatformProcess dead;
	std::string refused = dead.address();

	dead.kill();
	PlatformProcess frozen;
	frozen.send_command("freeze");
	Client c({ refused, frozen.address(), p.address() }, "i1");
	EXPECT_TRUE(c.wait_until(
		[&] { return c.sync_count > 0 && c.renewal_count > 0; }));
}

/* The core must not see a renewal while the member key does not exist. */
TEST(PlatformFault, ExpiredLeaseIsRequestedAgain)
{
	PlatformProcess p;
	Client c({ p.address() }, "i1");

	ASSERT_TRUE(c.wait_until([&] { return c.renewal_count > 0; }));
	EXPECT_TRUE(c.wait_until([&] { return c.has_record("member/i1"); }));
	EXPECT_EQ(2 * US_PER_S, c.renewal.ttl_us);
	int64_t first = c.records["member/i1"].revision;
	int64_t expired_us = loop_now_us();

	p.send_command("expire-lease " + p.send_command("leases"));
	EXPECT_EQ("none", p.send_command(std::string("get ") + MEMBER_KEY));
	EXPECT_TRUE(c.wait_until([&] {
		return c.renewal.requested_us > expired_us &&
		       c.records["member/i1"].revision > first;
	}));
	EXPECT_NE("none", p.send_command(std::string("get ") + MEMBER_KEY));
	/*
	 * Other instances may have changed shares until the key was put again,
	 * so that revision must be synced before the renewal is delivered.
	 */
	EXPECT_GE(c.synced_at_renewal.upper_bound(expired_us)->second,
		  c.records["member/i1"].revision);
}

TEST(PlatformFault, MemberKeyExpiresWhileLoopIsBlocked)
{
	PlatformProcess p;
	Client c({ p.address() }, "i1");
	std::string get = std::string("get ") + MEMBER_KEY;
	int64_t end_us;

	ASSERT_TRUE(c.wait_until([&] { return c.renewal_count > 0; }));
	/* Nothing is renewed, because the loop does not run here. */
	end_us = loop_now_us() + WAIT_MAX_US;
	while (p.send_command(get) != "none" && loop_now_us() < end_us)
		usleep(20000);
	ASSERT_EQ("none", p.send_command(get));
	int renewal_count = c.renewal_count;
	EXPECT_TRUE(
		c.wait_until([&] { return c.renewal_count > renewal_count; }));
	EXPECT_NE("none", p.send_command(get));
	/* The new lease is renewed too. */
	EXPECT_TRUE(c.wait_until(
		[&] { return c.renewal_count > renewal_count + 3; }));
	EXPECT_NE("none", p.send_command(get));
}

TEST(PlatformFault, DeletedMemberKeyIsPutAgain)
{
	PlatformProcess p;
	Client c({ p.address() }, "i1");
	std::string get = std::string("get ") + MEMBER_KEY;

	ASSERT_TRUE(c.wait_until([&] { return c.renewal_count > 0; }));
	p.send_command(std::string("delete ") + MEMBER_KEY);
	EXPECT_TRUE(
		c.wait_until([&] { return p.send_command(get) != "none"; }));
}

struct LeaveCase {
	const char *name;
	const char *member; /* name of the member; NULL: no lease */
	const char *fault; /* control command, or NULL */
	bool key_stays; /* the key and the lease exist until it expires */
};

const LeaveCase leave_cases[] = {
	{ "with a lease", "i1", nullptr, false },
	{ "without a lease", nullptr, nullptr, false },
	{ "in an outage", "i1", "outage on", true },
	{ "answer lost", "i1", "lose 1", false },
};

TEST(PlatformFault, LeaveRevokesLease)
{
	for (const LeaveCase &t : leave_cases) {
		SCOPED_TRACE(t.name);
		PlatformProcess p;
		Client c({ p.address() }, t.member);

		ASSERT_TRUE(c.wait_until([&] {
			return c.sync_count > 0 &&
			       (!t.member || c.renewal_count > 0);
		}));
		if (t.fault)
			p.send_command(t.fault);
		c.leave();
		EXPECT_EQ(t.key_stays, p.send_command(std::string("get ") +
						      MEMBER_KEY) != "none");
		EXPECT_EQ(t.key_stays, p.send_command("leases") != "");
	}
}

} // namespace
