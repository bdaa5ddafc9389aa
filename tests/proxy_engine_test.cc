#include "proxy_model.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;
/* A new fleet has its configuration and its duty's holder by then. */
constexpr int64_t START_US = 3 * S;

void expect_sound(ProxyModel &m)
{
	m.check_quota();
	for (const std::string &v : m.violations)
		ADD_FAILURE() << v;
}

struct StatementCase {
	const char *database;
	const char *key;
	std::vector<const char *> statements;
	const char *last_code; /* "" for success */
};

const StatementCase statement_cases[] = {
	{ "strict", "key-a", { "READ 1" }, "" },
	{ "strict", "key-a", { "WRITE 1 x", "READ 1" }, "" },
	{ "bounded", "key-a", { "READ 1" }, "" },
	{ "session", "key-b", { "WRITE 1 x", "READ 1" }, "" },
	{ "open", "", { "READ 1" }, "" },
	{ "strict", "key-a", { "BEGIN", "WRITE 1 x", "READ 1", "COMMIT" }, "" },
	{ "bounded", "key-a", { "BEGIN READ", "READ 1", "COMMIT" }, "" },
	{ "strict", "key-a", { "BEGIN READ", "READ 1", "COMMIT" }, "" },
	{ "strict", "key-a", { "BEGIN", "COMMIT" }, "" },
	{ "strict", "key-a", { "BEGIN", "WRITE 1 x", "ROLLBACK" }, "" },
	{ "session",
	  "key-a",
	  { "SET a 1", "PREPARE s READ q", "EXECUTE s 1", "SET a 2",
	    "EXECUTE s 1" },
	  "" },
	{ "session", "key-a", { "PREPARE s WRITE q", "EXECUTE s 1 x" }, "" },
	{ "session", "key-a", { "EXECUTE s 1" }, "NOSTMT" },
	{ "session",
	  "key-a",
	  { "PREPARE s READ q", "DEALLOCATE s", "EXECUTE s 1" },
	  "NOSTMT" },
	{ "session", "key-a", { "COMMIT" }, "MALFORMED" },
	{ "session", "key-a", { "HELLO" }, "MALFORMED" },
};

TEST(ProxyEngine, RunsStatements)
{
	for (const StatementCase &k : statement_cases) {
		ProxyModelOpts o;
		o.log = getenv("PROXY_LOG") != nullptr;
		ProxyModel m(o);
		ProxyAnswer a;

		m.run(START_US);
		ProxyCaller *c = m.connect(1, k.database, k.key);
		for (const char *text : k.statements)
			a = m.ask(c, text);
		SCOPED_TRACE(std::string(k.database) + " " +
			     k.statements.back());
		EXPECT_EQ(k.last_code, a.code);
		EXPECT_EQ(!*k.last_code, a.ok);
		EXPECT_EQ('I', a.state);
		EXPECT_LT(a.took_us, 200 * MS);
		m.run(1 * S);
		expect_sound(m);
	}
}

struct StartCase {
	const char *database;
	const char *key;
	const char *code; /* "" for success */
};

const StartCase start_cases[] = {
	{ "strict", "key-a", "" },
	{ "nothere", "key-a", "NODB" },
	{ "strict", "key-x", "UNAUTH" },
	{ "strict", "", "UNAUTH" },
	{ "open", "", "" },
};

TEST(ProxyEngine, ChecksSessionStarts)
{
	ProxyModel m({});

	m.run(START_US);
	for (const StartCase &k : start_cases) {
		ProxyCaller *c = m.connect(0, k.database, k.key);
		ProxyAnswer a = m.take(c, 1 * S);

		SCOPED_TRACE(std::string(k.database) + " " + k.key);
		EXPECT_EQ(k.code, a.code);
		EXPECT_EQ(*k.code != 0, a.closed);
	}
}

