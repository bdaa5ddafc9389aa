#include "proxy_model.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

extern "C" {
#include "limits/size_class.h"
#include "limits/zone_list.h"
#include "proxy/quota.h"
#include "proxy/quota_requests.h"
#include "proxy/quota_homes.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;
constexpr int NODES = 14; /* fleet size at which small limits have homes */
/* After this time entries are older than a lease, and homes count. */
constexpr int64_t START_US = 7 * S;
/* Covers a lease, its margins and a watch of the store. */
constexpr int64_t FAILOVER_US = 6 * S;

void expect_no_violations(ProxyModel &m)
{
	m.check_quota();
	for (const std::string &v : m.violations)
		ADD_FAILURE() << v;
}

constexpr int64_t LEASE_US = 4 * S;
constexpr int64_t ABSENT_US = 50 * S;
constexpr int64_t NOW_US = 100 * S;

void put_home(struct quota_homes *h, const char *instance, const char *zone,
	      bool settled, int64_t absent_us, int64_t position = 1)
{
	const struct quota_home_entry e = { instance,  zone,	 settled,
					    absent_us, position, NOW_US };

	quota_homes_put(h, &e);
}

TEST(QuotaHomes, SameOnAllInstancesAndFewMove)
{
	const char *names[] = { "n0", "n1", "n2", "n3", "n4" };
	std::map<uint64_t, std::string> before;
	int moved = 0;

	for (const char *self : names) {
		struct quota_homes *h = quota_homes_new(self, "z0");

		for (const char *other : names)
			put_home(h, other, "z0", true, ABSENT_US);
		for (uint64_t w = 0; w < 200; w++) {
			const struct quota_part p = { w, "" };
			std::string home = quota_homes_find(h, &p);

			EXPECT_EQ(home == self ? INT64_MAX : INT64_MIN,
				  quota_homes_valid_until_us(h, &p, LEASE_US));
			if (before.count(w)) {
				EXPECT_EQ(before[w], home);
			}
			before[w] = home;
		}
		quota_homes_remove(h, "n1");
		for (uint64_t w = 0; w < 200; w++) {
			const struct quota_part p = { w, "" };
			std::string home = quota_homes_find(h, &p);

			moved += self != std::string("n1") && home != before[w];
			if (before[w] != "n1") {
				EXPECT_EQ(before[w], home);
			}
		}
		put_home(h, "n1", "z0", true, ABSENT_US);
		for (uint64_t w = 0; w < 200; w++) {
			const struct quota_part p = { w, "" };

			EXPECT_EQ(before[w], quota_homes_find(h, &p));
		}
		quota_homes_free(h);
	}
	/* Only the halves of n1 move, on each of the four other instances. */
	EXPECT_GT(moved, 4 * 20);
	EXPECT_LT(moved, 4 * 70);
}

/* An instance of the part's zone is its home, or any if there is none. */
TEST(QuotaHomes, ChosenInTheZoneOfThePart)
{
	struct quota_homes *h = quota_homes_new("n0", "z0");

	put_home(h, "n0", "z0", true, ABSENT_US);
	put_home(h, "n1", "z1", true, ABSENT_US);
	put_home(h, "n2", "z2", true, ABSENT_US);
	for (uint64_t w = 0; w < 50; w++) {
		const struct quota_part near = { w, "z0" };
		const struct quota_part far = { w + 1000, "z1" };

		EXPECT_STREQ("n0", quota_homes_find(h, &near));
		EXPECT_STREQ("n1", quota_homes_find(h, &far));
		put_home(h, "n1", "z2", true, ABSENT_US);
		EXPECT_STRNE("n3", quota_homes_find(h, &far));
		put_home(h, "n3", "z1", true, ABSENT_US);
		EXPECT_STREQ("n3", quota_homes_find(h, &far));
		quota_homes_remove(h, "n3");
		put_home(h, "n1", "z1", true, ABSENT_US);
	}
	quota_homes_free(h);
}

/*
 * When an instance with a higher score appears, the home stays for less than a
 * lease, or stops at once if that instance is settled.
 */
TEST(QuotaHomes, HomeStaysUntilHigherScoreIsSettled)
{
	struct quota_homes *h = quota_homes_new("self", "z0");
	int64_t until_us = ABSENT_US + quota_home_max_view_age_us(LEASE_US);
	int other_is_home = 0;

	put_home(h, "self", "z0", true, ABSENT_US);
	for (uint64_t w = 0; w < 50; w++) {
		const struct quota_part p = { w, "" };

		quota_homes_remove(h, "other");
		EXPECT_EQ(INT64_MAX,
			  quota_homes_valid_until_us(h, &p, LEASE_US));
		put_home(h, "other", "z0", false, ABSENT_US);
		EXPECT_STREQ("self", quota_homes_find(h, &p));
		put_home(h, "other", "z0", true, ABSENT_US + 5 * S);
		if (!strcmp("self", quota_homes_find(h, &p)))
			continue;
		other_is_home++;
		EXPECT_EQ(INT64_MIN,
			  quota_homes_valid_until_us(h, &p, LEASE_US));
		quota_homes_remove(h, "other");
		put_home(h, "other", "z0", false, ABSENT_US);
		EXPECT_EQ(until_us,
			  quota_homes_valid_until_us(h, &p, LEASE_US));
		/* The settled entry is lost and written again as unsettled. */
		put_home(h, "other", "z0", true, ABSENT_US);
		put_home(h, "other", "z0", false, ABSENT_US + 9 * S);
		EXPECT_EQ(until_us + 9 * S,
			  quota_homes_valid_until_us(h, &p, LEASE_US));
	}
	EXPECT_GT(other_is_home, 10);
	EXPECT_LT(until_us, ABSENT_US + quota_home_settle_us(LEASE_US));
	quota_homes_free(h);
}

struct FounderCase {
	const char *name;
	/* Of n0 (this instance), n1 and n2; 0: no entry. */
	int64_t positions[3];
	bool settled[3];
	const char *founder;
};

const FounderCase founder_cases[] = {
	{ "the oldest entry", { 7, 5, 9 }, {}, "n1" },
	{ "this instance has it", { 4, 5, 9 }, {}, "n0" },
	{ "this instance has no entry yet", { 0, 5, 9 }, {}, "n1" },
	{ "nobody has", { 0, 0, 0 }, {}, nullptr },
	{ "an entry is settled", { 4, 5, 9 }, { false, false, true }, nullptr },
	{ "that of this instance is", { 4, 5, 9 }, { true }, nullptr },
};

TEST(QuotaHomes, FounderHasTheOldestEntryIfNoneIsSettled)
{
	static const char *const names[] = { "n0", "n1", "n2" };

	for (const FounderCase &k : founder_cases) {
		struct quota_homes *h = quota_homes_new("n0", "z0");

		SCOPED_TRACE(k.name);
		for (int i = 0; i < 3; i++) {
			if (k.positions[i])
				put_home(h, names[i], "z0", k.settled[i],
					 ABSENT_US, k.positions[i]);
		}
		EXPECT_STREQ(k.founder,
			     quota_homes_find_founder(h, LEASE_US, NOW_US));
		/* Nobody asks it once its time is over. */
		EXPECT_EQ(nullptr, quota_homes_find_founder(h, LEASE_US,
							    NOW_US + LEASE_US));
		/* It is chosen again when its entry goes, or is rewritten. */
		if (k.founder && strcmp(k.founder, "n0") != 0) {
			put_home(h, k.founder, "z0", false, ABSENT_US, 99);
			EXPECT_STRNE(k.founder,
				     quota_homes_find_founder(h, LEASE_US,
							      NOW_US));
		}
		if (k.founder) {
			quota_homes_remove(h, k.founder);
			EXPECT_STRNE(k.founder,
				     quota_homes_find_founder(h, LEASE_US,
							      NOW_US));
		}
		quota_homes_free(h);
	}
}

struct FoundingCase {
	const char *name;
	bool record_settled;
	int64_t asked_us; /* for the entry, before now; -1: it may not */
	int64_t written_us; /* before now */
	int64_t confirmed_us; /* likewise */
	int64_t other_position; /* of another entry; this one's is 5 */
	bool other_settled;
	int rc;
};

const FoundingCase founding_cases[] = {
	{ "founder", true, 1 * S, 900 * MS, 500 * MS, 6, false, 0 },
	{ "way of counting not agreed", false, 1 * S, 900 * MS, 500 * MS, 6,
	  false, -ESTALE },
	{ "of a young era", true, -1, 900 * MS, 500 * MS, 6, false, -ESTALE },
	{ "listed before its entry was written", true, 1 * S, 900 * MS,
	  950 * MS, 6, false, -ESTALE },
	{ "others may settle now", true, LEASE_US * 97 / 100, 1 * S, 0, 6,
	  false, -ESTALE },
	{ "another entry is older", true, 1 * S, 900 * MS, 500 * MS, 4, false,
	  -ESTALE },
	{ "another entry is settled", true, 1 * S, 900 * MS, 500 * MS, 6, true,
	  -ESTALE },
};

/* After all leases have ended, one instance counts before any is settled. */
TEST(QuotaHomes, FounderCountsOnlyWhenNobodyElseCan)
{
	const struct quota_tolerance tolerance = { 5 * S, 100, 20000 };
	const int64_t now_us = 100 * S;

	for (const FoundingCase &k : founding_cases) {
		struct quota_fleet f = {};
		struct limit_entry record = {};
		struct instance_entry self = {};
		struct instance_entry other = {};
		struct quota *q = quota_new(&tolerance, "self", "z0");
		struct fleet_config *c = fleet_config_new();
		struct workspace_config *w = g_new0(struct workspace_config, 1);
		struct quota_source sources[QUOTA_SOURCES_MAX];
		int64_t retry_us = 0;

		SCOPED_TRACE(k.name);
		f.instances = NODES;
		f.lease_ttl_us = LEASE_US;
		f.lease_until_us = now_us + S;
		f.entry_asked_us =
			k.asked_us < 0 ? INT64_MIN : now_us - k.asked_us;
		f.entry_written_us = now_us - k.written_us;
		f.confirmed_us = now_us - k.confirmed_us;
		w->name = g_strdup("a");
		w->rate_milli_per_s = 10000;
		w->burst_milli = 10000;
		fleet_config_add_workspace(c, w);
		record.size_class = size_class_of(NODES);
		zone_list_add(&record.zones, "z0");
		record.settled = k.record_settled;
		quota_set_record(q, &record, 10 * S);
		quota_set_fleet(q, &f, 10 * S);
		quota_configure(q, c, 10 * S);
		g_strlcpy(self.name, "self", sizeof(self.name));
		g_strlcpy(self.zone, "z0", sizeof(self.zone));
		g_strlcpy(other.name, "other", sizeof(other.name));
		g_strlcpy(other.zone, "z0", sizeof(other.zone));
		other.settled = k.other_settled;
		quota_put_instance(q, &self, 5, 0, now_us);
		quota_put_instance(q, &other, k.other_position, 0, now_us);
		ASSERT_LT(0u, quota_get_sources(q, "a", now_us, sources));
		EXPECT_EQ(k.rc, quota_take_for_peer(q, sources[0].part, now_us,
						    &retry_us));
		fleet_config_free(c);
		quota_free(q);
	}
}

struct HomeCase {
	const char *name;
	bool entry_settled;
	int64_t confirmed_us;
	int64_t lease_until_us;
	int rc;
};

const HomeCase home_cases[] = {
	{ "settled", true, NOW_US, NOW_US + S, 0 },
	{ "entry is not settled or missing", false, NOW_US, NOW_US + S,
	  -ESTALE },
	{ "lease has ended", true, NOW_US, NOW_US, -ESTALE },
	{ "view of the store is too old", true, NOW_US - LEASE_US, NOW_US + S,
	  -ESTALE },
	{ "store was never seen", true, INT64_MIN, NOW_US + S, -ESTALE },
};

/*
 * The instance is alone in its view and so the home of every half. Whether it
 * counts depends only on its lease, entry and view of the store.
 */
TEST(QuotaHomes, CountOnlyWhenNoOtherInstanceCan)
{
	const struct quota_tolerance tolerance = { 5 * S, 100, 20000 };

	for (const HomeCase &k : home_cases) {
		const struct quota_fleet f = {
			NODES,	   LEASE_US,  k.lease_until_us, k.entry_settled,
			INT64_MIN, INT64_MIN, k.confirmed_us
		};
		struct quota *q = quota_new(&tolerance, "self", "z0");
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
		EXPECT_EQ(k.rc, quota_take_for_peer(q, quota_half_hash("a", 0),
						    NOW_US, &retry_us));
		EXPECT_EQ(k.rc, quota_take(q, "a", NOW_US, &retry_us));
		fleet_config_free(c);
		quota_free(q);
	}
}

ProxyModelOpts make_fleet_opts(uint32_t rate)
{
	ProxyModelOpts o;

	o.nodes = NODES;
	o.rate_per_s = rate;
	o.burst = rate;
	o.conns_max = 60;
	o.log = getenv("PROXY_LOG") != nullptr;
	return o;
}

/* Results of requests sent one after the other, each to a random instance. */
struct Load {
	int requested = 0;
	int served = 0;
	int64_t longest_us = 0; /* longest time until a failed request ended */
};

Load run_load(ProxyModel &m, int64_t duration_us, int64_t interval_us)
{
	int64_t end_us = m.now() + duration_us;
	Load l;

	while (m.now() < end_us) {
		ProxyCaller *c =
			m.connect((int)(m.rand() % NODES), "bounded", "key-a");
		int64_t began_us = m.now();
		bool ok = m.run_statement(c, "READ 1").ok;

		l.requested++;
		l.served += ok;
		if (!ok)
			l.longest_us =
				std::max(l.longest_us, m.now() - began_us);
		m.disconnect(c);
		m.run(std::max<int64_t>(began_us + interval_us - m.now(), 1));
	}
	return l;
}

/*
 * Guards against refusals below the rate because a small limit is divided: 10
 * operations per second over 14 instances leave less than one token to each.
 * The load is 8 per second.
 */
TEST(ProxyQuotaHome, SmallWorkspaceIsServedBelowItsRate)
{
	ProxyModel m(make_fleet_opts(10));
	Load l;

	m.run(START_US);
	l = run_load(m, 60 * S, 125 * MS);
	EXPECT_GE(l.served, l.requested * 99 / 100) << l.requested;
	expect_no_violations(m);
}

TEST(ProxyQuotaHome, LimitHoldsUnderOverload)
{
	for (uint32_t rate : { 4, 20 }) {
		ProxyModel m(make_fleet_opts(rate));
		int served;

		SCOPED_TRACE(rate);
		m.run(START_US);
		served = run_load(m, 20 * S, 5 * MS).served;
		EXPECT_GE(served, (int)rate * 19);
		m.set_limit(rate / 2, rate / 2);
		run_load(m, 20 * S, 5 * MS);
		expect_no_violations(m);
	}
}

/* Returns the index of the node that is home of workspace a's first part. */
int find_workspace_home(ProxyModel &m)
{
	struct quota_homes *h = quota_homes_new(m.nodes[0]->name.c_str(), "z0");
	const struct quota_part part = { quota_zone_part_hash("a", "z0"),
					 "z0" };
	std::string home;
	int at = 0;

	for (auto &n : m.nodes)
		put_home(h, n->name.c_str(), n->zone.c_str(), true, 0);
	home = quota_homes_find(h, &part);
	quota_homes_free(h);
	for (int i = 0; i < NODES; i++) {
		if (m.nodes[i]->name == home)
			at = i;
	}
	return at;
}

/* Returns true if the node counts a part of workspace a's limit. */
bool is_counter(ProxyModel &m, const std::string &name)
{
	struct quota_homes *h = quota_homes_new(m.nodes[0]->name.c_str(), "z0");
	bool found = false;

	for (auto &n : m.nodes)
		put_home(h, n->name.c_str(), n->zone.c_str(), true, 0);
	for (const char *zone : { "z0", "z1", "z2" }) {
		const struct quota_part part = {
			quota_zone_part_hash("a", zone), zone
		};

		found |= name == quota_homes_find(h, &part);
	}
	quota_homes_free(h);
	return found;
}

/* Sends requests to the first `nodes` instances, one every 150 ms. */
Load run_load_on(ProxyModel &m, const std::vector<int> &nodes,
		 int64_t duration_us)
{
	int64_t end_us = m.now() + duration_us;
	Load l;

	while (m.now() < end_us) {
		ProxyCaller *c = m.connect(nodes[m.rand() % nodes.size()],
					   "bounded", "key-a");

		ProxyAnswer a = m.run_statement(c, "READ 1");

		l.requested++;
		l.served += a.ok;
		l.longest_us = std::max(l.longest_us, a.took_us);
		m.disconnect(c);
		m.run(150 * MS);
	}
	return l;
}

/*
 * Guards against refusals by all instances when a part of them loses its
 * leases: with fewer than 12 listed, all would count small limits in another
 * way, and change back when the others return.
 */
TEST(ProxyQuotaHome, CountsOnWhileAPartOfTheFleetIsCutFromTheStore)
{
	ProxyModel m(make_fleet_opts(10));
	std::vector<int> others;
	int cut = 0;
	Load l;

	m.run(START_US);
	for (int i = 0; i < NODES; i++) {
		ProxyNode *n = m.nodes[i].get();

		if (cut == 4 || is_counter(m, n->name)) {
			others.push_back(i);
			continue;
		}
		n->cut_from_store = true;
		cut++;
	}
	l = run_load_on(m, others, 14 * S);
	EXPECT_GE(l.served, l.requested * 98 / 100) << l.requested;
	for (auto &n : m.nodes)
		n->cut_from_store = false;
	l = run_load_on(m, others, 10 * S);
	EXPECT_GE(l.served, l.requested * 98 / 100) << l.requested;
	expect_no_violations(m);
}

/*
 * Guards against a longer first start: the record is not there yet, and it must
 * not change how the instances count when it comes. Homes count once their
 * entries are settled.
 */
TEST(ProxyQuotaHome, RecordDelaysNoFirstStart)
{
	ProxyModel m(make_fleet_opts(10));
	std::vector<int> all;
	Load l;

	for (int i = 0; i < NODES; i++)
		all.push_back(i);
	m.run(quota_home_settle_us(LEASE_US) + 1 * S);
	l = run_load_on(m, all, 3 * S);
	EXPECT_EQ(l.requested, l.served);
}

void set_zone_cut(ProxyModel &m, const std::string &zone, bool cut)
{
	for (auto &from : m.nodes) {
		for (auto &to : m.nodes) {
			if ((from->zone == zone) == (to->zone == zone))
				continue;
			if (cut)
				from->cut_peers.insert(to->index);
			else
				from->cut_peers.erase(to->index);
		}
	}
}

/*
 * Guards against refusals and time-outs on both sides when the instances of a
 * zone hear nothing from the others: each zone must have a counter of its own.
 * The load is about one per second and side, of a rate of 10.
 */
TEST(ProxyQuotaHome, EachZoneCountsOnWhenOneIsCutOff)
{
	for (const char *zone : { "z0", "z1", "z2" }) {
		ProxyModel m(make_fleet_opts(10));
		std::vector<int> inside;
		std::vector<int> outside;
		Load l;

		SCOPED_TRACE(zone);
		m.run(START_US);
		for (int i = 0; i < NODES; i++)
			(m.nodes[i]->zone == zone ? inside : outside)
				.push_back(i);
		set_zone_cut(m, zone, true);
		for (int i = 0; i < 20; i++) {
			for (auto *nodes : { &inside, &outside }) {
				Load part = run_load_on(m, *nodes, 150 * MS);

				l.requested += part.requested;
				l.served += part.served;
				l.longest_us =
					std::max(l.longest_us, part.longest_us);
				m.run(300 * MS);
			}
		}
		EXPECT_GE(l.served, l.requested * 98 / 100) << l.requested;
		EXPECT_LT(l.longest_us, QUOTA_REQUEST_TIMEOUT_US);
		set_zone_cut(m, zone, false);
		run_load(m, 3 * S, 5 * MS);
		expect_no_violations(m);
	}
}

/*
 * Guards against waits of many statements for the same silent counter. After
 * the pause one of them tries it again; the others go on to the next part.
 */
TEST(ProxyQuotaHome, OneStatementAtATimeTriesASilentHome)
{
	ProxyModel m(make_fleet_opts(20));
	std::vector<ProxyCaller *> callers;
	int home;
	int at;
	int waited = 0;

	m.run(START_US);
	home = find_workspace_home(m);
	at = home ? 0 : 3; /* another node of the same zone */
	for (int i = 0; i < 8; i++) {
		callers.push_back(m.connect(at, "bounded", "key-a"));
		EXPECT_TRUE(m.wait_for_answer(callers[i], 1 * S).answered);
	}
	m.power_off(m.nodes[home].get());
	m.run_statement(callers[0], "READ 1");
	m.run(QUOTA_HOME_RETRY_US + 10 * MS);
	for (ProxyCaller *c : callers)
		m.send_statement(c, "READ 1");
	m.run(QUOTA_REQUEST_TIMEOUT_US / 2);
	for (ProxyCaller *c : callers)
		waited += c->lines.empty();
	EXPECT_LE(waited, 1);
	expect_no_violations(m);
}

/*
 * A process that starts while a part of the fleet is gone counts in the same
 * way as those that have seen the whole fleet.
 */
TEST(ProxyQuotaHome, StartedProcessKnowsTheSizeClass)
{
	ProxyModel m(make_fleet_opts(10));
	std::vector<int> others;
	std::vector<int> started;
	Load l;

	m.run(START_US);
	for (int i = 0; i < NODES; i++) {
		ProxyNode *n = m.nodes[i].get();

		if (is_counter(m, n->name)) {
			others.push_back(i);
			continue;
		}
		m.kill(n);
		started.push_back(i);
	}
	m.run(FAILOVER_US);
	started.resize(2);
	for (int i : started)
		m.start(m.nodes[i].get());
	m.run(1 * S);
	l = run_load_on(m, started, 10 * S);
	EXPECT_GE(l.served, l.requested * 98 / 100) << l.requested;
	l = run_load_on(m, others, 10 * S);
	EXPECT_GE(l.served, l.requested * 98 / 100) << l.requested;
	expect_no_violations(m);
}

/*
 * Guards against a time in which no instance counts while a home returns after more than a
 * lease without the store. The instance that counted meanwhile must go on until
 * shortly before the returning home may count.
 */
TEST(ProxyQuotaHome, KeepsCountingWhileTheHomeReturns)
{
	ProxyModel m(make_fleet_opts(10));
	Load l;
	int home;

	m.run(START_US);
	home = find_workspace_home(m);
	m.nodes[home]->cut_from_store = true;
	m.run(FAILOVER_US);
	m.nodes[home]->cut_from_store = false;
	l = run_load(m, 10 * S, 150 * MS);
	/*
	 * The view of the store may be one second old when the entry arrives.
	 */
	EXPECT_GE(l.served, l.requested * 80 / 100) << l.requested;
	expect_no_violations(m);
}

/*
 * The home loses power. No request may wait longer than the timeout of one
 * quota request, and another instance must count once the lease has ended.
 */
TEST(ProxyQuotaHome, AnotherInstanceTakesOverWhenTheHomeDies)
{
	ProxyModel m(make_fleet_opts(10));
	Load l;
	int home;

	m.run(START_US);
	home = find_workspace_home(m);
	m.power_off(m.nodes[home].get());
	l = run_load(m, FAILOVER_US, 200 * MS);
	EXPECT_LE(l.longest_us, QUOTA_REQUEST_TIMEOUT_US + 50 * MS);
	/* The load of 5 per second fits into the other half. */
	EXPECT_GE(l.served, l.requested * 9 / 10) << l.requested;
	l = Load();
	for (int i = 0; i < 100; i++) {
		int at = (home + 1 + i % (NODES - 1)) % NODES;
		ProxyCaller *c = m.connect(at, "bounded", "key-a");

		l.served += m.run_statement(c, "READ 1").ok;
		m.disconnect(c);
		m.run(150 * MS);
	}
	EXPECT_GE(l.served, 99);
	expect_no_violations(m);
}

/*
 * All instances restart within a lease. The entries of the previous processes
 * are still in the store, so no other instance can be home, and the homes may
 * count soon after the restart.
 */
TEST(ProxyQuotaHome, CountsSoonAfterAFullRestart)
{
	ProxyModel m(make_fleet_opts(10));
	Load l;

	m.run(START_US);
	m.restart_all(1 * S);
	m.run(700 * MS);
	l = run_load(m, 3 * S, 150 * MS);
	EXPECT_GE(l.served, l.requested - 1) << l.requested;
	expect_no_violations(m);
}

/*
 * All instances are killed and restarted repeatedly. Each new home starts with
 * a few tokens only, so that restarts do not add up to more than the limit.
 */
TEST(ProxyQuotaHome, LimitHoldsOverManyRestarts)
{
	ProxyModel m(make_fleet_opts(10));

	m.run(START_US);
	for (int i = 0; i < 10; i++) {
		run_load(m, 1 * S, 5 * MS);
		for (auto &n : m.nodes)
			m.kill(n.get());
		m.run(300 * MS);
		for (auto &n : m.nodes)
			m.start(n.get());
	}
	expect_no_violations(m);
}

/*
 * Homes are killed, frozen, cut off from the store and restarted under
 * overload.
 */
TEST(ProxyQuotaHome, LimitHoldsWhileHomesFail)
{
	for (uint64_t seed = 1; seed <= 12; seed++) {
		ProxyModelOpts o = make_fleet_opts(6);

		SCOPED_TRACE(seed);
		o.seed = seed;
		ProxyModel m(o);
		m.run(START_US);
		for (int round = 0; round < 8; round++) {
			ProxyNode *n =
				m.nodes[round % 2 ? m.rand() % NODES :
						    find_workspace_home(m)]
					.get();
			int64_t duration_us = (int64_t)(m.rand() % 6000) * MS;

			switch (m.rand() % 4) {
			case 0:
				if (n->engine)
					m.kill(n);
				m.run_later(duration_us / 4, [&m, n] {
					if (!n->engine)
						m.start(n);
				});
				break;
			case 1:
				n->frozen = true;
				m.run_later(duration_us,
					    [n] { n->frozen = false; });
				break;
			case 2:
				n->cut_from_store = true;
				m.run_later(duration_us,
					    [n] { n->cut_from_store = false; });
				break;
			default:
				m.start_store_outage(duration_us, seed % 2,
						     seed % 3 == 0);
				break;
			}
			run_load(m, 2 * S, 10 * MS);
		}
		expect_no_violations(m);
	}
}

void start_later(ProxyModel &m, ProxyNode *n, int64_t delay_us)
{
	m.run_later(delay_us, [&m, n] {
		if (!n->engine)
			m.start(n);
	});
}

/* One random trouble of a part of the fleet, its messages or its store. */
void cause_trouble(ProxyModel &m)
{
	int64_t duration_us = (int64_t)(m.rand() % 7000) * MS;
	std::string zone = "z" + std::to_string(m.rand() % 3);
	int kind = (int)(m.rand() % 7);

	switch (kind) {
	case 0:
		set_zone_cut(m, zone, true);
		m.run_later(duration_us,
			    [&m, zone] { set_zone_cut(m, zone, false); });
		return;
	case 1:
		m.lose_limit_record();
		return;
	case 2:
		m.start_store_outage(duration_us, m.rand() % 2, m.rand() % 2);
		return;
	case 3:
		m.set_limit(m.rand() % 2 ? 6 : 40, 6);
		return;
	default:
		break;
	}
	for (auto &node : m.nodes) {
		ProxyNode *n = node.get();

		if (m.rand() % 3)
			continue;
		if (kind == 4) {
			n->cut_from_store = true;
			m.run_later(duration_us,
				    [n] { n->cut_from_store = false; });
		} else if (kind == 5 && n->engine) {
			m.kill(n);
			start_later(m, n, duration_us / 4);
		} else if (kind == 6 && n->engine) {
			m.power_off(n);
			start_later(m, n, duration_us);
		}
	}
}

/*
 * Property: no window exceeds the limit, under overload, while messages are
 * lost, doubled and overtake one another, zones are cut off, parts of the fleet
 * lose the store or stop, the fleet grows into a larger size class, and the
 * store loses the record.
 */
TEST(ProxyQuotaHome, LimitHoldsThroughCutsLossesAndGrowth)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		ProxyModelOpts o = make_fleet_opts(6);

		SCOPED_TRACE(seed);
		o.seed = seed;
		o.lost_messages_percent = 5;
		o.doubled_messages_percent = 10;
		o.message_jitter_us = 30 * MS;
		ProxyModel m(o);
		for (int i = 5; i < NODES; i++) {
			m.kill(m.nodes[i].get());
			start_later(m, m.nodes[i].get(),
				    (int64_t)(m.rand() % 12000) * MS);
		}
		m.run(2 * S);
		for (int round = 0; round < 10; round++) {
			cause_trouble(m);
			run_load(m, 2 * S, 10 * MS);
		}
		expect_no_violations(m);
	}
}

