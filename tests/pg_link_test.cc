#include "pg_fixture.h"

#include <gtest/gtest.h>

namespace
{

const Sql insert_order = {
	"INSERT INTO orders (id, item, qty) VALUES ($1, $2, $3)",
	"[\"o1\", \"oak\", 4]", "r1"
};
const Sql select_orders = { "SELECT id, qty FROM orders WHERE item = $1",
			    "[\"oak\"]" };

/* One exchange after those of the rows before, on the same connection. */
struct PlanCase {
	const char *name;
	enum exchange_plan plan;
	Sql sql;
	enum result_status status;
	const char *result; /* JSON text; "": none */
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
	  "{\"command\":\"INSERT\",\"rows_affected\":1,"
	  "\"columns\":[],\"rows\":[]}",
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
	  "{\"command\":\"INSERT\",\"rows_affected\":1,"
	  "\"columns\":[],\"rows\":[]}",
	  "" },
	{ "the same write again", PLAN_WRITE_BY_ID, insert_order,
	  RESULT_DUPLICATE, nullptr, "23505" },
	{ "lookup", PLAN_LOOKUP, insert_order, RESULT_OK,
	  "{\"command\":\"INSERT\",\"rows_affected\":1,"
	  "\"columns\":[],\"rows\":[]}",
	  "" },
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
	  "{\"command\":\"UPDATE\",\"rows_affected\":1,"
	  "\"columns\":[],\"rows\":[]}",
	  "" },
	{ "update whose condition fails",
	  PLAN_WRITE,
	  { "UPDATE stock SET qty = qty - $1 WHERE item = $2 AND qty >= $1",
	    "[8, \"oak\"]" },
	  RESULT_OK,
	  "{\"command\":\"UPDATE\",\"rows_affected\":0,"
	  "\"columns\":[],\"rows\":[]}",
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

TEST(PgLink, Plans)
{
	Endpoint e({ "--primary-term", "3", "--password", "secret" });
	Link l;

	l.open_wait(1, e);
	for (const PlanCase &c : plan_cases) {
		SCOPED_TRACE(c.name);
		struct exchange_result r = l.run(1, c.plan, c.sql);

		EXPECT_EQ(c.status, r.status) << l.result();
		EXPECT_EQ(c.sqlstate, l.sqlstate());
		if (c.result) {
			EXPECT_EQ(c.result, l.result());
		}
		EXPECT_EQ(ROLE_PRIMARY, r.before.role);
		EXPECT_EQ(3u, r.after.current_term);
		EXPECT_TRUE(
			position_covers(r.after.position, r.before.position));
	}
}

} // namespace
