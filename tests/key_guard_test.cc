#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "core/error.h"
#include "core/key_guard.h"
}

namespace
{

const int64_t MS = US_PER_MS;
const int64_t GRACE_US = 3000 * MS;
const int64_t NOW_US = 100 * US_PER_S;
const int64_t NEVER = SYNC_AGE_NEVER;

// A member's answer to a ping; ages are relative to NOW_US.
struct MemberReport {
	int64_t ping_ago_ms; // when the ping was sent; -1: never answered
	int64_t sync_age_ms; // as answered; -1: never synced
	int64_t revision;
};

struct GuardCase {
	const char *name;
	int64_t own_sync_ago_ms; // -1: never
	int64_t own_revision;
	std::vector<MemberReport> members;
	key_rule rule;
};

const GuardCase guard_cases[] = {
	{ "own sync is fresh", 1000, 10, {}, KEY_RULE_SYNCED },
	{ "own sync is just too old",
	  3000,
	  10,
	  { { 10, 0, 11 } },
	  KEY_RULE_NONE },
	{ "never synced, alone", -1, 0, {}, KEY_RULE_NONE },
	{ "outage of the only instance", 60000, 10, {}, KEY_RULE_OUTAGE },
	{ "a member is synced",
	  5000,
	  10,
	  { { 500, 100, 10 } },
	  KEY_RULE_MEMBER },
	{ "a member has a later revision",
	  5000,
	  10,
	  { { 500, 100, 11 } },
	  KEY_RULE_NONE },
	{ "a member's sync is too old",
	  5000,
	  10,
	  { { 500, 2500, 9 } },
	  KEY_RULE_NONE },
	{ "one of two members is synced",
	  5000,
	  10,
	  { { -1, 0, 0 }, { 500, 100, 10 } },
	  KEY_RULE_MEMBER },
	{ "all are cut off",
	  9000,
	  10,
	  { { 500, 8000, 10 }, { 900, 9000, 8 } },
	  KEY_RULE_OUTAGE },
	{ "one does not answer",
	  9000,
	  10,
	  { { 500, 8000, 10 }, { -1, 0, 0 } },
	  KEY_RULE_NONE },
	{ "one answered too long ago",
	  9000,
	  10,
	  { { 500, 8000, 10 }, { 3000, 9000, 8 } },
	  KEY_RULE_NONE },
	{ "one of those cut off has a later revision",
	  9000,
	  10,
	  { { 500, 8000, 10 }, { 500, 8000, 11 } },
	  KEY_RULE_NONE },
	{ "one was synced a little later",
	  9000,
	  10,
	  { { 500, 8000, 10 }, { 500, 2900, 8 } },
	  KEY_RULE_NONE },
	{ "one was started during the outage",
	  9000,
	  10,
	  { { 500, 8000, 10 }, { 500, -1, 0 } },
	  KEY_RULE_NONE },
};

struct GuardWithMembers {
	member_table *members;
	key_guard *guard;
	action_queue *out = action_queue_new();
	uint64_t incarnation = 1;

	explicit GuardWithMembers(size_t count)
	{
		member_opts mo = {};
		key_guard_opts go = {};

		mo.instance = "self";
		mo.incarnation = 1;
		mo.ping_interval_us = 1;
		members = member_table_new(&mo);
		go.key_grace_us = GRACE_US;
		guard = key_guard_new(&go, members);
		for (size_t i = 0; i < count; i++) {
			member_record r = {};

			strcpy(r.name, member_name(i).c_str());
			r.incarnation = 1;
			member_put(members, &r);
		}
	}

	~GuardWithMembers()
	{
		key_guard_free(guard);
		member_table_free(members);
		action_queue_free(out);
	}

	static std::string member_name(size_t i)
	{
		return "m" + std::to_string(i);
	}

