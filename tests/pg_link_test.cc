#include "pg_fixture.h"

#include <gtest/gtest.h>

namespace
{

const SqlStatement insert_order = {
	"INSERT INTO orders (id, item, qty) VALUES ($1, $2, $3)",
	"[\"o1\", \"oak\", 4]", "r1"
};
const SqlStatement select_orders = {
	"SELECT id, qty FROM orders WHERE item = $1", "[\"oak\"]"
};

/* JSON text of a result without rows. */
#define CHANGED(command, rows)                                 \
	"{\"command\":\"" command "\",\"rows_affected\":" rows \
	",\"columns\":[],\"rows\":[]}"

/* One exchange; the cases of a table run in order on one connection. */
struct PlanCase {
	const char *name;
	enum exchange_plan plan;
	SqlStatement sql;
	enum result_status status;
	const char *result; /* JSON text; "": none; NULL: not checked */
	const char *sqlstate;
};

const PlanCase plan_cases[] = {
	{ "probe", PLAN_PROBE, {}, RESULT_OK, "", "" },
	{ "read of nothing", PLAN_READ, select_orders, RESULT_OK,
	  "{\"command\":\"SELECT\",\"rows_affected\":0,"
	  "\"columns\":[\"id\",\"qty\"],\"rows\":[]}",
	  "" },
	{ "write",
	  PLAN_WRITE,
	  { "INSERT INTO stock (item, qty) VALUES ('oak', 10)" },
	  RESULT_OK,
	  CHANGED("INSERT", "1"),
	  "" },
	{ "write with a duplicate key",
	  PLAN_WRITE,
	  { "INSERT INTO stock (item, qty) VALUES ('oak', 10)" },
	  RESULT_SQL_ERROR,
	  nullptr,
	  "23505" },
	{ "lookup before the write", PLAN_LOOKUP, insert_order,
	  RESULT_NOT_FOUND, "", "" },
	{ "write by id", PLAN_WRITE_BY_ID, insert_order, RESULT_OK,
	  CHANGED("INSERT", "1"), "" },
	{ "the same write again", PLAN_WRITE_BY_ID, insert_order,
	  RESULT_DUPLICATE, "", "" },
	{ "lookup", PLAN_LOOKUP, insert_order, RESULT_OK,
	  CHANGED("INSERT", "1"), "" },
	{ "lookup with another content",
	  PLAN_LOOKUP,
	  { "DELETE FROM stock", "[]", "r1" },
	  RESULT_ID_REUSED,
	  "",
	  "" },
	{ "a failed write records no id",
	  PLAN_WRITE_BY_ID,
	  { "INSERT INTO orders (id) VALUES ('o1')", "[]", "r2" },
	  RESULT_SQL_ERROR,
	  nullptr,
	  "23505" },
	{ "lookup after the failed write",
	  PLAN_LOOKUP,
	  { "INSERT INTO orders (id) VALUES ('o1')", "[]", "r2" },
	  RESULT_NOT_FOUND,
	  "",
	  "" },
	{ "write with a syntax error",
	  PLAN_WRITE,
	  { "INSERT oak" },
	  RESULT_SQL_ERROR,
	  nullptr,
	  "42601" },
	{ "update of a number",
	  PLAN_WRITE,
	  { "UPDATE stock SET qty = qty - $1 WHERE item = $2 AND qty >= $1",
	    "[3, \"oak\"]" },
	  RESULT_OK,
	  CHANGED("UPDATE", "1"),
	  "" },
	{ "update whose condition fails",
	  PLAN_WRITE,
	  { "UPDATE stock SET qty = qty - $1 WHERE item = $2 AND qty >= $1",
	    "[8, \"oak\"]" },
	  RESULT_OK,
	  CHANGED("UPDATE", "0"),
	  "" },
	{ "read",
	  PLAN_READ,
	  { "SELECT * FROM stock" },
	  RESULT_OK,
	  "{\"command\":\"SELECT\",\"rows_affected\":1,"
	  "\"columns\":[\"item\",\"qty\"],\"rows\":[[\"oak\",\"7\"]]}",
	  "" },
	{ "read of null",
	  PLAN_READ,
	  { "SELECT workspace FROM orders WHERE id = $1", "[\"o1\"]" },
	  RESULT_OK,
	  "{\"command\":\"SELECT\",\"rows_affected\":1,"
	  "\"columns\":[\"workspace\"],\"rows\":[[null]]}",
	  "" },
	{ "write in a read",
	  PLAN_READ,
	  { "DELETE FROM stock" },
	  RESULT_SQL_ERROR,
	  nullptr,
	  "25006" },
	{ "commit as a statement",
	  PLAN_READ,
	  { " /* x */ commit" },
	  RESULT_SQL_ERROR,
	  nullptr,
	  "0A000" },
	{ "set as a statement by id",
	  PLAN_WRITE_BY_ID,
	  { "SET role TO x", "[]", "r3" },
	  RESULT_SQL_ERROR,
	  nullptr,
	  "0A000" },
	{ "read of an unknown table",
	  PLAN_READ,
	  { "SELECT * FROM nowhere" },
	  RESULT_SQL_ERROR,
	  nullptr,
	  "42P01" },
	{ "the connection still works",
	  PLAN_READ,
	  { "SELECT count(*) FROM stock" },
	  RESULT_OK,
	  "{\"command\":\"SELECT\",\"rows_affected\":1,"
	  "\"columns\":[\"count\"],\"rows\":[[\"1\"]]}",
	  "" },
};

const SqlStatement take_oak = {
	"UPDATE stock SET qty = qty - $1 WHERE item = $2", "[1, \"oak\"]"
};
const SqlStatement count_stock = { "SELECT count(*) FROM stock" };
const SqlStatement commit_by_id = { "", "[]", "c1" };

const PlanCase transaction_cases[] = {
	{ "stock",
	  PLAN_WRITE,
	  { "INSERT INTO stock (item, qty) VALUES ('oak', 10)" },
	  RESULT_OK,
	  CHANGED("INSERT", "1"),
	  "" },
	{ "begin", PLAN_BEGIN, {}, RESULT_OK, "", "" },
	{ "change", PLAN_STATEMENT, take_oak, RESULT_OK, CHANGED("UPDATE", "1"),
	  "" },
	{ "read in the transaction", PLAN_STATEMENT, count_stock, RESULT_OK,
	  nullptr, "" },
	{ "rollback", PLAN_ROLLBACK, {}, RESULT_OK, "", "" },
	{ "nothing was changed",
	  PLAN_READ,
	  { "SELECT qty FROM stock" },
	  RESULT_OK,
	  "{\"command\":\"SELECT\",\"rows_affected\":1,"
	  "\"columns\":[\"qty\"],\"rows\":[[\"10\"]]}",
	  "" },
	{ "begin again", PLAN_BEGIN, {}, RESULT_OK, "", "" },
	{ "change again", PLAN_STATEMENT, take_oak, RESULT_OK,
	  CHANGED("UPDATE", "1"), "" },
	{ "commit by id", PLAN_COMMIT, commit_by_id, RESULT_OK,
	  CHANGED("COMMIT", "0"), "" },
	{ "lookup of the commit", PLAN_LOOKUP, commit_by_id, RESULT_OK,
	  CHANGED("COMMIT", "0"), "" },
	{ "begin a third time", PLAN_BEGIN, {}, RESULT_OK, "", "" },
	{ "change to be undone", PLAN_STATEMENT, take_oak, RESULT_OK,
	  CHANGED("UPDATE", "1"), "" },
	{ "commit by the same id", PLAN_COMMIT, commit_by_id, RESULT_DUPLICATE,
	  "", "" },
	{ "the duplicate changed nothing",
	  PLAN_READ,
	  { "SELECT qty FROM stock" },
	  RESULT_OK,
	  "{\"command\":\"SELECT\",\"rows_affected\":1,"
	  "\"columns\":[\"qty\"],\"rows\":[[\"9\"]]}",
	  "" },
	{ "begin to fail", PLAN_BEGIN, {}, RESULT_OK, "", "" },
	{ "failing statement",
	  PLAN_STATEMENT,
	  { "SELECT a FROM nowhere" },
	  RESULT_SQL_ERROR,
	  nullptr,
	  "42P01" },
	{ "statement after the failure", PLAN_STATEMENT, count_stock,
	  RESULT_SQL_ERROR, nullptr, "25P02" },
	{ "refused statement after the failure",
	  PLAN_STATEMENT,
	  { "COMMIT" },
	  RESULT_SQL_ERROR,
	  nullptr,
	  "0A000" },
	{ "commit after the failure",
	  PLAN_COMMIT,
	  { "", "[]", "c2" },
	  RESULT_SQL_ERROR,
	  nullptr,
	  "25P02" },
	{ "the id was not recorded",
	  PLAN_LOOKUP,
	  { "", "[]", "c2" },
	  RESULT_NOT_FOUND,
	  "",
	  "" },
	{ "begin to roll back", PLAN_BEGIN, {}, RESULT_OK, "", "" },
	{ "failing statement again",
	  PLAN_STATEMENT,
	  { "SELECT" },
	  RESULT_SQL_ERROR,
	  nullptr,
	  "42601" },
	{ "rollback after the failure", PLAN_ROLLBACK, {}, RESULT_OK, "", "" },
	{ "begin to commit", PLAN_BEGIN, {}, RESULT_OK, "", "" },
	{ "last change", PLAN_STATEMENT, take_oak, RESULT_OK,
	  CHANGED("UPDATE", "1"), "" },
	{ "commit without id",
	  PLAN_COMMIT,
	  {},
	  RESULT_OK,
	  CHANGED("COMMIT", "0"),
	  "" },
	{ "the change is there",
	  PLAN_READ,
	  { "SELECT qty FROM stock" },
	  RESULT_OK,
	  "{\"command\":\"SELECT\",\"rows_affected\":1,"
	  "\"columns\":[\"qty\"],\"rows\":[[\"8\"]]}",
	  "" },
};

void run_cases(PgLinkHarness &l, uint32_t conn_id, const PlanCase *cases,
	       size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const PlanCase &c = cases[i];
		SCOPED_TRACE(c.name);
		struct exchange_result r =
			l.run_exchange(conn_id, c.plan, c.sql);

		EXPECT_EQ(c.status, r.status) << l.last_result();
		EXPECT_EQ(c.sqlstate, l.last_sqlstate());
		EXPECT_EQ(c.result ? c.result : l.last_result(),
			  l.last_result());
		EXPECT_EQ(ROLE_PRIMARY, r.before.role);
		EXPECT_EQ(3u, r.after.current_term);
		EXPECT_TRUE(
			position_covers(r.after.position, r.before.position));
	}
}

