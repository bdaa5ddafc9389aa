/* process_fleet.h - instances, one database group and a platform as processes. */
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

/* What a caller got; `curl` is not 0 if the connection broke. */
struct CallerReply {
	int curl = 0;
	long status = 0;
	int error = 0; /* number in the problem document */
	std::string body;

	/* A member of the body as text, "" if there is none. */
	std::string field(const char *name) const;
	int64_t number(const char *name) const;
	std::string verdict() const
	{
		return field("verdict");
	}
};

/* A caller that keeps its connection to one instance. */
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

/* Orders that were asked for, by id: each adds 1 to the row of its id. */
class OrderBook
{
      public:
	void note(const std::string &id, const CallerReply &r);
	/* Compares them with the primary's rows: id, item, quantity. */
	void check(const std::vector<std::string> &rows) const;

      private:
	std::map<std::string, std::string> verdicts_;
};

class ProcessFleet
{
      public:
	explicit ProcessFleet(uint32_t instance_count = 2);

	/* A new caller of an instance. */
	std::unique_ptr<HttpCaller> caller(uint32_t instance) const;
	/* A new caller of an instance's operator listener. */
	std::unique_ptr<HttpCaller> operator_caller(uint32_t instance) const;
	/* Asks for the next order with a request id and notes the answer. */
	CallerReply book(uint32_t instance, int64_t deadline_ms = 10000);
	/* The same in the background; notes the answer when taken. */
	struct Pending {
		std::string id;
		std::future<CallerReply> reply;
	};
	Pending book_later(uint32_t instance, int64_t deadline_ms = 10000);
	CallerReply take(Pending &p);
	/* One read under a profile. */
	CallerReply read(uint32_t instance, const std::string &profile);
	/* Runs the operators' client; returns its exit code. */
	int command(uint32_t instance, std::vector<std::string> args,
		    const std::string &input, std::string *output);
	/* The instance's value of a metric, -1: none. */
	double metric(uint32_t instance, const std::string &name);
	/* Place of the endpoint that is primary of the highest term. */
	uint32_t primary();
	/* Waits until the orders at the primary are as they were answered. */
	void check_orders();
	/* Writes a key of the key-value service. */
	void put(const std::string &path, const std::string &value);

	PlatformProcess platform;
	std::vector<std::unique_ptr<Endpoint>> endpoints;
	std::vector<std::unique_ptr<Process>> instances;
	OrderBook orders;

      private:
	void start_endpoints();
	void put_records();
	void start_instance(uint32_t i);
	void seed_orders();
	std::string next_id();

	uint32_t next_ = 0;
};

/* Polls until the condition holds; false after a generous cap. */
bool wait_until(const std::function<bool()> &condition);

/* Body of a request with one statement; params is a JSON array. */
std::string statement_body(const std::string &sql, const std::string &params);

#endif