/* Writes at every node once a turn, until one succeeds everywhere. */
int64_t write_gap(ProxyModel &m, int64_t at_most_us)
{
	int64_t start = m.now();

	while (m.now() - start < at_most_us) {
		ProxyCaller *c = m.connect(1, "strict", "key-a");

		if (m.ask(c, "WRITE 1 x").ok)
			return m.now() - start;
		m.disconnect(c);
		m.run(50 * MS);
	}
	return at_most_us;
}

struct PrimaryFault {
	const char *name;
	void (*fault)(ProxyModel &m, ProxyEndpoint *p);
};

const PrimaryFault primary_faults[] = {
	{ "crash", [](ProxyModel &m, ProxyEndpoint *p) { m.crash(p); } },
	{ "dark", [](ProxyModel &m, ProxyEndpoint *p) { m.go_dark(p); } },
	{ "cut off from the instances",
	  [](ProxyModel &m, ProxyEndpoint *p) {
		  p->cut_nodes = { 0, 1, 2 };
	  } },
	{ "leaving",
	  [](ProxyModel &m, ProxyEndpoint *p) { m.set_leaving(p, true); } },
	{ "unlisted", [](ProxyModel &m, ProxyEndpoint *p) { m.unlist(p); } },
};

TEST(ProxyEngine, ReplacesThePrimary)
{
	for (const PrimaryFault &f : primary_faults) {
		ProxyModel m({});
		ProxyEndpoint *old;

		SCOPED_TRACE(f.name);
		m.run(START_US);
		ProxyCaller *c = m.connect(0, "strict", "key-a");
		EXPECT_TRUE(m.ask(c, "WRITE 1 x").ok);
		old = m.primary();
		f.fault(m, old);
		/* The users' bound for a change of primary. */
		EXPECT_TRUE(
			m.run_until([&] { return m.primary() != old; }, 6 * S));
		EXPECT_LT(write_gap(m, 10 * S), 1 * S);
		m.run(2 * S);
		EXPECT_EQ(1u, m.promotions);
		expect_sound(m);
	}
}

/* Nothing listens any more: there is nothing to wait for. */
TEST(ProxyEngine, ACrashedPrimaryIsReplacedAtOnce)
{
	ProxyModelOpts o;

	ProxyModel m(o);
	m.run(START_US);
	m.crash(m.primary());
	/* Noticing it takes less than the promotion itself. */
	EXPECT_LT(write_gap(m, 10 * S), 2 * o.promote_us);
	expect_sound(m);
}

/*
 * A primary that was replaced while it was cut off comes back with an entry
 * of before; it must not displace its successor.
 */
TEST(ProxyEngine, AnOldEntryDisplacesNoPrimary)
{
	ProxyModelOpts o;
	o.log = getenv("PROXY_LOG") != nullptr;
	ProxyModel m(o);
	ProxyEndpoint *old;

	m.run(START_US);
	old = m.primary();
	old->cut_nodes = { 0, 1, 2 };
	m.unlist(old);
	EXPECT_LT(write_gap(m, 10 * S), 6 * S);
	m.run(4 * S);
	old->cut_nodes.clear();
	m.publish_as(old, "primary");
	m.run(100 * MS);
	for (int i = 0; i < 20; i++) {
		ProxyCaller *c = m.connect(i % 3, "strict", "key-a");

		EXPECT_TRUE(m.ask(c, "WRITE 1 x").ok) << i;
		m.disconnect(c);
		m.run(20 * MS);
	}
	expect_sound(m);
}

/* One replica cannot tell what it has: the other may lack a commit. */
TEST(ProxyEngine, WaitsForACopyThatMayHaveMore)
{
	ProxyModelOpts o;
	o.log = getenv("PROXY_LOG") != nullptr;
	ProxyModel m(o);

	m.run(START_US);
	ProxyCaller *c = m.connect(0, "strict", "key-a");
	m.replica(1)->cut_replication = true;
	EXPECT_TRUE(m.ask(c, "WRITE 1 x").ok);
	m.replica(0)->cut_nodes = { 0, 1, 2 };
	m.crash(m.primary());
	m.run(8 * S);
	EXPECT_EQ(0u, m.promotions);
	for (auto &e : m.endpoints) {
		e->cut_nodes.clear();
		e->cut_replication = false;
	}
	EXPECT_LT(write_gap(m, 10 * S), 6 * S);
	EXPECT_EQ(1u, m.promotions);
	expect_sound(m);
}