TEST(PgLink, RunsEachPlanOnAPrimary)
{
	Endpoint e({ "--primary-term", "3", "--password", "secret" });
	PgLinkHarness l;

	l.open_and_wait(1, e);
	run_cases(l, 1, plan_cases, std::size(plan_cases));
}

TEST(PgLink, RunsTransactions)
{
	Endpoint e({ "--primary-term", "3" });
	PgLinkHarness l;

	l.open_and_wait(1, e);
	run_cases(l, 1, transaction_cases, std::size(transaction_cases));
}

/* Expected status of an exchange on a replica, which changes nothing. */
struct ReplicaCase {
	const char *name;
	enum exchange_plan plan;
	SqlStatement sql;
	enum result_status status;
};

const ReplicaCase replica_cases[] = {
	{ "write", PLAN_WRITE, insert_order, RESULT_NOT_PRIMARY },
	{ "write that only reads", PLAN_WRITE, count_stock,
	  RESULT_NOT_PRIMARY },
	{ "write by id", PLAN_WRITE_BY_ID, insert_order, RESULT_NOT_PRIMARY },
	{ "read", PLAN_READ, count_stock, RESULT_OK },
	{ "write in a read", PLAN_READ, insert_order, RESULT_SQL_ERROR },
	{ "begin", PLAN_BEGIN, {}, RESULT_OK },
	{ "write in the transaction", PLAN_STATEMENT, insert_order,
	  RESULT_NOT_PRIMARY },
	{ "rollback", PLAN_ROLLBACK, {}, RESULT_OK },
	{ "lookup", PLAN_LOOKUP, insert_order, RESULT_NOT_FOUND },
};

