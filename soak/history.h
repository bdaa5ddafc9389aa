/*
 * history.h - what callers sent and got and what endpoints ran, and the
 * checks over both. All calls are safe from any thread.
 */
#ifndef SOAK_HISTORY_H
#define SOAK_HISTORY_H

#include "net.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

using Texts = std::map<std::string, std::string>;

enum class Freshness { STRICT, BOUNDED, SESSION };

/* A write or a transaction, as one attempt of a caller. */
struct Unit {
	std::string id; /* of the write, or of the transaction's BEGIN */
	int64_t session = 0;
	int64_t begun_us = 0; /* before its first byte was sent */
	bool transaction = false;
	bool writes = false;
	bool acknowledged = false;
	std::string promise; /* code that says nothing is kept */
	int64_t first_run_us = 0;
	int64_t connection = 0; /* of the endpoint that ran it first */
};

/* One statement of a caller. */
struct Statement {
	std::string id;
	std::string text;
	std::string workspace;
	std::string key;
	std::string shape; /* of the prepared statement that it executes */
	Texts values; /* of the session, as acknowledged */
	Freshness freshness = Freshness::STRICT;
	int64_t max_age_us = 0;
	int64_t sent_us = 0;
	std::shared_ptr<Unit> unit;
	std::vector<std::string> answers; /* rows and signature of each run */
};

/* A span of time in which a fault acts, and what it acts on. */
struct Disturbance {
	enum Scope { INSTANCE, STORE, ENDPOINT, PLANNED_STOP, HOST };
	Scope scope;
	int instance; /* -1: all */
	int64_t begin_us;
	int64_t end_us;
};

/* What an endpoint's connection holds when it runs a statement. */
struct RunContext {
	int64_t connection;
	std::string workspace;
	std::string shape; /* of the prepared statement, or empty */
	Texts values;
	bool in_transaction;
	std::shared_ptr<Unit> owner; /* of the open transaction */
};

struct QuotaBound {
	std::string workspace;
	int64_t window_us = 0;
	size_t operations = 0; /* allowed in a window, with the tolerance */
};

class History
{
      public:
	void fail(const std::string &rule, const std::string &text);
	std::vector<std::string> failures();

	void count(const std::string &kind, const std::string &name);
	std::map<std::string, std::map<std::string, int>> counts();

	void add(const std::shared_ptr<Statement> &s);
	/* Called by an endpoint that is about to run a statement. */
	std::shared_ptr<Statement> check_run(const std::string &id,
					     const std::string &text,
					     const RunContext &c);
	void add_answer(const std::shared_ptr<Statement> &s,
			const std::string &answer);
	void check_answer(const std::shared_ptr<Statement> &s,
			  const std::string &answer);
	void promised(const std::shared_ptr<Unit> &u, const std::string &code);
	void acknowledged(const std::shared_ptr<Unit> &u);
	/* Compares the log at the end of a run with what callers were told. */
	void check_log(const std::vector<std::string> &units);
	bool was_passed_on(const std::shared_ptr<Statement> &s);

	void allow_key(const std::string &key);
	/* The configuration without the key was acknowledged now. */
	void withdraw_key(const std::string &key);
	void set_quota(const QuotaBound &q);

	/* Returns a handle for end_disturbance(). */
	size_t begin_disturbance(Disturbance::Scope scope, int instance);
	void end_disturbance(size_t handle);
	/* Returns true if one of that scope acted since `since_us`. */
	bool disturbed(Disturbance::Scope scope, int instance,
		       int64_t since_us);
	/* Nothing touched the instance or the store for the stable window. */
	bool in_touch(int instance, int64_t from_us);

	void served(const std::string &route);
	std::map<std::string, int> gaps();
	/* Returns the successes on the route since that time. */
	size_t served_since(const std::string &route, int64_t since_us);

      private:
	void fail_locked(const std::string &rule, const std::string &text);
	void check_key(const Statement &s);
	void check_quota(const Statement &s);
	void check_transaction(const Statement &s, const RunContext &c);

	std::recursive_mutex mutex;
	std::vector<std::string> failed;
	std::map<std::string, std::map<std::string, int>> counters;
	std::map<std::string, std::shared_ptr<Statement>> statements;
	std::map<std::string, std::shared_ptr<Unit>> writing;
	std::map<std::string, int64_t> keys; /* withdrawn at; 0: in force */
	QuotaBound quota;
	std::deque<int64_t> quota_sent_us; /* of runs in the last window */
	std::deque<int64_t> quota_run_us;
	std::vector<Disturbance> disturbances;
	std::map<std::string, std::vector<int64_t>> successes;
};

extern History history;

#endif
