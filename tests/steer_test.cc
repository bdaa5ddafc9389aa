#include "proxy_model.h"

#include <gtest/gtest.h>

#include <cstring>
#include <functional>

extern "C" {
#include "proxy/engine_state.h"
#include "steering/steer_request.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;
constexpr int64_t START_US = 6 * S; /* all nodes know one another */
constexpr int64_t DAY_US = STEER_MAX_S * S;
/* By then every node has applied a change of the store. */
constexpr int64_t APPLIED_US = 1 * S;

constexpr int64_t T0_MS = 1700000000000;

struct steer_request make_request(enum steer_kind kind, const char *subject,
				  int64_t until_ms, const char *by = "ann")
{
	struct steer_request r = {};

	r.kind = kind;
	g_strlcpy(r.subject, subject, sizeof(r.subject));
	g_strlcpy(r.by, by, sizeof(r.by));
	r.until_ms = until_ms;
	return r;
}

struct MalformedCase {
	const char *name;
	int kind;
	const char *subject;
	const char *by;
	int64_t until_ms;
};

const MalformedCase malformed_cases[] = {
	{ "unknown kind", STEER_KINDS, "x", "ann", T0_MS + 1000 },
	{ "negative kind", -1, "x", "ann", T0_MS + 1000 },
	{ "no subject", STEER_AVOID_ZONE, "", "ann", T0_MS + 1000 },
	{ "no operator", STEER_AVOID_ZONE, "x", "", T0_MS + 1000 },
	{ "no end", STEER_AVOID_ZONE, "x", "ann", 0 },
	{ "negative end", STEER_AVOID_ZONE, "x", "ann", INT64_MIN },
};

TEST(SteerTable, RefusesMalformedRequests)
{
	for (const MalformedCase &k : malformed_cases) {
		struct steer_table *t = steer_table_new();
		struct steer_request r =
			make_request((enum steer_kind)k.kind, k.subject,
				     k.until_ms, k.by);

		SCOPED_TRACE(k.name);
		EXPECT_FALSE(steer_table_put(t, &r, 0, T0_MS));
		EXPECT_EQ(0u, steer_table_count(t));
		steer_table_free(t);
	}
}

struct EndCase {
	const char *name;
	int64_t until_ms; /* counted from the time of day */
	int64_t ends_us; /* by the steady clock */
};

const EndCase end_cases[] = {
	{ "a minute", 60000, 60 * S },
	{ "a day", STEER_MAX_S * 1000, DAY_US },
	{ "longer than a day", STEER_MAX_S * 5000, DAY_US },
	{ "an end that overflows", INT64_MAX - T0_MS, DAY_US },
	{ "ended before", -1, 0 },
	{ "ends now", 0, 0 },
};

TEST(SteerTable, EndsBySteadyClock)
{
	for (const EndCase &k : end_cases) {
		struct steer_table *t = steer_table_new();
		struct steer_request r = make_request(STEER_AVOID_ENDPOINT, "e",
						      T0_MS + k.until_ms);

		SCOPED_TRACE(k.name);
		ASSERT_TRUE(steer_table_put(t, &r, 7 * S, T0_MS));
		EXPECT_EQ(k.ends_us > 0,
			  steer_applies(t, STEER_AVOID_ENDPOINT, "e", 7 * S));
		EXPECT_EQ(k.ends_us, steer_remaining_us(t, STEER_AVOID_ENDPOINT,
							"e", 7 * S));
		if (k.ends_us) {
			EXPECT_TRUE(steer_applies(t, STEER_AVOID_ENDPOINT, "e",
						  7 * S + k.ends_us - 1));
		}
		EXPECT_FALSE(steer_applies(t, STEER_AVOID_ENDPOINT, "e",
					   7 * S + k.ends_us));
		EXPECT_EQ(k.ends_us > 0,
			  steer_table_expire(t, 7 * S + k.ends_us));
		EXPECT_EQ(0u, steer_table_expire(t, 7 * S + k.ends_us));
		steer_table_free(t);
	}
}

TEST(SteerTable, AppliesToItsKindAndSubjectOnly)
{
	struct steer_table *t = steer_table_new();
	struct steer_request r =
		make_request(STEER_AVOID_ZONE, "a", T0_MS + 1000);

	ASSERT_TRUE(steer_table_put(t, &r, 0, T0_MS));
	EXPECT_TRUE(steer_applies(t, STEER_AVOID_ZONE, "a", 0));
	EXPECT_FALSE(steer_applies(t, STEER_AVOID_ZONE, "b", 0));
	EXPECT_FALSE(steer_applies(t, STEER_AVOID_INSTANCE, "a", 0));
	steer_table_remove(t, STEER_AVOID_INSTANCE, "a");
	EXPECT_TRUE(steer_applies(t, STEER_AVOID_ZONE, "a", 0));
	steer_table_remove(t, STEER_AVOID_ZONE, "a");
	steer_table_remove(t, STEER_KINDS, "a");
	EXPECT_FALSE(steer_applies(t, STEER_AVOID_ZONE, "a", 0));
	steer_table_free(t);
}

/* A clock that jumps back must not lengthen a request with the next list. */
TEST(SteerTable, PutAgainKeepsItsEnd)
{
	struct steer_table *t = steer_table_new();
	struct steer_request r =
		make_request(STEER_PAUSE_WRITES, "a", T0_MS + 2 * 1000);

	ASSERT_TRUE(steer_table_put(t, &r, 0, T0_MS));
	ASSERT_TRUE(steer_table_put(t, &r, 1 * S, T0_MS - 3600 * 1000));
	EXPECT_FALSE(steer_applies(t, STEER_PAUSE_WRITES, "a", 2 * S));
	EXPECT_EQ(1u, steer_table_expire(t, 2 * S));
	ASSERT_TRUE(steer_table_put(t, &r, 3 * S, T0_MS - 3600 * 1000));
	EXPECT_FALSE(steer_applies(t, STEER_PAUSE_WRITES, "a", 3 * S));
	EXPECT_EQ(0u, steer_table_count(t));
	r.until_ms += 60 * 1000; /* a new request */
	ASSERT_TRUE(steer_table_put(t, &r, 3 * S, T0_MS + 3 * 1000));
	EXPECT_TRUE(steer_applies(t, STEER_PAUSE_WRITES, "a", 61 * S));
	EXPECT_EQ(1u, steer_table_count(t));
	steer_table_free(t);
}

TEST(SteerTable, ListRemovesWhatItDoesNotHold)
{
	struct steer_table *t = steer_table_new();
	struct steer_request a =
		make_request(STEER_AVOID_ZONE, "a", T0_MS + 1000);
	struct steer_request b =
		make_request(STEER_AVOID_ZONE, "b", T0_MS + 1000);

	ASSERT_TRUE(steer_table_put(t, &a, 0, T0_MS));
	ASSERT_TRUE(steer_table_put(t, &b, 0, T0_MS));
	steer_table_begin_list(t);
	ASSERT_TRUE(steer_table_put(t, &b, 0, T0_MS));
	EXPECT_TRUE(steer_applies(t, STEER_AVOID_ZONE, "a", 0));
	steer_table_end_list(t);
	EXPECT_FALSE(steer_applies(t, STEER_AVOID_ZONE, "a", 0));
	EXPECT_TRUE(steer_applies(t, STEER_AVOID_ZONE, "b", 0));
	steer_table_free(t);
}

TEST(SteerTable, NamesOfKinds)
{
	for (int i = 0; i < STEER_KINDS; i++) {
		enum steer_kind kind = STEER_KINDS;

		EXPECT_TRUE(steer_kind_from_name(
			steer_kind_name((enum steer_kind)i), &kind));
		EXPECT_EQ(i, kind);
	}
	enum steer_kind kind = STEER_KINDS;
	EXPECT_FALSE(steer_kind_from_name("avoid", &kind));
	EXPECT_EQ(STEER_KINDS, kind);
}

void expect_no_violations(ProxyModel &m)
{
	m.check_quota();
	for (const std::string &v : m.violations)
		ADD_FAILURE() << v;
}

ProxyModelOpts steer_opts(int nodes, uint32_t conns_max)
{
	ProxyModelOpts o;

	o.nodes = nodes;
	o.conns_max = conns_max;
	o.unlimited = true;
	o.log = getenv("PROXY_LOG") != nullptr;
	return o;
}

/* Reads at every node, several times each; returns how many failed. */
int read_everywhere(ProxyModel &m, const char *database = "bounded")
{
	int failed = 0;

	for (auto &n : m.nodes) {
		for (const char *key : { "key-a", "key-b", "key-c" }) {
			ProxyCaller *c = m.connect(n->index, database, key);

			for (int i = 0; i < 4; i++)
				failed += !m.run_statement(c, "READ 1").ok;
			m.disconnect(c);
		}
	}
	return failed;
}

struct AvoidCase {
	enum steer_kind kind;
	const char *subject;
};

/* Of the endpoints e00 to e02, which are in the zones z0 to z2. */
const AvoidCase avoid_cases[] = {
	{ STEER_AVOID_ENDPOINT, "e01" },
	{ STEER_AVOID_ZONE, "z1" },
};

TEST(Steer, AvoidedEndpointGetsNoReads)
{
	for (const AvoidCase &k : avoid_cases) {
		ProxyModel m(steer_opts(3, 33));

		SCOPED_TRACE(k.subject);
		m.run(START_US);
		EXPECT_EQ(0, read_everywhere(m));
		EXPECT_LT(0, m.executed_at["e01"]);
		m.steer(k.kind, k.subject, 60 * S);
		m.run(APPLIED_US);
		m.executed_at.clear();
		EXPECT_EQ(0, read_everywhere(m));
		EXPECT_EQ(0, m.executed_at["e01"]);
		m.withdraw_steer(k.kind, k.subject);
		m.run(APPLIED_US);
		EXPECT_EQ(0, read_everywhere(m));
		EXPECT_LT(0, m.executed_at["e01"]);
		expect_no_violations(m);
	}
}

/* All avoided: work that nobody else can run goes on. */
TEST(Steer, AvoidedEndpointsServeWhatOnlyTheyCan)
{
	ProxyModel m(steer_opts(3, 33));

	m.run(START_US);
	for (const char *zone : { "z0", "z1", "z2" })
		m.steer(STEER_AVOID_ZONE, zone, 60 * S);
	m.run(APPLIED_US);
	EXPECT_EQ(0, read_everywhere(m));
	EXPECT_EQ(0, read_everywhere(m, "strict"));
	ProxyCaller *c = m.connect(0, "strict", "key-a");
	EXPECT_TRUE(m.run_statement(c, "WRITE 1 x").ok);
	expect_no_violations(m);
}

TEST(Steer, RequestEndsByItself)
{
	ProxyModel m(steer_opts(3, 33));

	m.run(START_US);
	m.crash(m.replica(1)); /* else it could take all reads */
	m.run(APPLIED_US);
	EXPECT_EQ(0, read_everywhere(m));
	EXPECT_LT(0, m.executed_at["e01"]);
	m.steer(STEER_AVOID_ENDPOINT, "e01", 5 * S);
	m.run(APPLIED_US);
	/* Another reading of the time of day must not change the end. */
	m.time_offset_ms -= 3600 * 1000;
	m.executed_at.clear();
	EXPECT_EQ(0, read_everywhere(m));
	EXPECT_EQ(0, m.executed_at["e01"]);
	m.run(5 * S);
	EXPECT_EQ(0, read_everywhere(m));
	EXPECT_LT(0, m.executed_at["e01"]);
	expect_no_violations(m);
}

TEST(Steer, MalformedEntryIsNotInForce)
{
	ProxyModel m(steer_opts(3, 33));

	m.run(START_US);
	m.steer(STEER_AVOID_ENDPOINT, "e01", 60 * S, false);
	m.steer(STEER_PAUSE_WRITES, "a", 60 * S);
	m.steer(STEER_PAUSE_WRITES, "a", 60 * S, false);
	m.run(APPLIED_US);
	EXPECT_EQ(0, read_everywhere(m));
	EXPECT_LT(0, m.executed_at["e01"]);
	ProxyCaller *c = m.connect(0, "strict", "key-a");
	EXPECT_TRUE(m.run_statement(c, "WRITE 1 x").ok);
	expect_no_violations(m);
}

/* Returns a node that runs the statements of others, or NULL. */
ProxyNode *find_home(ProxyModel &m)
{
	for (auto &n : m.nodes) {
		for (auto &h : n->hops) {
			if (h->open)
				return h->to;
		}
	}
	return nullptr;
}

TEST(Steer, AvoidedInstanceStopsBeingAHome)
{
	/* The home beside the primary has room for all three transactions. */
	ProxyModel m(steer_opts(12, 20));

	m.run(START_US);
	EXPECT_EQ(0, read_everywhere(m));
	ProxyNode *home = find_home(m);
	ASSERT_NE(nullptr, home);
	EXPECT_TRUE(engine_is_ready(home->engine));
	/* A transaction that runs there now must not be cut. */
	std::vector<ProxyCaller *> open;
	for (const char *key : { "key-a", "key-b", "key-c" }) {
		ProxyCaller *c = m.connect(0, "strict", key);

		EXPECT_TRUE(m.run_statement(c, "BEGIN").ok);
		EXPECT_TRUE(m.run_statement(c, "WRITE 1 x").ok);
		open.push_back(c);
	}
	m.steer(STEER_AVOID_INSTANCE, home->name, 600 * S);
	m.run(APPLIED_US);
	EXPECT_FALSE(engine_is_ready(home->engine));
	for (ProxyCaller *c : open) {
		EXPECT_TRUE(m.run_statement(c, "COMMIT").ok);
		m.disconnect(c);
	}
	m.run(APPLIED_US);
	EXPECT_EQ(0, read_everywhere(m));
	for (auto &n : m.nodes) {
		for (auto &h : n->hops)
			EXPECT_NE(home, h->to);
	}
	m.withdraw_steer(STEER_AVOID_INSTANCE, home->name);
	m.run(APPLIED_US);
	EXPECT_TRUE(engine_is_ready(home->engine));
	expect_no_violations(m);
}

TEST(Steer, AllInstancesNamedServe)
{
	ProxyModel m(steer_opts(6, 9));

	m.run(START_US);
	for (auto &n : m.nodes)
		m.steer(STEER_AVOID_INSTANCE, n->name, 60 * S);
	m.run(APPLIED_US);
	for (auto &n : m.nodes)
		EXPECT_TRUE(engine_is_ready(n->engine)) << n->name;
	EXPECT_EQ(0, read_everywhere(m));
	EXPECT_NE(nullptr, find_home(m));
	expect_no_violations(m);
}

TEST(Steer, PausedWritesAreRefusedAndReadsServed)
{
	ProxyModel m(steer_opts(3, 33));

	m.run(START_US);
	ProxyCaller *a = m.connect(0, "strict", "key-a");
	ProxyCaller *b = m.connect(0, "strict", "key-b");
	ProxyCaller *open = m.connect(1, "strict", "key-a");
	EXPECT_TRUE(m.run_statement(open, "BEGIN").ok);
	EXPECT_TRUE(m.run_statement(open, "WRITE 1 x").ok);
	EXPECT_TRUE(m.run_statement(a, "WRITE 1 x").ok);
	m.steer(STEER_PAUSE_WRITES, "a", 20 * S);
	m.run(APPLIED_US);
	ProxyAnswer w = m.run_statement(a, "WRITE 1 y");
	EXPECT_EQ("BUSY", w.code);
	EXPECT_NE(std::string::npos, w.text.find("retry-after-ms=1000"))
		<< w.text;
	EXPECT_LT(w.took_us, 50 * MS);
	EXPECT_TRUE(m.run_statement(a, "READ 1").ok);
	EXPECT_TRUE(m.run_statement(b, "WRITE 1 y").ok);
	/* A transaction that has written ends as it would have. */
	EXPECT_TRUE(m.run_statement(open, "WRITE 2 x").ok);
	EXPECT_TRUE(m.run_statement(open, "COMMIT").ok);
	EXPECT_EQ("BUSY", m.run_statement(open, "WRITE 2 x").code);
	/* Another may not begin to write. */
	EXPECT_TRUE(m.run_statement(a, "BEGIN").ok);
	EXPECT_EQ("BUSY", m.run_statement(a, "WRITE 1 y").code);
	EXPECT_TRUE(m.run_statement(a, "ROLLBACK").ok);
	m.run(20 * S);
	EXPECT_TRUE(m.run_statement(a, "WRITE 1 y").ok);
	expect_no_violations(m);
}

/* The primary leaves its endpoint, once, and no commit is lost. */
TEST(Steer, PrimaryMovesAway)
{
	ProxyModel m(steer_opts(3, 33));

	m.run(START_US);
	ProxyEndpoint *old = m.primary();
	ProxyCaller *c = m.connect(0, "strict", "key-a");
	EXPECT_TRUE(m.run_statement(c, "WRITE 1 x").ok);
	m.steer(STEER_MOVE_PRIMARY, old->id, 600 * S);
	m.run_until([&] { return m.primary() && m.primary() != old; }, 10 * S);
	ASSERT_NE(nullptr, m.primary());
	EXPECT_NE(old, m.primary());
	ProxyEndpoint *now = m.primary();
	m.run(2 * S);
	EXPECT_TRUE(m.run_statement(c, "WRITE 1 y").ok);
	m.run(60 * S);
	EXPECT_EQ(now, m.primary());
	expect_no_violations(m);
}

/*
 * Without a replica that could take over, the primary serves on: a round that
 * can't move it is not repeated at once, and doesn't keep commits waiting.
 */
TEST(Steer, PrimaryWithoutReplicaKeepsServing)
{
	ProxyModel m(steer_opts(3, 33));
	int failed = 0;

	m.run(START_US);
	ProxyEndpoint *p = m.primary();
	m.crash(m.replica(0));
	m.crash(m.replica(1));
	m.steer(STEER_MOVE_PRIMARY, p->id, 600 * S);
	m.run(APPLIED_US);
	ProxyCaller *c = m.connect(0, "strict", "key-a");
	for (int i = 0; i < 100; i++) {
		failed += !m.run_statement(c, "READ 1").ok;
		m.run(100 * MS);
	}
	EXPECT_EQ(0, failed);
	EXPECT_EQ(p, m.primary());
	expect_no_violations(m);
}

/* Sends a write on each connection and waits for the answers. */
void write_everywhere(ProxyModel &m, const std::vector<ProxyCaller *> &callers)
{
	for (ProxyCaller *c : callers) {
		if (!c->closed)
			m.send_statement(c, "WRITE 1 x");
	}
	for (ProxyCaller *c : callers) {
		if (!c->closed)
			m.wait_for_answer(c, 20 * S);
	}
}

/*
 * Each primary in turn is asked to move, between writes with odd seeds and
 * amid them with even ones, while a replica restarts. Amid writes the endpoint
 * that steps down may have the longest log, and leads again.
 */
TEST(Steer, MovesUnderLoadLoseNothing)
{
	int moves[2] = { 0, 0 };

	for (uint64_t seed = 1; seed <= 20; seed++) {
		ProxyModelOpts o = steer_opts(3, 33);
		o.seed = seed;
		ProxyModel m(o);
		std::vector<ProxyCaller *> callers;
		ProxyEndpoint *before;

		SCOPED_TRACE(seed);
		m.run(START_US);
		for (int i = 0; i < 12; i++) {
			callers.push_back(m.connect(i % 3, "strict", "key-a"));
			m.wait_for_answer(callers.back(), 1 * S);
		}
		before = m.primary();
		for (int i = 0; i < 200; i++) {
			if (seed % 2)
				write_everywhere(m, callers);
			if (i % 50 == 10 && m.primary())
				m.steer(STEER_MOVE_PRIMARY, m.primary()->id,
					3 * S);
			if (i == 60 + (int)seed && m.replica(0))
				m.restart(m.replica(0), 1 * S);
			if (seed % 2 == 0)
				write_everywhere(m, callers);
			m.run(100 * MS);
			if (m.primary() && m.primary() != before) {
				before = m.primary();
				moves[seed % 2]++;
			}
		}
		expect_no_violations(m);
	}
	RecordProperty("moves_amid_writes", moves[0]);
	RecordProperty("moves_between_writes", moves[1]);
	EXPECT_LE(30, moves[1]);
}

} // namespace
