/*
 * proxy_model.h - a fleet of session engines in virtual time, with the
 * endpoints, store and promotions that they need, and an oracle.
 *
 * Everything runs in one thread from one seed. The endpoints speak the line
 * protocol, so the wire is tested along.
 */
#ifndef TESTS_PROXY_MODEL_H
#define TESTS_PROXY_MODEL_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/metrics.h"
#include "proxy/engine.h"
}

struct ProxyEndpoint;
struct ProxyNode;
struct ProxyStore;
class ProxyModel;

struct ProxyPosition {
	uint64_t term;
	uint64_t number;
};

/* One position of a service's log. */
struct ProxyLogEntry {
	uint64_t term;
	uint64_t number;
	std::string write_id; /* of the commit */
};

/* An endpoint's side of a connection. */
struct ProxyConn {
	ProxyEndpoint *endpoint = nullptr;
	ProxyNode *node = nullptr;
	struct upstream_conn *owner = nullptr; /* NULL: closed by the engine */
	bool open = false; /* TCP established at the endpoint */
	bool started = false;
	bool silent = false; /* nothing passes any more */
	std::string workspace;
	char state = 'I';
	bool read_only = false;
	std::vector<std::string> pending; /* writes of the transaction */
	std::map<std::string, std::string> values;
	std::map<std::string, std::string> prepared;
	int64_t arrive_us = 0; /* of the last line, to keep their order */
	bool busy = false; /* a statement runs; later lines wait */
	std::vector<std::string> queue;
};

struct ProxyEndpoint {
	std::string id;
	std::string service;
	std::string zone;
	std::string address;
	bool alive = true; /* answers connects */
	bool dark = false; /* answers nothing, not even a refusal */
	bool primary = false;
	bool leaving = false;
	uint64_t term = 1; /* of its log's end */
	uint64_t held_term = 0;
	std::vector<ProxyLogEntry> log;
	uint64_t applied = 0; /* entries that reads see */
	int64_t lag_us = 20000;
	std::vector<int64_t> slot_free_us;
	std::set<int> cut_nodes; /* nodes that get no packet through */
	bool cut_replication = false;
	bool listed = true;
	std::set<std::shared_ptr<ProxyConn>> conns;
};

struct ProxyCaller {
	ProxyNode *node = nullptr;
	struct session *session = nullptr; /* NULL: closed */
	std::string database;
	std::string key;
	std::vector<std::string> lines; /* received, not yet taken */
	bool closed = false;
	int64_t statement_us = 0; /* first byte of the statement */
	int64_t transaction_us = 0; /* of its BEGIN; 0: none is open */
	std::string last_id;
	std::string last_text;
	uint64_t own_number = 0; /* last commit that was acknowledged to it */
	std::map<std::string, std::string> values; /* acknowledged */
	std::map<std::string, std::string> prepared;
};

struct ProxyNode {
	ProxyModel *model = nullptr;
	int index = 0;
	std::string name;
	std::string zone;
	struct engine *engine = nullptr; /* NULL: it does not run */
	struct metrics *metrics = nullptr;
	bool cut_from_store = false;
	bool frozen = false;
	uint64_t life = 0; /* grows with each start */
	std::set<ProxyCaller *> callers;
	std::set<std::shared_ptr<ProxyConn>> conns;
};

/* What a caller was told. */
struct ProxyAnswer {
	bool answered = false;
	bool ok = false;
	bool closed = false;
	std::string code; /* of an error */
	std::string text;
	std::vector<std::string> rows;
	char state = '?';
	int64_t took_us = 0;
};

struct ProxyModelOpts {
	uint64_t seed = 1;
	int nodes = 3;
	int services = 1;
	int copies = 3;
	uint32_t slots = 4;
	uint32_t conns_max = 33;
	int64_t work_us = 8000;
	int64_t handshake_us = 10000;
	int64_t promote_us = 300000;
	uint32_t rate_per_s = 100;
	uint32_t burst = 100;
	bool unlimited = false; /* no workspace has a limit */
	bool log = false;
};

class ProxyModel
{
      public:
	explicit ProxyModel(const ProxyModelOpts &opts);
	~ProxyModel();
	ProxyModel(const ProxyModel &) = delete;
	ProxyModel &operator=(const ProxyModel &) = delete;

	/* Time. */
	int64_t now() const
	{
		return now_us_;
	}
	void run(int64_t for_us);
	bool run_until(const std::function<bool()> &done, int64_t at_most_us);
	void at(int64_t delay_us, std::function<void()> fn);

	/* Callers. Databases: strict, bounded, session, open. */
	ProxyCaller *connect(int node, const std::string &database,
			     const std::string &key);
	void send(ProxyCaller *c, const std::string &text);
	/* Sends and waits for READY or the end of the connection. */
	ProxyAnswer ask(ProxyCaller *c, const std::string &text,
			int64_t at_most_us = 20000000);
	ProxyAnswer take(ProxyCaller *c, int64_t at_most_us);
	void disconnect(ProxyCaller *c);

	/* Faults. */
	ProxyEndpoint *primary(int service = 0);
	ProxyEndpoint *replica(int index, int service = 0);
	void crash(ProxyEndpoint *e); /* connections are reset */
	void go_dark(ProxyEndpoint *e);
	void bring_back(ProxyEndpoint *e); /* with its log */
	void set_leaving(ProxyEndpoint *e, bool leaving);
	void publish(ProxyEndpoint *e); /* its entry, as it sees itself */
	void publish_as(ProxyEndpoint *e, const char *role);
	void unlist(ProxyEndpoint *e);
	void silence_conns(ProxyEndpoint *e);
	void kill(ProxyNode *n); /* its connections close */
	void power_off(ProxyNode *n); /* they stay open for a while */
	void start(ProxyNode *n);
	/* All lose power, and start so much later. */
	void restart_all(int64_t dark_us);
	void revoke_key(const std::string &key);
	void set_limit(uint32_t rate_per_s, uint32_t burst);
	void store_down(int64_t for_us, bool lose_answers);
	void lose_promotions(int64_t for_us, int64_t late_us);

