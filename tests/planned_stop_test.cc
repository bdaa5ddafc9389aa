/*
 * Planned stops of one node in virtual time. Callers go on using their open
 * connections until the process has ended.
 */
#include "model.h"
#include "proxy_model.h"

#include <gtest/gtest.h>

extern "C" {
#include "core/error.h"
#include "handover/stop_plan.h"
#include "proxy/engine.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;
constexpr int64_t START_US = 6 * S; /* all nodes know one another */
/* The host ends the process this long before it would be killed. */
constexpr int64_t END_US = 5500 * MS;
/* A statement that was sent by then may still run when the process ends. */
constexpr int64_t EXCUSED_US = 3000 * MS;
constexpr int64_t LAST_SIXTH_US = 5000 * MS;
constexpr int CALLERS = 12;

/* What one kind of caller does until its connection is closed. */
struct Script {
	const char *name;
	const char *database;
	std::vector<const char *> statements; /* repeated from the start */
	int64_t begin_us; /* after the node is told to stop */
	int64_t pause_us; /* between an answer and the next statement */
	int64_t work_us; /* of a statement at an endpoint */
	bool new_sessions; /* one is opened for each round of statements */
};

const Script scripts[] = {
	{ "reads of a transaction follow at once",
	  "bounded",
	  { "BEGIN READ", "READ 1", "READ 1", "READ 1", "READ 1", "READ 1",
	    "READ 1", "READ 1", "READ 1", "READ 1", "READ 1", "READ 1",
	    "COMMIT" },
	  1500 * MS,
	  0,
	  400 * MS,
	  false },
	{ "reads of a transaction follow after a pause",
	  "bounded",
	  { "BEGIN READ", "READ 1", "READ 1", "READ 1", "READ 1", "READ 1",
	    "READ 1", "READ 1", "READ 1", "READ 1", "READ 1", "READ 1",
	    "COMMIT" },
	  1500 * MS,
	  30 * MS,
	  400 * MS,
	  false },
	{ "writes of a transaction follow at once",
	  "strict",
	  { "BEGIN", "WRITE 1 x", "READ 1", "WRITE 2 x", "READ 1", "WRITE 3 x",
	    "READ 1", "WRITE 4 x", "READ 1", "WRITE 5 x", "READ 1", "WRITE 6 x",
	    "COMMIT" },
	  1500 * MS,
	  0,
	  400 * MS,
	  false },
	{ "the first statement of a transaction is late",
	  "strict",
	  { "BEGIN", "WRITE 1 x", "COMMIT" },
	  2250 * MS,
	  0,
	  1100 * MS,
	  true },
	{ "single reads in sessions that are new",
	  "bounded",
	  { "READ 1" },
	  0,
	  0,
	  300 * MS,
	  true },
	{ "single writes in sessions that are new",
	  "strict",
	  { "WRITE 1 x" },
	  0,
	  0,
	  300 * MS,
	  true },
	{ "single writes that take long",
	  "strict",
	  { "WRITE 1 x" },
	  1500 * MS,
	  0,
	  2000 * MS,
	  true },
};

class Caller
{
      public:
	Caller(ProxyModel &m, const Script &s, int64_t stopped_us)
	    : m_(m), s_(s), stopped_us_(stopped_us),
	      next_us_(stopped_us + s.begin_us)
	{
		connect();
	}

	/* Reads what has come, and sends what is due. */
	void run()
	{
		if (waiting_ && (is_answered() || c_->closed))
			take_answer();
		if (waiting_)
			return;
		if (c_->closed && s_.new_sessions && m_.nodes[0]->engine)
			connect();
		if (!c_->closed && m_.now() >= next_us_)
			send();
	}

	int answered = 0;
	int cut = 0;

      private:
	void connect()
	{
		c_ = m_.connect(0, s_.database, "key-a");
		m_.wait_for_answer(c_, 0);
		step_ = 0;
	}

	bool is_answered() const
	{
		return !c_->lines.empty() &&
		       c_->lines.back().compare(0, 5, "READY") == 0;
	}

	void send()
	{
		sent_us_ = m_.now();
		m_.send_statement(c_,
				  s_.statements[step_ % s_.statements.size()]);
		waiting_ = true;
	}

	void take_answer()
	{
		bool excused = sent_us_ <= stopped_us_ + EXCUSED_US &&
			       m_.now() >= stopped_us_ + LAST_SIXTH_US;
		ProxyAnswer a = m_.wait_for_answer(c_, 0);

		waiting_ = false;
		next_us_ = m_.now() + s_.pause_us;
		answered += a.state != '?';
		cut += a.state == '?' && !excused;
		step_ = a.ok ? step_ + 1 : 0;
	}

	ProxyModel &m_;
	const Script &s_;
	ProxyCaller *c_ = nullptr;
	int64_t stopped_us_;
	int64_t next_us_;
	int64_t sent_us_ = 0;
	size_t step_ = 0;
	bool waiting_ = false;
};

struct JudgeCase {
	int64_t after_us; /* since the stop began */
	struct stop_statement statement;
	enum stop_verdict verdict;
};

constexpr struct stop_statement SINGLE = { false, false, false };
constexpr struct stop_statement BEGINS = { false, true, false };
constexpr struct stop_statement INSIDE = { true, false, false };
constexpr struct stop_statement COMMITS = { true, false, true };

/* With a grace time of 6 s. */
const JudgeCase judge_cases[] = {
	{ 0, SINGLE, STOP_ACCEPT },
	{ 0, BEGINS, STOP_ACCEPT },
	{ 3 * S - 1, INSIDE, STOP_ACCEPT },
	{ 3 * S - 1, BEGINS, STOP_ACCEPT },
	{ 3 * S, INSIDE, STOP_ROLL_BACK },
	{ 3 * S, BEGINS, STOP_REFUSE },
	{ 3 * S, COMMITS, STOP_ACCEPT },
	{ 3 * S, SINGLE, STOP_ACCEPT },
	{ 5400 * MS - 1, COMMITS, STOP_ACCEPT },
	{ 5400 * MS, COMMITS, STOP_ROLL_BACK },
	{ 5400 * MS, INSIDE, STOP_ROLL_BACK },
	{ 5400 * MS, SINGLE, STOP_REFUSE },
	{ 5400 * MS, BEGINS, STOP_REFUSE },
};

TEST(StopPlan, AcceptsWhatCanBeAnswered)
{
	struct stop_plan p = {};

	for (const JudgeCase &k : judge_cases)
		EXPECT_EQ(STOP_ACCEPT,
			  stop_plan_judge(&p, &k.statement, k.after_us));
	stop_plan_start(&p, 6 * S, 1 * S);
	for (const JudgeCase &k : judge_cases) {
		SCOPED_TRACE(k.after_us);
		EXPECT_EQ(k.verdict, stop_plan_judge(&p, &k.statement,
						     1 * S + k.after_us));
	}
}

TEST(StopPlan, ClosesSessionsThatAreLeft)
{
	struct stop_plan p = {};

	EXPECT_FALSE(stop_plan_closes_idle(&p, 9 * S));
	EXPECT_FALSE(stop_plan_closes_transaction(&p, 9 * S, 9 * S));
	stop_plan_start(&p, 6 * S, 1 * S);
	EXPECT_FALSE(stop_plan_closes_idle(&p, 3300 * MS - 1));
	EXPECT_TRUE(stop_plan_closes_idle(&p, 3300 * MS));
	EXPECT_FALSE(stop_plan_closes_transaction(&p, 2 * S, 4 * S - 1));
	EXPECT_TRUE(stop_plan_closes_transaction(&p, 2 * S, 4 * S));
	EXPECT_FALSE(stop_plan_closes_transaction(&p, 100 * MS, 4 * S));
	EXPECT_TRUE(stop_plan_closes_transaction(&p, 0, 6400 * MS));
}

/* Every part of the plan lies in order inside the grace time. */
TEST(StopPlan, FitsAnyGraceTime)
{
	for (int64_t grace_us :
	     { 0L, 1L, 100 * MS, 900 * MS, 6 * S, 600 * S }) {
		struct stop_plan p = {};

		SCOPED_TRACE(grace_us);
		stop_plan_start(&p, grace_us, 1 * S);
		EXPECT_LE(1 * S, p.transactions_until_us);
		EXPECT_LE(p.transactions_until_us, p.answers_until_us);
		EXPECT_LE(p.answers_until_us, p.end_us);
		EXPECT_LE(p.end_us, 1 * S + grace_us);
	}
}

/*
 * Guards against a planned stop that ends a connection while a statement which
 * was accepted late in the grace time runs: the next statement of a transaction
 * came before a tick could find the session idle.
 */
TEST(PlannedStop, AnswersAllThatItAccepts)
{
	for (const Script &s : scripts) {
		ProxyModelOpts o;
		std::vector<Caller> callers;
		int answered = 0;
		int cut = 0;

		SCOPED_TRACE(s.name);
		o.slots = 2 * CALLERS;
		o.statement_duration_us = s.work_us;
		o.unlimited = true;
		o.log = getenv("PROXY_LOG") != nullptr;
		ProxyModel m(o);
		m.run(START_US);
		int64_t stopped_us = m.now();
		for (int i = 0; i < CALLERS; i++)
			callers.emplace_back(m, s, stopped_us);
		engine_drain(m.nodes[0]->engine);
		while (m.now() < stopped_us + END_US) {
			if (engine_is_drained(m.nodes[0]->engine))
				break;
			for (Caller &c : callers)
				c.run();
			m.run(1);
		}
		m.kill(m.nodes[0].get());
		for (Caller &c : callers) {
			c.run();
			answered += c.answered;
			cut += c.cut;
		}
		EXPECT_EQ(0, cut);
		EXPECT_LT(0, answered);
		for (const std::string &v : m.violations)
			ADD_FAILURE() << v;
	}
}

struct LateStatement {
	const char *name;
	std::vector<const char *> before; /* until half of the grace time */
	const char *text;
	const char *code; /* "": it succeeds */
};

const LateStatement late_statements[] = {
	{ "another read", { "BEGIN READ", "READ 1" }, "READ 1", "ABORTED" },
	{ "the first write", { "BEGIN", "READ 1" }, "WRITE 1 x", "ABORTED" },
	{ "another write", { "BEGIN", "WRITE 1 x" }, "WRITE 2 x", "ABORTED" },
	{ "COMMIT", { "BEGIN", "WRITE 1 x" }, "COMMIT", "" },
	{ "ROLLBACK", { "BEGIN", "WRITE 1 x" }, "ROLLBACK", "" },
};

/* Guards against transactions that go on until the process ends. */
TEST(PlannedStop, OnlyEndsTransactionsInTheSecondHalf)
{
	for (const LateStatement &k : late_statements) {
		ProxyModel m({});
		ProxyAnswer a;

		SCOPED_TRACE(k.name);
		m.run(START_US);
		ProxyCaller *c = m.connect(0, "strict", "key-a");
		m.wait_for_answer(c, 1 * S);
		engine_drain(m.nodes[0]->engine);
		int64_t stopped_us = m.now();
		m.run(1 * S);
		EXPECT_TRUE(m.run_statement(c, k.before[0]).ok);
		m.run(stopped_us + 2500 * MS - m.now());
		for (size_t i = 1; i < k.before.size(); i++)
			EXPECT_TRUE(m.run_statement(c, k.before[i]).ok);
		m.run(stopped_us + 3 * S - m.now());
		a = m.run_statement(c, k.text);
		EXPECT_EQ(k.code, a.code);
		EXPECT_EQ(*k.code ? 'E' : 'I', a.state);
		ProxyCaller *late = m.connect(0, "strict", "key-a");
		EXPECT_EQ("BUSY", m.run_statement(late, "BEGIN").code);
		for (const std::string &v : m.violations)
			ADD_FAILURE() << v;
	}
}

struct LateCommit {
	const char *name;
	int64_t pause_us; /* before the COMMIT, which comes after 3.1 s */
	bool closed;
};

const LateCommit late_commits[] = {
	{ "the caller pauses shortly", 300 * MS, false },
	{ "the caller has rested for long", 2 * S, true },
};

/*
 * Guards against connections that are closed at half of the grace time while
 * the COMMIT is on its way: its caller could not know that nothing has run.
 */
TEST(PlannedStop, TakesCommitsThatComeLate)
{
	for (const LateCommit &k : late_commits) {
		ProxyModel m({});

		SCOPED_TRACE(k.name);
		m.run(START_US);
		ProxyCaller *c = m.connect(0, "strict", "key-a");
		EXPECT_TRUE(m.run_statement(c, "BEGIN").ok);
		engine_drain(m.nodes[0]->engine);
		int64_t stopped_us = m.now();
		m.run(3100 * MS - k.pause_us);
		EXPECT_TRUE(m.run_statement(c, "WRITE 1 x").ok);
		m.run(stopped_us + 3100 * MS - m.now());
		EXPECT_EQ(k.closed, c->closed);
		if (!k.closed) {
			EXPECT_TRUE(m.run_statement(c, "COMMIT").ok);
		}
		EXPECT_TRUE(m.run_until(
			[&] { return engine_is_drained(m.nodes[0]->engine); },
			200 * MS));
		for (const std::string &v : m.violations)
			ADD_FAILURE() << v;
	}
}

struct QueuedCase {
	const char *name;
	std::vector<const char *> texts; /* sent without waiting */
	int64_t sent_us; /* after the node is told to stop */
	bool between_ticks;
};

const QueuedCase queued_cases[] = {
	{ "two reads", { "READ 1", "READ 1" }, 2250 * MS, false },
	{ "many reads",
	  { "READ 1", "READ 1", "READ 1", "READ 1", "READ 1" },
	  2250 * MS,
	  false },
	{ "a read behind a value", { "SET a 1", "READ 1" }, 2250 * MS, false },
	{ "a write behind a transaction",
	  { "BEGIN", "WRITE 1 x", "COMMIT", "WRITE 2 x" },
	  2250 * MS,
	  false },
	{ "values and a read that arrive together",
	  { "SET a 1", "SET b 1", "READ 1" },
	  2305 * MS,
	  true },
};

/*
 * Guards against a planned stop that closes a session between two requests of
 * which the second has been read already.
 */
TEST(PlannedStop, AnswersRequestsThatWait)
{
	for (const QueuedCase &k : queued_cases) {
		ProxyModelOpts o;
		size_t answers = 0;

		SCOPED_TRACE(k.name);
		o.statement_duration_us = 400 * MS;
		ProxyModel m(o);
		ProxyNode *n = m.nodes[0].get();
		m.allow_unasked = true;
		m.run(START_US);
		ProxyCaller *c = m.connect(0, "strict", "key-a");
		m.wait_for_answer(c, 1 * S);
		engine_drain(n->engine);
		int64_t stopped_us = m.now();
		m.run(2200 * MS);
		n->frozen = k.between_ticks;
		m.run(stopped_us + k.sent_us - m.now());
		for (const char *text : k.texts) {
			if (c->session)
				engine_caller_line(c->session,
						   (std::string("QUERY q ") +
						    text)
							   .c_str());
		}
		n->frozen = false;
		EXPECT_TRUE(m.run_until([c] { return c->closed; }, 3200 * MS));
		for (const std::string &line : c->lines)
			answers += line.compare(0, 5, "READY") == 0;
		EXPECT_EQ(k.texts.size(), answers);
		EXPECT_TRUE(m.run_until(
			[n] { return engine_is_drained(n->engine); }, 1 * S));
	}
}

struct CoreStep {
	const char *name;
	int64_t after_us; /* since the stop began */
	enum request_kind kind;
	bool frozen; /* the endpoints answer no more */
	int32_t error;
};

/* Transactions may go on for 1 s, answers are sent for 2 s. */
const CoreStep core_steps[] = {
	{ "statement in time", 900 * MS, REQUEST_STATEMENT, false, ERR_NONE },
	{ "late statement", 1100 * MS, REQUEST_STATEMENT, false,
	  ERR_SHUTTING_DOWN },
	{ "late COMMIT", 1100 * MS, REQUEST_COMMIT, false, ERR_NONE },
	{ "late ROLLBACK", 1100 * MS, REQUEST_ROLLBACK, false, ERR_NONE },
	{ "statement that gets no answer", 900 * MS, REQUEST_STATEMENT, true,
	  ERR_DEADLINE },
	{ "COMMIT that gets no answer", 1100 * MS, REQUEST_COMMIT, true,
	  ERR_DEADLINE },
};

/*
 * Guards against a shutdown of the HTTP interface that goes on accepting the
 * statements of open transactions, and cuts those that run when it ends.
 */
TEST(PlannedStop, CoreDrainAnswersAllThatItAccepts)
{
	for (const CoreStep &k : core_steps) {
		Model m({});

		SCOPED_TRACE(k.name);
		m.run(7 * S);
		int begun = m.begin(0, 1, 20 * S);
		m.run(200 * MS);
		ASSERT_TRUE(m.oracle.calls[begun].answered);
		m.drain(0, 1 * S, 2 * S);
		m.run(k.after_us);
		for (int i = 0; k.frozen && i < 3; i++)
			m.freeze_endpoint(i);
		int step = m.use_transaction(begun, k.kind, 20 * S);
		m.run(2 * S - k.after_us);
		const Call &c = m.oracle.calls[step];
		EXPECT_TRUE(c.answered);
		EXPECT_EQ(k.error, c.reply.error);
	}
}

} // namespace
