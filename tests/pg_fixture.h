/* pg_fixture.h - stand-in endpoints and a pg_link for tests. */
#ifndef TESTS_PG_FIXTURE_H
#define TESTS_PG_FIXTURE_H

#include "process.h"

#include <functional>
#include <memory>

extern "C" {
#include "postgres/pg_link.h"
}

/* A process of the stand-in endpoint and its control connection. */
struct Endpoint {
	explicit Endpoint(const std::vector<std::string> &args = {});

	/* Returns a field of the `state` command's reply, "" if absent. */
	std::string state(const std::string &field);
	/* Returns true if a row of the table is exactly this line. */
	bool has_row(const std::string &table, const std::string &row);

	Process process;
	LineClient control;
};

/* An SQL statement of a caller. */
struct SqlStatement {
	std::string text;
	std::string params = "[]"; /* JSON array */
	std::string request_id = "";
};

/* A pg_link with its own event loop, which records reported events. */
class PgLinkHarness
{
      public:
	explicit PgLinkHarness(uint32_t result_max_bytes = 1 << 20,
			       int64_t connect_timeout_us = 5000000,
			       const char *password = "secret");
	~PgLinkHarness();
	PgLinkHarness(const PgLinkHarness &) = delete;
	PgLinkHarness &operator=(const PgLinkHarness &) = delete;

	void open(uint32_t conn_id, const Endpoint &e);
	void open_address(uint32_t conn_id, const std::string &address);
	/* Opens a connection and waits until it is open. */
	void open_and_wait(uint32_t conn_id, const Endpoint &e);
	void close(uint32_t conn_id);
	/* Starts an exchange and returns its number. */
	uint64_t start_exchange(uint32_t conn_id, enum exchange_plan plan,
				const SqlStatement &sql = {},
				uint64_t term = 0);
	/* Starts an exchange and waits for its result. */
	struct exchange_result run_exchange(uint32_t conn_id,
					    enum exchange_plan plan,
					    const SqlStatement &sql = {},
					    uint64_t term = 0);
	/* Runs the loop until the condition holds; returns false on timeout. */
	bool wait_until(const std::function<bool()> &condition);
	/* Runs a number of loop iterations of at most 1 ms each. */
	void run_iterations(int count);

	bool is_lost(uint32_t conn_id) const;
	size_t count(enum event_type type) const;
	/*
	 * Returns the result of the last exchange as JSON text, or "" if it has
	 * none.
	 */
	std::string last_result() const;
	std::string last_sqlstate() const;

	std::vector<struct event> events;

      private:
	static void on_event(void *data, const struct event *e);
	static void on_result(void *data, uint64_t caller_id, json_t *result);

	apr_pool_t *pool_ = nullptr;
	struct loop *loop_ = nullptr;
	struct pg_link *link_ = nullptr;
	uint64_t last_exchange_ = 0;
	json_t *result_ = nullptr;
};

#endif
