/*
 * proxy_model.h - a simulation of several session engines in virtual time, with
 * the endpoints, the store and the promotions that they use, and an oracle.
 *
 * A run is determined by its seed. The endpoints use the platform's line
 * protocol, so that line_wire is tested as well. The oracle records violations;
 * each begins with the name of the rule:
 *
 *  UNASKED  an endpoint executed a statement that no caller sent, or executed it
 *           in another workspace than that of the caller's key, or in none
 *           although a workspace held the key.
 *  PINNED   a statement ran without the session's values or its prepared text.
 *  MIXED    a caller received the answer to another statement.
 *  TWICE    a write was committed twice.
 *  REFUSED  a write was committed although the caller was told it had not run.
 *  STALE    a read lacked a commit that its route's freshness requires.
 *  LOST     a promoted endpoint lacked a commit that had been acknowledged.
 *  CONFIG   a statement ran that was sent too long after its key's withdrawal.
 *  QUOTA    a workspace ran more operations than its limit tolerates.
 */
#ifndef TESTS_PROXY_MODEL_H
#define TESTS_PROXY_MODEL_H

#include <cstdint>
#include <functional>
#include <list>
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

inline void engine_caller_line(struct session *s, const std::string &line)
{
	engine_caller_line(s, line.data(), line.size());
}

inline void engine_conn_line(struct upstream_conn *c, const std::string &line)
{
	engine_conn_line(c, line.data(), line.size());
}

struct ProxyEndpoint;
struct ProxyHop;
struct ProxyNode;
struct ProxyStore;
class ProxyModel;

struct ProxyPosition {
	uint64_t term;
	uint64_t number;
};

/* One entry of an endpoint's log. */
struct ProxyLogEntry {
	uint64_t term;
	uint64_t number;
	std::string write_id; /* of the committing statement; "": none */
};

/* A connection of a node to an endpoint. */
struct ProxyConn {
	ProxyEndpoint *endpoint = nullptr;
	ProxyNode *node = nullptr;
	struct upstream_conn *engine_conn = nullptr; /* NULL: closed */
	bool open = false; /* the endpoint has accepted it */
	bool startup_received = false;
	bool silent = false; /* bytes are lost in both directions */
	std::string workspace;
	char state = 'I'; /* I: idle, T: in a transaction, E: it failed */
	bool read_only = false;
	/* Ids of the open transaction's writes. */
	std::vector<std::string> pending_writes;
	std::map<std::string, std::string> values;
	std::map<std::string, std::string> prepared;
	/* When the last line sent arrives; later lines do not overtake it. */
	int64_t last_arrival_us = 0;
	/* When the last reply sent arrives; later ones do not overtake it. */
	int64_t last_reply_us = 0;
	std::list<std::string> unread; /* arrived at a frozen node */
	bool busy = false; /* a statement runs; later lines are queued */
	std::vector<std::string> queued_lines;
};

/* Kinds of replies, as a mask. */
enum {
	REPLIES_SIGNED = 1, /* to statements of callers */
	REPLIES_ERRORS = 2,
	REPLIES_OWN = 4, /* to the proxy's own statements, without reports */
	REPLIES_STARTS = 8, /* of connections */
	REPLIES_REPORTS = 16,
	REPLIES_ALL = 31,
};

/*
 * An endpoint sends a part of its replies again, with the same bytes. Nothing
 * else arrives on the connection between the lines of a copy, but the node may
 * send meanwhile.
 */
struct ProxyStutter {
	int percent = 0;
	unsigned kinds = REPLIES_ALL;
	int64_t delay_min_us = 0;
	int64_t delay_max_us = 1500000;
	int64_t gap_us = 0; /* between the lines of a copy */
};

/*
 * Delays of copies of reports: at any time, while the next request waits, and
 * while one waits that is sent at once.
 */
constexpr int64_t report_copy_delays_us[][2] = { { 0, 1500000 },
						 { 99000, 100000 },
						 { 0, 1000 } };