TEST(PgLink, RefusesWritesOnAReplica)
{
	Endpoint e;
	PgLinkHarness l;

	l.open_and_wait(1, e);
	l.run_exchange(1, PLAN_RAISE_TERM, {}, 2);
	for (const ReplicaCase &c : replica_cases) {
		SCOPED_TRACE(c.name);
		struct exchange_result r = l.run_exchange(1, c.plan, c.sql);

		EXPECT_EQ(c.status, r.status) << l.last_result();
		EXPECT_EQ(ROLE_REPLICA, r.after.role);
		EXPECT_EQ(2u, r.after.current_term);
		EXPECT_EQ(0u, r.after.position.offset);
	}
	EXPECT_EQ("ok 0", e.control.send_command("count orders"));
	EXPECT_EQ("ok 0", e.control.send_command("count zl_request"));
}

struct TermCase {
	const char *name;
	enum exchange_plan plan;
	uint64_t term;
	enum result_status status;
	uint64_t current_term;
	enum endpoint_role role;
	uint64_t offset; /* of the last log entry */
};

const TermCase term_cases[] = {
	{ "raise", PLAN_RAISE_TERM, 4, RESULT_OK, 4, ROLE_REPLICA, 0 },
	{ "raise to less", PLAN_RAISE_TERM, 3, RESULT_OK, 4, ROLE_REPLICA, 0 },
	{ "promote behind", PLAN_PROMOTE, 3, RESULT_NOT_PRIMARY, 4,
	  ROLE_REPLICA, 0 },
	{ "promote", PLAN_PROMOTE, 4, RESULT_OK, 4, ROLE_PRIMARY, 1 },
	{ "promote again", PLAN_PROMOTE, 4, RESULT_OK, 4, ROLE_PRIMARY, 1 },
	{ "raise to the same", PLAN_RAISE_TERM, 4, RESULT_OK, 4, ROLE_PRIMARY,
	  1 },
	{ "raise a primary", PLAN_RAISE_TERM, 5, RESULT_OK, 5, ROLE_REPLICA,
	  1 },
	{ "promote ahead", PLAN_PROMOTE, 9, RESULT_OK, 9, ROLE_PRIMARY, 2 },
};

