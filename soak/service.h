/*
 * service.h - a service: endpoints that speak the line protocol, replicate
 * their log and register themselves in the store.
 */
#ifndef SOAK_SERVICE_H
#define SOAK_SERVICE_H

#include "history.h"
#include "link.h"
#include "odd_text.h"
#include "store.h"

#include <condition_variable>

/* An entry of the log: a write or a transaction. */
struct Commit {
	std::string unit;
	int64_t session;
	uint64_t term;
	uint64_t number;
	int64_t made_us;
};

using CommitPtr = std::shared_ptr<const Commit>;

struct Endpoint {
	size_t index;
	std::string id;
	std::string zone;
	bool primary = false;
	bool alive = true;
	bool dark = false; /* runs nothing, its connections stay open */
	uint64_t term = 1;
	uint64_t paused_below = 0; /* receives nothing; 0: not paused */
	std::vector<CommitPtr> log; /* received */
	size_t applied = 0;
	int64_t lag_us = 0;
	int connections = 0;
	int64_t born_ms = 0;
	int64_t silent_since_us = 0;
	std::string entry; /* as last written to the store */
	std::atomic<int64_t> work_us{ 0 };
	/* Of 1000 answers, how many are given again later. */
	std::atomic<int> stutter_permille{ 0 };
	std::unique_ptr<Server> server;
	std::unique_ptr<Link> link;
};

class Service
{
      public:
	Service(std::string service_name, size_t endpoint_count,
		const std::vector<std::string> &zones);
	~Service();

	/* Begins to register the endpoints in the store. */
	void start(Store *s);
	/* Returns the status of the answer to the order. */
	int promote(const std::string &id);

	size_t size() const
	{
		return endpoints.size();
	}
	/* Returns the index of the primary, or of the last one. */
	size_t primary();
	void kill(size_t i);
	void restart(size_t i);
	void set_dark(size_t i, bool dark);
	void set_lag(size_t i, int64_t lag_us);
	void set_work(size_t i, int64_t work_us);
	void set_stutter(size_t i, int permille);
	Link &link(size_t i)
	{
		return *endpoints[i]->link;
	}
	std::atomic<bool> replication_cut{ false };
	/* Of 1000 statements, how many are refused or not answered. */
	std::atomic<int> busy_permille{ 0 };
	std::atomic<int> lost_permille{ 0 };

	/* A caller has got the answer that acknowledges the unit. */
	void acknowledged(const Unit &u);
	std::vector<std::string> log_units();

	const std::string name;

      private:
	struct Prepared {
		bool writes;
		std::string shape;
	};
	struct Connection {
		int64_t id;
		Endpoint *endpoint;
		int64_t born_ms; /* of the endpoint when it was opened */
		std::string workspace;
		Texts values;
		std::map<std::string, Prepared> prepared;
		char state = 'I';
		bool read_only = false;
		bool wrote = false;
		uint64_t term = 0; /* of the primary at BEGIN */
		std::shared_ptr<Unit> owner;
		std::multimap<int64_t, std::string> copies; /* by time */
	};
	struct Ack {
		int64_t at_us;
		CommitPtr newest; /* of all acknowledged up to this one */
	};
	using Acks = std::vector<Ack>; /* by time */
	/* Result of a statement; an empty one closes the connection. */
	using Lines = std::vector<std::string>;

	void serve(Endpoint *e, int fd);
	bool start_session(Connection *c, LineStream *s);
	bool read_request(Connection *c, LineStream *s, std::string *line);
	bool run_line(Connection *c, LineStream *s, const std::string &line);
	void plan_copy(Connection *c, const std::string &answer);
	bool write_copies(Connection *c, const LineStream &s);
	Lines run_query(Connection *c, const std::string &id, std::string text);
	Lines run_own(Connection *c, const std::string &text);
	Lines run_statement(Connection *c, const std::string &id,
			    const std::string &text);
	Lines begin(Connection *c, const std::string &text);
	Lines prepare(Connection *c, const std::string &text);
	Lines fail(Connection *c, const std::string &code);
	Lines commit(Connection *c, const std::string &unit, int64_t session,
		     std::unique_lock<std::mutex> *lock);
	Lines make_rows(const std::string &first);
	std::string ready(const Connection &c);
	std::string status(const Endpoint &e);
	bool is_usable(const Connection &c) const;
	bool wait_while_dark(const Connection &c);
	bool lacks_position(const Endpoint &e, const std::string &p) const;
	void check_fresh(const Endpoint &e, const Statement &s);
	static void add_ack(Acks *all, const CommitPtr &c);
	/* The last one at or before that time, or NULL. */
	static const Ack *last_ack(const Acks &all, int64_t at_us);
	bool holds(const std::vector<CommitPtr> &log, size_t applied,
		   const CommitPtr &c) const;

	void run_replication();
	void replicate_to(Endpoint *e, int64_t at_us);
	void run_promotion(int64_t at_us);
	void write_entries(int64_t at_us);
	Endpoint *find(const std::string &id);
	Endpoint *current_primary();

	std::mutex mutex;
	OddTexts odd_texts{ 1 };
	std::condition_variable replicated;
	Store *store = nullptr;
	uint64_t newest_term = 1;
	std::string ordered; /* id that is promoted at ordered_us */
	int64_t ordered_us = 0;
	Acks acks;
	std::map<int64_t, Acks> session_acks;
	std::map<std::string, CommitPtr> commits; /* by unit */
	std::atomic<int64_t> last_connection{ 0 };
	std::atomic<uint64_t> last_signature{ 0 };
	std::atomic<bool> ends{ false };
	std::vector<std::unique_ptr<Endpoint>> endpoints;
	std::thread replication;
};

#endif