struct LapseCase {
	const char *name;
	int64_t outage_us;
	bool killed; /* all instances, as the store comes back */
};

const LapseCase lapse_cases[] = {
	{ "leases lapse while the store is away", 6 * S, false },
	{ "and all processes are killed then", 6 * S, true },
	{ "all are off for longer than a lease", 0, true },
};

/*
 * Load: all instances are asked for a small workspace's operations after all
 * leases have ended. They count again within a second of the store's first
 * good answer, not a lease later, and no window exceeds the limit.
 */
TEST(ProxyQuotaHome, CountsSoonAfterAllLeasesEnded)
{
	for (const LapseCase &k : lapse_cases) {
		ProxyModel m(make_fleet_opts(10));
		Load l;

		SCOPED_TRACE(k.name);
		m.run(START_US);
		run_load(m, 2 * S, 10 * MS);
		if (k.outage_us) {
			m.start_store_outage(k.outage_us, false, true);
			m.run(k.outage_us);
		}
		if (k.killed)
			m.restart_all(k.outage_us ? 500 * MS : 5 * S);
		m.run(1 * S);
		l = run_load(m, 2500 * MS, 150 * MS);
		EXPECT_GE(l.served, l.requested - 1) << l.requested;
		/* Nothing is counted twice as the others settle. */
		run_load(m, 6 * S, 10 * MS);
		expect_no_violations(m);
	}
}