TEST(PgLink, RaisesTermsAndPromotes)
{
	Endpoint e;
	PgLinkHarness l;

	l.open_and_wait(1, e);
	for (const TermCase &c : term_cases) {
		SCOPED_TRACE(c.name);
		struct exchange_result r =
			l.run_exchange(1, c.plan, {}, c.term);

		EXPECT_EQ(c.status, r.status);
		EXPECT_EQ(c.current_term, r.after.current_term);
		EXPECT_EQ(c.role, r.after.role);
		EXPECT_EQ(c.offset, r.after.position.offset);
	}
}

TEST(PgLink, RaisedTermAbortsOpenTransaction)
{
	Endpoint e({ "--primary-term", "1" });
	PgLinkHarness l;
	struct exchange_result r;

	l.open_and_wait(1, e);
	l.open_and_wait(2, e);
	l.run_exchange(1, PLAN_BEGIN);
	l.run_exchange(1, PLAN_STATEMENT, insert_order);
	l.run_exchange(2, PLAN_RAISE_TERM, {}, 2);
	r = l.run_exchange(1, PLAN_COMMIT, { "", "[]", "c1" });
	EXPECT_EQ(RESULT_NOT_PRIMARY, r.status);
	EXPECT_EQ(2u, r.after.current_term);
	EXPECT_EQ("ok 0", e.control.send_command("count orders"));
	EXPECT_EQ(RESULT_OK, l.run_exchange(1, PLAN_READ, count_stock).status);
}

TEST(PgLink, ConflictingRowsFailAtOnce)
{
	Endpoint e({ "--primary-term", "1" });
	PgLinkHarness l;

	l.open_and_wait(1, e);
	l.open_and_wait(2, e);
	l.run_exchange(1, PLAN_BEGIN);
	EXPECT_EQ(RESULT_OK,
		  l.run_exchange(1, PLAN_STATEMENT, insert_order).status);
	EXPECT_EQ(RESULT_SQL_ERROR,
		  l.run_exchange(2, PLAN_WRITE, insert_order).status);
	EXPECT_EQ("40001", l.last_sqlstate());
	EXPECT_EQ(RESULT_OK, l.run_exchange(1, PLAN_COMMIT).status);
	EXPECT_EQ(RESULT_SQL_ERROR,
		  l.run_exchange(2, PLAN_WRITE, insert_order).status);
	EXPECT_EQ("23505", l.last_sqlstate());
}

TEST(PgLink, ReportsResultsOverTheSizeLimit)
{
	Endpoint e({ "--primary-term", "1" });
	PgLinkHarness l(1000);
	const SqlStatement by_id = { "SELECT * FROM orders", "[]", "r9" };

	l.open_and_wait(1, e);
	for (int i = 0; i < 100; i++) {
		SqlStatement s = {
			"INSERT INTO orders (id, item) VALUES ($1, $2)"
		};

		s.params = "[" + std::to_string(i) + ", \"oak board\"]";
		ASSERT_EQ(RESULT_OK, l.run_exchange(1, PLAN_WRITE, s).status);
	}
	EXPECT_EQ(RESULT_TOO_LARGE, l.run_exchange(1, PLAN_READ, by_id).status);
	EXPECT_EQ("", l.last_result());
	EXPECT_EQ(RESULT_TOO_LARGE,
		  l.run_exchange(1, PLAN_WRITE_BY_ID, by_id).status);
	EXPECT_EQ(RESULT_DUPLICATE,
		  l.run_exchange(1, PLAN_WRITE_BY_ID, by_id).status);
	EXPECT_EQ(RESULT_TOO_LARGE,
		  l.run_exchange(1, PLAN_LOOKUP, by_id).status);
	EXPECT_EQ(RESULT_OK, l.run_exchange(1, PLAN_READ,
					    { "SELECT count(*) FROM orders" })
				     .status);
}

/* A failing attempt to connect. */
struct ConnectCase {
	const char *name;
	const char *argument; /* command line option of the endpoint */
	const char *value; /* of the option */
	const char *command; /* sent to the endpoint before connecting */
	const char *address; /* to connect to; NULL: the endpoint's */
	int64_t timeout_us;
};