	/* The oracle's findings; empty when every rule held. */
	std::vector<std::string> violations;
	uint64_t acknowledged = 0;
	uint64_t promotions = 0;
	uint64_t run_count = 0; /* statements that endpoints ran */
	uint64_t replica_reads = 0;
	std::map<std::string, int> answers; /* by code, "ok" for success */
	/* Most that one workspace ran in any window, less what is tolerated. */
	void check_quota();

	std::vector<std::unique_ptr<ProxyNode>> nodes;
	std::vector<std::unique_ptr<ProxyEndpoint>> endpoints;
	std::mt19937_64 rand;
	ProxyModelOpts opts;

      private:
	friend struct ProxyStore;
	friend struct ProxyHost;

	struct Item {
		struct store_item value;
		uint64_t lease = 0;
	};
	struct Lease {
		int64_t ttl_us;
		int64_t until_us;
	};
	struct Watch {
		int node;
		uint64_t life;
		int64_t after;
		store_answer_fn fn;
		void *data;
		int64_t asked_us;
		uint64_t number;
		bool dead; /* its connection went silent with the store */
	};
	void violate(const std::string &what);
	void step();
	void tick(ProxyNode *n);
	void deliver(const std::shared_ptr<ProxyConn> &c,
		     const std::string &line);
	void reply(const std::shared_ptr<ProxyConn> &c,
		   const std::string &lines);
	void close_conn(const std::shared_ptr<ProxyConn> &c, int error);
	void endpoint_line(const std::shared_ptr<ProxyConn> &c,
			   const std::string &line);
	void statement(const std::shared_ptr<ProxyConn> &c,
		       const std::string &id, std::string text);
	void execute(const std::shared_ptr<ProxyConn> &c, const std::string &id,
		     const std::string &text, bool writes);
	bool own_statement(const std::shared_ptr<ProxyConn> &c,
			   const std::string &text);
	void end_statement(const std::shared_ptr<ProxyConn> &c);
	void check_run(const std::shared_ptr<ProxyConn> &c,
		       const std::string &id, const std::string &text);
	void caller_lines(ProxyCaller *c, const char *bytes, size_t len);
	void commit(const std::shared_ptr<ProxyConn> &c, const std::string &id);
	void check_read(const std::shared_ptr<ProxyConn> &c,
			const std::string &id);
	std::string ready(const ProxyConn &c) const;
	void replicate();
	void promote(const std::string &service, const std::string &id);
	bool link_is_cut(const ProxyNode &n, const ProxyEndpoint &e) const;
	bool reachable(const ProxyNode &n) const;
	ProxyPosition seen(const ProxyEndpoint &e) const;
	bool covers(const ProxyEndpoint &e, uint64_t term,
		    uint64_t number) const;

	/* Store. */
	void put(const std::string &key, struct store_item value,
		 uint64_t lease);
	void remove_key(const std::string &key);
	void expire_leases();
	void wake_watches();
	void answer(int node, uint64_t life, store_answer_fn fn, void *data,
		    struct store_answer a, std::vector<struct store_item> items,
		    int64_t delay_us);
	struct fleet_config *build_config() const;
	void put_config();

	int64_t now_us_ = 1000000000;
	int64_t next_tick_us_ = 1000000000;
	std::multimap<int64_t, std::function<void()>> events_;
	std::map<std::string, Item> items_;
	std::vector<struct store_item> removals_;
	std::map<uint64_t, Lease> leases_;
	std::vector<Watch> watches_;
	int64_t revision_ = 10;
	uint64_t last_lease_ = 0;
	uint64_t last_watch_ = 0;
	uint64_t last_id_ = 0;
	int64_t store_down_until_us_ = 0;
	bool store_loses_ = false;
	int64_t promotions_lost_until_us_ = 0;
	int64_t promotions_late_us_ = 0;
	std::map<std::string, uint64_t> tokens_; /* highest, by service */
	int64_t config_version_ = 0;
	std::set<std::string> keys_;
	std::map<std::string, int64_t> revoked_us_;
	uint32_t rate_per_s_;
	uint32_t burst_;
	int64_t lowered_us_ = 0;
	uint32_t rate_before_ = 0;
	uint32_t burst_before_ = 0;

	/* What callers sent: id to who and when. */
	struct Sent {
		ProxyCaller *caller;
		int64_t at_us;
		std::string text;
		std::string database;
		std::string key;
		uint64_t own_number;
		std::map<std::string, std::string> values;
		std::map<std::string, std::string> prepared;
	};
	std::map<std::string, Sent> sent_;
	std::map<std::string, std::vector<int64_t>> ran_; /* by workspace */
	std::set<std::string> counted_;
	/* Acknowledged commits: number to the time of the answer. */
	std::map<std::string, std::map<uint64_t, int64_t>> acked_;
	std::map<std::string, int> committed_; /* times, by id */
	std::vector<std::unique_ptr<ProxyCaller>> callers_;
	std::vector<std::unique_ptr<ProxyStore>> stores_;
	struct Unconfirmed {
		std::shared_ptr<ProxyConn> conn;
		std::string id;
		uint64_t number;
		std::string service;
	};
	std::vector<Unconfirmed> unconfirmed_;
	std::map<std::string, std::string> promised_; /* id to the promise */
	uint64_t last_number_ = 0;
};

#endif