struct LendCase {
	const char *name;
	int nodes;
	int instances_used; /* callers come to so many of them */
	int64_t interval_us; /* between operations, one after the other */
	int served_percent_min;
};

const LendCase lend_cases[] = {
	{ "one instance gets all callers", 6, 1, 20 * MS, 99 },
	{ "two instances do", 6, 2, 20 * MS, 99 },
	{ "all do", 6, 6, 20 * MS, 99 },
};

/*
 * Load: a workspace sends five sixths of its rate, from one moment to the next,
 * to a part of the instances. What the others do not use is lent to these
 * before the shares have followed the demand.
 */
TEST(ProxyQuotaLend, UnusedSharesServeWhereTheCallersAre)
{
	for (const LendCase &k : lend_cases) {
		ProxyModelOpts o = make_fleet_opts(60);
		int served = 0;
		int requested = 0;

		SCOPED_TRACE(k.name);
		o.nodes = k.nodes;
		o.burst = 6;
		ProxyModel m(o);
		m.run(START_US);
		for (int64_t end_us = m.now() + 3 * S; m.now() < end_us;) {
			ProxyCaller *c =
				m.connect((int)(m.rand() %
						(unsigned)k.instances_used),
					  "bounded", "key-a");
			int64_t next_us = m.now() + k.interval_us;

			requested++;
			served += m.run_statement(c, "READ 1").ok;
			m.disconnect(c);
			m.run(std::max<int64_t>(next_us - m.now(), 1));
		}
		EXPECT_GE(served * 100, requested * k.served_percent_min)
			<< served << " of " << requested;
		expect_no_violations(m);
	}
}