const ConnectCase connect_cases[] = {
	{ "nobody listens", "--name", "a", "state", "127.0.0.1:1", 5000000 },
	{ "bad address", "--name", "a", "state", "nowhere", 5000000 },
	{ "no port", "--name", "a", "state", "127.0.0.1:", 5000000 },
	{ "wrong password", "--password", "other", "state", nullptr, 5000000 },
	{ "frozen", "--name", "a", "freeze", nullptr, 50000 },
	{ "slow login", "--connect-delay-ms", "60000", "state", nullptr,
	  50000 },
	{ "no connection is free", "--connections-max", "0", "state", nullptr,
	  5000000 },
	{ "clients are cut", "--name", "a", "cut clients", nullptr, 5000000 },
};

TEST(PgLink, ReportsFailedConnects)
{
	for (const ConnectCase &c : connect_cases) {
		SCOPED_TRACE(c.name);
		Endpoint e({ c.argument, c.value });
		PgLinkHarness l(1000, c.timeout_us);

		e.control.send_command(c.command);
		l.open_address(1, c.address ? c.address :
					      e.process.address("listen"));
		EXPECT_EQ(0u, l.events.size());
		EXPECT_TRUE(l.wait_until([&] { return l.is_lost(1); }));
		l.run_iterations(5);
		EXPECT_EQ(1u, l.events.size());
	}
}

TEST(PgLink, ConnectionsMaxCountsOnlyOpenConnections)
{
	Endpoint e({ "--connections-max", "2" });
	PgLinkHarness l;

	l.open_and_wait(1, e);
	l.open_and_wait(2, e);
	l.open(3, e);
	EXPECT_TRUE(l.wait_until([&] { return l.is_lost(3); }));
	l.close(1);
	EXPECT_TRUE(
		l.wait_until([&] { return e.state("connections") == "1"; }));
	l.open_and_wait(3, e);
	EXPECT_EQ(RESULT_OK, l.run_exchange(3, PLAN_PROBE).status);
}

/* A fault that closes connections while an exchange is in progress. */
struct LossCase {
	const char *name;
	const char *command; /* sent to the endpoint */
};

const LossCase loss_cases[] = {
	{ "connection cut", "cut clients" },
	{ "process dead", "kill" },
};

TEST(PgLink, ReportsConnectionsLostDuringExchange)
{
	for (const LossCase &c : loss_cases) {
		SCOPED_TRACE(c.name);
		Endpoint e({ "--primary-term", "1" });
		PgLinkHarness l;

		l.open_and_wait(1, e);
		l.open_and_wait(2, e);
		l.start_exchange(1, PLAN_READ, { "SELECT zl_sleep(60000)" });
		l.run_iterations(5);
		e.control.send_command(c.command);
		EXPECT_TRUE(l.wait_until(
			[&] { return l.is_lost(1) && l.is_lost(2); }));
		EXPECT_EQ(0u, l.count(EVENT_EXCHANGE_RESULT));
		EXPECT_EQ(2u, l.count(EVENT_CONN_LOST));
	}
}

TEST(PgLink, ExchangeOnUnusableConnectionIsLost)
{
	Endpoint e({ "--primary-term", "1" });
	PgLinkHarness l;

	l.open_and_wait(1, e);
	l.start_exchange(1, PLAN_READ, { "SELECT zl_sleep(60000)" });
	l.start_exchange(1, PLAN_PROBE);
	EXPECT_EQ(0u, l.count(EVENT_CONN_LOST));
	EXPECT_TRUE(l.wait_until([&] { return l.is_lost(1); }));
	EXPECT_EQ(0u, l.count(EVENT_EXCHANGE_RESULT));
}

TEST(PgLink, NewConnectionMayReuseTheDescriptorOfALostOne)
{
	Endpoint e({ "--primary-term", "1" });
	Endpoint other({ "--primary-term", "1" });
	PgLinkHarness l;

	l.open_and_wait(1, e);
	EXPECT_EQ("ok", e.control.send_command("cut clients"));
	l.start_exchange(1, PLAN_PROBE);
	l.open_and_wait(2, other);
	EXPECT_EQ(RESULT_OK, l.run_exchange(2, PLAN_PROBE).status);
	EXPECT_TRUE(l.is_lost(1));
}

TEST(PgLink, UnexpectedResultWhileIdleClosesTheConnection)
{
	Endpoint e({ "--primary-term", "1" });
	PgLinkHarness l;

	l.open_and_wait(1, e);
	EXPECT_EQ("ok 1", e.control.send_command("stray"));
	EXPECT_TRUE(l.wait_until([&] { return l.is_lost(1); }));
}

TEST(PgLink, UnexpectedResultIsNotTakenByTheNextExchange)
{
	Endpoint e({ "--primary-term", "1" });
	PgLinkHarness l;

	l.open_and_wait(1, e);
	EXPECT_EQ("ok 1", e.control.send_command("stray"));
	l.start_exchange(1, PLAN_READ, { "SELECT 1" });
	EXPECT_TRUE(l.wait_until([&] { return l.is_lost(1); }));
	EXPECT_EQ(0u, l.count(EVENT_EXCHANGE_RESULT));
	EXPECT_EQ("", l.last_result());
}

