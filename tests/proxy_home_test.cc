#include "proxy_model.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>

extern "C" {
#include "proxy/failure_reports.h"
#include "proxy/homes.h"
#include "proxy/hop.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;
constexpr int64_t START_US = 6 * S; /* all nodes know one another */

/* Six nodes and five connections that may be used: three homes. */
ProxyModelOpts home_opts()
{
	ProxyModelOpts o;

	o.nodes = 6;
	o.conns_max = 9;
	o.unlimited = true;
	o.log = getenv("PROXY_LOG") != nullptr;
	return o;
}

int64_t count_relayed(const ProxyNode &n)
{
	return metrics_get(n.metrics, "relayed_operations_total", "svc0");
}

/* Returns a node that sends the workspace's operations to a home. */
int find_entry(ProxyModel &m, const std::string &key)
{
	for (auto &n : m.nodes) {
		ProxyCaller *c = m.connect(n->index, "strict", key);
		int64_t before = count_relayed(*n);

		m.run_statement(c, "READ 1");
		m.disconnect(c);
		if (count_relayed(*n) > before)
			return n->index;
	}
	return -1;
}

/* Returns the node whose engine ran the entry's last operation. */
ProxyNode *find_home(ProxyModel &m, int entry)
{
	for (auto &h : m.nodes[entry]->hops) {
		if (h->open)
			return h->to;
	}
	return nullptr;
}

void expect_no_violations(const ProxyModel &m)
{
	for (const std::string &v : m.violations)
		ADD_FAILURE() << v;
}

TEST(ProxyHome, RunsStatementsThroughAHome)
{
	ProxyModel m(home_opts());

	m.run(START_US);
	int entry = find_entry(m, "key-a");
	ASSERT_GE(entry, 0);
	for (const char *database : { "strict", "bounded", "session" }) {
		SCOPED_TRACE(database);
		ProxyCaller *c = m.connect(entry, database, "key-a");

		for (const char *text : { "WRITE 1 x",
					  "READ 1",
					  "SET a 1",
					  "READ 2",
					  "PREPARE s READ q",
					  "EXECUTE s 1",
					  "PREPARE w WRITE q",
					  "EXECUTE w 1",
					  "BEGIN",
					  "READ 1",
					  "WRITE 2 y",
					  "COMMIT",
					  "READ 2",
					  "BEGIN READ",
					  "READ 1",
					  "COMMIT",
					  "BEGIN",
					  "WRITE 1 z",
					  "ROLLBACK",
					  "READ 1",
					  "DEALLOCATE s" }) {
			ProxyAnswer a = m.run_statement(c, text);

			EXPECT_TRUE(a.ok) << text << ": " << a.text;
		}
		m.disconnect(c);
	}
	EXPECT_GT(count_relayed(*m.nodes[entry]), 10);
	expect_no_violations(m);
}

struct HomeCopyCase {
	const char *name;
	ProxyStutter stutter;
	int busy_percent;
};

const HomeCopyCase home_copy_cases[] = {
	{ "answers", { 100, REPLIES_SIGNED, 0, 30 * MS, 0 }, 0 },
	{ "answers, line by line",
	  { 100, REPLIES_SIGNED, 0, 30 * MS, 2 * MS },
	  0 },
	{ "refusals", { 100, REPLIES_ERRORS, 0, 60 * MS, 0 }, 20 },
	{ "all", { 50, REPLIES_ALL, 0, 1500 * MS, 0 }, 5 },
};

/* Guards against answers of others that a home passes on. */
TEST(ProxyHome, LateCopyOfAnAnswerIsDropped)
{
	for (const HomeCopyCase &k : home_copy_cases) {
		ProxyModel m(home_opts());

		SCOPED_TRACE(k.name);
		m.run(START_US);
		int entry = find_entry(m, "key-a");
		ASSERT_GE(entry, 0);
		for (auto &e : m.endpoints) {
			e->stutter = k.stutter;
			e->busy_percent = k.busy_percent;
		}
		for (int i = 0; i < 60; i++) {
			const char *databases[] = { "strict", "bounded",
						    "session" };
			ProxyCaller *c =
				m.connect(entry, databases[i % 3], "key-a");

			for (const char *text :
			     { "READ 1", "WRITE 1 x", "READ 2", "BEGIN",
			       "WRITE 2 y", "COMMIT", "SET a 1", "READ 3" })
				m.run_statement(c, text);
			m.disconnect(c);
		}
		EXPECT_GT(m.copies_sent, 0u);
		EXPECT_GT(m.answers["ok"], 240);
		m.run(2 * S);
		expect_no_violations(m);
	}
}

/* Text with NULs, as its length is taken from the array. */
#define TEXT(s) std::string(s, sizeof(s) - 1)

/* Guards against texts that are divided or cut between two instances. */
TEST(ProxyHome, OddTextsStayWhole)
{
	ProxyModel m(home_opts());

	m.run(START_US);
	int entry = find_entry(m, "key-a");
	ASSERT_GE(entry, 0);
	int64_t relayed = count_relayed(*m.nodes[entry]);
	m.row_end = TEXT("\nCOMPLETE 7.1\nREADY I -\0x\r");
	for (const char *database : { "strict", "session" }) {
		ProxyCaller *c = m.connect(entry, database, "key-a");

		for (const std::string &text :
		     { TEXT("WRITE 1 x\nQUERY q1 WRITE 2 y"), TEXT("READ 1\n"),
		       TEXT("SET a 1\nb 2"), TEXT("READ 1"),
		       TEXT("WRITE 1 x\0y"), TEXT("WRITE 1 x\r"),
		       TEXT("PREPARE s WRITE q\nOP 3"),
		       TEXT("EXECUTE s 1 \nLEAVING\0"), TEXT("BEGIN"),
		       TEXT("READ 1\nCOMMIT"), TEXT("COMMIT") }) {
			ProxyAnswer a = m.run_statement(c, text);

			EXPECT_TRUE(a.ok) << text << ": " << a.text;
		}
	}
	EXPECT_GT(count_relayed(*m.nodes[entry]), relayed + 10);
	expect_no_violations(m);
}

/* What happens to the home of a workspace that goes on asking. */
struct HomeLossCase {
	const char *name;
	void (*apply)(ProxyModel &m, ProxyNode *home, ProxyNode *entry);
	bool refuses_none; /* every caller is served all the while */
	int64_t gap_us; /* longest time without a success */
};

const HomeLossCase home_losses[] = {
	{ "killed",
	  [](ProxyModel &m, ProxyNode *home, ProxyNode *) { m.kill(home); },
	  false, 1500 * MS },
	{ "loses power",
	  [](ProxyModel &m, ProxyNode *home, ProxyNode *) {
		  m.power_off(home);
	  },
	  false, 1500 * MS },
	{ "frozen",
	  [](ProxyModel &m, ProxyNode *home, ProxyNode *) {
		  home->frozen = true;
	  },
	  false, 2500 * MS },
	{ "cut off",
	  [](ProxyModel &m, ProxyNode *home, ProxyNode *entry) {
		  home->cut_peers.insert(entry->index);
		  entry->cut_peers.insert(home->index);
	  },
	  false, 1500 * MS },
	{ "its answers are cut off",
	  [](ProxyModel &m, ProxyNode *home, ProxyNode *entry) {
		  home->cut_peers.insert(entry->index);
	  },
	  false, 1500 * MS },
	{ "stops as planned",
	  [](ProxyModel &m, ProxyNode *home, ProxyNode *) {
		  engine_drain(home->engine);
	  },
	  true, 200 * MS },
};

TEST(ProxyHome, AnotherServesWhenAHomeIsLost)
{
	for (const HomeLossCase &t : home_losses) {
		SCOPED_TRACE(t.name);
		ProxyModel m(home_opts());

		m.run(START_US);
		int entry = find_entry(m, "key-a");
		ASSERT_GE(entry, 0);
		ProxyNode *home = find_home(m, entry);
		ASSERT_NE(home, nullptr);
		ProxyCaller *c = m.connect(entry, "strict", "key-a");
		int64_t served_us = m.now();
		int64_t gap_us = 0;
		int refused = 0;

		for (int i = 0; i < 200; i++) {
			if (i == 20)
				t.apply(m, home, m.nodes[entry].get());
			if (c->closed)
				c = m.connect(entry, "strict", "key-a");
			if (m.run_statement(c, i % 2 ? "READ 1" : "WRITE 1 x")
				    .ok) {
				gap_us = std::max(gap_us, m.now() - served_us);
				served_us = m.now();
			} else {
				refused++;
			}
			m.run(20 * MS);
		}
		EXPECT_LE(gap_us, t.gap_us);
		EXPECT_LT(m.now() - served_us, 200 * MS);
		EXPECT_TRUE(!t.refuses_none || !refused) << refused;
		expect_no_violations(m);
	}
}

/* Every workspace's connections are at one home, not at each instance. */
TEST(ProxyHome, ConnectionsOfAWorkspaceAreAtOneHome)
{
	ProxyModelOpts o = home_opts();
	int64_t opened = 0;

	o.nodes = 12;
	ProxyModel m(o);
	m.run(START_US);
	for (auto &n : m.nodes)
		opened -= metrics_get(n->metrics, "connections_opened_total",
				      "work");
	for (int i = 0; i < 120; i++) {
		ProxyCaller *c = m.connect(i % 12, "strict", "key-a");

		ProxyAnswer a = m.run_statement(c, "READ 1");

		EXPECT_TRUE(a.ok) << a.text;
		m.disconnect(c);
	}
	for (auto &n : m.nodes)
		opened += metrics_get(n->metrics, "connections_opened_total",
				      "work");
	EXPECT_LE(opened, 12);
	expect_no_violations(m);
}

/*
 * Load: 200 nodes before an endpoint that takes 180 connections, each caller at
 * another node. Without homes nearly each statement opened a connection.
 */
TEST(ProxyHome, TwoHundredNodesShareAFewConnections)
{
	constexpr int NODES = 200;
	constexpr int STATEMENTS = 300;
	ProxyModelOpts o = home_opts();
	int64_t opened = 0;
	int refused = 0;
	size_t most_conns = 0;

	o.nodes = NODES;
	o.conns_max = 180;
	ProxyModel m(o);
	m.run(4 * S);
	for (auto &n : m.nodes)
		opened -= metrics_get(n->metrics, "connections_opened_total",
				      "work");
	for (int i = 0; i < STATEMENTS; i++) {
		const char *const keys[] = { "key-a", "key-b", "key-c" };
		ProxyCaller *c =
			m.connect(i * 7 % NODES, "bounded", keys[i % 3]);

		refused +=
			!m.run_statement(c, i % 4 ? "READ 1" : "WRITE 1 x").ok;
		m.disconnect(c);
		for (auto &e : m.endpoints)
			most_conns = std::max(most_conns, e->conns.size());
	}
	for (auto &n : m.nodes)
		opened += metrics_get(n->metrics, "connections_opened_total",
				      "work");
	EXPECT_EQ(refused, 0);
	EXPECT_LT(opened, STATEMENTS / 10);
	EXPECT_LT(most_conns, 99u); /* those that may be used */
	expect_no_violations(m);
}

int64_t count_answered(const ProxyNode &n)
{
	return n.engine ? metrics_get(n.metrics, "statements_total", "ok") : 0;
}

/* Returns the node whose engine runs a statement of the caller, or -1. */
int find_runner(ProxyModel &m, ProxyCaller *c, const char *text)
{
	std::vector<int64_t> before;
	int found = c->node->index;

	for (auto &n : m.nodes)
		before.push_back(count_answered(*n));
	if (!m.run_statement(c, text).ok)
		return -1;
	for (auto &n : m.nodes) {
		if (n.get() != c->node && count_answered(*n) > before[n->index])
			found = n->index;
	}
	return found;
}

/*
 * Load: entries in three zones. Work ran at a home by chance, so most writes
 * crossed zones twice, and reads did so although a replica was near.
 */
void expect_work_in_its_zone(ProxyModel &m)
{
	std::string primary_zone = m.primary()->zone;

	for (auto &n : m.nodes) {
		for (const char *key : { "key-a", "key-b", "key-c" }) {
			ProxyCaller *c = m.connect(n->index, "bounded", key);
			int read_at = find_runner(m, c, "READ 1");
			int write_at = find_runner(m, c, "WRITE 1 x");

			m.disconnect(c);
			c = m.connect(n->index, "strict", key);
			int strict_at = find_runner(m, c, "READ 1");

			m.disconnect(c);
			ASSERT_GE(std::min({ read_at, write_at, strict_at }),
				  0);
			EXPECT_EQ(m.nodes[write_at]->zone, primary_zone);
			EXPECT_EQ(m.nodes[strict_at]->zone, primary_zone);
			EXPECT_TRUE(m.nodes[read_at]->zone == n->zone ||
				    n->zone == primary_zone);
			EXPECT_NE(m.nodes[read_at]->zone, primary_zone);
		}
	}
}

TEST(ProxyHome, WorkRunsWhereItsEndpointIs)
{
	ProxyModelOpts o = home_opts();

	o.nodes = 12;
	ProxyModel m(o);
	m.run(START_US);
	expect_work_in_its_zone(m);

	/* A replica that is leaving serves nothing, so nor does its zone. */
	ProxyEndpoint *leaving = m.replica(0);
	m.set_leaving(leaving, true);
	m.run(500 * MS);
	for (auto &n : m.nodes) {
		ProxyCaller *c = m.connect(n->index, "bounded", "key-a");

		EXPECT_EQ(m.nodes[find_runner(m, c, "READ 1")]->zone,
			  m.replica(1)->zone);
		m.disconnect(c);
	}
	expect_no_violations(m);
}

int64_t count_opened(const ProxyModel &m)
{
	int64_t opened = 0;

	for (auto &n : m.nodes)
		opened += !n->engine ? 0 :
				       metrics_get(n->metrics,
						   "connections_opened_total",
						   "work");
	return opened;
}

/*
 * The home of one zone and the primary, in another, are lost at once. Work goes
 * by the new primary, and connections move as they are used.
 */
TEST(ProxyHome, WorkFollowsThePrimaryWhileAHomeIsReplaced)
{
	ProxyModelOpts o = home_opts();

	o.nodes = 12;
	ProxyModel m(o);
	m.run(START_US);
	ProxyCaller *c = m.connect(find_entry(m, "key-a"), "strict", "key-a");
	int home = find_runner(m, c, "WRITE 1 x");
	ASSERT_GE(home, 0);
	ASSERT_NE(home, c->node->index);
	int64_t opened = count_opened(m);
	std::string old = m.primary()->id;
	m.crash(m.primary());
	m.kill(m.nodes[home].get());
	ASSERT_TRUE(m.run_until(
		[&] { return m.primary() && m.primary()->id != old; }, 8 * S));
	m.run(6 * S); /* the instance's entry has ended */
	for (int i = 0; i < 60; i++) {
		EXPECT_TRUE(m.run_statement(c, "WRITE 1 x").ok);
		m.run(10 * MS);
	}
	EXPECT_EQ(m.nodes[find_runner(m, c, "WRITE 1 x")]->zone,
		  m.primary()->zone);
	EXPECT_LT(count_opened(m) - opened, 40);
	expect_no_violations(m);
}

/* The primary's zone has no instance left: others reach the primary. */
TEST(ProxyHome, OthersServeWhenAllHomesOfAZoneAreGone)
{
	ProxyModelOpts o = home_opts();

	o.nodes = 12;
	ProxyModel m(o);
	m.run(START_US);
	int entry = -1;
	for (auto &n : m.nodes) {
		if (n->zone != m.primary()->zone)
			entry = n->index;
	}
	for (auto &n : m.nodes) {
		if (n->zone == m.primary()->zone)
			m.power_off(n.get());
	}
	ProxyCaller *c = m.connect(entry, "strict", "key-a");
	int64_t served_us = m.now();
	int64_t gap_us = 0;
	for (int i = 0; i < 200; i++) {
		if (c->closed)
			c = m.connect(entry, "strict", "key-a");
		if (m.run_statement(c, "WRITE 1 x").ok) {
			gap_us = std::max(gap_us, m.now() - served_us);
			served_us = m.now();
		}
		m.run(20 * MS);
	}
	EXPECT_LE(gap_us, 1500 * MS);
	EXPECT_LT(m.now() - served_us, 200 * MS);
	expect_no_violations(m);
}

/* Reads the answers that have arrived; each such caller asks again. */
void keep_asking(ProxyModel &m, const std::vector<ProxyCaller *> &callers,
		 const char *text)
{
	for (ProxyCaller *c : callers) {
		bool answered = !c->lines.empty() &&
				c->lines.back().rfind("READY", 0) == 0;

		if (answered)
			m.wait_for_answer(c, 0);
		if (!c->closed && c->statement_id.empty())
			m.send_statement(c, text);
	}
}

/*
 * Load: forty nodes write at once. The home beside the primary, to which all of
 * them go, had a third of the primary's statements.
 */
TEST(ProxyHome, TheHomeBesideThePrimaryKeepsItsSlotsBusy)
{
	constexpr int64_t LOAD_US = 4 * S;
	ProxyModelOpts o = home_opts();
	std::vector<ProxyCaller *> callers;

	o.nodes = 40;
	o.conns_max = 60;
	ProxyModel m(o);
	m.run(START_US);
	for (int i = 0; i < o.nodes; i++)
		callers.push_back(m.connect(i, "strict", "key-a"));
	uint64_t before = m.acknowledged;
	for (int64_t end_us = m.now() + LOAD_US; m.now() < end_us;) {
		keep_asking(m, callers, "WRITE 1 x");
		m.run(1 * MS);
	}
	double slots_used = (double)(m.acknowledged - before) *
			    o.statement_duration_us / o.slots / LOAD_US;

	printf("slots used %.3f\n", slots_used);
	EXPECT_GT(slots_used, 0.9);
	expect_no_violations(m);
}

/* Some callers at an entry, whose writes run at a home elsewhere. */
struct BusyEntry {
	ProxyNode *entry = nullptr;
	ProxyNode *home = nullptr;
	std::vector<ProxyCaller *> callers;
};

BusyEntry make_busy_entry(ProxyModel &m, int callers)
{
	BusyEntry b;

	m.run(START_US);
	b.entry = m.nodes[find_entry(m, "key-a")].get();
	for (int i = 0; i < callers; i++)
		b.callers.push_back(
			m.connect(b.entry->index, "strict", "key-a"));
	b.home = m.nodes[find_runner(m, b.callers[0], "WRITE 1 x")].get();
	EXPECT_NE(b.home, b.entry);
	for (int64_t end_us = m.now() + 1 * S; m.now() < end_us;) {
		keep_asking(m, b.callers, "WRITE 1 x");
		m.run(1 * MS);
	}
	return b;
}

/* Returns how much of the answers in some time came from the home, in %. */
int64_t measure_share(ProxyModel &m, BusyEntry &b, int64_t duration_us)
{
	int64_t home = -count_answered(*b.home);
	int64_t all = -count_answered(*b.entry);

	for (int64_t end_us = m.now() + duration_us; m.now() < end_us;) {
		keep_asking(m, b.callers, "WRITE 1 x");
		m.run(1 * MS);
	}
	home += count_answered(*b.home);
	all += count_answered(*b.entry);
	return home * 100 / std::max<int64_t>(all, 1);
}

/*
 * A home that handles each line 100 ms late: its entries went on to send it all
 * work. It gets it back once it is as quick as before.
 */
TEST(ProxyHome, ASlowHomeGetsLess)
{
	ProxyModel m(home_opts());
	BusyEntry b = make_busy_entry(m, 4);

	EXPECT_EQ(measure_share(m, b, 1 * S), 100);
	b.home->slow_us = 100 * MS;
	measure_share(m, b, 1 * S);
	EXPECT_LT(measure_share(m, b, 2 * S), 50);
	b.home->slow_us = 0;
	measure_share(m, b, 1 * S);
	EXPECT_EQ(measure_share(m, b, 1 * S), 100);
	expect_no_violations(m);
}

/*
 * A frozen home has idle connections, and each statement on one of them waited
 * for its deadline. New work goes elsewhere after 250 ms; what was sent is
 * neither sent again nor given up.
 */
TEST(ProxyHome, AFrozenHomeGetsNoNewWork)
{
	ProxyModel m(home_opts());
	BusyEntry b = make_busy_entry(m, 20);
	int late = 0;

	m.run(1 * S);
	for (ProxyCaller *c : b.callers)
		m.wait_for_answer(c, 0);
	b.home->frozen = true;
	for (ProxyCaller *c : b.callers) {
		m.send_statement(c, "WRITE 1 x");
		m.run(50 * MS);
	}
	for (ProxyCaller *c : b.callers) {
		ProxyAnswer a = m.wait_for_answer(c, 2 * S);

		late += !a.ok;
	}
	EXPECT_LE(late, 7);
	EXPECT_EQ(b.entry->log_counts[LOG_HOME_STALLED], 1);
	b.home->frozen = false;
	m.run(3 * S);
	/* The first statement of all is a trial. */
	EXPECT_GE(measure_share(m, b, 1 * S), 80);
	EXPECT_GE(measure_share(m, b, 1 * S), 95);
	expect_no_violations(m);
}

/*
 * Its other idle connections are not used up one batch after the other: until
 * it says something, one statement at a time tries it.
 */
TEST(ProxyHome, AHomeThatStaysFrozenIsTriedByOneStatementAtATime)
{
	ProxyModel m(home_opts());
	BusyEntry b = make_busy_entry(m, 20);
	int late = 0;

	m.run(1 * S);
	for (ProxyCaller *c : b.callers)
		m.wait_for_answer(c, 0);
	b.home->frozen = true;
	for (int round = 0; round < 4; round++) {
		for (ProxyCaller *c : b.callers) {
			m.send_statement(c, "WRITE 1 x");
			m.run(50 * MS);
		}
		for (ProxyCaller *c : b.callers)
			late += !m.wait_for_answer(c, 2 * S).ok;
	}
	/* The first batch, and one for each time-out of two seconds. */
	EXPECT_LE(late, 7 + 6);
	b.home->frozen = false;
	m.run(3 * S);
	EXPECT_GE(measure_share(m, b, 1 * S), 95);
	expect_no_violations(m);
}

/* A home whose endpoint takes long for a statement says that it runs. */
TEST(ProxyHome, AHomeThatWaitsIsNotStalled)
{
	ProxyModel m(home_opts());
	BusyEntry b = make_busy_entry(m, 1);

	m.opts.statement_duration_us = 600 * MS;
	EXPECT_EQ(measure_share(m, b, 3 * S), 100);
	EXPECT_EQ(b.entry->log_counts[LOG_HOME_STALLED], 0);
	expect_no_violations(m);
}

/* Neither the waits nor the connection are harmed by what cannot be read. */
TEST(ProxyHome, IgnoresMalformedLoads)
{
	ProxyModel m(home_opts());
	BusyEntry b = make_busy_entry(m, 4);

	for (const char *line :
	     { "LOAD x 0", "LOAD 0", "LOAD 0 0 0", "LOAD -1 0",
	       "LOAD 10000001 0", "LOAD 99999999999999999999 0",
	       "LOAD 0 3600000001", "LOAD  0" }) {
		ASSERT_FALSE(b.entry->hops.empty());
		engine_conn_line((*b.entry->hops.begin())->engine_conn, line);
	}
	EXPECT_EQ(metrics_get(b.entry->metrics, "home_loads_dropped_total",
			      nullptr),
		  8);
	EXPECT_EQ(b.entry->log_counts[LOG_HOME_LOAD_BAD], 1);
	EXPECT_EQ(measure_share(m, b, 1 * S), 100);
	expect_no_violations(m);
}

size_t count_conns_from(const ProxyEndpoint &e, const ProxyNode &n)
{
	size_t count = 0;

	for (auto &c : e.conns)
		count += c->node == &n;
	return count;
}

/*
 * A home that is cut from the store still thinks itself one after another has
 * taken its place. The endpoint's connections suffice for both.
 */
TEST(ProxyHome, TwoHomesOfOneZoneStayBelowTheConnections)
{
	constexpr int ROUNDS = 60;
	ProxyModelOpts o = home_opts();
	std::vector<ProxyCaller *> callers;
	size_t most = 0;

	o.nodes = 30;
	o.conns_max = 20;
	ProxyModel m(o);
	m.run(START_US);
	ProxyCaller *c = m.connect(find_entry(m, "key-a"), "strict", "key-a");
	ProxyNode *old = m.nodes[find_runner(m, c, "WRITE 1 x")].get();
	old->cut_from_store = true;
	m.run(12 * S); /* its entry has ended */
	int next = find_runner(m, c, "WRITE 1 x");
	ASSERT_GE(next, 0);
	ASSERT_NE(m.nodes[next].get(), old);
	for (int i = 0; i < 40; i++) {
		int node = i % 2 ? old->index : i / 2;

		callers.push_back(m.connect(node, "open", ""));
	}
	for (int i = 0; i < ROUNDS; i++) {
		keep_asking(m, callers, "WRITE 1 x");
		m.run(5 * MS);
		for (auto &e : m.endpoints)
			most = std::max(most, e->conns.size());
	}
	EXPECT_GT(count_conns_from(*m.primary(), *old), 1u);
	EXPECT_GT(count_conns_from(*m.primary(), *m.nodes[next]), 1u);
	EXPECT_LE(most, o.conns_max);
	expect_no_violations(m);
}

/*
 * Lines on the port for statements of other instances, most of them such as no
 * instance sends. None may end the process, reach an endpoint if it should not,
 * or spoil the next session.
 */
#define ROUTE "0 0 1000000 400000 1" /* as the model's route "strict" */

struct HopLinesCase {
	const char *lines[3];
	const char *answer; /* that must be among the lines; NULL: any */
};

const HopLinesCase hop_lines[] = {
	{ { "HOP 3 svc0", "OP 3 0 0 0 " ROUTE " a strict", "QUERY q READ 1" },
	  "COMPLETE" },
	{ { "HOP 3 svc0", "OP 2 5000 0 0 " ROUTE " a strict",
	    "QUERY q READ 1" },
	  "COMPLETE" },
	{ { "STARTUP strict key-a", "QUERY q READ 1", "" }, "ERROR MALFORMED" },
	{ { "HOP 2 svc0", "", "" }, "ERROR MALFORMED" },
	{ { "HOP 3 svc0", "QUERY q READ 1", "QUERY q WRITE 1 x" },
	  "ERROR MISROUTED no operation" },
	{ { "HOP 3 svc0", "QUERY q BEGIN", "QUERY q COMMIT" },
	  "ERROR MISROUTED no operation" },
	{ { "HOP 3 svc0", "OP", "QUERY q READ 1" }, nullptr },
	{ { "HOP 3 svc0", "OP 1 0 0 0 a", "QUERY q READ 1" }, nullptr },
	{ { "HOP 3 svc0", "OP 3 0 0 0 " ROUTE " a nowhere", "QUERY q READ 1" },
	  "ERROR MISROUTED the home has another route" },
	{ { "HOP 3 other", "OP 3 0 0 0 " ROUTE " a strict", "QUERY q READ 1" },
	  "ERROR MISROUTED the home has another route" },
	{ { "HOP 3 svc0", "OP 999 0 0 0 " ROUTE " a nowhere",
	    "QUERY q WRITE 1 x" },
	  "COMPLETE" },
	{ { "HOP 3 other", "OP 999 0 0 0 " ROUTE " a strict",
	    "QUERY q WRITE 1 x" },
	  "ERROR MISROUTED the home has an older configuration" },
	{ { "HOP 3 svc0", "OP 3 0 0 0 " ROUTE " a strict",
	    "OP 3 0 0 0 " ROUTE " a strict" },
	  nullptr },
	{ { "HOP 3 svc0", "LEAVING", "\x01\xff" }, "ERROR MALFORMED" },
	{ { "", "", "" }, "ERROR MALFORMED" },
};

bool has_line(const ProxyCaller &c, const char *text)
{
	for (const std::string &line : c.lines) {
		if (line.rfind(text, 0) == 0)
			return true;
	}
	return false;
}

TEST(ProxyHome, AnswersLinesOfOtherInstances)
{
	ProxyModel m(home_opts());
	ProxyNode *n = m.nodes[0].get();

	m.run(START_US);
	m.allow_unasked = true; /* the model knows only its callers' lines */
	for (const HopLinesCase &t : hop_lines) {
		SCOPED_TRACE(std::string(t.lines[1]) + ", " + t.lines[2]);
		ProxyCaller raw;

		raw.node = n;
		raw.session = engine_relay_opened(n->engine, &raw);
		for (const char *line : t.lines) {
			std::string text = line;

			/* Each statement has an id of its own. */
			if (text.rfind("QUERY q", 0) == 0)
				text.insert(strlen("QUERY q"),
					    std::to_string(&t - hop_lines));
			if (raw.session)
				engine_caller_line(raw.session, text.c_str());
		}
		m.run(200 * MS);
		EXPECT_TRUE(!t.answer || has_line(raw, t.answer))
			<< (raw.lines.empty() ? "" : raw.lines.back());
		if (raw.session)
			engine_caller_closed(raw.session);
	}
	ProxyCaller *c = m.connect(0, "strict", "key-a");
	EXPECT_TRUE(m.run_statement(c, "WRITE 1 x").ok);
	expect_no_violations(m);
}

/*
 * The newest configuration counts, be it the home's own or the one by which the
 * operation was sent: by neither may a read be older than it allows.
 */
struct RouteCase {
	const char *name;
	const char *announcement;
	bool at_replica;
};

const RouteCase route_cases[] = {
	{ "the same version", "OP 3 0 0 0 0 0 1000000 400000 1 a bounded",
	  true },
	{ "the home's is newer, and allows replicas",
	  "OP 2 0 0 0 0 0 1000000 400000 1 a bounded", true },
	{ "the home's is newer, and strict",
	  "OP 2 0 0 0 1 5000000 1000000 400000 1 a strict", false },
	{ "the entry's is newer, and strict",
	  "OP 4 0 0 0 0 0 1000000 400000 1 a bounded", false },
	{ "the entry's is newer, and allows replicas",
	  "OP 4 0 0 0 1 5000000 1000000 400000 1 a strict", true },
};

TEST(ProxyHome, TheNewestConfigurationCounts)
{
	for (const RouteCase &t : route_cases) {
		SCOPED_TRACE(t.name);
		ProxyModel m(home_opts());
		ProxyCaller raw;

		m.run(START_US);
		m.allow_unasked = true;
		raw.node = m.nodes[0].get();
		raw.session = engine_relay_opened(raw.node->engine, &raw);
		engine_caller_line(raw.session, "HOP 3 svc0");
		uint64_t reads = m.replica_reads;
		for (int i = 0; i < 5; i++) {
			std::string id = "q" + std::to_string(i);

			engine_caller_line(raw.session, t.announcement);
			engine_caller_line(raw.session,
					   ("QUERY " + id + " READ 1").c_str());
			m.run(100 * MS);
		}
		EXPECT_EQ(m.replica_reads > reads, t.at_replica);
		EXPECT_TRUE(has_line(raw, "COMPLETE"));
		engine_caller_closed(raw.session);
		expect_no_violations(m);
	}
}

/* A stopping home tells every other end, and accepts nothing new. */
TEST(ProxyHome, StoppingHomeAcceptsNothingNew)
{
	ProxyModel m(home_opts());
	ProxyNode *n = m.nodes[0].get();
	ProxyCaller early;
	ProxyCaller late;

	m.run(START_US);
	early.node = n;
	early.session = engine_relay_opened(n->engine, &early);
	engine_caller_line(early.session, "HOP 3 svc0");
	engine_drain(n->engine);
	EXPECT_TRUE(has_line(early, "LEAVING"));
	late.node = n;
	late.session = engine_relay_opened(n->engine, &late);
	engine_caller_line(late.session, "HOP 3 svc0");
	EXPECT_TRUE(has_line(late, "LEAVING"));
	for (ProxyCaller *c : { &early, &late }) {
		engine_caller_line(c->session, "OP 3 0 0 0 " ROUTE " a strict");
		engine_caller_line(c->session, "QUERY q READ 1");
		m.run(100 * MS);
		EXPECT_TRUE(
			has_line(*c, "ERROR MISROUTED the home is stopping"));
		engine_caller_closed(c->session);
	}
	expect_no_violations(m);
}

/*
 * Load: configurations that change faster than they reach the homes. Every
 * statement was sent again and ran on a connection that its entry opened.
 */
TEST(ProxyHome, HomesWithAnOlderConfigurationServe)
{
	ProxyModel m(home_opts());

	m.run(START_US);
	int entry = find_entry(m, "key-a");
	ASSERT_GE(entry, 0);
	ProxyNode *n = m.nodes[entry].get();
	for (auto &other : m.nodes)
		other->cut_from_store = other->index != entry;
	m.lost_message_type = PEER_CHANGE;
	m.change_config(20000);
	m.run(100 * MS);
	int64_t relayed = count_relayed(*n);
	int64_t opened =
		metrics_get(n->metrics, "connections_opened_total", "work");
	for (const char *database : { "strict", "bounded", "session" }) {
		ProxyCaller *c = m.connect(entry, database, "key-a");

		for (const char *text :
		     { "WRITE 1 x", "READ 1", "BEGIN", "WRITE 2 y", "COMMIT" })
			EXPECT_TRUE(m.run_statement(c, text).ok) << text;
		m.disconnect(c);
	}
	/* A transaction is one operation. */
	EXPECT_EQ(count_relayed(*n) - relayed, 9);
	EXPECT_EQ(metrics_get(n->metrics, "relayed_not_accepted_total", "svc0"),
		  0);
	EXPECT_EQ(metrics_get(n->metrics, "connections_opened_total", "work"),
		  opened);
	EXPECT_EQ(m.count_nodes_with_newest_config(), 1);
	expect_no_violations(m);
}

struct ChoiceCase {
	const char *name;
	std::vector<const char *> endpoint_zones;
	std::vector<const char *> instance_zones;
	uint32_t homes;
};

const ChoiceCase choices[] = {
	{ "one in each zone with an endpoint",
	  { "a", "b", "c" },
	  { "a", "a", "b", "b", "c", "c", "d", "d" },
	  3 },
	{ "endpoints in one zone", { "a", "a", "a" }, { "a", "a", "b" }, 1 },
	{ "a zone without instances",
	  { "a", "b", "c" },
	  { "a", "b", "b", "d" },
	  2 },
	{ "no instance near an endpoint", { "a" }, { "b", "c", "d" }, 3 },
	{ "no endpoint is known", {}, { "b", "c" }, 2 },
	{ "no instance", { "a" }, {}, 0 },
};

struct service *make_service(const char *name,
			     const std::vector<const char *> &zones)
{
	struct service *svc = service_new(name);
	struct upstream_entry entry = {};

	for (const char *zone : zones) {
		g_strlcpy(entry.zone, zone, sizeof(entry.zone));
		upstream_new(svc, &entry);
	}
	return svc;
}

std::vector<std::string> choose_homes(struct service *svc,
				      std::vector<struct home_candidate> c)
{
	uint32_t homes[HOMES_MAX];
	std::vector<std::string> names;
	uint32_t n = homes_choose(svc, c.data(), c.size(), homes);

	for (uint32_t i = 0; i < n; i++)
		names.push_back(c[homes[i]].name);
	return names;
}

TEST(ProxyHome, ChoosesOneHomeInEachZoneOfAnEndpoint)
{
	for (const ChoiceCase &t : choices) {
		SCOPED_TRACE(t.name);
		struct service *svc = make_service("svc", t.endpoint_zones);
		std::vector<std::string> names;
		std::vector<struct home_candidate> c;

		for (size_t i = 0; i < t.instance_zones.size(); i++)
			names.push_back("n" + std::to_string(i));
		for (size_t i = 0; i < names.size(); i++)
			c.push_back(
				{ names[i].c_str(), t.instance_zones[i], 0 });
		EXPECT_EQ(choose_homes(svc, c).size(), t.homes);
		service_free(svc);
	}
}

/*
 * Load: 200 instances in four zones and 100 services. One instance that leaves
 * moves only the homes that it was, and no instance is home of many services.
 */
TEST(ProxyHome, AnInstanceThatLeavesMovesOnlyItsOwnHomes)
{
	constexpr int INSTANCES = 200;
	constexpr int SERVICES = 100;
	const std::vector<const char *> zones = { "a", "b", "c", "d" };
	std::vector<std::string> names;
	std::vector<struct home_candidate> all;
	std::map<std::string, int> roles;

	for (int i = 0; i < INSTANCES; i++)
		names.push_back("edge-" + std::to_string(i));
	for (int i = 0; i < INSTANCES; i++)
		all.push_back({ names[i].c_str(), zones[i % 4], 0 });
	std::vector<struct home_candidate> rest(all.begin() + 1, all.end());
	for (int s = 0; s < SERVICES; s++) {
		struct service *svc =
			make_service(("svc" + std::to_string(s)).c_str(),
				     { "a", "b", "c" });
		std::vector<std::string> before = choose_homes(svc, all);
		std::vector<std::string> after = choose_homes(svc, rest);

		for (const std::string &name : before) {
			bool stays = std::find(after.begin(), after.end(),
					       name) != after.end();

			roles[name]++;
			EXPECT_TRUE(stays || name == names[0]) << name;
		}
		service_free(svc);
	}
	for (auto &r : roles)
		EXPECT_LE(r.second, 8) << r.first;
}

TEST(ProxyHome, OnlyObserversReportASilentPrimary)
{
	struct failure_reports *f = failure_reports_new();
	struct service *svc = make_service("svc", { "a", "b" });
	struct upstream *u =
		(struct upstream *)g_ptr_array_index(svc->upstreams, 0);
	uint64_t silent = upstream_id_hash(u);

	svc->has_homes = true;
	g_hash_table_add(svc->observers, g_strdup("observer-1"));
	g_hash_table_add(svc->observers, g_strdup("observer-2"));
	for (int i = 0; i < 20; i++)
		failure_reports_update(f, ("n" + std::to_string(i)).c_str(),
				       nullptr, 0, 1 * S);
	EXPECT_FALSE(failure_reports_confirm_silence(f, u, 1 * S));
	failure_reports_update(f, "observer-2", nullptr, 0, 1 * S);
	failure_reports_update(f, "observer-1", &silent, 1, 1 * S);
	EXPECT_FALSE(failure_reports_confirm_silence(f, u, 1 * S));
	failure_reports_update(f, "observer-2", &silent, 1, 1 * S);
	EXPECT_TRUE(failure_reports_confirm_silence(f, u, 1 * S));
	failure_reports_free(f);
	service_free(svc);
}

const char *const bad_hop_lines[] = {
	"OP",
	"OP ",
	"OP 1 0 0 0 a strict",
	"OP 1 0 0 0 " ROUTE " a",
	"OP 1 0 0 0 " ROUTE " a b c",
	"OP -1 0 0 0 " ROUTE " a strict",
	"OP 99999999999999999999 0 0 0 " ROUTE " a strict",
	"OP 1 x 0 0 " ROUTE " a strict",
	"OP 1 999999999999999 0 0 " ROUTE " a strict",
	"OP 1 0 0 0 " ROUTE "  strict",
	"OP 1 0 0 0 " ROUTE
	" a-name-that-is-longer-than-any-workspace-may-have-1234 s",
	"OP 1 0 0 0 3 0 1000000 400000 1 a strict",
	"OP 1 0 0 0 -1 0 1000000 400000 1 a strict",
	"OP 1 0 0 0 1 -5 1000000 400000 1 a strict",
	"OP 1 0 0 0 1 3600000001 1000000 400000 1 a strict",
	"OP 1 0 0 0 1 0 9223372036854775807 400000 1 a strict",
	"OP 1 0 0 0 1 0 1000000 x 1 a strict",
	"OP 1 0 0 0 1 0 1000000 400000 4294967296 a strict",
};

TEST(ProxyHome, RefusesMalformedLines)
{
	struct hop_operation op;
	const char *service;

	for (const char *line : bad_hop_lines) {
		char *copy = g_strdup(line);

		EXPECT_FALSE(hop_read_operation(copy, &op)) << line;
		g_free(copy);
	}
	for (const char *line : { "HOP", "HOP 3", "HOP 2 svc", "HOP x svc",
				  "HOP 3 svc more", "STARTUP strict key-a" }) {
		char *copy = g_strdup(line);

		EXPECT_FALSE(hop_read_start(copy, &service)) << line;
		g_free(copy);
	}
}

TEST(ProxyHome, OperationKeepsItsFields)
{
	struct hop_operation in = {};
	struct hop_operation out;
	GString *line = g_string_new(nullptr);

	in.config_version = 17;
	in.elapsed_us = 1234;
	in.last_write = { 3, 99 };
	in.workspace = "a";
	in.database = "strict";
	in.route.freshness = FRESH_SESSION;
	in.route.max_age_us = 700;
	in.route.timeout_us = 7200 * S;
	in.route.target_us = 55;
	in.route.priority = 2;
	hop_put_operation(line, &in);
	g_string_truncate(line, line->len - 2);
	ASSERT_TRUE(hop_read_operation(line->str, &out));
	EXPECT_EQ(out.config_version, 17);
	EXPECT_EQ(out.elapsed_us, 1234);
	EXPECT_EQ(out.route.freshness, FRESH_SESSION);
	EXPECT_EQ(out.route.max_age_us, 700);
	EXPECT_EQ(out.route.timeout_us, 3600 * S); /* as much as is read */
	EXPECT_EQ(out.route.target_us, 55);
	EXPECT_EQ(out.route.priority, 2u);
	EXPECT_EQ(out.last_write.term, 3u);
	EXPECT_EQ(out.last_write.offset, 99u);
	EXPECT_STREQ(out.workspace, "a");
	EXPECT_STREQ(out.database, "strict");
	g_string_free(line, TRUE);
}

} // namespace