/*
 * A copy's entry lapsed with the store and comes back a moment later. An
 * instance that has just started cannot know of it, and must not choose
 * among the others: that copy alone has the commit.
 */
TEST(ProxyEngine, ACopyWhoseEntryComesBackCounts)
{
	ProxyModel m({});
	ProxyEndpoint *has_it;

	m.run(START_US);
	ProxyCaller *c = m.connect(0, "strict", "key-a");
	m.replica(1)->cut_replication = true;
	has_it = m.replica(0);
	EXPECT_TRUE(m.ask(c, "WRITE 1 x").ok);
	m.unlist(has_it);
	for (auto &n : m.nodes)
		m.kill(n.get());
	for (auto &n : m.nodes)
		m.start(n.get());
	m.run(300 * MS);
	m.crash(m.primary());
	m.at(1500 * MS, [&m, has_it] { m.publish(has_it); });
	m.run(8 * S);
	EXPECT_EQ(has_it, m.primary());
	expect_sound(m);
}

/*
 * The holder of the duty stopped the replicas and died before it chose; the
 * primary is there again. Without replicas it could confirm nothing.
 */
TEST(ProxyEngine, CopiesThatWereStoppedReceiveAgain)
{
	ProxyModel m({});
	ProxyEndpoint *p;
	int holder = -1;

	m.run(START_US);
	p = m.primary();
	for (int i = 0; i < 3; i++) {
		if (metrics_get(m.nodes[i]->metrics, "duty_held", nullptr))
			holder = i;
	}
	ASSERT_GE(holder, 0);
	/* One replica cannot be reached, so the round waits. */
	m.replica(1)->cut_nodes = { 0, 1, 2 };
	p->cut_nodes = { 0, 1, 2 };
	EXPECT_TRUE(m.run_until([&] { return m.replica(0)->held_term > 0; },
				4 * S));
	m.kill(m.nodes[holder].get());
	p->cut_nodes.clear();
	m.replica(1)->cut_nodes.clear();
	m.replica(1)->cut_replication = true;
	EXPECT_TRUE(m.run_until([&] { return m.replica(0)->held_term == 0; },
				5 * S));
	ProxyCaller *c = m.connect((holder + 1) % 3, "strict", "key-a");
	EXPECT_TRUE(m.ask(c, "WRITE 1 x").ok);
	expect_sound(m);
}

/* An order that is carried out late must not undo a later one. */
TEST(ProxyEngine, LatePromotionsDoNoHarm)
{
	for (int64_t late : { 500 * MS, 2 * S, 6 * S }) {
		ProxyModel m({});

		SCOPED_TRACE(late);
		m.run(START_US);
		m.lose_promotions(5 * S, late);
		m.crash(m.primary());
		for (int i = 0; i < 300; i++) {
			ProxyCaller *c = m.connect(i % 3, "strict", "key-a");

			m.ask(c, "WRITE 1 x");
			m.disconnect(c);
			m.run(40 * MS);
		}
		EXPECT_LT(write_gap(m, 10 * S), 1 * S);
		expect_sound(m);
	}
}

TEST(ProxyEngine, AWithdrawnKeyStops)
{
	for (bool cut : { false, true }) {
		ProxyModel m({});
		ProxyCaller *a;
		ProxyCaller *b;

		SCOPED_TRACE(cut ? "cut from the store" : "in touch");
		m.run(START_US);
		a = m.connect(0, "strict", "key-a");
		b = m.connect(0, "strict", "key-b");
		EXPECT_TRUE(m.ask(a, "READ 1").ok);
		EXPECT_TRUE(m.ask(b, "READ 1").ok);
		m.nodes[0]->cut_from_store = cut;
		m.revoke_key("key-a");
		for (int i = 0; i < 400; i++) {
			m.ask(a, "READ 1");
			m.run(20 * MS);
		}
		EXPECT_FALSE(m.ask(a, "READ 1").ok);
		EXPECT_EQ(!cut, m.ask(b, "READ 1").ok);
		expect_sound(m);
	}
}