TEST(PgLink, UnexpectedResultDuringAnExchangeClosesTheConnection)
{
	Endpoint e({ "--primary-term", "1" });
	PgLinkHarness l;

	l.open_and_wait(1, e);
	l.start_exchange(1, PLAN_READ, { "SELECT zl_sleep(60000)" });
	l.run_iterations(5);
	EXPECT_EQ("ok 1", e.control.send_command("stray"));
	EXPECT_TRUE(l.wait_until([&] { return l.is_lost(1); }));
	EXPECT_EQ(0u, l.count(EVENT_EXCHANGE_RESULT));
}

struct Exchange {
	enum exchange_plan plan;
	SqlStatement sql = {};
	uint64_t term = 0;
};

/*
 * The answer to an exchange comes again, byte for byte, after the next exchange
 * on the connection was started and before its own answer.
 */
struct RepeatCase {
	const char *name;
	std::vector<Exchange> before; /* run first, answered once */
	Exchange repeated; /* its answer comes twice */
	Exchange next;
};

const SqlStatement add_oak = {
	"INSERT INTO stock (item, qty) VALUES ('oak', 10)"
};
const SqlStatement add_pine = {
	"INSERT INTO stock (item, qty) VALUES ('pine', 20)"
};
const SqlStatement read_oak = { "SELECT qty FROM stock WHERE item = 'oak'" };
const SqlStatement read_pine = { "SELECT qty FROM stock WHERE item = 'pine'" };

SqlStatement with_id(const SqlStatement &s, const char *request_id)
{
	return { s.text, s.params, request_id };
}

const RepeatCase repeat_cases[] = {
	{ "probes", {}, { PLAN_PROBE }, { PLAN_PROBE } },
	{ "raised terms",
	  {},
	  { PLAN_RAISE_TERM, {}, 4 },
	  { PLAN_RAISE_TERM, {}, 5 } },
	{ "promotions", {}, { PLAN_PROMOTE, {}, 4 }, { PLAN_PROMOTE, {}, 5 } },
	{ "refused promotion, then one that is done",
	  { { PLAN_RAISE_TERM, {}, 4 } },
	  { PLAN_PROMOTE, {}, 3 },
	  { PLAN_PROMOTE, {}, 5 } },
	{ "reads of other rows",
	  { { PLAN_WRITE, add_oak }, { PLAN_WRITE, add_pine } },
	  { PLAN_READ, read_oak },
	  { PLAN_READ, read_pine } },
	{ "failed read, then one that succeeds",
	  { { PLAN_WRITE, add_oak } },
	  { PLAN_READ, { "SELECT a FROM nowhere" } },
	  { PLAN_READ, read_oak } },
	{ "done write, then one that fails",
	  { { PLAN_WRITE, add_oak } },
	  { PLAN_WRITE, add_pine },
	  { PLAN_WRITE, add_oak } },
	{ "failed write, then one that is done",
	  { { PLAN_WRITE, add_oak } },
	  { PLAN_WRITE, add_oak },
	  { PLAN_WRITE, add_pine } },
	{ "done write by id, then one that fails",
	  { { PLAN_WRITE, add_oak } },
	  { PLAN_WRITE_BY_ID, with_id(add_pine, "r1") },
	  { PLAN_WRITE_BY_ID, with_id(add_oak, "r2") } },
	{ "failed write by id, then one that is done",
	  { { PLAN_WRITE, add_oak } },
	  { PLAN_WRITE_BY_ID, with_id(add_oak, "r1") },
	  { PLAN_WRITE_BY_ID, with_id(add_pine, "r2") } },
	{ "duplicate write by id, then a new one",
	  { { PLAN_WRITE_BY_ID, with_id(add_oak, "r1") } },
	  { PLAN_WRITE_BY_ID, with_id(add_oak, "r1") },
	  { PLAN_WRITE_BY_ID, with_id(add_pine, "r2") } },
	{ "lookup that finds nothing, then one that does",
	  { { PLAN_WRITE_BY_ID, with_id(add_oak, "r1") } },
	  { PLAN_LOOKUP, with_id(add_oak, "r2") },
	  { PLAN_LOOKUP, with_id(add_oak, "r1") } },
	{ "lookup that finds, then one that does not",
	  { { PLAN_WRITE_BY_ID, with_id(add_oak, "r1") } },
	  { PLAN_LOOKUP, with_id(add_oak, "r1") },
	  { PLAN_LOOKUP, with_id(add_oak, "r2") } },
	{ "statements of a transaction",
	  { { PLAN_WRITE, add_oak }, { PLAN_WRITE, add_pine }, { PLAN_BEGIN } },
	  { PLAN_STATEMENT, read_oak },
	  { PLAN_STATEMENT, read_pine } },
	{ "failed statement, then another",
	  { { PLAN_BEGIN } },
	  { PLAN_STATEMENT, { "SELECT a FROM nowhere" } },
	  { PLAN_STATEMENT, add_oak } },
	{ "refused statement, then another",
	  { { PLAN_BEGIN } },
	  { PLAN_STATEMENT, { "COMMIT" } },
	  { PLAN_STATEMENT, add_oak } },
	{ "statement of a failed transaction, then its rollback",
	  { { PLAN_BEGIN }, { PLAN_STATEMENT, { "SELECT" } } },
	  { PLAN_STATEMENT, add_oak },
	  { PLAN_ROLLBACK } },
	{ "rollback, then a read",
	  { { PLAN_WRITE, add_oak }, { PLAN_BEGIN } },
	  { PLAN_ROLLBACK },
	  { PLAN_READ, read_oak } },
};

