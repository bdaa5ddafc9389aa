/*
 * model.h - several cores in virtual time, with a database group, the
 * platform's key-value service and the network between them.
 *
 * Everything is driven by one seed. Faults are switched by the caller; the
 * oracle in oracle.h judges the answers.
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

/* One committed transaction in an endpoint's log; order 0: no order. */
struct ModelEntry {
	uint64_t term;
	int order;
	std::string request_id;
};

/* A database server: a log with terms, and connections. */
struct ModelEndpoint {
	std::string name;
	int zone;
	std::vector<ModelEntry> log;
	/* The log as it was pushed last; none once it changed. */
	std::shared_ptr<const std::vector<ModelEntry>> pushed;
	uint64_t current_term = 1;
	bool primary = false;
	bool frozen = false; /* answers nothing */
	bool refuses = false; /* refuses connections, ends open ones */
	bool leaving = false;
	int64_t leaving_revision = 0; /* of the list entry; 0: none */
	int64_t lag_us = 5000;

	void append(const ModelEntry &e);
	struct position position() const;
	struct endpoint_status status() const;
};

/* A connection of a node to an endpoint. */
struct ModelConn {
	int endpoint;
	bool open = false;
	bool silent = false; /* bytes are lost in both directions */
	int64_t stall_us = 0; /* bytes arrive so much later */
	uint64_t transaction = 0; /* 0: none */
	std::vector<int> buffer; /* orders of the open transaction */
};

struct ModelNode {
	std::string name;
	int zone;
	struct world *world = nullptr;
	uint64_t incarnation = 0;
	bool paused = false;
	std::map<uint32_t, std::shared_ptr<ModelConn>> conns;
	int64_t seen_revision = 0; /* of the platform's changes */
	int64_t lease_until_us = 0; /* at the platform */
	bool drained = false;
	int64_t drain_since_us = 0; /* 0: it does not drain */
	std::vector<std::function<void()>> backlog; /* while paused */
};

/* Points of the paths through the system at which a fault can strike. */
enum FailPointKind {
	FAIL_POINT_SENT, /* an exchange was handed to a connection */
	FAIL_POINT_EXECUTED, /* the endpoint did it; the answer is on its way */
	FAIL_POINT_RESULT, /* the node has the answer */
	FAIL_POINT_REPLY, /* a caller was answered */
	FAIL_POINT_CHANGE_SENT, /* compare-and-swap on its way */
	FAIL_POINT_CHANGE_DONE, /* it took effect or was refused */
	FAIL_POINT_PEER_SENT, /* a message was sent to a peer */
	FAIL_POINT_CHANGE_STORED, /* an operator's change */
	FAIL_POINT_CHANGE_RECEIVED, /* a node learned a revision */
	FAIL_POINT_DRAINED,
};

struct FailPoint {
	FailPointKind kind;
	int node;
	int detail; /* plan, request kind, operation or message type */
	int endpoint; /* -1: none */
};

struct ModelOpts {
	int nodes = 3;
	uint64_t seed = 1;
	int64_t share_ttl_us = 60 * US_PER_S;
};

/* Limits of the smallest workspace. */
constexpr int KIOSK_RATE_PER_S = 10;
constexpr int KIOSK_BURST = 10;

class Model
{
      public:
	explicit Model(const ModelOpts &opts);
	~Model();

	/* Lets virtual time pass. */
	void run(int64_t duration_us);
	int64_t now() const
	{
		return now_;
	}

	/* Callers. `session` is a key of the oracle's sessions. */
	int write(int node, int session, bool by_id, int64_t deadline_us);
	int write_again(int node, int order, int64_t deadline_us);
	int read(int node, int session, int64_t max_age_us, int64_t deadline_us,
		 int key = KEY_MILL);
	/* Begins a transaction and leaves it open. */
	int begin(int node, int session, int64_t deadline_us);
	/* A statement with another caller's transaction and a given key. */
	int intrude(int node, int key, uint64_t transaction);
	/* Begins, writes two orders, commits; each step as it is answered. */
	int transaction(int node, int session, bool by_id, int64_t deadline_us);

	/* One request of each kind every `gap_us`, over all nodes. */
	void load(int64_t duration_us, int64_t gap_us = 25 * US_PER_MS);
	/* Reads of the workspace with the small rate, far above it. */
	void flood(int node, int requests);

