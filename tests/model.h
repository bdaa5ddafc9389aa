/*
 * model.h - a simulation of several cores in virtual time, with a database
 * group, the platform's key-value service and the network between them.
 *
 * A run is determined by its seed. The test injects faults; the oracle in
 * oracle.h checks the answers.
 */
#ifndef TESTS_MODEL_H
#define TESTS_MODEL_H

#include "oracle.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "core/world.h"
#include "core/world_report.h"
}

/* One committed transaction in an endpoint's log. */
struct ModelEntry {
	uint64_t term;
	int order; /* 0: none */
	std::string request_id; /* "" if none */
};

/* A database server. */
struct ModelEndpoint {
	std::string name;
	int zone;
	std::vector<ModelEntry> log;
	/* Copy of the log as last sent or received; null once it changed. */
	std::shared_ptr<const std::vector<ModelEntry>> log_copy;
	uint64_t current_term = 1;
	bool primary = false;
	bool frozen = false; /* answers nothing */
	bool refuses_connections = false; /* and ends open ones */
	bool leaving = false;
	int64_t leaving_revision = 0; /* of its RECORD_INSTANCE; 0: none */
	int64_t lag_us = 5000; /* delay of the replication to it */

	void append(const ModelEntry &e);
	struct position position() const;
	struct endpoint_status status() const;
};

/* A connection of a node to an endpoint. */
struct ModelConn {
	int endpoint;
	bool open = false;
	bool silent = false; /* bytes are lost in both directions */
	int64_t stall_us = 0; /* additional delay of sent bytes */
	uint64_t transaction = 0; /* 0: none */
	std::vector<int> buffer; /* orders of the open transaction */
};

/* An instance of the proxy with its core. */
struct ModelNode {
	std::string name;
	int zone;
	struct world *world = nullptr;
	uint64_t incarnation = 0;
	bool paused = false;
	std::map<uint32_t, std::shared_ptr<ModelConn>> conns;
	int64_t seen_revision = 0; /* of the platform's changes applied */
	int64_t lease_until_us = 0; /* end of its lease at the platform */
	bool drained = false;
	int64_t drain_since_us = 0; /* 0: it does not drain */
	std::vector<std::function<void()>> backlog; /* events while paused */
};

/* Points in the processing at which a test can inject a fault. */
enum FailPointKind {
	FAIL_POINT_SENT, /* an exchange was sent on a connection */
	FAIL_POINT_EXECUTED, /* the endpoint executed it, not yet answered */
	FAIL_POINT_RESULT, /* the node received the result */
	FAIL_POINT_REPLY, /* a caller was answered */
	FAIL_POINT_CHANGE_SENT, /* a platform operation was sent */
	FAIL_POINT_CHANGE_DONE, /* a compare-and-swap succeeded or failed */
	FAIL_POINT_PEER_SENT, /* a message was sent to a peer */
	FAIL_POINT_CHANGE_STORED, /* an operator's change was stored */
	FAIL_POINT_CHANGE_RECEIVED, /* a node received stored changes */
	FAIL_POINT_DRAINED, /* a node finished its shutdown */
};

struct FailPoint {
	FailPointKind kind;
	int node; /* -1: none */
	/* Exchange plan or kind of request, operation, message or record. */
	int detail;
	int endpoint; /* -1: none */
};

struct ModelOpts {
	int nodes = 3;
	int endpoints = 3;
	int records = 3; /* the first endpoints have records at the start */
	uint64_t seed = 1;
	int64_t lease_ttl_us = 60 * US_PER_S;
};

/* Limits of the workspace with the smallest rate. */
constexpr int KIOSK_RATE_PER_S = 10;
constexpr int KIOSK_BURST = 10;

class Model
{
      public:
	explicit Model(const ModelOpts &opts);
	~Model();

	/* Runs the simulation for a duration of virtual time. */
	void run(int64_t duration_us);
	int64_t now() const
	{
		return now_;
	}

