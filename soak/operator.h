/*
 * operator.h - the operator: writes versions of the configuration, and checks
 * from a session at each instance which one is in force there.
 */
#ifndef SOAK_OPERATOR_H
#define SOAK_OPERATOR_H

#include "fleet.h"

struct Route {
	std::string database;
	const char *kind;
	Freshness freshness;
	int64_t max_age_us;
};

/* Routes that stay in every version. */
extern const std::vector<Route> routes;
/* Workspaces; the last one has a small limit. */
extern const std::vector<std::string> workspaces;

class Operator
{
      public:
	Operator(Store *s, Fleet *f, std::string service_name);
	~Operator();

	/* Writes a version with one route more and one less. */
	void change_routes();
	/* Gives the workspace a new key, and then withdraws the old one. */
	void add_key(size_t workspace);
	void withdraw_keys(size_t workspace);
	/* Returns the newest key of a workspace. */
	std::string key(size_t workspace);
	/* Begins the checks; after the first version. */
	void start();

      private:
	struct Version {
		int64_t number;
		int64_t acknowledged_us;
	};
	/* What was seen of one incarnation of an instance. */
	struct Seen {
		int incarnation = 0;
		int64_t version = 0; /* newest in force */
		int64_t at_us = 0;
	};

	void write();
	void probe();
	void check_instance(size_t i);
	static std::string read_answer(LineStream *stream,
				       const std::shared_ptr<Statement> &s);
	/* Returns 1 if the route is there, 0 if not, -1 if unknown. */
	int ask_route(size_t i, const std::string &database, int64_t *sent_us);

	Store *store;
	Fleet *fleet;
	std::string service;
	std::mutex mutex;
	std::vector<Version> versions; /* each adds the route "r<number>" */
	std::vector<std::vector<std::string>> keys; /* by workspace */
	std::vector<Seen> seen; /* by instance */
	int key_count = 0;
	std::atomic<int64_t> probe_count{ 0 };
	std::atomic<bool> ends{ false };
	std::thread prober;
};

#endif
