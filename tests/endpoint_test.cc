/*
 * Tests of standin-endpoint: its replicated log, through pg_link, and its SQL,
 * through libpq.
 */
#include "pg_fixture.h"

#include <gtest/gtest.h>
#include <libpq-fe.h>

namespace
{

/* Three endpoints that are each other's peers, with a connection to each. */
struct Group {
	explicit Group(const std::vector<std::string> &args = {})
	{
		for (uint32_t i = 0; i < 3; i++)
			members.push_back(std::make_unique<Endpoint>(args));
		for (uint32_t i = 0; i < 3; i++)
			set_peers(i);
		for (uint32_t i = 0; i < 3; i++)
			link.open_and_wait(i + 1, *members[i]);
	}

	void set_peers(uint32_t i)
	{
		std::string command = "peers";

		for (uint32_t k = 0; k < 3; k++)
			if (k != i)
				command += " " + members[k]->process.address(
							 "replication");
		members[i]->control.send_command(command);
	}

	struct exchange_result promote(uint32_t i, uint64_t term)
	{
		return link.run_exchange(i + 1, PLAN_PROMOTE, {}, term);
	}

	struct exchange_result insert(uint32_t i, const std::string &id)
	{
		return link.run_exchange(i + 1, PLAN_WRITE,
					 { "INSERT INTO orders (id) VALUES ($1)",
					   "[\"" + id + "\"]" });
	}

	bool wait_for_state(uint32_t i, const std::string &field,
			    const std::string &value)
	{
		return link.wait_until(
			[&] { return members[i]->state(field) == value; });
	}

	std::string send_command(uint32_t i, const std::string &command)
	{
		return members[i]->control.send_command(command);
	}

	std::vector<std::string> get_log(uint32_t i)
	{
		return members[i]->control.send_list_command("log");
	}