	/*
	 * Requests of callers. `session` is a key of the oracle's sessions. All
	 * return the index of the call in oracle.calls.
	 */
	int write(int node, int session, bool by_id, int64_t deadline_us);
	/* Sends the write of an earlier call again, as a new call. */
	int write_again(int node, int order, int64_t deadline_us);
	int read(int node, int session, int64_t max_age_us, int64_t deadline_us,
		 int key = KEY_MILL);
	/* Begins a transaction and leaves it open. */
	int begin(int node, int session, int64_t deadline_us);
	/* Sends a statement with `key` in a transaction of another key. */
	int use_transaction_with_other_key(int node, int key,
					   uint64_t transaction);
	/* Sends the next request of the transaction that begin() has opened. */
	int use_transaction(int begun, enum request_kind kind,
			    int64_t deadline_us);
	/*
	 * Begins a transaction, runs two statements of one order and commits,
	 * each step when the one before was answered.
	 */
	int transaction(int node, int session, bool by_id, int64_t deadline_us);

	/* Sends a mix of requests to the first three nodes every `gap_us`. */
	void run_load(int64_t duration_us, int64_t gap_us = 25 * US_PER_MS);
	/* Sends reads of KEY_SCHOOL all at once, far above its rate. */
	void flood(int node, int requests);

	/* Faults. Endpoint i is in zone i, node i in zone i modulo 3. */
	void crash(int node);
	void start(int node);
	void pause(int node);
	void resume(int node);
	void freeze_endpoint(int endpoint)
	{
		endpoints_[endpoint].frozen = true;
	}
	void refuse_connections(int endpoint);
	/* Loses all bytes on connections that are open now. */
	void silence_connections(int endpoint);
	void heal_endpoint(int endpoint);
	/* Delays sent bytes by `us` on connections that are open now. */
	void stall_connections(int endpoint, int64_t us);
	/* Ends connections that are open now; sent bytes still arrive. */
	void reset_connections(int endpoint);
	/* Instances of one zone no longer reach the endpoint of another. */
	void cut_link(int from_zone, int to_zone)
	{
		cut_links_.insert({ from_zone, to_zone });
	}
	void cut_platform(int zone)
	{
		cut_platforms_.insert(zone);
	}
	/* Raises the endpoint's term without promoting another endpoint. */
	void demote_endpoint(int endpoint)
	{
		endpoints_[endpoint].primary = false;
		endpoints_[endpoint].current_term++;
	}
	void set_lag(int endpoint, int64_t us);
	void set_leaving(int endpoint, bool leaving);
	/*
	 * Puts or deletes an endpoint's record through a node. Returns false
	 * if that refuses the change.
	 */
	bool change_endpoint(int node, int endpoint, bool deleted);
	/* As an endpoint that starts on an empty disk under its old name. */
	void erase_log(int endpoint);
	/* As an endpoint that starts again and knows its log only. */
	void forget_term(int endpoint);
	void cut_zone(int zone)
	{
		cut_zones_.insert(zone);
	}
	void heal_zone(int zone)
	{
		cut_zones_.erase(zone);
	}
	void set_platform_outage(bool on)
	{
		platform_outage_ = on;
	}
	/* Loses the answers of the next `n` compare-and-swap operations. */
	void lose_platform_answers(int n)
	{
		answers_to_lose_ = n;
	}
	/* Delays platform calls and polls by up to `us` in each direction. */
	void delay_platform(int64_t us)
	{
		platform_delay_us_ = us;
	}
	void drop_peer_messages(int percent)
	{
		drop_percent_ = percent;
	}
	void duplicate_peer_messages(int percent)
	{
		duplicate_percent_ = percent;
	}
	void heal_all();
	/* Durations of 0 are no limits; see struct drain_limits. */
	void drain(int node, int64_t transactions_for_us = 0,
		   int64_t answers_for_us = 0);

	/*
	 * Changes of operators. withdraw_key() withdraws KEY_MILL through a
	 * node and returns false if that accepts no changes now.
	 */
	bool withdraw_key(int node);
	void restore_key();
	bool key_present() const
	{
		return key_present_;
	}

	/*
	 * The marker is a configuration record whose value is a number. Reads
	 * it, then increments it by compare-and-swap.
	 */
	void change_marker();
	int get_marker(int node); /* in effect at the node; -1: none */
	int marker() const
	{
		return marker_;
	}