struct ProxyEndpoint {
	std::string id;
	std::string service;
	std::string zone;
	std::string address;
	bool alive = true; /* false: it refuses connections */
	bool unresponsive = false; /* drops everything, refuses nothing */
	bool primary = false;
	bool leaving = false;
	uint64_t term = 1; /* that it follows or leads */
	uint64_t paused_below_term = 0; /* see upstream_report */
	std::vector<ProxyLogEntry> log;
	uint64_t applied_count = 0; /* log entries that reads see */
	int64_t lag_us = 20000; /* from receiving an entry to applying it */
	std::vector<int64_t> slot_free_us; /* when each slot is free */
	std::set<int> cut_nodes; /* nodes that cannot reach it */
	int slow_factor = 1; /* of the time that statements take */
	/* Parts of the reads that it never answers, or with FAILED. */
	int hung_read_percent = 0;
	int failed_read_percent = 0;
	int busy_percent = 0; /* of statements, refused with BUSY */
	ProxyStutter stutter;
	bool hung_starts = false; /* new connections get no answer */
	uint64_t reads = 0; /* that began here, answered or not */
	bool cut_replication = false; /* neither sends nor receives the log */
	bool listed = true; /* the store has its entry */
	bool cut_from_store = false; /* its entry is not written */
	bool gone = false; /* it has ended and never starts again */
	int64_t started_ms = 1;
	std::set<std::shared_ptr<ProxyConn>> conns;
};

struct ProxyCaller {
	ProxyNode *node = nullptr;
	ProxyHop *hop = nullptr; /* set if it is another node's engine */
	struct session *session = nullptr; /* NULL: closed */
	std::string database;
	std::string key;
	std::vector<std::string> lines; /* received, not yet read by the test */
	bool started = false; /* the READY of the start has been read */
	bool closed = false;
	int64_t sent_us = 0; /* when the last statement was sent */
	int64_t transaction_began_us = 0; /* 0: none is open */
	std::string statement_id; /* of the statement in progress; "": none */
	std::string statement_text;
	uint64_t own_commit = 0; /* number of its last acknowledged commit */
	/* Session values and prepared statements that were acknowledged. */
	std::map<std::string, std::string> values;
	std::map<std::string, std::string> prepared;
};

/* A connection of one node to another, which is its home. */
struct ProxyHop {
	ProxyNode *from = nullptr;
	ProxyNode *to = nullptr; /* NULL: no node has the address */
	struct upstream_conn *engine_conn = nullptr; /* NULL: closed */
	ProxyCaller caller; /* at the home; .session NULL: closed */
	bool open = false;
	bool home_closed = false; /* the entry learns of it after the lines */
	std::list<std::pair<int64_t, std::string>> to_home; /* sent, line */
	std::list<std::pair<int64_t, std::string>> to_entry;
};

/* An answer of the store that is on its way over a node's link. */
struct ProxyTransfer {
	uint64_t call = 0;
	int64_t remaining_bytes = 0;
	int64_t begin_us = 0;
	int64_t progress_us = 0; /* when a part arrived last */
	std::function<void(bool arrived)> end;
};

/* An instance of the proxy with its engine. */
struct ProxyNode {
	ProxyModel *model = nullptr;
	int index = 0;
	std::string name;
	std::string zone;
	struct engine *engine = nullptr; /* NULL: not running */
	struct metrics *metrics = nullptr;
	bool cut_from_store = false;
	bool powerless = false; /* its peers hear nothing, not even a reset */
	bool frozen = false; /* handles neither ticks nor peer messages */
	int64_t slow_us = 0; /* until it handles a line of another node */
	uint64_t generation = 0; /* incremented at each start and end */
	std::set<ProxyCaller *> callers;
	std::set<std::shared_ptr<ProxyConn>> conns;
	std::set<std::shared_ptr<ProxyHop>> hops; /* to its homes */
	/* Nodes that its lines and messages don't reach. */
	std::set<int> cut_peers;
	std::map<int, int> log_counts; /* by number of the event */
	std::list<ProxyTransfer> transfers;
};

