#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "core/member.h"
}

namespace
{

const int64_t INTERVAL_US = 500 * US_PER_MS;

class Members : public testing::Test
{
      protected:
	void SetUp() override
	{
		member_opts o = {};

		o.instance = "m";
		o.zone = "zone";
		o.incarnation = 1;
		table = member_table_new(&o);
		out = action_queue_new();
	}

	void TearDown() override
	{
		member_table_free(table);
		action_queue_free(out);
	}

	void put_member(const std::string &name, uint64_t incarnation)
	{
		member_record r = {};

		strcpy(r.name, name.c_str());
		r.incarnation = incarnation;
		member_put(table, &r);
	}

	std::vector<peer_message> run_and_collect(int64_t now_us)
	{
		std::vector<peer_message> sent;
		action a;

		member_run(table, now_us, out);
		while (action_queue_pop(out, &a)) {
			if (a.type == ACTION_PEER_SEND)
				sent.push_back(*a.peer);
		}
		return sent;
	}

	void send_pong(const peer_message &ping, uint64_t incarnation,
		       int64_t now_us, int64_t revision = 1)
	{
		peer_message m = {};

		strcpy(m.peer, ping.peer);
		m.incarnation = incarnation;
		m.type = PEER_PONG;
		m.pong.sequence = ping.ping.sequence;
		m.pong.config_revision = revision;
		m.pong.sync_age_us = 1000;
		member_handle_message(table, &m, now_us, out);
	}

	member_table *table = nullptr;
	action_queue *out = nullptr;
};

TEST_F(Members, OnlyTheFirstAnswerToTheLastPingCounts)
{
	put_member("a", 5);
	peer_message first = run_and_collect(INTERVAL_US)[0];
	peer_message second = run_and_collect(2 * INTERVAL_US)[0];

	send_pong(first, 5, 2 * INTERVAL_US, 3);
	EXPECT_EQ(-1, member_at(table, 0)->report.ping_sent_us);
	send_pong(second, 5, 2 * INTERVAL_US + 10, 4);
	EXPECT_EQ(2 * INTERVAL_US, member_at(table, 0)->report.ping_sent_us);
	EXPECT_EQ(2 * INTERVAL_US - 1000,
		  member_at(table, 0)->report.synced_us);
	send_pong(second, 5, 3 * INTERVAL_US, 9);
	EXPECT_EQ(4, member_at(table, 0)->report.config_revision);
	EXPECT_EQ(4,
		  member_get_status(table, 0, 3 * INTERVAL_US).config_revision);
	EXPECT_EQ(INTERVAL_US,
		  member_get_status(table, 0, 3 * INTERVAL_US).report_age_us);
}

TEST_F(Members, AliveStateHasHysteresis)
{
	int64_t t = 0;
	bool alive[12];

	put_member("a", 5);
	for (bool &a : alive) {
		t += INTERVAL_US;
		peer_message ping = run_and_collect(t)[0];

		if (t <= 3 * INTERVAL_US)
			send_pong(ping, 5, t);
		a = member_is_alive(table, "a");
	}
	EXPECT_FALSE(alive[0]);
	EXPECT_TRUE(alive[1]);
	EXPECT_TRUE(alive[6]);
	EXPECT_FALSE(alive[7]);
}

TEST_F(Members, NewProcessResetsTheReport)
{
	put_member("a", 5);
	send_pong(run_and_collect(INTERVAL_US)[0], 5, INTERVAL_US, 7);
	send_pong(run_and_collect(2 * INTERVAL_US)[0], 6, 2 * INTERVAL_US, 2);
	EXPECT_EQ(6U, member_at(table, 0)->incarnation);
	EXPECT_EQ(2, member_at(table, 0)->report.config_revision);
	EXPECT_EQ(7, member_at(table, 0)->previous_report.config_revision);
	EXPECT_EQ(2 * INTERVAL_US, member_at(table, 0)->first_ping_sent_us);
}

TEST_F(Members, PingsAreBoundedAndReachAllMembers)
{
	const size_t COUNT = 50;
	std::vector<std::string> seen;

	for (size_t i = 0; i < COUNT; i++)
		put_member("a" + std::to_string(i), 1);
	for (int64_t t = 1; t <= 4; t++) {
		std::vector<peer_message> sent =
			run_and_collect(t * INTERVAL_US);

		EXPECT_EQ(MEMBER_PINGS_MAX, static_cast<int>(sent.size()));
		for (const peer_message &m : sent)
			seen.emplace_back(m.peer);
	}
	std::sort(seen.begin(), seen.end());
	seen.erase(std::unique(seen.begin(), seen.end()), seen.end());
	EXPECT_EQ(COUNT, seen.size());
}

TEST_F(Members, RankCountsAliveMembersBeforeTheOwnName)
{
	for (const char *name : { "a", "b", "z", "m" })
		put_member(name, 1);
	EXPECT_EQ(3U, member_count(table));
	EXPECT_EQ(0U, member_self_rank(table));
	for (int64_t t = 1; t <= 2; t++) {
		for (const peer_message &m : run_and_collect(t * INTERVAL_US)) {
			if (m.peer[0] != 'b')
				send_pong(m, 1, t * INTERVAL_US);
		}
	}
	EXPECT_EQ(2U, member_count_alive(table));
	EXPECT_EQ(1U, member_self_rank(table));
	EXPECT_TRUE(member_delete(table, "a"));
	EXPECT_FALSE(member_delete(table, "a"));
	EXPECT_EQ(0U, member_self_rank(table));
}

TEST_F(Members, PongReportsTheOwnState)
{
	member_self self = { 42, 10 * US_PER_S, true };
	peer_message ping = {};
	action a;

	member_set_self(table, &self);
	strcpy(ping.peer, "a");
	ping.type = PEER_PING;
	ping.ping.sequence = 9;
	EXPECT_TRUE(member_handle_message(table, &ping, 12 * US_PER_S, out));
	ASSERT_TRUE(action_queue_pop(out, &a));
	EXPECT_EQ(9U, a.peer->pong.sequence);
	EXPECT_EQ(42, a.peer->pong.config_revision);
	EXPECT_EQ(2 * US_PER_S, a.peer->pong.sync_age_us);
	EXPECT_TRUE(a.peer->pong.draining);
}

} // namespace