/*
 * Without a limit nothing else stops an instance that is cut off: it must not
 * use a key that it cannot confirm.
 */
TEST(ProxyEngine, AKeyWithoutALimitStopsAsWell)
{
	ProxyModelOpts o;
	ProxyCaller *c;

	o.unlimited = true;
	ProxyModel m(o);
	m.run(START_US);
	c = m.connect(0, "strict", "key-a");
	EXPECT_TRUE(m.ask(c, "READ 1").ok);
	m.nodes[0]->cut_from_store = true;
	m.revoke_key("key-a");
	m.run(5 * S);
	EXPECT_FALSE(m.ask(c, "READ 1").ok);
	expect_sound(m);
}

/* The routes open to all go on while keys cannot be confirmed. */
TEST(ProxyEngine, OpenRoutesOutliveTheStore)
{
	ProxyModel m({});
	ProxyCaller *c;

	m.run(START_US);
	c = m.connect(0, "open", "");
	EXPECT_TRUE(m.ask(c, "READ 1").ok);
	m.store_down(20 * S, false);
	m.run(10 * S);
	EXPECT_TRUE(m.ask(c, "READ 1").ok);
	EXPECT_FALSE(engine_is_ready(m.nodes[0]->engine));
	m.run(12 * S);
	EXPECT_TRUE(engine_is_ready(m.nodes[0]->engine));
	expect_sound(m);
}

/*
 * All instances lose power; the endpoints keep their connections for 3 s.
 * The successors must find room for their own.
 */
TEST(ProxyEngine, ServesRightAfterALossOfPower)
{
	ProxyModelOpts o;
	int served = 0;
	int asked = 0;

	o.nodes = 7;
	o.conns_max = 33;
	ProxyModel m(o);
	m.run(START_US);
	/* Every instance uses all the connections that it may have. */
	for (int round = 0; round < 6; round++) {
		std::vector<ProxyCaller *> all;

		for (int i = 0; i < 7 * 12; i++) {
			const char *keys[] = { "key-a", "key-b", "key-c" };
			ProxyCaller *c =
				m.connect(i % 7, "strict", keys[i % 3]);

			m.send(c, "READ 1");
			all.push_back(c);
		}
		for (ProxyCaller *c : all) {
			m.take(c, 2 * S);
			m.disconnect(c);
		}
	}
	m.restart_all(500 * MS);
	m.run(300 * MS);
	for (int i = 0; i < 70; i++) {
		ProxyCaller *c = m.connect(i % 7, "strict", "key-a");

		asked++;
		served += m.ask(c, "READ 1").ok;
		m.disconnect(c);
		m.run(10 * MS);
	}
	EXPECT_GE(served, asked * 95 / 100);
	expect_sound(m);
}

/* Open connections go silent for good, new ones work. */
TEST(ProxyEngine, SilentConnectionsAreReplacedInTime)
{
	const char *databases[] = { "strict", "bounded", "session" };

	for (const char *database : databases) {
		for (bool values : { false, true }) {
			ProxyModel m({});
			ProxyCaller *c;
			ProxyAnswer a;

			SCOPED_TRACE(std::string(database) +
				     (values ? " with values" : ""));
			m.run(START_US);
			c = m.connect(0, database, "key-a");
			EXPECT_TRUE(m.ask(c, "READ 1").ok);
			if (values) {
				EXPECT_TRUE(m.ask(c, "SET a 1").ok);
			}
			for (auto &e : m.endpoints)
				m.silence_conns(e.get());
			a = m.ask(c, "READ 1");
			EXPECT_TRUE(a.ok) << a.text;
			EXPECT_LT(a.took_us, 700 * MS);
			m.run(1 * S);
			EXPECT_EQ(0u, m.promotions);
			expect_sound(m);
		}
	}
}