	// Pings all members and delivers the answer of one.
	void ping_and_answer(size_t i, int64_t at_us, int64_t sync_age_us,
			     int64_t revision, uint64_t process = 1)
	{
		action a;

		member_run(members, at_us, out);
		while (action_queue_pop(out, &a)) {
			peer_message m = {};

			if (a.type != ACTION_PEER_SEND ||
			    member_name(i) != a.peer->peer)
				continue;
			strcpy(m.peer, a.peer->peer);
			m.incarnation = process;
			m.type = PEER_PONG;
			m.pong.sequence = a.peer->ping.sequence;
			m.pong.config_revision = revision;
			m.pong.sync_age_us = sync_age_us;
			member_handle_message(members, &m, at_us, out);
		}
	}
};

TEST(KeyGuard, ReturnsTheRuleOfEachSituation)
{
	for (const GuardCase &c : guard_cases) {
		GuardWithMembers f(c.members.size());
		int64_t retry = 0;

		SCOPED_TRACE(c.name);
		if (c.own_sync_ago_ms >= 0)
			key_guard_note_synced(f.guard, c.own_revision,
					      NOW_US - c.own_sync_ago_ms * MS,
					      NOW_US - c.own_sync_ago_ms * MS);
		for (int64_t ago = 3000; ago >= 0; ago -= 10) {
			for (size_t i = 0; i < c.members.size(); i++) {
				const MemberReport &s = c.members[i];

				if (s.ping_ago_ms != ago)
					continue;
				f.ping_and_answer(i, NOW_US - ago * MS,
						  s.sync_age_ms < 0 ?
							  NEVER :
							  s.sync_age_ms * MS,
						  s.revision);
			}
		}
		EXPECT_EQ(c.rule, key_guard_rule(f.guard, NOW_US));
		EXPECT_EQ(c.rule ? 0 : ERR_KEY_UNCONFIRMED,
			  key_guard_check(f.guard, NOW_US, &retry));
		EXPECT_EQ(c.rule == KEY_RULE_NONE, retry > 0);
	}
}

struct RestartCase {
	const char *name;
	int64_t old_sync_age_us; // in the old process's last answer
	int64_t gap_us; // until the new process's first answer
	key_rule rule;
};

// A new process must be synced for 7 s before it accepts changes, so up to 4 s
// (7 s less the grace) may pass between the answers of the two processes.
const RestartCase restart_cases[] = {
	{ "restarted quickly during the outage", 5 * US_PER_S, US_PER_S,
	  KEY_RULE_OUTAGE },
	{ "might have accepted a change in between", 5 * US_PER_S, 4 * US_PER_S,
	  KEY_RULE_NONE },
	{ "was synced before it ended", US_PER_S, US_PER_S, KEY_RULE_NONE },
};

TEST(KeyGuard, RestartedMemberCountsOnlyAfterAShortGap)
{
	for (const RestartCase &c : restart_cases) {
		GuardWithMembers f(1);
		int64_t at = NOW_US + c.gap_us;

		SCOPED_TRACE(c.name);
		key_guard_note_synced(f.guard, 10, NOW_US - 9 * US_PER_S,
				      NOW_US - 9 * US_PER_S);
		f.ping_and_answer(0, NOW_US, c.old_sync_age_us, 10);
		f.ping_and_answer(0, at, NEVER, 0, 2);
		f.ping_and_answer(0, at + 2 * US_PER_S, NEVER, 0, 2);
		EXPECT_EQ(c.rule, key_guard_rule(f.guard, at + 2 * US_PER_S));
	}
}

// After a gap in the syncs, other instances may serve keys by rule (c). Changes
// may be accepted only when none of them can rely on an earlier answer.
TEST(KeyGuard, AcceptsChangesOnlyAfterAContinuousSync)
{
	GuardWithMembers f(0);
	const int64_t ACCEPT_US = 2 * GRACE_US + US_PER_S;
	int64_t t = NOW_US;

	EXPECT_FALSE(key_guard_may_accept(f.guard, t));
	for (; t < NOW_US + ACCEPT_US; t += US_PER_S) {
		key_guard_note_synced(f.guard, 1, t, t);
		EXPECT_FALSE(key_guard_may_accept(f.guard, t));
	}
	key_guard_note_synced(f.guard, 1, t, t);
	EXPECT_TRUE(key_guard_may_accept(f.guard, t));
	EXPECT_FALSE(key_guard_may_accept(f.guard, t + GRACE_US));
	/* Requested in time, but received after members were told of a gap. */
	key_guard_note_synced(f.guard, 1, t + GRACE_US, t + GRACE_US + 1);
	EXPECT_FALSE(key_guard_may_accept(f.guard, t + GRACE_US + 1));
}

TEST(KeyGuard, OwnAcceptedChangeIsReportedAndDisablesTheOutageRule)
{
	GuardWithMembers f(0);

	key_guard_note_synced(f.guard, 10, NOW_US, NOW_US);
	key_guard_note_accepted(f.guard, 12);
	EXPECT_EQ(12, key_guard_get_self(f.guard, false).config_revision);
	EXPECT_EQ(KEY_RULE_NONE, key_guard_rule(f.guard, NOW_US + GRACE_US));
	key_guard_note_applied(f.guard, 12);
	EXPECT_EQ(KEY_RULE_OUTAGE, key_guard_rule(f.guard, NOW_US + GRACE_US));
}

} // namespace