/* The answer to a caller's statement or session start. */
struct ProxyAnswer {
	bool answered = false; /* false: the wait timed out */
	bool ok = false;
	bool closed = false; /* the session has ended */
	std::string code; /* of an error; "": none */
	std::string text; /* line with the error */
	std::vector<std::string> rows;
	char state = '?'; /* as in ProxyConn; '?': unknown */
	int64_t took_us = 0; /* since the statement was sent */
};

struct ProxyModelOpts {
	uint64_t seed = 1;
	int nodes = 3;
	int services = 1;
	int endpoints_per_service = 3;
	uint32_t slots = 4;
	uint32_t conns_max = 33;
	int64_t statement_duration_us = 8000;
	int64_t handshake_duration_us = 10000;
	int64_t promotion_duration_us = 300000;
	/* Orders for an endpoint that is not running are refused. */
	bool refuse_ended_endpoint = true;
	uint32_t rate_per_s = 100;
	uint32_t burst = 100;
	bool unlimited = false; /* no workspace has a limit */
	bool relay = true; /* nodes may be homes for one another */
	/* Answers of endpoints wait until the node is no longer frozen. */
	bool frozen_nodes_read_nothing = true;
	bool replies_keep_order = false; /* at nodes that were frozen, too */
	/*
	 * Of each node's link, shared evenly by the answers of the store on it;
	 * 0: answers arrive at once.
	 */
	int64_t link_bytes_per_s = 0;
	/* Of the messages between nodes; they overtake one another. */
	int lost_messages_percent = 0;
	int doubled_messages_percent = 0;
	uint64_t message_jitter_us = 0;
	bool log = false; /* print the engines' log events */
};

class ProxyModel
{
      public:
	explicit ProxyModel(const ProxyModelOpts &opts);
	~ProxyModel();
	ProxyModel(const ProxyModel &) = delete;
	ProxyModel &operator=(const ProxyModel &) = delete;

	/* Statements that no caller of the model sent are no violation. */
	bool allow_unasked = false;

	std::string row_end; /* that follows the statement's id in each row */
	uint64_t copies_sent = 0; /* of replies; see ProxyStutter */
	uint64_t conns_closed = 0; /* by nodes, to endpoints */
	/*
	 * So many of the next signed answers have these lines instead; R, C and
	 * Y stand for the right ROW, COMPLETE and READY.
	 */
	int odd_answers = 0;
	std::vector<std::string> odd_answer;

	/* Virtual time. */
	int64_t now() const
	{
		return now_us_;
	}
	void run(int64_t duration_us);
	/* Runs until done() is true; returns false after the timeout. */
	bool run_until(const std::function<bool()> &done, int64_t timeout_us);
	void run_later(int64_t delay_us, std::function<void()> fn);

	/*
	 * Callers. Databases are strict, bounded, session and open; keys are
	 * key-a, key-b and key-c, of the workspaces a, b and c.
	 */
	ProxyCaller *connect(int node, const std::string &database,
			     const std::string &key);
	void send_statement(ProxyCaller *c, const std::string &text);
	/*
	 * Reads an earlier answer, if there is one, then sends a statement and
	 * waits for its answer.
	 */
	ProxyAnswer run_statement(ProxyCaller *c, const std::string &text,
				  int64_t timeout_us = 20000000);
	/* Waits for READY or the end of the session; checks the answer. */
	ProxyAnswer wait_for_answer(ProxyCaller *c, int64_t timeout_us);
	void disconnect(ProxyCaller *c);