/* Idle sessions are closed and running statements answered. */
TEST(ProxyEngine, DrainsWithoutCutting)
{
	ProxyModel m({});
	std::vector<ProxyCaller *> callers;
	ProxyCaller *t;

	m.run(START_US);
	for (int i = 0; i < 10; i++) {
		callers.push_back(m.connect(0, "strict", "key-a"));
		m.take(callers.back(), 1 * S);
	}
	t = m.connect(0, "strict", "key-a");
	m.ask(t, "BEGIN");
	EXPECT_TRUE(m.ask(t, "WRITE 1 x").ok);
	engine_drain(m.nodes[0]->engine);
	EXPECT_FALSE(engine_is_ready(m.nodes[0]->engine));
	for (ProxyCaller *c : callers)
		m.send(c, "READ 1");
	for (ProxyCaller *c : callers)
		EXPECT_TRUE(m.take(c, 1 * S).ok);
	/* Half of the grace time is 3 s. */
	m.run(2 * S);
	EXPECT_TRUE(m.ask(t, "COMMIT").ok);
	EXPECT_TRUE(m.run_until(
		[&] { return engine_is_drained(m.nodes[0]->engine); }, 5 * S));
	expect_sound(m);
}

TEST(ProxyEngine, LimitsHoldOverAllInstances)
{
	for (uint32_t rate : { 5, 40 }) {
		ProxyModelOpts o;

		SCOPED_TRACE(rate);
		o.nodes = 5;
		o.rate_per_s = rate;
		o.burst = rate;
		ProxyModel m(o);
		m.run(START_US);
		for (int i = 0; i < 1500; i++) {
			ProxyCaller *c = m.connect((int)(m.rand() % 5),
						   "bounded", "key-a");

			m.send(c, "READ 1");
			m.run(10 * MS);
			if (i == 700)
				m.set_limit(rate / 2, rate / 2);
		}
		m.run(1 * S);
		expect_sound(m);
	}
}

/*
 * After a loss of power everybody starts anew: the granted part is there as
 * soon as all have reported.
 */
TEST(ProxyEngine, GrantsFollowAFullRestartAtOnce)
{
	ProxyModelOpts o;
	int served = 0;
	int asked = 0;

	o.nodes = 5;
	o.rate_per_s = 60;
	o.burst = 10;
	ProxyModel m(o);
	m.run(START_US);
	m.restart_all(800 * MS);
	m.run(700 * MS);
	/* All at one instance, whose standing part is a tenth. */
	for (int i = 0; i < 60; i++) {
		ProxyCaller *c = m.connect(0, "bounded", "key-a");

		m.send(c, "READ 1");
		m.run(40 * MS);
		if (i < 10)
			continue;
		asked++;
		served += m.take(c, 1 * S).ok;
	}
	EXPECT_GE(served, asked * 95 / 100);
	expect_sound(m);
}

/* Four fifths of its rate, spread unevenly, are served. */
TEST(ProxyEngine, AWorkspaceBelowItsRateIsServed)
{
	ProxyModelOpts o;
	int asked = 0;
	int served = 0;

	o.nodes = 7;
	o.rate_per_s = 40;
	o.burst = 40;
	ProxyModel m(o);
	m.run(START_US);
	for (int i = 0; i < 1200; i++) {
		int node = i % 4 ? 0 : (int)(m.rand() % 7);
		ProxyCaller *c = m.connect(node, "bounded", "key-a");

		m.send(c, "READ 1");
		m.run(31 * MS);
		if (i > 100) {
			asked++;
			served += m.take(c, 1 * S).ok;
		}
		m.disconnect(c);
	}
	EXPECT_GE(served, asked * 99 / 100);
	expect_sound(m);
}

} // namespace
