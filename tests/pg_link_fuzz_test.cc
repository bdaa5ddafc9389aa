/*
 * Runs random plans with random faults on several connections. At the end, the
 * rows in the endpoint must match the results that pg_link reported.
 */
#include "pg_fixture.h"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>

namespace
{

enum { CONNS = 4, STEPS = 600 /* per seed */ };

/* Whether a row that an exchange inserted must exist at the end. */
enum RowState { ABSENT, PRESENT, UNKNOWN };

/* Expected state of a connection. */
struct ConnModel {
	bool open = false;
	bool in_transaction = false;
	uint64_t exchange = 0; /* in progress; 0: none */
	enum exchange_plan plan = PLAN_PROBE;
	std::vector<std::string> rows; /* inserted by the transaction */
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
			run_random_step();
			link_.run_iterations(random_below(3));
			handle_events();
		}
		finish_exchanges();
		check_rows();
	}

      private:
	int random_below(int count)
	{
		return static_cast<int>(random_() %
					static_cast<uint32_t>(count));
	}

	void run_random_step()
	{
		uint32_t id = static_cast<uint32_t>(random_below(CONNS));
		ConnModel &c = conns_[id];

		if (random_below(25) == 0)
			inject_fault();
		else if (c.open && c.exchange == 0 && c.in_transaction)
			continue_transaction(id, c);
		else if (c.open && c.exchange == 0)
			start_random_exchange(id, c);
	}

	SqlStatement make_insert(ConnModel &c)
	{
		std::string row = std::to_string(++last_row_);

		c.rows.push_back(row);
		row_states_[row] = UNKNOWN;
		return { "INSERT INTO orders (id) VALUES ($1)",
			 "[\"" + row + "\"]", "r" + row };
	}

	void start_exchange(uint32_t id, ConnModel &c, enum exchange_plan plan,
			    const SqlStatement &sql, uint64_t term = 0)
	{
		c.plan = plan;
		c.exchange = link_.start_exchange(id, plan, sql, term);
	}

	void start_random_exchange(uint32_t id, ConnModel &c)
	{
		static const enum exchange_plan plans[] = {
			PLAN_PROBE,  PLAN_READ,	       PLAN_WRITE,
			PLAN_WRITE,  PLAN_WRITE_BY_ID, PLAN_WRITE_BY_ID,
			PLAN_BEGIN,  PLAN_BEGIN,       PLAN_RAISE_TERM,
			PLAN_PROMOTE
		};
		enum exchange_plan plan = plans[random_below(std::size(plans))];
		SqlStatement sql = { "SELECT count(*) FROM orders" };

		if (plan == PLAN_WRITE || plan == PLAN_WRITE_BY_ID)
			sql = make_insert(c);
		if (plan == PLAN_RAISE_TERM || plan == PLAN_PROMOTE)
			term_ += random_below(2);
		start_exchange(id, c, plan, sql, term_);
	}

	void continue_transaction(uint32_t id, ConnModel &c)
	{
		int choice = random_below(4);

		if (choice == 0)
			start_exchange(id, c, PLAN_COMMIT, {});
		else if (choice == 1)
			start_exchange(id, c, PLAN_ROLLBACK, {});
		else
			start_exchange(id, c, PLAN_STATEMENT, make_insert(c));
	}

	void inject_fault()
	{
		static const char *const commands[] = {
			"cut clients", "heal clients", "freeze",
			"resume",      "service 500",  "service 0",
		};
		int choice = random_below(std::size(commands) + 1);

		if (choice < static_cast<int>(std::size(commands)))
			endpoint_.control.send_command(commands[choice]);
		else
			silence_connections();
	}

	/*
	 * Stops all traffic on the open connections, then replaces them, as
	 * the proxy does when nothing arrives any more.
	 */
	void silence_connections()
	{
		endpoint_.control.send_command("silent");
		for (uint32_t id = 0; id < CONNS; id++) {
			link_.close(id);
			handle_loss(conns_[id]);
			link_.open(id, endpoint_);
		}
	}

	void set_row_states(ConnModel &c, RowState state)
	{
		for (const std::string &row : c.rows)
			row_states_[row] = state;
		c.rows.clear();
	}

	/*
	 * A lost connection undoes a transaction for certain only if COMMIT was
	 * not sent.
	 */
	void handle_loss(ConnModel &c)
	{
		bool may_commit = c.exchange != 0 && c.plan != PLAN_STATEMENT &&
				  c.plan != PLAN_ROLLBACK;

		set_row_states(c, may_commit ? UNKNOWN : ABSENT);
		c = ConnModel();
	}

	void handle_result(const struct exchange_result &r)
	{
		ConnModel &c = conns_[r.conn_id];

		ASSERT_EQ(c.exchange, r.exchange);
		c.exchange = 0;
		if (c.plan == PLAN_BEGIN)
			c.in_transaction = r.status == RESULT_OK;
		if (c.plan == PLAN_BEGIN || c.plan == PLAN_STATEMENT)
			return;
		c.in_transaction = false;
		set_row_states(c, r.status == RESULT_OK &&
						  c.plan != PLAN_ROLLBACK ?
					  PRESENT :
					  ABSENT);
	}

	void handle_events()
	{
		for (; handled_events_ < link_.events.size();
		     handled_events_++) {
			struct event e = link_.events[handled_events_];

			if (e.type == EVENT_EXCHANGE_RESULT) {
				handle_result(e.result);
			} else if (e.type == EVENT_CONN_OPENED) {
				conns_[e.conn_id].open = true;
			} else {
				handle_loss(conns_[e.conn_id]);
				link_.open(e.conn_id, endpoint_);
			}
		}
	}

	bool is_idle()
	{
		handle_events();
		for (const ConnModel &c : conns_)
			if (!c.open || c.exchange != 0)
				return false;
		return true;
	}

	void finish_exchanges()
	{
		endpoint_.control.send_command("resume");
		endpoint_.control.send_command("heal clients");
		EXPECT_TRUE(link_.wait_until([&] { return is_idle(); }));
		for (uint32_t id = 0; id < CONNS; id++) {
			link_.close(id);
			handle_loss(conns_[id]);
		}
	}

	void check_rows()
	{
		std::set<std::string> rows;
		size_t present = 0;

		for (const std::string &l :
		     endpoint_.control.send_list_command("dump orders"))
			rows.insert(l.substr(0, l.find('\t')));
		for (const auto &f : row_states_) {
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
	PgLinkHarness link_;
	ConnModel conns_[CONNS];
	std::map<std::string, RowState> row_states_;
	uint64_t last_row_ = 0;
	uint64_t term_ = 1;
	size_t handled_events_ = 0;
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