	/* Faults. */
	ProxyEndpoint *primary(int service = 0); /* NULL: there is none */
	/* Returns one of the replicas, which are numbered from 0, or NULL. */
	ProxyEndpoint *replica(int index, int service = 0);
	void crash(ProxyEndpoint *e); /* resets its connections */
	void make_unresponsive(ProxyEndpoint *e);
	/* Starts a crashed or unresponsive endpoint again, with its log. */
	void restore(ProxyEndpoint *e);
	/* Crashes it; starts it again after off_us as another process. */
	void restart(ProxyEndpoint *e, int64_t off_us);
	/* Crashes it for good; its log is lost. */
	void lose(ProxyEndpoint *e);
	/*
	 * Ends it. After off_us a new endpoint at its address has its log and
	 * registers as a replica.
	 */
	void replace(ProxyEndpoint *e, int64_t off_us);
	/*
	 * Crashes it while it is cut from the store. After off_us it starts
	 * again with its log and role under a new id, and writes its entry
	 * after another cut_us.
	 */
	void restart_with_new_id(ProxyEndpoint *e, int64_t off_us,
				 int64_t cut_us);
	/* Its entry expires if this is longer than three heartbeats. */
	void cut_from_store(ProxyEndpoint *e, int64_t duration_us);
	void set_leaving(ProxyEndpoint *e, bool leaving);
	/* Write the endpoint's entry, with its current or with another role. */
	void write_entry(ProxyEndpoint *e);
	void write_entry_with_role(ProxyEndpoint *e, const char *role);
	void remove_entry(ProxyEndpoint *e);
	/* Loses all bytes on connections that are open now. */
	void silence_connections(ProxyEndpoint *e);
	void kill(ProxyNode *n); /* its connections are closed */
	/* Endpoints drop its connections only after a timeout. */
	void power_off(ProxyNode *n);
	void start(ProxyNode *n);
	/* Powers all nodes off and starts them after off_us. */
	void restart_all(int64_t off_us);
	/*
	 * With `beside` the call that writes the configuration writes another
	 * key as well, so that both have one revision.
	 */
	void withdraw_key(const std::string &key, bool beside = false);
	void set_limit(uint32_t rate_per_s, uint32_t burst);
	/* The store loses the record of how limits are counted. */
	void lose_limit_record();
	/* Writes an operator's request that ends after lasts_us. */
	void steer(enum steer_kind kind, const std::string &subject,
		   int64_t lasts_us, bool readable = true);
	void withdraw_steer(enum steer_kind kind, const std::string &subject);
	/* Messages between nodes, by enum peer_message_type. */
	std::map<int, int> message_counts;
	int lost_message_type = -1; /* enum peer_message_type; -1: none */
	bool double_peer_messages = false;
	int64_t time_ms() const; /* time of day */
	int64_t time_offset_ms = 1700000000000; /* of it to the steady clock */
	/* Writes a configuration by which each route leads to the next service. */
	void swap_routes();
	/* Writes a new version of the configuration, of that size as sent. */
	void change_config(int64_t bytes);
	/* Counts the running nodes that have the newest configuration. */
	int count_nodes_with_newest_config() const;
	/* Bytes of all answers that the store has sent, lost ones included. */
	int64_t store_sent_bytes = 0;
	/*
	 * The store is down. With lose_answers it executes changes, but their
	 * answers are lost.
	 */
	void start_store_outage(int64_t duration_us, bool lose_answers,
				bool lapse_leases = false);
	/*
	 * For duration_us, promotion orders have an unknown outcome and are
	 * executed after delay_us.
	 */
	void delay_promotions(int64_t duration_us, int64_t delay_us);