	std::vector<std::unique_ptr<Endpoint>> members;
	PgLinkHarness link;
};

TEST(EndpointGroup, ReplicasApplyTheLogOfThePrimary)
{
	Group g;

	EXPECT_EQ(RESULT_OK, g.promote(0, 1).status);
	for (int i = 0; i < 50; i++)
		ASSERT_EQ(RESULT_OK, g.insert(0, std::to_string(i)).status);
	for (uint32_t i = 1; i < 3; i++) {
		EXPECT_TRUE(g.wait_for_state(i, "last_offset", "51"));
		EXPECT_EQ("1", g.members[i]->state("current_term"));
		EXPECT_EQ("ok 50", g.send_command(i, "count orders"));
		EXPECT_EQ(RESULT_NOT_PRIMARY, g.insert(i, "x").status);
	}
}

TEST(EndpointGroup, SecondPrimaryOfATermIsRejected)
{
	Group g;

	EXPECT_EQ(RESULT_OK, g.promote(0, 1).status);
	EXPECT_TRUE(g.wait_for_state(1, "last_offset", "1"));
	EXPECT_EQ(RESULT_NOT_PRIMARY, g.promote(1, 1).status);
}

/* The lag is that of the primary or of the replica, whichever is larger. */
struct LagCase {
	const char *name;
	uint32_t lagging; /* member whose lag is set */
	const char *offset; /* last offset of member 1 during the lag */
};

const LagCase lag_cases[] = {
	{ "primary", 0, "1" },
	{ "replica", 1, "1" },
	{ "other replica", 2, "2" },
};

TEST(EndpointGroup, ReplicationUsesTheLargerLag)
{
	for (const LagCase &c : lag_cases) {
		SCOPED_TRACE(c.name);
		Group g;

		g.promote(0, 1);
		EXPECT_TRUE(g.wait_for_state(1, "last_offset", "1"));
		EXPECT_TRUE(g.wait_for_state(2, "last_offset", "1"));
		g.send_command(c.lagging, "lag 60000");
		/*
		 * Reconnect, so that the primary learns the replica's lag
		 * before it sends the next entry.
		 */
		g.send_command(0, "cut peers");
		g.send_command(0, "heal peers");
		EXPECT_EQ(2u, g.insert(0, "a").after.position.offset);
		EXPECT_TRUE(g.wait_for_state(1, "last_offset", c.offset));
		g.link.run_iterations(100);
		EXPECT_EQ(c.offset, g.members[1]->state("last_offset"));
		g.send_command(c.lagging, "lag 0");
		EXPECT_TRUE(g.wait_for_state(1, "last_offset", "2"));
	}
}

TEST(EndpointGroup, ReplacedPrimaryDiscardsDivergentEntries)
{
	Group g;

	g.promote(0, 1);
	g.insert(0, "both");
	EXPECT_TRUE(g.wait_for_state(1, "last_offset", "2"));
	EXPECT_TRUE(g.wait_for_state(2, "last_offset", "2"));
	g.send_command(0, "cut peers");
	g.insert(0, "lost 1");
	g.insert(0, "lost 2");
	g.insert(0, "lost 3");
	g.link.run_exchange(2, PLAN_RAISE_TERM, {}, 2);
	EXPECT_EQ(RESULT_OK, g.promote(1, 2).status);
	g.insert(1, "kept");
	EXPECT_TRUE(g.wait_for_state(2, "last_offset", "4"));
	EXPECT_EQ("primary", g.members[0]->state("role"));
	EXPECT_EQ("5", g.members[0]->state("last_offset"));
	g.send_command(0, "heal peers");
	EXPECT_TRUE(g.wait_for_state(0, "last_term", "2"));
	EXPECT_TRUE(g.wait_for_state(0, "last_offset", "4"));
	EXPECT_EQ("replica", g.members[0]->state("role"));
	EXPECT_EQ(g.get_log(1), g.get_log(0));
	EXPECT_EQ("ok 2", g.send_command(0, "count orders"));
	EXPECT_EQ(RESULT_NOT_PRIMARY, g.insert(0, "late").status);
}

TEST(EndpointGroup, PrimaryStepsDownWhenAPeerKnowsALaterTerm)
{
	Group g;

	g.promote(0, 1);
	EXPECT_TRUE(g.wait_for_state(2, "last_offset", "1"));
	g.link.run_exchange(3, PLAN_RAISE_TERM, {}, 5);
	EXPECT_TRUE(g.wait_for_state(0, "role", "replica"));
	EXPECT_EQ("5", g.members[0]->state("current_term"));
	EXPECT_EQ("1", g.members[0]->state("last_offset"));
}

TEST(EndpointGroup, FrozenReplicaCatchesUp)
{
	Group g;

	g.promote(0, 1);
	EXPECT_TRUE(g.wait_for_state(1, "last_offset", "1"));
	g.send_command(1, "freeze");
	for (int i = 0; i < 1000; i++)
		ASSERT_EQ(RESULT_OK, g.insert(0, std::to_string(i)).status);
	EXPECT_TRUE(g.wait_for_state(2, "last_offset", "1001"));
	EXPECT_EQ("1", g.members[1]->state("last_offset"));
	g.send_command(1, "resume");
	EXPECT_TRUE(g.wait_for_state(1, "last_offset", "1001"));
	EXPECT_EQ(g.members[0]->control.send_list_command("dump orders"),
		  g.members[1]->control.send_list_command("dump orders"));
}

TEST(EndpointGroup, RecordedRequestIsFoundAfterFailover)
{
	Group g;
	const SqlStatement order = { "INSERT INTO orders (id) VALUES ('o1')",
				     "[]", "r1" };

	g.promote(0, 1);
	EXPECT_EQ(RESULT_OK,
		  g.link.run_exchange(1, PLAN_WRITE_BY_ID, order).status);
	EXPECT_TRUE(g.wait_for_state(1, "last_offset", "2"));
	g.members[0]->process.kill_and_wait();
	EXPECT_EQ(RESULT_OK, g.promote(1, 2).status);
	EXPECT_EQ(RESULT_DUPLICATE,
		  g.link.run_exchange(2, PLAN_WRITE_BY_ID, order).status);
	EXPECT_EQ(RESULT_OK, g.link.run_exchange(2, PLAN_LOOKUP, order).status);
	EXPECT_EQ("ok 1", g.send_command(1, "count orders"));
}

TEST(EndpointGroup, ReplicatesToPeersOfTheCommandLine)
{
	Endpoint a;
	Endpoint b;
	Endpoint primary({ "--primary-term", "7", "--peers",
			   a.process.address("replication") + "," +
				   b.process.address("replication") });
	PgLinkHarness l;

	EXPECT_TRUE(l.wait_until([&] { return a.state("last_term") == "7"; }));
	EXPECT_TRUE(l.wait_until([&] { return b.state("last_term") == "7"; }));
}

/* Opens a blocking libpq connection. */
PGconn *connect_to(const Endpoint &e)
{
	std::string info = "host=127.0.0.1 user=u dbname=d port=" +
			   e.process.field("listen");
	PGconn *c = PQconnectdb(info.c_str());

	EXPECT_EQ(CONNECTION_OK, PQstatus(c)) << PQerrorMessage(c);
	return c;
}

/* A simple query and its outcome; the rows run in order on one connection. */
struct QueryCase {
	const char *sql;
	const char *tag; /* command tag; "" if it fails */
	const char *sqlstate; /* "" if it succeeds */
	PGTransactionStatusType status; /* after the query */
};

const QueryCase query_cases[] = {
	{ "SELECT 1", "SELECT 1", "", PQTRANS_IDLE },
	{ "INSERT INTO stock (item, qty) VALUES ('oak', -1)", "INSERT 0 1", "",
	  PQTRANS_IDLE },
	{ "INSERT INTO stock (item) VALUES (NULL)", "", "23502", PQTRANS_IDLE },
	{ "BEGIN", "BEGIN", "", PQTRANS_INTRANS },
	{ "DELETE FROM stock WHERE item = 'oak'", "DELETE 1", "",
	  PQTRANS_INTRANS },
	{ "INSERT INTO stock (item) VALUES ('oak')", "INSERT 0 1", "",
	  PQTRANS_INTRANS },
	{ "UPDATE stock SET qty = qty + 1 WHERE item = 'oak'", "", "22P02",
	  PQTRANS_INERROR },
	{ "SELECT 1", "", "25P02", PQTRANS_INERROR },
	{ "COMMIT", "ROLLBACK", "", PQTRANS_IDLE },
	{ "UPDATE stock SET qty = qty + 1 WHERE qty < 0", "UPDATE 1", "",
	  PQTRANS_IDLE },
	{ "BEGIN READ ONLY", "BEGIN", "", PQTRANS_INTRANS },
	{ "DELETE FROM stock", "", "25006", PQTRANS_INERROR },
	{ "ROLLBACK", "ROLLBACK", "", PQTRANS_IDLE },
	{ "SELECT * FROM stock WHERE qty >= 0", "SELECT 1", "", PQTRANS_IDLE },
	{ "SELECT nothing()", "", "42883", PQTRANS_IDLE },
	{ "SELECT x FROM stock", "", "42703", PQTRANS_IDLE },
	{ "CREATE TABLE x", "", "42601", PQTRANS_IDLE },
};

TEST(Endpoint, SimpleQueries)
{
	Endpoint e({ "--primary-term", "1" });
	PGconn *c = connect_to(e);

	for (const QueryCase &q : query_cases) {
		SCOPED_TRACE(q.sql);
		PGresult *r = PQexec(c, q.sql);
		const char *s = PQresultErrorField(r, PG_DIAG_SQLSTATE);

		EXPECT_STREQ(q.tag, PQcmdStatus(r));
		EXPECT_STREQ(q.sqlstate, s ? s : "");
		EXPECT_EQ(q.status, PQtransactionStatus(c));
		PQclear(r);
	}
	PQfinish(c);
}

/* Sends all statements in one pipeline with one Sync; discards the results. */
void run_pipeline(PGconn *c, const std::vector<const char *> &texts)
{
	PGresult *r = nullptr;

	ASSERT_EQ(1, PQenterPipelineMode(c));
	for (const char *sql : texts)
		PQsendQueryParams(c, sql, 0, nullptr, nullptr, nullptr, nullptr,
				  0);
	PQpipelineSync(c);
	while (!r || PQresultStatus(r) != PGRES_PIPELINE_SYNC) {
		PQclear(r);
		r = PQgetResult(c);
	}
	PQclear(r);
	ASSERT_EQ(1, PQexitPipelineMode(c));
}

TEST(Endpoint, PipelineIsOneTransaction)
{
	Endpoint e({ "--primary-term", "1" });
	PGconn *c = connect_to(e);

	run_pipeline(c, { "INSERT INTO orders (id) VALUES ('a')",
			  "INSERT INTO orders (id) VALUES ('a')",
			  "INSERT INTO orders (id) VALUES ('b')" });
	EXPECT_EQ("ok 0", e.control.send_command("count orders"));
	run_pipeline(c, { "INSERT INTO orders (id) VALUES ('a')",
			  "INSERT INTO orders (id) VALUES ('b')" });
	EXPECT_EQ("ok 2", e.control.send_command("count orders"));
	EXPECT_EQ("2", e.state("last_offset"));
	PQfinish(c);
}

} // namespace