	/* Calls fn once, at the first fail point that matches. */
	void on_fail_point(std::function<bool(const FailPoint &)> match,
			   std::function<void(const FailPoint &)> fn)
	{
		match_ = std::move(match);
		on_match_ = std::move(fn);
	}

	void run_later(int64_t delay_us, std::function<void()> fn)
	{
		schedule(delay_us, std::move(fn));
	}

	/* Checks the answers against the log; to be called after heal_all(). */
	void check_final();

	Oracle oracle;
	uint64_t promotions() const;
	int primary() const;
	bool is_drained(int node) const
	{
		return nodes_[node].drained;
	}
	const ModelEndpoint &endpoint(int i) const
	{
		return endpoints_[i];
	}
	struct world *world(int node)
	{
		return nodes_[node].world;
	}
	bool trace = false;

      private:
	bool guard_holds(int node, const struct endpoint_record &e);
	using Fn = std::function<void()>;
	struct Change {
		int64_t revision;
		bool deleted;
		struct record record;
	};

	void schedule(int64_t delay_us, Fn fn);
	void reach_fail_point(const FailPoint &m);
	void check_marker(int node);
	void check_withdrawal();
	bool key_withdrawn(int key) const;
	int64_t platform_latency();
	void deliver_result(int node, const struct exchange_result &r);
	void run_on_node(int node, uint64_t incarnation, Fn fn);
	void tick_node(int node);
	void execute_action(int node, const struct action &a);
	void open_conn(int node, const struct conn_open &o);
	void start_exchange(int node, const struct exchange_start &x);
	void execute_exchange(int node, std::shared_ptr<ModelConn> c,
			      const struct exchange_start &x,
			      struct exchange_result &r);
	void execute_write(ModelEndpoint &e, const struct exchange_start &x,
			   struct exchange_result &r);
	void execute_commit(ModelEndpoint &e, ModelConn &c,
			    const struct exchange_start &x,
			    struct exchange_result &r);
	void handle_conn_lost(int node, uint32_t conn_id);
	bool zones_connected(int zone_a, int zone_b) const;
	bool can_reach_endpoint(int zone, int endpoint) const;
	bool can_reach_platform(int zone) const;
	void check_drained(int node);
	void check_drains();
	void send_peer_message(int node, const struct peer_message &m);
	void start_platform_operation(int node, const struct platform_start &p);
	void apply_cas(const struct platform_start &p,
		       struct platform_result &r);
	void poll_platform(int node);
	void renew_lease(int node);
	void expire_leases();
	void put_record(const struct record &r);
	void erase_record(const std::string &path);
	void replicate(int from, int to);
	void
	receive_log(int to, int from, uint64_t term,
		    const std::shared_ptr<const std::vector<ModelEntry>> &log);
	void handle_reply(const struct reply &r);
	struct request_opts make_request(const Call &c) const;
	void submit_call(int node, int call);
	int64_t latency();

	ModelOpts opts_;
	std::mt19937_64 rand_;
	int64_t now_ = 1000 * US_PER_S;
	uint64_t sequence_ = 0;
	std::map<std::pair<int64_t, uint64_t>, Fn> scheduled_;
	std::vector<ModelNode> nodes_;
	std::vector<ModelEndpoint> endpoints_;
	std::set<int> cut_zones_;
	std::set<int> cut_platforms_;
	std::set<std::pair<int, int>> cut_links_;
	bool platform_outage_ = false;
	int answers_to_lose_ = 0;
	int drop_percent_ = 0;
	int duplicate_percent_ = 5;
	int64_t platform_delay_us_ = 0;
	unsigned load_round_ = 0;
	uint64_t last_transaction_ = 0;
	int marker_ = 0; /* last accepted value */
	std::map<std::pair<int, uint64_t>, int> seen_markers_;
	std::map<std::pair<int, uint64_t>, int64_t> seen_revisions_;
	std::function<bool(const FailPoint &)> match_;
	std::function<void(const FailPoint &)> on_match_;
	bool key_present_ = true;
	int64_t withdrawn_us_ = 0;

	int64_t revision_ = 0;
	std::map<std::string, struct record> store_;
	std::vector<Change> changes_;
};

#endif