TEST(PgLink, RepeatedAnswerIsNotTakenByTheNextExchange)
{
	for (const RepeatCase &c : repeat_cases) {
		SCOPED_TRACE(c.name);
		Endpoint e({ "--primary-term", "3" });
		PgLinkHarness l;
		size_t ended;

		l.open_and_wait(1, e);
		for (const Exchange &x : c.before)
			l.run_exchange(1, x.plan, x.sql, x.term);
		EXPECT_EQ("ok 1", e.control.send_command("record"));
		l.run_exchange(1, c.repeated.plan, c.repeated.sql,
			       c.repeated.term);
		EXPECT_EQ("ok 1", e.control.send_command("repeat"));
		ended = l.count(EVENT_EXCHANGE_RESULT);
		l.start_exchange(1, c.next.plan, c.next.sql, c.next.term);
		EXPECT_TRUE(l.wait_until([&] { return l.is_lost(1); }));
		EXPECT_EQ(ended, l.count(EVENT_EXCHANGE_RESULT))
			<< "status "
			<< l.events[l.events.size() - 2].result.status;
		EXPECT_EQ("", l.last_result());
	}
}

/*
 * The end of an answer comes again, within the answer to the next exchange, at
 * the place where it would fit.
 */
struct RepeatedEndCase {
	const char *name;
	SqlStatement repeated;
	SqlStatement next;
};

const SqlStatement buy_oak = {
	"UPDATE stock SET qty = qty + 1 WHERE item = 'oak'", "[]", "r1"
};
const SqlStatement buy_elm = {
	"UPDATE stock SET qty = qty + 1 WHERE item = 'elm'", "[]", "r2"
};

const RepeatedEndCase repeated_end_cases[] = {
	{ "other count of rows", buy_oak, buy_elm },
	{ "error", with_id(add_oak, "r1"), with_id(buy_oak, "r2") },
	{ "done, then an error", buy_oak, with_id(add_oak, "r2") },
};

TEST(PgLink, RepeatedEndOfAnAnswerIsNotRecorded)
{
	for (const RepeatedEndCase &c : repeated_end_cases) {
		SCOPED_TRACE(c.name);
		Endpoint e({ "--primary-term", "3" });
		PgLinkHarness l;
		int ran;
		auto wait_for_statements = [&](int count) {
			EXPECT_TRUE(l.wait_until([&] {
				return std::stoi(e.state("statements")) >=
				       ran + count;
			}));
		};
		/* Waits until the answer up to BEGIN was sent. */
		auto start = [&](const SqlStatement &s) {
			ran = std::stoi(e.state("statements"));
			l.start_exchange(1, PLAN_WRITE_BY_ID, s);
			wait_for_statements(1);
		};

		l.open_and_wait(1, e);
		l.run_exchange(1, PLAN_WRITE, add_oak);
		e.control.send_command("service 100000");
		start(c.repeated);
		EXPECT_EQ("ok 1", e.control.send_command("record"));
		wait_for_statements(3);
		EXPECT_EQ("ok 1", e.control.send_command("record end"));
		EXPECT_TRUE(l.wait_until(
			[&] { return l.count(EVENT_EXCHANGE_RESULT) == 2; }));
		start(c.next);
		EXPECT_EQ("ok 1", e.control.send_command("repeat"));
		e.control.send_command("service 0");
		EXPECT_TRUE(l.wait_until([&] { return l.is_lost(1); }));
		EXPECT_EQ(2u, l.count(EVENT_EXCHANGE_RESULT));
		EXPECT_TRUE(l.wait_until(
			[&] { return e.state("connections") == "0"; }));
		l.open_and_wait(2, e);
		EXPECT_EQ(RESULT_NOT_FOUND,
			  l.run_exchange(2, PLAN_LOOKUP, c.next).status)
			<< l.last_result();
	}
}

