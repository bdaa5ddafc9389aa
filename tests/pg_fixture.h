/* pg_fixture.h - stand-in endpoints and a pg_link to drive them. */
#ifndef TESTS_PG_FIXTURE_H
#define TESTS_PG_FIXTURE_H

#include "process.h"

#include <functional>
#include <memory>

extern "C" {
#include "postgres/pg_link.h"
}

/* One stand-in endpoint and its control connection. */
struct Endpoint {
	explicit Endpoint(const std::vector<std::string> &args = {});

	/* Value of a field of the `state` command. */
	std::string state(const std::string &field);
	/* Whether any row of the table is this line. */
	bool has_row(const std::string &table, const std::string &row);

	Process process;
	LineClient control;
};

/* A statement, its parameters as JSON text, and its request id. */
struct Sql {
	std::string text;
	std::string params = "[]";
	std::string request_id = "";
};

/* A pg_link with its loop, and what it has reported. */
class Link
{
      public:
	explicit Link(uint32_t result_max_bytes = 1 << 20,
		      int64_t connect_timeout_us = 5000000,
		      const char *password = "secret");
	~Link();
	Link(const Link &) = delete;
	Link &operator=(const Link &) = delete;

	void open(uint32_t conn_id, const Endpoint &e);
	void open_address(uint32_t conn_id, const std::string &address);
	/* Opens and waits until the connection is open. */
	void open_wait(uint32_t conn_id, const Endpoint &e);
	void close(uint32_t conn_id);
	/* Starts an exchange and returns its number. */
	uint64_t start(uint32_t conn_id, enum exchange_plan plan,
		       const Sql &sql = {}, uint64_t term = 0);
	/* The same, and waits for its result. */
	struct exchange_result run(uint32_t conn_id, enum exchange_plan plan,
				   const Sql &sql = {}, uint64_t term = 0);
	/* Runs the loop until the condition holds; false after the cap. */
	bool wait(const std::function<bool()> &condition);
	/* Runs the loop for a number of turns. */
	void turns(int count);

	bool lost(uint32_t conn_id) const;
	size_t count(enum event_type type) const;
	/* The last result as JSON text, "" if there was none. */
	std::string result() const;
	std::string sqlstate() const;

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
