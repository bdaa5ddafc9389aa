/* Random plans and faults, against a model of which rows must exist. */
#include "pg_fixture.h"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>

namespace
{

enum { CONNS = 4, STEPS = 600 };

/* What is known of a row that some exchange inserted. */
enum Fate { ABSENT, PRESENT, UNKNOWN };

/* A connection as the model sees it. */
struct ConnModel {
	bool open = false;
	bool in_transaction = false;
	uint64_t exchange = 0; /* in progress; 0: none */
	enum exchange_plan plan = PLAN_PROBE;
	std::vector<std::string> rows; /* of the transaction in progress */
};

class Fuzz
{
      public:
	explicit Fuzz(uint32_t seed)
	    : random_(seed),
	      endpoint_({ "--primary-term", "1", "--slots", "2" })
	{
		for (uint32_t i = 0; i < CONNS; i++)
			link_.open(i, endpoint_);
	}

	void run()
	{
		for (int i = 0; i < STEPS; i++) {
			step();
			link_.turns(pick(3));
			take_events();
		}
		settle();
		check();
	}

      private:
	int pick(int count)
	{
		return static_cast<int>(random_() %
					static_cast<uint32_t>(count));
	}

	void step()
	{
		uint32_t id = static_cast<uint32_t>(pick(CONNS));
		ConnModel &c = conns_[id];

		if (pick(25) == 0)
			fault();
		else if (c.open && c.exchange == 0 && c.in_transaction)
			start_in_transaction(id, c);
		else if (c.open && c.exchange == 0)
			start(id, c);
	}

	Sql insert(ConnModel &c)
	{
		std::string row = std::to_string(++last_row_);

		c.rows.push_back(row);
		fates_[row] = UNKNOWN;
		return { "INSERT INTO orders (id) VALUES ($1)",
			 "[\"" + row + "\"]", "r" + row };
	}

	void send(uint32_t id, ConnModel &c, enum exchange_plan plan,
		  const Sql &sql, uint64_t term = 0)
	{
		c.plan = plan;
		c.exchange = link_.start(id, plan, sql, term);
	}

	void start(uint32_t id, ConnModel &c)
	{
		static const enum exchange_plan plans[] = {
			PLAN_PROBE,  PLAN_READ,	       PLAN_WRITE,
			PLAN_WRITE,  PLAN_WRITE_BY_ID, PLAN_WRITE_BY_ID,
			PLAN_BEGIN,  PLAN_BEGIN,       PLAN_RAISE_TERM,
			PLAN_PROMOTE
		};
		enum exchange_plan plan = plans[pick(std::size(plans))];
		Sql sql = { "SELECT count(*) FROM orders" };

		if (plan == PLAN_WRITE || plan == PLAN_WRITE_BY_ID)
			sql = insert(c);
		if (plan == PLAN_RAISE_TERM || plan == PLAN_PROMOTE)
			term_ += pick(2);
		send(id, c, plan, sql, term_);
	}

	void start_in_transaction(uint32_t id, ConnModel &c)
	{
		int choice = pick(4);

		if (choice == 0)
			send(id, c, PLAN_COMMIT, {});
		else if (choice == 1)
			send(id, c, PLAN_ROLLBACK, {});
		else
			send(id, c, PLAN_STATEMENT, insert(c));
	}

	void fault()
	{
		static const char *const commands[] = {
			"cut clients", "heal clients", "freeze",
			"resume",      "service 500",  "service 0",
		};
		int choice = pick(std::size(commands) + 1);

		if (choice < static_cast<int>(std::size(commands)))
			endpoint_.control.send_command(commands[choice]);
		else
			silence();
	}

	/* The proxy gives up its silent connections some time later. */
	void silence()
	{
		endpoint_.control.send_command("silent");
		for (uint32_t id = 0; id < CONNS; id++) {
			link_.close(id);
			lose(conns_[id]);
			link_.open(id, endpoint_);
		}
	}

	void settle_rows(ConnModel &c, Fate fate)
	{
		for (const std::string &row : c.rows)
			fates_[row] = fate;
		c.rows.clear();
	}

	/* Only a statement that has not reached COMMIT is surely undone. */
	void lose(ConnModel &c)
	{
		bool may_commit = c.exchange != 0 && c.plan != PLAN_STATEMENT &&
				  c.plan != PLAN_ROLLBACK;

		settle_rows(c, may_commit ? UNKNOWN : ABSENT);
		c = ConnModel();
	}

	void take_result(const struct exchange_result &r)
	{
		ConnModel &c = conns_[r.conn_id];

		ASSERT_EQ(c.exchange, r.exchange);
		c.exchange = 0;
		if (c.plan == PLAN_BEGIN)
			c.in_transaction = r.status == RESULT_OK;
		if (c.plan == PLAN_BEGIN || c.plan == PLAN_STATEMENT)
			return;
		c.in_transaction = false;
		settle_rows(c,
			    r.status == RESULT_OK && c.plan != PLAN_ROLLBACK ?
				    PRESENT :
				    ABSENT);
	}

	void take_events()
	{
		for (; taken_ < link_.events.size(); taken_++) {
			struct event e = link_.events[taken_];

			if (e.type == EVENT_EXCHANGE_RESULT) {
				take_result(e.result);
			} else if (e.type == EVENT_CONN_OPENED) {
				conns_[e.conn_id].open = true;
			} else {
				lose(conns_[e.conn_id]);
				link_.open(e.conn_id, endpoint_);
			}
		}
	}

	bool is_idle()
	{
		take_events();
		for (const ConnModel &c : conns_)
			if (!c.open || c.exchange != 0)
				return false;
		return true;
	}

	void settle()
	{
		endpoint_.control.send_command("resume");
		endpoint_.control.send_command("heal clients");
		EXPECT_TRUE(link_.wait([&] { return is_idle(); }));
		for (uint32_t id = 0; id < CONNS; id++) {
			link_.close(id);
			lose(conns_[id]);
		}
	}

	void check()
	{
		std::set<std::string> rows;
		size_t present = 0;

		for (const std::string &l :
		     endpoint_.control.send_list_command("dump orders"))
			rows.insert(l.substr(0, l.find('\t')));
		for (const auto &f : fates_) {
			present += f.second == PRESENT;
			if (f.second != UNKNOWN) {
				EXPECT_EQ(f.second == PRESENT,
					  rows.count(f.first) == 1)
					<< "row " << f.first;
			}
		}
		EXPECT_GT(present, 0u);
	}

	std::mt19937 random_;
	Endpoint endpoint_;
	Link link_;
	ConnModel conns_[CONNS];
	std::map<std::string, Fate> fates_;
	uint64_t last_row_ = 0;
	uint64_t term_ = 1;
	size_t taken_ = 0;
};

TEST(PgLinkFuzz, ResultsMatchTheRows)
{
	for (uint32_t seed = 1; seed <= 8; seed++) {
		SCOPED_TRACE("seed " + std::to_string(seed));
		Fuzz f(seed);

		f.run();
	}
}

} // namespace