/*
 * Load: several times the rate, at all instances, while some are killed and
 * messages are lost, doubled and late. An operation lent is never used twice.
 */
TEST(ProxyQuotaLend, LimitHoldsUnderOverload)
{
	for (uint64_t seed = 1; seed <= 6; seed++) {
		ProxyModelOpts o = make_fleet_opts(60);

		SCOPED_TRACE(seed);
		o.nodes = 6;
		o.burst = 20;
		o.seed = seed;
		o.lost_messages_percent = 5;
		o.doubled_messages_percent = 10;
		o.message_jitter_us = 30 * MS;
		ProxyModel m(o);
		m.run(START_US);
		for (int round = 0; round < 6; round++) {
			ProxyNode *n = m.nodes[m.rand() % 6].get();

			if (n->engine)
				m.kill(n);
			start_later(m, n, (int64_t)(m.rand() % 3000) * MS);
			for (int64_t end_us = m.now() + 2 * S;
			     m.now() < end_us;) {
				std::vector<ProxyCaller *> callers;

				for (int j = 0; j < 6; j++) {
					callers.push_back(m.connect(j,
								    "bounded",
								    "key-a"));
					m.send_statement(callers.back(),
							 "READ 1");
				}
				m.run(20 * MS);
				for (ProxyCaller *c : callers)
					m.disconnect(c);
			}
		}
		expect_no_violations(m);
	}
}

} // namespace