	/* Faults. Zones are numbered; node i and endpoint i are in zone i. */
	void crash(int node);
	void start(int node);
	void pause(int node);
	void resume(int node);
	void freeze(int endpoint)
	{
		endpoints_[endpoint].frozen = true;
	}
	void refuse(int endpoint);
	void silence(int endpoint); /* connections that are open now */
	void heal_endpoint(int endpoint);
	void stall(int endpoint, int64_t us); /* the same connections */
	void reset(int endpoint); /* the same; sent bytes still arrive */
	/* Instances of one zone no longer reach the endpoint of another. */
	void cut_link(int from_zone, int to_zone)
	{
		cut_links_.insert({ from_zone, to_zone });
	}
	void cut_platform(int zone)
	{
		cut_platforms_.insert(zone);
	}
	/* Somebody raised its term, and promotes nobody yet. */
	void demote(int endpoint)
	{
		endpoints_[endpoint].primary = false;
		endpoints_[endpoint].current_term++;
	}
	void set_lag(int endpoint, int64_t us);
	void set_leaving(int endpoint, bool leaving);
	void cut_zone(int zone)
	{
		cut_zones_.insert(zone);
	}
	void heal_zone(int zone)
	{
		cut_zones_.erase(zone);
	}
	void platform_outage(bool on)
	{
		outage_ = on;
	}
	void lose_platform_answers(int n)
	{
		lose_ = n;
	}
	/* Calls and polls take up to `us` longer each way. */
	void platform_slow(int64_t us)
	{
		slow_us_ = us;
	}
	void drop_peers(int percent)
	{
		drop_percent_ = percent;
	}
	void double_peers(int percent)
	{
		double_percent_ = percent;
	}
	void heal_all();
	void drain(int node);

	/* Operators: through a node that accepts changes. */
	bool withdraw_key(int node);
	void restore_key();
	bool key_present() const
	{
		return key_present_;
	}

	/* Reads the marker, then changes it by compare-and-swap. */
	void change_marker();
	int get_marker(int node); /* that is in force; -1: none */
	int marker() const
	{
		return marker_;
	}

	/* Calls fn once, at the first moment that matches. */
	void watch(std::function<bool(const FailPoint &)> match,
		   std::function<void(const FailPoint &)> fn)
	{
		match_ = std::move(match);
		on_match_ = std::move(fn);
	}

	void later(int64_t delay_us, std::function<void()> fn)
	{
		at(delay_us, std::move(fn));
	}

	/* Checks the logs against the answers; call after heal_all(). */
	void check_final();

	Oracle oracle;
	uint64_t promotions() const;
	int primary() const;
	bool drained(int node) const
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
	using Fn = std::function<void()>;
	struct Change {
		int64_t revision;
		bool deleted;
		struct record record;
	};

	void at(int64_t delay_us, Fn fn);
	void reach_fail_point(const FailPoint &m);
	void check_marker(int node);
	void check_withdrawal();
	bool key_withdrawn(int key) const;
	int64_t platform_latency();
	void deliver(int node, const struct exchange_result &r);
	void to_node(int node, uint64_t incarnation, Fn fn);
	void step(int node);
	void act(int node, const struct action &a);
	void open(int node, const struct conn_open &o);
	void exchange(int node, const struct exchange_start &x);
	void execute(int node, std::shared_ptr<ModelConn> c,
		     const struct exchange_start &x, struct exchange_result &r);
	void execute_write(ModelEndpoint &e, const struct exchange_start &x,
			   struct exchange_result &r);
	void execute_commit(ModelEndpoint &e, ModelConn &c,
			    const struct exchange_start &x,
			    struct exchange_result &r);
	void lost(int node, uint32_t conn_id);
	bool reaches(int zone_a, int zone_b) const;
	bool reaches_endpoint(int zone, int endpoint) const;
	bool reaches_platform(int zone) const;
	void check_drained(int node);
	void check_drains();
	void peer(int node, const struct peer_message &m);
	void platform(int node, const struct platform_start &p);
	void apply_cas(const struct platform_start &p,
		       struct platform_result &r);
	void poll_platform(int node);
	void renew_lease(int node);
	void expire_leases();
	void put(const struct record &r);
	void erase(const std::string &path);
	void replicate(int from, int to);
	void receive(int to, int from, uint64_t term,
		     const std::shared_ptr<const std::vector<ModelEntry>> &log);
	void reply(const struct reply &r);
	struct request_opts request(const Call &c) const;
	void submit(int node, int call);
	int64_t latency();

	ModelOpts opts_;
	std::mt19937_64 rand_;
	int64_t now_ = 1000 * US_PER_S;
	uint64_t sequence_ = 0;
	std::map<std::pair<int64_t, uint64_t>, Fn> due_;
	std::vector<ModelNode> nodes_;
	std::vector<ModelEndpoint> endpoints_;
	std::set<int> cut_zones_;
	std::set<int> cut_platforms_;
	std::set<std::pair<int, int>> cut_links_;
	bool outage_ = false;
	int lose_ = 0;
	int drop_percent_ = 0;
	int double_percent_ = 5;
	int64_t slow_us_ = 0;
	unsigned loaded_ = 0;
	uint64_t last_transaction_ = 0;
	int marker_ = 0; /* accepted last */
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
