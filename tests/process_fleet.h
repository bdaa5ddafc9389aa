/*
 * process_fleet.h - instances of the proxy as real processes, with stand-ins
 * for the endpoints of one database group and for the platform.
 */
#ifndef TESTS_PROCESS_FLEET_H
#define TESTS_PROCESS_FLEET_H

#include "pg_fixture.h"
#include "platform_process.h"

#include <functional>
#include <future>
#include <jansson.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

/* The answer to one HTTP request. */
struct CallerReply {
	int curl_code = 0; /* not 0: no complete answer was received */
	long status = 0;
	int error = 0; /* number of the error; 0: the body has none */
	std::string body;

	/* Returns a string in the body's JSON object, "" if it has none. */
	std::string json_field(const char *name) const;
	/* Returns an integer in the body's JSON object, 0 if it has none. */
	int64_t json_integer(const char *name) const;
	std::string verdict() const
	{
		return json_field("verdict");
	}
};

/* An HTTP client that keeps its connection to one instance open. */
class HttpCaller
{
      public:
	explicit HttpCaller(const std::string &address);
	~HttpCaller();
	HttpCaller(const HttpCaller &) = delete;
	HttpCaller &operator=(const HttpCaller &) = delete;

	CallerReply post(const std::string &path, const std::string &body);
	CallerReply get(const std::string &path);

	std::string key = "key-of-mill";
	std::string profile = "booking";
	std::string request_id;
	int64_t deadline_ms = 10000;

      private:
	CallerReply perform(const std::string &path);

	std::string address_;
	void *curl_;
};

/*
 * Orders that callers requested, by id, with the verdict of the answer. Each
 * order adds 1 to the quantity of the row with its id.
 */
class OrderBook
{
      public:
	void record_answer(const std::string &id, const CallerReply &r);
	/*
	 * Compares the verdicts with the primary's rows. A row holds id, item
	 * and quantity, separated by tabs.
	 */
	void check_rows(const std::vector<std::string> &rows) const;

      private:
	std::map<std::string, std::string> verdicts_;
};

/* A fleet of instances that use one group of three endpoints. */
class ProcessFleet
{
      public:
	explicit ProcessFleet(uint32_t instance_count = 2);

	/* Returns a new client of an instance's listener for callers. */
	std::unique_ptr<HttpCaller> new_caller(uint32_t instance) const;
	/* Returns a new client of an instance's listener for operators. */
	std::unique_ptr<HttpCaller>
	new_operator_caller(uint32_t instance) const;
	/*
	 * Places the next order with a request id, waits for the answer and
	 * records it in `orders`.
	 */
	CallerReply place_order(uint32_t instance, int64_t deadline_ms = 10000);
	/* Places an order in a thread of its own. */
	struct PendingOrder {
		std::string id;
		std::future<CallerReply> reply;
	};
	PendingOrder start_order(uint32_t instance,
				 int64_t deadline_ms = 10000);
	/* Waits for the answer, records it in `orders` and returns it. */
	CallerReply wait_for_order(PendingOrder &p);
	/* Sends one read with a profile. */
	CallerReply read_orders(uint32_t instance, const std::string &profile);
	/* Runs the command line client; returns its exit code. */
	int run_cli_command(uint32_t instance, std::vector<std::string> args,
			    const std::string &input, std::string *output);
	/* Returns the value of an instance's metric, -1 if it has none. */
	double read_metric(uint32_t instance, const std::string &name);
	/* Returns the index of the endpoint that leads in the highest term. */
	uint32_t find_primary();
	/* Compares the rows at the primary with the recorded answers. */
	void check_orders();
	/* Writes a record to the key-value service, with its prefix. */
	void put_record(const std::string &path, const std::string &value);

	PlatformProcess platform;
	std::vector<std::unique_ptr<Endpoint>> endpoints;
	std::vector<std::unique_ptr<Process>> instances;
	OrderBook orders;

      private:
	void start_endpoints();
	void put_records();
	void start_instance(uint32_t i);
	void insert_orders();
	std::string take_order_id();

	uint32_t next_order_ = 0;
};

/* Polls until the condition holds; returns false after 40 s. */
bool wait_until(const std::function<bool()> &condition);

/* Returns a request body with one statement; params is a JSON array. */
std::string statement_body(const std::string &sql, const std::string &params);

#endif
