#include "proxy_model.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

extern "C" {
#include "proxy/quota.h"
#include "proxy/quota_requests.h"
#include "proxy/quota_homes.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;
constexpr int NODES = 14; /* of a size where small limits have a home */
/* Until entries are older than a lease, and homes count. */
constexpr int64_t START_US = 7 * S;
/* A lease, its margins, and a watch. */
constexpr int64_t TAKEN_OVER_US = 6 * S;

void expect_sound(ProxyModel &m)
{
	m.check_quota();
	for (const std::string &v : m.violations)
		ADD_FAILURE() << v;
}

constexpr int64_t LEASE = 4 * S;
constexpr int64_t ABSENT = 50 * S;

TEST(QuotaHomes, AreTheSameForEveryoneAndMoveLittle)
{
	const char *names[] = { "n0", "n1", "n2", "n3", "n4" };
	std::map<uint64_t, std::string> before;
	int moved = 0;

	for (const char *self : names) {
		struct quota_homes *h = quota_homes_new(self);

		for (const char *other : names)
			quota_homes_put(h, other, true, ABSENT);
		for (uint64_t w = 0; w < 200; w++) {
			std::string home = quota_homes_of(h, w);

			EXPECT_EQ(home == self ? INT64_MAX : INT64_MIN,
				  quota_homes_until_us(h, w, LEASE));
			if (before.count(w)) {
				EXPECT_EQ(before[w], home);
			}
			before[w] = home;
		}
		quota_homes_leave(h, "n1");
		for (uint64_t w = 0; w < 200; w++) {
			std::string home = quota_homes_of(h, w);

			moved += self != std::string("n1") && home != before[w];
			if (before[w] != "n1") {
				EXPECT_EQ(before[w], home);
			}
		}
		quota_homes_put(h, "n1", true, ABSENT);
		for (uint64_t w = 0; w < 200; w++)
			EXPECT_EQ(before[w], quota_homes_of(h, w));
		quota_homes_free(h);
	}
	/* Those of n1, seen by the four others. */
	EXPECT_GT(moved, 4 * 20);
	EXPECT_LT(moved, 4 * 70);
}

/* A higher instance comes: the home stays for less than a lease, or stops. */
TEST(QuotaHomes, StayUntilAHigherOneIsSettled)
{
	struct quota_homes *h = quota_homes_new("self");
	int64_t until_us = ABSENT + quota_home_view_us(LEASE);
	int seen = 0;

	quota_homes_put(h, "self", true, ABSENT);
	for (uint64_t w = 0; w < 50; w++) {
		quota_homes_leave(h, "other");
		EXPECT_EQ(INT64_MAX, quota_homes_until_us(h, w, LEASE));
		quota_homes_put(h, "other", false, ABSENT);
		EXPECT_STREQ("self", quota_homes_of(h, w));
		quota_homes_put(h, "other", true, ABSENT + 5 * S);
		if (!strcmp("self", quota_homes_of(h, w)))
			continue;
		seen++;
		EXPECT_EQ(INT64_MIN, quota_homes_until_us(h, w, LEASE));
		quota_homes_leave(h, "other");
		quota_homes_put(h, "other", false, ABSENT);
		EXPECT_EQ(until_us, quota_homes_until_us(h, w, LEASE));
		/* Its settled entry was lost in between. */
		quota_homes_put(h, "other", true, ABSENT);
		quota_homes_put(h, "other", false, ABSENT + 9 * S);
		EXPECT_EQ(until_us + 9 * S, quota_homes_until_us(h, w, LEASE));
	}
	EXPECT_GT(seen, 10);
	EXPECT_LT(until_us, ABSENT + quota_home_wait_us(LEASE));
	quota_homes_free(h);
}

struct ActsCase {
	const char *name;
	bool entry_settled;
	int64_t confirmed_us;
	int64_t lease_until_us;
	int rc;
};

constexpr int64_t NOW = 100 * S;

const ActsCase acts_cases[] = {
	{ "settled", true, NOW, NOW + S, 0 },
	{ "its entry is young, or not there", false, NOW, NOW + S, -ESTALE },
	{ "its lease has ended", true, NOW, NOW, -ESTALE },
	{ "it knows too little of the store", true, NOW - LEASE, NOW + S,
	  -ESTALE },
	{ "it never heard of the store", true, INT64_MIN, NOW + S, -ESTALE },
};

/* Alone in its view, an instance is home to all: the waits decide. */
TEST(QuotaHomes, CountOnlyWhenNobodyElseCan)
{
	const struct quota_tolerance tolerance = { 5 * S, 100, 20000 };

	for (const ActsCase &k : acts_cases) {
		const struct quota_fleet f = { NODES, LEASE, k.lease_until_us,
					       k.entry_settled,
					       k.confirmed_us };
		struct quota *q = quota_new(&tolerance, "self");
		struct fleet_config *c = fleet_config_new();
		struct workspace_config *w = g_new0(struct workspace_config, 1);
		int64_t retry_us = 0;

		SCOPED_TRACE(k.name);
		w->name = g_strdup("a");
		w->rate_milli_per_s = 10000;
		w->burst_milli = 10000;
		fleet_config_add_workspace(c, w);
		quota_set_fleet(q, &f, 10 * S);
		quota_configure(q, c, 10 * S);
		EXPECT_EQ(k.rc, quota_take_for(q, quota_half_number("a", 0),
					       NOW, &retry_us));
		EXPECT_EQ(k.rc, quota_take(q, "a", NOW, &retry_us));
		fleet_config_free(c);
		quota_free(q);
	}
}

ProxyModelOpts fleet_of(uint32_t rate)
{
	ProxyModelOpts o;

	o.nodes = NODES;
	o.rate_per_s = rate;
	o.burst = rate;
	o.conns_max = 60;
	o.log = getenv("PROXY_LOG") != nullptr;
	return o;
}

/* One request after the other, each at any instance. */
struct Load {
	int asked = 0;
	int served = 0;
	int64_t longest_us = 0; /* until a request that was not served ended */
};

Load ask_for(ProxyModel &m, int64_t for_us, int64_t gap_us)
{
	int64_t end_us = m.now() + for_us;
	Load l;

	while (m.now() < end_us) {
		ProxyCaller *c =
			m.connect((int)(m.rand() % NODES), "bounded", "key-a");
		int64_t began_us = m.now();
		bool ok = m.ask(c, "READ 1").ok;

		l.asked++;
		l.served += ok;
		if (!ok)
			l.longest_us =
				std::max(l.longest_us, m.now() - began_us);
		m.disconnect(c);
		m.run(std::max<int64_t>(began_us + gap_us - m.now(), 1));
	}
	return l;
}

/*
 * Four fifths of ten operations a second over 14 instances: divided evenly,
 * each instance had less than one token.
 */
TEST(ProxyQuotaHome, ASmallWorkspaceIsServedBelowItsRate)
{
	ProxyModel m(fleet_of(10));
	Load l;

	m.run(START_US);
	l = ask_for(m, 60 * S, 125 * MS);
	EXPECT_GE(l.served, l.asked * 99 / 100) << l.asked;
	expect_sound(m);
}

TEST(ProxyQuotaHome, ItsLimitHoldsUnderAFlood)
{
	for (uint32_t rate : { 4, 20 }) {
		ProxyModel m(fleet_of(rate));
		int served;

		SCOPED_TRACE(rate);
		m.run(START_US);
		served = ask_for(m, 20 * S, 5 * MS).served;
		EXPECT_GE(served, (int)rate * 19);
		m.set_limit(rate / 2, rate / 2);
		ask_for(m, 20 * S, 5 * MS);
		expect_sound(m);
	}
}

int home_of_a(ProxyModel &m)
{
	struct quota_homes *h = quota_homes_new(m.nodes[0]->name.c_str());
	std::string home;
	int at = 0;

	for (auto &n : m.nodes)
		quota_homes_put(h, n->name.c_str(), true, 0);
	home = quota_homes_of(h, quota_half_number("a", 0));
	quota_homes_free(h);
	for (int i = 0; i < NODES; i++) {
		if (m.nodes[i]->name == home)
			at = i;
	}
	return at;
}

/*
 * The home was away for longer than a lease and comes back: the one that
 * counted meanwhile goes on nearly until the other one may.
 */
TEST(ProxyQuotaHome, IsCountedOnWhileItsHomeComesBack)
{
	ProxyModel m(fleet_of(10));
	Load l;
	int home;

	m.run(START_US);
	home = home_of_a(m);
	m.nodes[home]->cut_from_store = true;
	m.run(TAKEN_OVER_US);
	m.nodes[home]->cut_from_store = false;
	l = ask_for(m, 10 * S, 150 * MS);
	/* Its knowledge may be a second old when the entry comes. */
	EXPECT_GE(l.served, l.asked * 80 / 100) << l.asked;
	expect_sound(m);
}

/*
 * Its home dies: nobody waits for it longer than for one answer, and another
 * instance counts once the lease has ended.
 */
TEST(ProxyQuotaHome, AnotherInstanceCountsWhenItsHomeDies)
{
	ProxyModel m(fleet_of(10));
	Load l;
	int home;

	m.run(START_US);
	home = home_of_a(m);
	m.power_off(m.nodes[home].get());
	l = ask_for(m, TAKEN_OVER_US, 200 * MS);
	EXPECT_LE(l.longest_us, QUOTA_ASK_US + 50 * MS);
	/* Five operations a second: the other half is enough for them. */
	EXPECT_GE(l.served, l.asked * 9 / 10) << l.asked;
	l = Load();
	for (int i = 0; i < 100; i++) {
		int at = (home + 1 + i % (NODES - 1)) % NODES;
		ProxyCaller *c = m.connect(at, "bounded", "key-a");

		l.served += m.ask(c, "READ 1").ok;
		m.disconnect(c);
		m.run(150 * MS);
	}
	EXPECT_GE(l.served, 99);
	expect_sound(m);
}

/*
 * Everything is started again within a lease: the entries that the processes
 * before left are still there, so nobody else can be a home.
 */
TEST(ProxyQuotaHome, CountsRightAfterAFullRestart)
{
	ProxyModel m(fleet_of(10));
	Load l;

	m.run(START_US);
	m.restart_all(1 * S);
	m.run(700 * MS);
	l = ask_for(m, 3 * S, 150 * MS);
	EXPECT_GE(l.served, l.asked - 1) << l.asked;
	expect_sound(m);
}

/* Again and again: each new home has but little to begin with. */
TEST(ProxyQuotaHome, ItsLimitHoldsOverManyRestarts)
{
	ProxyModel m(fleet_of(10));

	m.run(START_US);
	for (int i = 0; i < 10; i++) {
		ask_for(m, 1 * S, 5 * MS);
		for (auto &n : m.nodes)
			m.kill(n.get());
		m.run(300 * MS);
		for (auto &n : m.nodes)
			m.start(n.get());
	}
	expect_sound(m);
}

/* The home is killed, frozen, cut off and started again under a flood. */
TEST(ProxyQuotaHome, ItsLimitHoldsWhileHomesComeAndGo)
{
	for (uint64_t seed = 1; seed <= 12; seed++) {
		ProxyModelOpts o = fleet_of(6);

		SCOPED_TRACE(seed);
		o.seed = seed;
		ProxyModel m(o);
		m.run(START_US);
		for (int round = 0; round < 8; round++) {
			ProxyNode *n = m.nodes[round % 2 ? m.rand() % NODES :
							   home_of_a(m)]
					       .get();
			int64_t for_us = (int64_t)(m.rand() % 6000) * MS;

			switch (m.rand() % 4) {
			case 0:
				if (n->engine)
					m.kill(n);
				m.at(for_us / 4, [&m, n] {
					if (!n->engine)
						m.start(n);
				});
				break;
			case 1:
				n->frozen = true;
				m.at(for_us, [n] { n->frozen = false; });
				break;
			case 2:
				n->cut_from_store = true;
				m.at(for_us,
				     [n] { n->cut_from_store = false; });
				break;
			default:
				m.store_down(for_us / 2, seed % 2);
				break;
			}
			ask_for(m, 2 * S, 10 * MS);
		}
		expect_sound(m);
	}
}

} // namespace