TEST(PgLink, SilentConnectionsDoNotBlockOthers)
{
	Endpoint e({ "--primary-term", "1", "--connections-max", "2" });
	PgLinkHarness l;

	l.open_and_wait(1, e);
	l.open_and_wait(2, e);
	e.control.send_command("silent");
	l.start_exchange(1, PLAN_WRITE, insert_order);
	l.start_exchange(2, PLAN_PROBE);
	l.open_and_wait(3, e);
	EXPECT_EQ(RESULT_OK, l.run_exchange(3, PLAN_PROBE).status);
	EXPECT_EQ(1u, l.count(EVENT_EXCHANGE_RESULT));
	EXPECT_EQ("ok 0", e.control.send_command("count orders"));
}

TEST(PgLink, NoResultIfSilentAfterReceivingTheWrite)
{
	Endpoint e({ "--primary-term", "1", "--service-us", "20000" });
	PgLinkHarness l;

	l.open_and_wait(1, e);
	l.start_exchange(1, PLAN_WRITE, insert_order);
	EXPECT_TRUE(l.wait_until([&] { return e.state("statements") == "1"; }));
	e.control.send_command("silent");
	EXPECT_TRUE(l.wait_until([&] {
		return e.control.send_command("count orders") == "ok 1";
	}));
	l.run_iterations(5);
	EXPECT_EQ(0u, l.count(EVENT_EXCHANGE_RESULT));
}

TEST(PgLink, ReusedIdGetsNoEventOfTheOldConnection)
{
	Endpoint e({ "--primary-term", "1" });
	PgLinkHarness l;
	uint64_t old;
	struct exchange_result r;

	l.open_and_wait(1, e);
	old = l.start_exchange(1, PLAN_READ, { "SELECT zl_sleep(20)" });
	l.run_iterations(2);
	l.close(1);
	l.open_and_wait(1, e);
	r = l.run_exchange(1, PLAN_READ, { "SELECT zl_sleep(40)" });
	EXPECT_NE(old, r.exchange);
	EXPECT_EQ(1u, l.count(EVENT_EXCHANGE_RESULT));
	EXPECT_EQ(0u, l.count(EVENT_CONN_LOST));
}

TEST(PgLink, StatementsQueueForSlots)
{
	Endpoint e({ "--primary-term", "1", "--slots", "1" });
	PgLinkHarness l;

	l.open_and_wait(1, e);
	l.open_and_wait(2, e);
	l.open_and_wait(3, e);
	l.start_exchange(1, PLAN_READ, { "SELECT zl_sleep(30)" });
	l.run_iterations(5);
	l.start_exchange(2, PLAN_READ, count_stock);
	EXPECT_EQ(RESULT_OK, l.run_exchange(3, PLAN_PROBE).status);
	EXPECT_TRUE(l.wait_until(
		[&] { return l.count(EVENT_EXCHANGE_RESULT) == 3; }));
	EXPECT_EQ(1u, l.events[l.events.size() - 2].result.conn_id);
	EXPECT_EQ(2u, l.events.back().result.conn_id);
}

TEST(PgLink, LargeStatementIsSentInParts)
{
	Endpoint e({ "--primary-term", "1" });
	PgLinkHarness l(64 << 20);
	const std::string item(8 << 20, 'x');
	SqlStatement s = { "INSERT INTO orders (id, item) VALUES ('o1', $1)" };

	s.params = "[\"" + item + "\"]";
	l.open_and_wait(1, e);
	e.control.send_command("freeze");
	l.start_exchange(1, PLAN_WRITE, s);
	l.run_iterations(5);
	e.control.send_command("resume");
	EXPECT_TRUE(l.wait_until(
		[&] { return l.count(EVENT_EXCHANGE_RESULT) == 1; }));
	EXPECT_EQ(RESULT_OK, l.events.back().result.status);
	EXPECT_EQ(RESULT_OK,
		  l.run_exchange(1, PLAN_READ, { "SELECT item FROM orders" })
			  .status);
	EXPECT_NE(std::string::npos, l.last_result().find(item));
}

TEST(PgLink, FrozenEndpointAnswersWhenResumed)
{
	Endpoint e({ "--primary-term", "1" });
	PgLinkHarness l;

	l.open_and_wait(1, e);
	e.control.send_command("freeze");
	l.start_exchange(1, PLAN_WRITE, insert_order);
	l.run_iterations(20);
	EXPECT_EQ(0u, l.count(EVENT_EXCHANGE_RESULT));
	EXPECT_EQ("ok 0", e.control.send_command("count orders"));
	e.control.send_command("resume");
	EXPECT_TRUE(l.wait_until(
		[&] { return l.count(EVENT_EXCHANGE_RESULT) == 1; }));
	EXPECT_EQ(RESULT_OK, l.events.back().result.status);
}

} // namespace