	/* Violations that the oracle found; empty if there were none. */
	std::vector<std::string> violations;
	uint64_t acknowledged = 0; /* commits */
	uint64_t promotions = 0;
	uint64_t executed_count = 0; /* callers' statements, at endpoints */
	std::map<std::string, int> executed_at; /* likewise, by endpoint */
	uint64_t replica_reads = 0;
	/* Number of answers by code; "ok": success, "none": no answer. */
	std::map<std::string, int> answers;
	/* Checks that no workspace exceeded its limit in any window. */
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
		uint64_t generation;
		int64_t after; /* revision; -1 - revision: it has expired */
		store_answer_fn fn;
		void *data;
		int64_t asked_us;
		uint64_t number;
		bool dead; /* its connection was lost in an outage */
	};
	/* True in that share of the calls. */
	bool is_lucky(int percent);
	void record_violation(const std::string &what);
	void run_next_event();
	void tick_node(ProxyNode *n);
	void deliver_line(const std::shared_ptr<ProxyConn> &c,
			  const std::string &line);
	void deliver_reply(const std::shared_ptr<ProxyConn> &c,
			   const std::vector<std::string> &lines,
			   uint64_t generation);
	void read_replies(const std::shared_ptr<ProxyConn> &c,
			  uint64_t generation);
	void send_reply(const std::shared_ptr<ProxyConn> &c,
			std::vector<std::string> lines);
	std::vector<std::string>
	make_odd_answer(const std::vector<std::string> &lines) const;
	void send_copy(const std::shared_ptr<ProxyConn> &c,
		       const std::vector<std::string> &lines,
		       uint64_t generation);
	std::string sign(const std::string &id);
	std::string make_row(const std::string &id) const;
	std::vector<std::string> expected_rows(const ProxyCaller &c) const;
	void close_conn(const std::shared_ptr<ProxyConn> &c, int error);
	void send_hop_lines(const std::shared_ptr<ProxyHop> &h, bool to_home,
			    const char *bytes, size_t len);
	void deliver_hop_lines(const std::shared_ptr<ProxyHop> &h,
			       bool to_home);
	std::shared_ptr<ProxyHop> find_hop(const ProxyHop *hop) const;
	void close_hop(const std::shared_ptr<ProxyHop> &h, int error);
	void handle_endpoint_line(const std::shared_ptr<ProxyConn> &c,
				  const std::string &line);
	void handle_statement(const std::shared_ptr<ProxyConn> &c,
			      const std::string &id, std::string text);
	void execute_statement(const std::shared_ptr<ProxyConn> &c,
			       const std::string &id, const std::string &text,
			       bool writes);
	bool meets(int percent);
	bool execute_proxy_statement(const std::shared_ptr<ProxyConn> &c,
				     const std::string &text);
	void finish_statement(const std::shared_ptr<ProxyConn> &c);
	void check_executed(const std::shared_ptr<ProxyConn> &c,
			    const std::string &id, const std::string &text);
	void append_caller_lines(ProxyCaller *c, const char *bytes, size_t len);
	void commit_writes(const std::shared_ptr<ProxyConn> &c,
			   const std::string &id);
	void check_read(const std::shared_ptr<ProxyConn> &c,
			const std::string &id);
	std::string format_ready_line(const ProxyConn &c) const;
	void replicate();
	void promote_endpoint(const std::string &service,
			      const std::string &id);
	/* Also true while there is no endpoint of that name. */
	bool has_ended(const std::string &service, const std::string &id) const;
	void expire_entry(ProxyEndpoint *e);
	/* Adds an endpoint at its address that has its log. */
	ProxyEndpoint *add_successor(ProxyEndpoint *e);
	std::string describe_holders(const std::string &service,
				     uint64_t number) const;
	bool is_in_a_log(const std::string &write_id) const;
	bool is_link_cut(const ProxyNode &n, const ProxyEndpoint &e) const;
	bool can_reach_store(const ProxyNode &n) const;
	ProxyPosition get_visible_position(const ProxyEndpoint &e) const;
	bool covers_position(const ProxyEndpoint &e, uint64_t term,
			     uint64_t number) const;

	/* The store. */
	void put_item(const std::string &key, struct store_item value,
		      uint64_t lease);
	void remove_item(const std::string &key);
	void expire_leases();
	void answer_watches();
	void transfer_answer(ProxyNode *n, uint64_t call, int64_t bytes,
			     std::function<void(bool arrived)> end);
	void run_transfers(ProxyNode *n);
	void cancel_call(ProxyNode *n, uint64_t call);
	void run_transfers();
	void add_replaced_configs(int64_t after,
				  std::vector<struct store_item> *items);
	void send_store_answer(int node, uint64_t generation,
			       store_answer_fn fn, void *data,
			       struct store_answer a,
			       std::vector<struct store_item> items,
			       int64_t delay_us, uint64_t call = 0);
	void fill_item(struct store_item *i);
	int read_change(const char *text, int64_t position,
			struct store_item *out);
	void deliver_store_answer(int node, store_answer_fn fn, void *data,
				  struct store_answer a,
				  std::vector<struct store_item> items,
				  uint64_t call);
	struct fleet_config *build_config(int64_t revision) const;
	void put_config();

	int64_t now_us_ = 1000000000;
	int64_t next_tick_us_ = 1000000000;
	std::multimap<int64_t, std::function<void()>> events_;
	std::map<std::string, Item> items_;
	/* As delivered, by the text that instances pass on. */
	std::map<std::string, struct store_item> changes_;
	std::vector<struct store_item> removals_;
	/* Every set that was put: answers under way refer to older ones. */
	std::list<std::vector<struct upstream_entry>> replica_sets_;
	std::map<uint64_t, Lease> leases_;
	std::vector<Watch> watches_;
	int64_t revision_ = 10;
	uint64_t last_lease_ = 0;
	std::set<uint64_t> canceled_calls_;
	uint64_t last_call_number_ = 0;
	uint64_t last_statement_id_ = 0;
	int64_t store_down_until_us_ = 0;
	bool leases_lapse_ = false; /* in the outage */
	bool store_loses_answers_ = false;
	int64_t promotions_delayed_until_us_ = 0;
	int64_t promotion_delay_us_ = 0;
	std::map<std::string, uint64_t> highest_tokens_; /* by service */
	struct ConfigVersion {
		int64_t version;
		int64_t bytes; /* as sent */
		std::set<std::string> keys;
		uint32_t rate_per_s;
		uint32_t burst;
		bool routes_swapped; /* each leads to the next service */
	};
	std::map<int64_t, ConfigVersion> configs_; /* by revision */
	int64_t config_version_ = 0;
	int64_t config_bytes_ = 20000;
	std::set<std::string> keys_;
	bool routes_swapped_ = false;
	std::map<std::string, int64_t> withdrawn_us_; /* the first time */
	uint32_t rate_per_s_;
	uint32_t burst_;
	/* When the limit was last changed, and the highest limit before. */
	int64_t limit_changed_us_ = 0;
	uint32_t old_rate_per_s_ = 0;
	uint32_t old_burst_ = 0;

	/* A statement of a caller, with the state of its session then. */
	struct SentStatement {
		ProxyCaller *caller;
		int64_t began_us; /* when it, or its transaction, was sent */
		std::string text;
		std::string database;
		std::string key;
		uint64_t own_commit;
		std::map<std::string, std::string> values;
		std::map<std::string, std::string> prepared;
	};
	bool may_run_in(const SentStatement &s,
			const std::string &workspace) const;
	std::string find_limited_workspace(const SentStatement &s,
					   const std::string &told) const;
	std::map<std::string, SentStatement> sent_statements_; /* by id */
	/* Times of execution by workspace, each statement counted once. */
	std::map<std::string, std::vector<int64_t>> executed_us_;
	std::set<std::string> counted_ids_;
	/* By service: commit number to the time of the answer. */
	std::map<std::string, std::map<uint64_t, int64_t>> acknowledged_us_;
	std::map<std::string, int> commit_counts_; /* by statement id */
	std::set<std::string> committed_ids_; /* of committing statements */
	std::vector<std::unique_ptr<ProxyCaller>> callers_;
	std::vector<std::unique_ptr<ProxyStore>> stores_;
	/* A commit that is not yet in the log of another endpoint. */
	struct UnconfirmedCommit {
		std::shared_ptr<ProxyConn> conn;
		std::string id;
		uint64_t number;
		std::string service;
	};
	std::vector<UnconfirmedCommit> unconfirmed_commits_;
	/* Statement id to the code that says that it has not run. */
	std::map<std::string, std::string> refused_;
	uint64_t last_log_number_ = 0;
	uint64_t last_signature_ = 0;
};

#endif
