#include "model.h"

#include <glib.h>

#include <algorithm>
#include <cstdio>
#include <cstring>

namespace
{

/* Intervals of the nodes' polls of the platform and of the replication. */
constexpr int64_t POLL_US = 50 * US_PER_MS;
constexpr int64_t REPLICATE_US = 5 * US_PER_MS;
constexpr int64_t CONNECT_US = 10 * US_PER_MS;
constexpr int64_t CONNECT_TIMEOUT_US = 1000 * US_PER_MS;
constexpr int64_t CALL_TIMEOUT_US = 1000 * US_PER_MS;
/* Time that an endpoint takes to execute an exchange. */
constexpr int64_t SERVICE_US = 300;
/* Longest time for which a withdrawn key may still be used. */
constexpr int64_t WITHDRAWAL_US = 4 * US_PER_S;
/*
 * Longest duration of a shutdown: the longest deadline, the time-out of an
 * idle transaction and the return of shares.
 */
constexpr int64_t DRAIN_MAX_US = 25 * US_PER_S;
constexpr int64_t LEASE_RETRY_US = 200 * US_PER_MS;
constexpr int MILL_RATE_PER_S = 2000;
constexpr int MILL_BURST = 2000;
constexpr int SCHOOL_RATE_PER_S = 50;
constexpr int SCHOOL_BURST = 20;
constexpr int MARKERS = 8; /* number of values of the marker */
/* Probability and largest delay of delivering a result a second time. */
constexpr int DUPLICATE_RESULT_PERCENT = 3;
constexpr int64_t DUPLICATE_RESULT_DELAY_US = 5 * US_PER_MS;
const int64_t READ_AGES_US[] = { 0, 100 * US_PER_MS, 1 * US_PER_S, 5 * US_PER_S,
				 60 * US_PER_S };

void copy_name(char *out, const std::string &s)
{
	snprintf(out, NAME_BYTES, "%s", s.c_str());
}

std::string get_age_profile_name(int64_t max_age_us)
{
	return "age" + std::to_string(max_age_us);
}

struct record make_profile_record(int64_t max_age_us)
{
	struct record r = {};

	r.kind = RECORD_PROFILE;
	copy_name(r.profile.name, get_age_profile_name(max_age_us));
	r.profile.max_age_us = max_age_us;
	r.profile.repeat = REPEAT_BY_ID;
	r.profile.cost_milli = 1000;
	return r;
}

struct record make_workspace_record(const char *name, uint32_t rate_per_s,
				    uint32_t burst)
{
	struct record r = {};

	r.kind = RECORD_WORKSPACE;
	copy_name(r.workspace.name, name);
	r.workspace.rate_milli_per_s = rate_per_s * 1000;
	r.workspace.burst_milli = burst * 1000;
	r.workspace.weight = 1;
	return r;
}

struct record make_key_record(int key, const char *workspace)
{
	struct record r = {};

	r.kind = RECORD_KEY;
	memset(r.key.digest, key, sizeof(r.key.digest));
	copy_name(r.key.workspace, workspace);
	return r;
}

/* Makes an open profile whose workspace name contains the marker. */
struct record make_marker_record(int marker)
{
	struct record r = {};

	r.kind = RECORD_PROFILE;
	copy_name(r.profile.name, "marker");
	r.profile.open = true;
	r.profile.cost_milli = 1000;
	copy_name(r.profile.open_workspace, "marker" + std::to_string(marker));
	return r;
}

struct record make_endpoint_record(const ModelEndpoint &e)
{
	struct record r = {};

	r.kind = RECORD_ENDPOINT;
	copy_name(r.endpoint.name, e.name);
	copy_name(r.endpoint.group, "yard");
	copy_name(r.endpoint.zone, "zone" + std::to_string(e.zone));
	snprintf(r.endpoint.address, sizeof(r.endpoint.address), "%s",
		 e.name.c_str());
	r.endpoint.slots = 5;
	r.endpoint.connections_max = 35;
	return r;
}

std::string get_record_path(const struct record &r)
{
	switch (r.kind) {
	case RECORD_PROFILE:
		return std::string("profile/") + r.profile.name;
	case RECORD_WORKSPACE:
		return std::string("workspace/") + r.workspace.name;
	case RECORD_KEY:
		return "key/" + std::to_string(r.key.digest[0]);
	case RECORD_ENDPOINT:
		return std::string("endpoint/") + r.endpoint.name;
	case RECORD_TERM:
		return std::string("term/") + r.term.group;
	case RECORD_SHARE:
		return "share/" + std::to_string(r.share.cell);
	case RECORD_MEMBER:
		return std::string("member/") + r.member.name;
	case RECORD_INSTANCE:
		return std::string("instance/") + r.instance.name;
	default:
		return "";
	}
}

int find_node(const std::vector<ModelNode> &nodes, const char *name)
{
	for (size_t i = 0; i < nodes.size(); i++) {
		if (nodes[i].name == name)
			return (int)i;
	}
	return -1;
}

} // namespace

void ModelEndpoint::append(const ModelEntry &e)
{
	log.push_back(e);
	log_copy = nullptr;
}

struct position ModelEndpoint::position() const
{
	if (log.empty())
		return { 0, 0 };
	return { log.back().term, log.size() };
}

struct endpoint_status ModelEndpoint::status() const
{
	struct endpoint_status s = {};

	s.current_term = current_term;
	s.position = position();
	s.role = primary ? ROLE_PRIMARY : ROLE_REPLICA;
	return s;
}

Model::Model(const ModelOpts &opts) : opts_(opts), rand_(opts.seed)
{
	for (int i = 0; i < opts.endpoints; i++) {
		ModelEndpoint e;

		e.name = "db" + std::to_string(i);
		e.zone = i % 3;
		e.primary = i == 0;
		if (e.primary)
			e.append({ 1, 0, "" });
		endpoints_.push_back(e);
	}
	for (int64_t age : READ_AGES_US)
		put_record(make_profile_record(age));
	put_record(make_workspace_record("mill", MILL_RATE_PER_S, MILL_BURST));
	put_record(make_workspace_record("school", SCHOOL_RATE_PER_S,
					 SCHOOL_BURST));
	put_record(make_key_record(KEY_MILL, "mill"));
	put_record(make_key_record(KEY_SCHOOL, "school"));
	put_record(
		make_workspace_record("kiosk", KIOSK_RATE_PER_S, KIOSK_BURST));
	put_record(make_key_record(KEY_KIOSK, "kiosk"));
	for (int i = 0; i < MARKERS; i++)
		put_record(make_workspace_record(
			("marker" + std::to_string(i)).c_str(), 1, 1));
	put_record(make_marker_record(0));
	for (int i = 0; i < opts.records; i++)
		put_record(make_endpoint_record(endpoints_[i]));
	for (int i = 0; i < opts.nodes; i++) {
		ModelNode n;

		n.name = "node" + std::to_string(i);
		n.zone = i % 3;
		nodes_.push_back(n);
	}
	for (int i = 0; i < opts.nodes; i++)
		start(i);
	for (int i = 0; i < opts.endpoints; i++) {
		for (int k = 0; k < opts.endpoints; k++) {
			if (i != k)
				schedule(REPLICATE_US,
					 [=] { replicate(i, k); });
		}
	}
	schedule(US_PER_MS, [=] { expire_leases(); });
	schedule(US_PER_MS, [=] { check_drains(); });
}

Model::~Model()
{
	for (ModelNode &n : nodes_) {
		if (n.world)
			world_free(n.world);
	}
}

void Model::schedule(int64_t delay_us, Fn fn)
{
	scheduled_[{ now_ + delay_us, sequence_++ }] = std::move(fn);
}

void Model::run(int64_t duration_us)
{
	int64_t end = now_ + duration_us;

	while (!scheduled_.empty() && scheduled_.begin()->first.first <= end) {
		auto it = scheduled_.begin();
		Fn fn = std::move(it->second);

		now_ = it->first.first;
		scheduled_.erase(it);
		fn();
	}
	now_ = end;
}

void Model::reach_fail_point(const FailPoint &m)
{
	if (!match_ || !match_(m))
		return;
	auto fn = std::move(on_match_);
	match_ = nullptr;
	/* Deferred, because a core may be running now. */
	schedule(0, [=] { fn(m); });
}

int64_t Model::platform_latency()
{
	int64_t slow =
		platform_delay_us_ ?
			(int64_t)(rand_() % (uint64_t)platform_delay_us_) :
			0;

	return latency() + slow;
}

bool Model::key_withdrawn(int key) const
{
	return key == KEY_MILL && !key_present_ &&
	       now_ - withdrawn_us_ > WITHDRAWAL_US;
}

int64_t Model::latency()
{
	return 200 + (int64_t)(rand_() % 1500);
}

bool Model::zones_connected(int a, int b) const
{
	return a == b || (!cut_zones_.count(a) && !cut_zones_.count(b));
}

bool Model::can_reach_platform(int zone) const
{
	return !platform_outage_ && !cut_zones_.count(zone) &&
	       !cut_platforms_.count(zone);
}

bool Model::can_reach_endpoint(int zone, int endpoint) const
{
	int other = endpoints_[endpoint].zone;

	return zones_connected(zone, other) &&
	       !cut_links_.count({ zone, other });
}

void Model::run_on_node(int node, uint64_t incarnation, Fn fn)
{
	ModelNode &n = nodes_[node];
	struct action a;

	if (!n.world || n.incarnation != incarnation)
		return;
	if (n.paused) {
		n.backlog.push_back(
			[=] { run_on_node(node, incarnation, fn); });
		return;
	}
	fn();
	while (n.world && world_next_action(n.world, &a))
		execute_action(node, a);
}

void Model::tick_node(int node)
{
	ModelNode &n = nodes_[node];
	uint64_t inc = n.incarnation;

	if (!n.world)
		return;
	if (!n.paused)
		run_on_node(node, inc, [&] { world_tick(n.world, now_); });
	schedule(world_next_tick_us(n.world, now_) - now_, [=] {
		if (nodes_[node].incarnation == inc)
			tick_node(node);
	});
}

void Model::start(int node)
{
	ModelNode &n = nodes_[node];
	struct world_opts o = world_opts_default();

	if (n.world)
		return;
	n.incarnation = rand_() | 1;
	n.paused = false;
	n.drained = false;
	n.drain_since_us = 0;
	n.seen_revision = 0;
	n.lease_until_us = 0;
	copy_name(o.instance, n.name);
	copy_name(o.zone, "zone" + std::to_string(n.zone));
	snprintf(o.address, sizeof(o.address), "%s", n.name.c_str());
	o.incarnation = n.incarnation;
	o.seed = rand_();
	o.requests_max = 256;
	n.world = world_new(&o, now_);
	uint64_t inc = n.incarnation;
	schedule(0, [=] {
		if (nodes_[node].incarnation == inc)
			poll_platform(node);
	});
	schedule(0, [=] {
		if (nodes_[node].incarnation == inc)
			renew_lease(node);
	});
	schedule(0, [=] {
		if (nodes_[node].incarnation == inc)
			tick_node(node);
	});
}

void Model::crash(int node)
{
	ModelNode &n = nodes_[node];

	if (!n.world)
		return;
	world_free(n.world);
	n.world = nullptr;
	n.conns.clear();
	n.backlog.clear();
	n.incarnation = 0;
	for (Call &c : oracle.calls) {
		struct reply r = {};

		/* The caller lost its connection and knows no outcome. */
		r.verdict = VERDICT_MAY_HAVE_RUN;
		r.error = ERR_CONNECTION_LOST;
		if (c.node == node && !c.answered)
			oracle.record_answer(c, r, now_);
	}
}

void Model::pause(int node)
{
	nodes_[node].paused = true;
	for (Call &c : oracle.calls) {
		if (c.node == node && !c.answered)
			c.deadline_excused = true;
	}
}

void Model::resume(int node)
{
	ModelNode &n = nodes_[node];
	auto backlog = std::move(n.backlog);

	n.backlog.clear();
	n.paused = false;
	for (Fn &fn : backlog)
		fn();
}

void Model::drain(int node, int64_t transactions_for_us, int64_t answers_for_us)
{
	struct event e = {};

	if (!nodes_[node].world)
		return;
	e.type = EVENT_DRAIN;
	if (transactions_for_us)
		e.drain = { now_ + transactions_for_us, now_ + answers_for_us };
	/* The event is copied, because a paused node handles it later. */
	run_on_node(node, nodes_[node].incarnation, [=] {
		if (!nodes_[node].drain_since_us)
			nodes_[node].drain_since_us = now_;
		world_handle_event(nodes_[node].world, &e, now_);
	});
}

/* Checks that the shutdown ended no accepted request or transaction. */
void Model::check_drained(int node)
{
	for (const Call &c : oracle.calls) {
		if (c.node == node && !c.answered && c.accepted_us)
			oracle.add_violation(
				"call " + std::to_string(c.caller_id) +
				" was left unanswered by a shutdown");
	}
	if (world_report(nodes_[node].world, now_).transactions)
		oracle.add_violation("a shutdown ended an open transaction");
}

/*
 * Checks that shutdowns end in time: the deadlines of callers limit how long
 * an instance may wait for them.
 */
void Model::check_drains()
{
	schedule(100 * US_PER_MS, [=] { check_drains(); });
	for (ModelNode &n : nodes_) {
		if (!n.world || n.paused || n.drained || !n.drain_since_us)
			continue;
		if (now_ - n.drain_since_us > DRAIN_MAX_US) {
			oracle.add_violation("a shutdown did not end in time");
			n.drain_since_us = 0;
		}
	}
}

/* Callers. */

struct request_opts Model::make_request(const Call &c) const
{
	struct request_opts o = {};

	o.caller_id = c.caller_id;
	o.kind = c.kind;
	o.has_key = c.key != 0;
	memset(o.key_digest, c.key, sizeof(o.key_digest));
	copy_name(o.profile, get_age_profile_name(c.max_age_us));
	copy_name(o.group, "yard");
	o.transaction_id = c.transaction;
	o.has_request_id = !c.request_id.empty();
	o.repeatable = c.repeatable;
	o.deadline_us = c.deadline_us;
	auto it = oracle.sessions.find(c.session);
	if (it != oracle.sessions.end())
		o.session = it->second.token;
	return o;
}

void Model::submit_call(int node, int index)
{
	Call &c = oracle.calls[index];
	struct event e = {};
	struct reply r = {};

	/* The instance crashed before the request reached it. */
	if (c.answered)
		return;
	c.deadline_excused = nodes_[node].paused;
	c.key_withdrawn_when_sent = key_withdrawn(c.key);
	if (!nodes_[node].world) {
		r.verdict = VERDICT_NOT_RUN;
		r.error = ERR_NO_ENDPOINT;
		oracle.record_answer(c, r, now_);
		return;
	}
	e.type = EVENT_REQUEST;
	e.request = make_request(c);
	run_on_node(node, nodes_[node].incarnation, [=] {
		oracle.calls[index].accepted_us = now_;
		world_handle_event(nodes_[node].world, &e, now_);
	});
}

int Model::write(int node, int session, bool by_id, int64_t deadline_us)
{
	Call c = {};

	c.key = KEY_MILL;
	c.kind = REQUEST_WRITE;
	c.node = node;
	c.session = session;
	c.order = (int)oracle.calls.size() + 1;
	c.request_id = by_id ? "r" + std::to_string(c.order) : "";
	c.repeatable = by_id;
	c.sent_us = now_;
	c.deadline_us = now_ + deadline_us;
	c.script_step = -1;
	oracle.add(c);
	int index = (int)oracle.calls.size() - 1;
	submit_call(node, index);
	return index;
}

int Model::write_again(int node, int index, int64_t deadline_us)
{
	Call c = oracle.calls[index];

	c.node = node;
	c.answered = false;
	c.times_executed = 0;
	c.has_result = false;
	c.sent_us = now_;
	c.deadline_us = now_ + deadline_us;
	c.reply = {};
	oracle.add(c);
	int again = (int)oracle.calls.size() - 1;
	submit_call(node, again);
	return again;
}

int Model::use_transaction_with_other_key(int node, int key,
					  uint64_t transaction)
{
	Call c = {};

	c.key = key;
	c.kind = REQUEST_STATEMENT;
	c.node = node;
	c.session = -1;
	c.transaction = transaction;
	c.sent_us = now_;
	c.deadline_us = now_ + US_PER_S;
	c.script_step = -1;
	oracle.add(c);
	int index = (int)oracle.calls.size() - 1;
	submit_call(node, index);
	return index;
}

int Model::use_transaction(int begun, enum request_kind kind,
			   int64_t deadline_us)
{
	Call c = oracle.calls[begun];

	c.kind = kind;
	c.transaction = c.reply.transaction_id;
	c.order = 0;
	c.request_id = "";
	c.sent_us = now_;
	c.deadline_us = now_ + deadline_us;
	c.answered = false;
	c.accepted_us = 0;
	c.times_executed = 0;
	oracle.add(c);
	int index = (int)oracle.calls.size() - 1;
	submit_call(c.node, index);
	return index;
}

int Model::read(int node, int session, int64_t max_age_us, int64_t deadline_us,
		int key)
{
	Call c = {};

	c.key = key;

	c.kind = REQUEST_READ;
	c.node = node;
	c.session = session;
	c.repeatable = true;
	c.max_age_us = max_age_us;
	c.sent_us = now_;
	c.deadline_us = now_ + deadline_us;
	c.script_step = -1;
	oracle.add(c);
	int index = (int)oracle.calls.size() - 1;
	submit_call(node, index);
	return index;
}

int Model::transaction(int node, int session, bool by_id, int64_t deadline_us)
{
	Call c = {};

	c.key = KEY_MILL;
	c.kind = REQUEST_BEGIN;
	c.node = node;
	c.session = session;
	c.order = (int)oracle.calls.size() + 1;
	c.request_id = by_id ? "t" + std::to_string(c.order) : "";
	c.repeatable = by_id;
	c.sent_us = now_;
	c.deadline_us = now_ + deadline_us;
	c.script_step = 0;
	oracle.add(c);
	int index = (int)oracle.calls.size() - 1;
	submit_call(node, index);
	return index;
}

void Model::flood(int node, int requests)
{
	for (int i = 0; i < requests; i++)
		read(node, -1, 5 * US_PER_S, US_PER_S, KEY_SCHOOL);
}

void Model::run_load(int64_t duration_us, int64_t gap_us)
{
	const int64_t deadline_us = 1500 * US_PER_MS;
	int64_t end = now_ + duration_us;

	for (; now_ < end; load_round_++) {
		unsigned i = load_round_;
		int node = (int)(i % 3);
		int session = (int)(i % 5);

		write(node, session, i % 3 != 0, deadline_us);
		read((node + 1) % 3, session, READ_AGES_US[i % 5], deadline_us);
		read(node, -1, 5 * US_PER_S, deadline_us, KEY_SCHOOL);
		if (i % 4 == 0)
			transaction(node, session, i % 8 == 0, deadline_us);
		if (i % 6 == 1)
			read(node, -1, 0, deadline_us,
			     i % 4 == 1 ? KEY_UNKNOWN : 0);
		if (i % 4 == 1 && last_transaction_)
			use_transaction_with_other_key((node + 2) % 3,
						       KEY_SCHOOL,
						       last_transaction_);
		run(std::min(gap_us, end - now_));
	}
}

int Model::begin(int node, int session, int64_t deadline_us)
{
	int index = transaction(node, session, true, deadline_us);

	oracle.calls[index].script_step = -1;
	return index;
}

/*
 * Sets `next` to the next call of the transaction script: begin, two
 * statements of one order, commit. Returns false when there is none.
 */
static bool next_script_call(const Call &c, Call &next)
{
	static const enum request_kind kinds[] = { REQUEST_BEGIN,
						   REQUEST_STATEMENT,
						   REQUEST_STATEMENT,
						   REQUEST_COMMIT };

	if (c.script_step < 0 || c.script_step >= 3 ||
	    c.reply.verdict != VERDICT_RAN || c.reply.error)
		return false;
	next = c;
	next.script_step = c.script_step + 1;
	next.kind = kinds[next.script_step];
	next.transaction = c.reply.transaction_id;
	next.answered = false;
	next.times_executed = 0;
	next.has_result = false;
	next.reply = {};
	return true;
}

void Model::handle_reply(const struct reply &r)
{
	Call *c = oracle.find(r.caller_id);
	Call next;

	if (!c)
		return;
	if (!r.error && c->kind == REQUEST_READ) {
		if (r.endpoint[0] && endpoints_[r.endpoint[2] - '0'].primary)
			oracle.primary_reads++;
		else
			oracle.replica_reads++;
	}
	oracle.record_answer(*c, r, now_);
	if (r.error == ERR_SHUTTING_DOWN && c->transaction)
		oracle.add_violation("a shutdown ended an open transaction");
	reach_fail_point({ FAIL_POINT_REPLY, c->node, c->kind, -1 });
	if (c->kind == REQUEST_BEGIN && !r.error) {
		int node = c->node;

		last_transaction_ = r.transaction_id;
		schedule(latency(), [=] {
			use_transaction_with_other_key(node, KEY_SCHOOL,
						       r.transaction_id);
		});
	}
	if (!next_script_call(*c, next))
		return;
	int64_t left = next.deadline_us - next.sent_us;
	next.sent_us = now_;
	next.deadline_us = now_ + left;
	oracle.add(next);
	int index = (int)oracle.calls.size() - 1;
	schedule(latency(),
		 [=] { submit_call(oracle.calls[index].node, index); });
}

/* The network between nodes and endpoints. */

void Model::execute_action(int node, const struct action &a)
{
	ModelNode &n = nodes_[node];

	switch (a.type) {
	case ACTION_REPLY:
		handle_reply(a.reply);
		break;
	case ACTION_CONN_OPEN:
		open_conn(node, a.open);
		break;
	case ACTION_CONN_CLOSE:
		n.conns.erase(a.conn_id);
		break;
	case ACTION_EXCHANGE:
		start_exchange(node, a.exchange);
		break;
	case ACTION_PLATFORM:
		start_platform_operation(node, *a.platform);
		break;
	case ACTION_PEER_SEND:
		send_peer_message(node, *a.peer);
		break;
	case ACTION_LOG:
		/* A held request is accepted when its tokens arrive. */
		if (a.log.number == LOG_TOKENS_CAME)
			oracle.find(a.log.caller_id)->accepted_us = now_;
		if (trace)
			printf("%9.3f %s %d call=%lu %s %ld: %s\n",
			       (double)(now_ - 1000 * US_PER_S) / 1000.0,
			       n.name.c_str(), a.log.number,
			       (unsigned long)a.log.caller_id, a.log.subject,
			       (long)a.log.value, a.log.text);
		break;
	case ACTION_DRAINED:
		n.drained = true;
		check_drained(node);
		reach_fail_point({ FAIL_POINT_DRAINED, node, 0, -1 });
		break;
	}
}

void Model::handle_conn_lost(int node, uint32_t conn_id)
{
	ModelNode &n = nodes_[node];
	struct event e = {};

	if (!n.conns.count(conn_id))
		return;
	n.conns.erase(conn_id);
	e.type = EVENT_CONN_LOST;
	e.conn_id = conn_id;
	world_handle_event(n.world, &e, now_);
}

void Model::open_conn(int node, const struct conn_open &o)
{
	ModelNode &n = nodes_[node];
	auto c = std::make_shared<ModelConn>();
	uint32_t id = o.conn_id;
	uint64_t inc = n.incarnation;

	c->endpoint = o.endpoint[2] - '0';
	n.conns[id] = c;
	const ModelEndpoint &e = endpoints_[c->endpoint];
	bool unreachable = e.frozen || !can_reach_endpoint(n.zone, c->endpoint);
	int64_t delay = e.refuses_connections ? US_PER_MS :
			unreachable	      ? CONNECT_TIMEOUT_US :
						CONNECT_US;
	bool fails = e.refuses_connections || unreachable;

	schedule(delay, [=] {
		run_on_node(node, inc, [=] {
			struct event ev = {};
			ModelNode &m = nodes_[node];

			auto it = m.conns.find(id);
			if (it == m.conns.end() || it->second != c)
				return;
			if (fails) {
				handle_conn_lost(node, id);
				return;
			}
			c->open = true;
			ev.type = EVENT_CONN_OPENED;
			ev.conn_id = id;
			world_handle_event(m.world, &ev, now_);
		});
	});
}

static std::set<int> get_logged_orders(const ModelEndpoint &e)
{
	std::set<int> orders;

	for (const ModelEntry &n : e.log) {
		if (n.order)
			orders.insert(n.order);
	}
	return orders;
}

void Model::start_exchange(int node, const struct exchange_start &x)
{
	ModelNode &n = nodes_[node];
	auto it = n.conns.find(x.conn_id);
	uint64_t inc = n.incarnation;

	if (it == n.conns.end()) {
		oracle.add_violation("exchange on a closed connection");
		return;
	}
	std::shared_ptr<ModelConn> c = it->second;
	Call *call = oracle.find(x.caller_id);
	int64_t leaving = endpoints_[c->endpoint].leaving_revision;
	if (leaving && n.seen_revision >= leaving &&
	    (x.plan == PLAN_READ || x.plan == PLAN_WRITE ||
	     x.plan == PLAN_WRITE_BY_ID || x.plan == PLAN_BEGIN))
		oracle.add_violation("new request sent to a leaving endpoint");
	if (call && (x.plan == PLAN_READ || x.plan == PLAN_WRITE ||
		     x.plan == PLAN_WRITE_BY_ID || x.plan == PLAN_STATEMENT ||
		     x.plan == PLAN_COMMIT))
		oracle.record_sent(*call, key_withdrawn(call->key));
	reach_fail_point({ FAIL_POINT_SENT, node, x.plan, c->endpoint });
	schedule(latency() + c->stall_us, [=] {
		ModelEndpoint &e = endpoints_[c->endpoint];
		int zone = nodes_[node].zone;
		struct exchange_result r = {};

		/* Sent bytes are lost or arrive; the sender sees no error. */
		if (e.frozen || c->silent || !c->open ||
		    !can_reach_endpoint(zone, c->endpoint))
			return;
		r.conn_id = x.conn_id;
		r.exchange = x.exchange;
		execute_exchange(node, c, x, r);
		reach_fail_point(
			{ FAIL_POINT_EXECUTED, node, x.plan, c->endpoint });
		std::set<int> seen;
		if (x.plan == PLAN_READ)
			seen = get_logged_orders(e);
		schedule(SERVICE_US + latency(), [=] {
			const ModelEndpoint &f = endpoints_[c->endpoint];

			if (f.frozen || c->silent || !c->open ||
			    !can_reach_endpoint(zone, c->endpoint))
				return;
			run_on_node(node, inc, [=] {
				ModelNode &m = nodes_[node];
				Call *own = oracle.find(x.caller_id);

				auto k = m.conns.find(x.conn_id);
				if (k == m.conns.end() || k->second != c) {
					/* Arrives after its connection was closed. */
					deliver_result(node, r);
					return;
				}
				if (own) {
					own->has_result = true;
					own->seen_orders = seen;
				}
				deliver_result(node, r);
				reach_fail_point({ FAIL_POINT_RESULT, node,
						   x.plan, c->endpoint });
			});
		});
	});
}

/* Delivers a result, and at random a second time after a delay. */
void Model::deliver_result(int node, const struct exchange_result &r)
{
	struct event e = {};
	uint64_t inc = nodes_[node].incarnation;

	e.type = EVENT_EXCHANGE_RESULT;
	e.result = r;
	world_handle_event(nodes_[node].world, &e, now_);
	if ((int)(rand_() % 100) >= DUPLICATE_RESULT_PERCENT)
		return;
	schedule((int64_t)(rand_() % DUPLICATE_RESULT_DELAY_US), [=] {
		run_on_node(node, inc, [=] {
			world_handle_event(nodes_[node].world, &e, now_);
		});
	});
}

static bool log_has_request(const ModelEndpoint &e,
			    const std::string &request_id)
{
	for (const ModelEntry &n : e.log) {
		if (!request_id.empty() && n.request_id == request_id)
			return true;
	}
	return false;
}

void Model::execute_write(ModelEndpoint &e, const struct exchange_start &x,
			  struct exchange_result &r)
{
	Call *c = oracle.find(x.caller_id);

	if (!e.primary) {
		r.status = RESULT_NOT_PRIMARY;
		return;
	}
	if (x.plan == PLAN_WRITE_BY_ID && log_has_request(e, c->request_id)) {
		r.status = RESULT_DUPLICATE;
		return;
	}
	e.append({ e.current_term, c->order,
		   x.plan == PLAN_WRITE_BY_ID ? c->request_id : "" });
}

void Model::execute_commit(ModelEndpoint &e, ModelConn &c,
			   const struct exchange_start &x,
			   struct exchange_result &r)
{
	Call *call = oracle.find(x.caller_id);
	std::vector<int> buffer = c.buffer;

	c.buffer.clear();
	c.transaction = 0;
	if (!e.primary) {
		r.status = RESULT_SQL_ERROR;
		return;
	}
	if (log_has_request(e, call->request_id)) {
		r.status = RESULT_DUPLICATE;
		return;
	}
	for (int order : buffer) {
		if (order != call->order)
			oracle.add_violation("commit mixes two transactions");
	}
	if (buffer.size() != 2)
		oracle.add_violation("commit of an incomplete transaction");
	e.append({ e.current_term, call->order, call->request_id });
}

void Model::execute_exchange(int node, std::shared_ptr<ModelConn> c,
			     const struct exchange_start &x,
			     struct exchange_result &r)
{
	ModelEndpoint &e = endpoints_[c->endpoint];
	Call *call = oracle.find(x.caller_id);

	r.before = e.status();
	r.status = RESULT_OK;
	switch (x.plan) {
	case PLAN_PROBE:
	case PLAN_READ:
		break;
	case PLAN_RAISE_TERM:
		if (x.term > e.current_term) {
			e.current_term = x.term;
			e.primary = false;
		}
		break;
	case PLAN_PROMOTE:
		if (x.term < e.current_term) {
			r.status = RESULT_SQL_ERROR;
			break;
		}
		e.current_term = x.term;
		if (!e.primary)
			e.append({ x.term, 0, "" });
		e.primary = true;
		break;
	case PLAN_WRITE:
	case PLAN_WRITE_BY_ID:
		execute_write(e, x, r);
		break;
	case PLAN_LOOKUP:
		r.status = log_has_request(e, call->request_id) ?
				   RESULT_OK :
				   RESULT_NOT_FOUND;
		break;
	case PLAN_BEGIN:
		c->buffer.clear();
		c->transaction = x.caller_id;
		break;
	case PLAN_STATEMENT:
		if (!c->transaction)
			oracle.add_violation("statement outside a transaction");
		else if (oracle.find(c->transaction)->key != call->key)
			oracle.add_violation(
				"transaction has a statement of another key");
		if (call->order)
			c->buffer.push_back(call->order);
		break;
	case PLAN_COMMIT:
		execute_commit(e, *c, x, r);
		break;
	case PLAN_ROLLBACK:
		c->buffer.clear();
		c->transaction = 0;
		break;
	}
	r.after = e.status();
}

/*
 * Replication sends the whole log each time; the copies may arrive in another
 * order.
 */

void Model::replicate(int from, int to)
{
	ModelEndpoint &e = endpoints_[from];

	schedule(REPLICATE_US, [=] { replicate(from, to); });
	if (!e.primary || e.frozen || e.refuses_connections ||
	    !zones_connected(e.zone, endpoints_[to].zone))
		return;
	uint64_t term = e.current_term;
	if (!e.log_copy)
		e.log_copy = std::make_shared<std::vector<ModelEntry>>(e.log);
	auto log = e.log_copy;
	schedule(endpoints_[to].lag_us + latency(),
		 [=] { receive_log(to, from, term, log); });
}

static bool same_entry(const ModelEntry &a, const ModelEntry &b)
{
	return a.term == b.term && a.order == b.order;
}

void Model::receive_log(
	int to, int from, uint64_t term,
	const std::shared_ptr<const std::vector<ModelEntry>> &log)
{
	ModelEndpoint &e = endpoints_[to];
	size_t common = 0;

	if (e.frozen || e.refuses_connections ||
	    !zones_connected(e.zone, endpoints_[from].zone))
		return;
	if (term < e.current_term) {
		ModelEndpoint &f = endpoints_[from];

		if (f.current_term < e.current_term) {
			f.current_term = e.current_term;
			f.primary = false;
		}
		return;
	}
	if (e.primary && term == e.current_term)
		oracle.add_violation("two primaries in the same term");
	e.current_term = term;
	e.primary = false;
	if (e.log_copy == log)
		return;
	while (common < log->size() && common < e.log.size() &&
	       same_entry((*log)[common], e.log[common]))
		common++;
	/* An older copy of the same log changes nothing. */
	if (common == log->size())
		return;
	e.log = *log;
	e.log_copy = log;
}

/* Peers. */

void Model::send_peer_message(int node, const struct peer_message &m)
{
	int to = find_node(nodes_, m.peer);
	int copies = (int)(rand_() % 100) < duplicate_percent_ ? 2 : 1;
	struct peer_message copy = m;

	if (to < 0 || !nodes_[to].world)
		return;
	reach_fail_point({ FAIL_POINT_PEER_SENT, node, m.type, -1 });
	copy_name(copy.peer, nodes_[node].name);
	copy.incarnation = nodes_[node].incarnation;
	for (int i = 0; i < copies; i++) {
		if ((int)(rand_() % 100) < drop_percent_)
			continue;
		schedule(latency() * (1 + (int64_t)(rand_() % 4)), [=] {
			if (!nodes_[to].world ||
			    !zones_connected(nodes_[node].zone,
					     nodes_[to].zone))
				return;
			run_on_node(to, nodes_[to].incarnation, [=] {
				struct event e = {};

				e.type = EVENT_PEER_MESSAGE;
				e.peer = &copy;
				world_handle_event(nodes_[to].world, &e, now_);
			});
		});
	}
}

/* The platform. */

void Model::put_record(const struct record &r)
{
	struct record copy = r;

	copy.revision = ++revision_;
	store_[get_record_path(r)] = copy;
	changes_.push_back({ revision_, false, copy });
}

void Model::erase_record(const std::string &path)
{
	auto it = store_.find(path);

	if (it == store_.end())
		return;
	struct record r = it->second;
	r.revision = ++revision_;
	store_.erase(it);
	changes_.push_back({ revision_, true, r });
}

void Model::apply_cas(const struct platform_start &p, struct platform_result &r)
{
	std::string path = get_record_path(p.record);
	auto it = store_.find(path);
	bool ok = it == store_.end() ?
			  p.expected_revision == 0 :
			  it->second.revision == p.expected_revision;

	for (uint32_t i = 0; i < p.absent_count; i++) {
		auto m = store_.find(std::string("member/") +
				     p.absent_members[i].instance);
		if (m != store_.end() &&
		    m->second.member.incarnation ==
			    p.absent_members[i].incarnation)
			ok = false;
	}
	if (ok)
		put_record(p.record);
	r.outcome = ok ? PLATFORM_APPLIED : PLATFORM_REFUSED;
	it = store_.find(path);
	/* As in the platform client, `found` is set only on failure. */
	r.found = !ok && it != store_.end();
	if (it != store_.end())
		r.record = it->second;
}

void Model::start_platform_operation(int node, const struct platform_start &p)
{
	uint64_t inc = nodes_[node].incarnation;
	struct platform_start copy = p;

	reach_fail_point({ FAIL_POINT_CHANGE_SENT, node, p.operation, -1 });
	schedule(platform_latency() + US_PER_MS, [=] {
		struct platform_result r = {};
		int64_t delay = platform_latency();
		bool cas = copy.operation == PLATFORM_CAS_TERM ||
			   copy.operation == PLATFORM_CAS_SHARE;

		r.operation_id = copy.operation_id;
		r.outcome = PLATFORM_UNKNOWN;
		if (!can_reach_platform(nodes_[node].zone)) {
			delay = CALL_TIMEOUT_US;
		} else if (cas) {
			apply_cas(copy, r);
			reach_fail_point({ FAIL_POINT_CHANGE_DONE, node,
					   copy.operation, -1 });
			if (answers_to_lose_ > 0) {
				answers_to_lose_--;
				r = {};
				r.operation_id = copy.operation_id;
				r.outcome = PLATFORM_UNKNOWN;
				delay = CALL_TIMEOUT_US;
			}
		} else {
			auto it = store_.find(get_record_path(copy.record));

			r.outcome = PLATFORM_APPLIED;
			r.found = it != store_.end();
			if (r.found)
				r.record = it->second;
		}
		schedule(delay, [=] {
			run_on_node(node, inc, [=] {
				struct event e = {};

				e.type = EVENT_PLATFORM_RESULT;
				e.platform = &r;
				world_handle_event(nodes_[node].world, &e,
						   now_);
			});
		});
	});
}

void Model::poll_platform(int node)
{
	ModelNode &n = nodes_[node];
	uint64_t inc = n.incarnation;
	int64_t asked = now_;

	schedule(POLL_US, [=] {
		if (nodes_[node].incarnation == inc)
			poll_platform(node);
	});
	if (n.paused || !can_reach_platform(n.zone))
		return;
	schedule(platform_latency(), [=] {
		std::vector<Change> new_changes;
		int64_t revision = revision_;

		for (const Change &c : changes_) {
			if (c.revision > nodes_[node].seen_revision)
				new_changes.push_back(c);
		}
		schedule(platform_latency(), [=] {
			run_on_node(node, inc, [=] {
				ModelNode &m = nodes_[node];
				struct event e = {};

				/* It may arrive after a newer answer. */
				for (const Change &c : new_changes) {
					e.type = c.deleted ?
							 EVENT_RECORD_DELETED :
							 EVENT_RECORD_PUT;
					e.record = &c.record;
					world_handle_event(m.world, &e, now_);
				}
				m.seen_revision =
					std::max(m.seen_revision, revision);
				e.type = EVENT_CONFIG_SYNCED;
				e.synced = { revision, asked };
				world_handle_event(m.world, &e, now_);
				check_marker(node);
				if (!new_changes.empty())
					reach_fail_point(
						{ FAIL_POINT_CHANGE_RECEIVED,
						  node, 0, -1 });
			});
		});
	});
}

void Model::renew_lease(int node)
{
	ModelNode &n = nodes_[node];
	uint64_t inc = n.incarnation;
	int64_t asked = now_;
	bool reachable = !n.paused && can_reach_platform(n.zone);

	schedule(reachable ? opts_.lease_ttl_us / 3 : LEASE_RETRY_US, [=] {
		if (nodes_[node].incarnation == inc)
			renew_lease(node);
	});
	if (!reachable)
		return;
	schedule(platform_latency(), [=] {
		ModelNode &m = nodes_[node];
		struct record r = {};

		if (m.incarnation != inc)
			return;
		m.lease_until_us = now_ + opts_.lease_ttl_us;
		r.kind = RECORD_MEMBER;
		copy_name(r.member.name, m.name);
		copy_name(r.member.zone, "zone" + std::to_string(m.zone));
		snprintf(r.member.address, sizeof(r.member.address), "%s",
			 m.name.c_str());
		r.member.incarnation = inc;
		auto it = store_.find("member/" + m.name);
		if (it == store_.end() || it->second.member.incarnation != inc)
			put_record(r);
		schedule(platform_latency(), [=] {
			run_on_node(node, inc, [=] {
				struct event e = {};

				e.type = EVENT_LEASE_RENEWED;
				e.lease = { asked, opts_.lease_ttl_us };
				world_handle_event(nodes_[node].world, &e,
						   now_);
			});
		});
	});
}

void Model::expire_leases()
{
	schedule(100 * US_PER_MS, [=] { expire_leases(); });
	for (ModelNode &n : nodes_) {
		if (n.lease_until_us && n.lease_until_us < now_) {
			erase_record("member/" + n.name);
			n.lease_until_us = 0;
		}
	}
}

/* Faults and operators. */

void Model::refuse_connections(int i)
{
	ModelEndpoint &e = endpoints_[i];

	e.refuses_connections = true;
	for (size_t k = 0; k < nodes_.size(); k++) {
		std::vector<uint32_t> ids;

		for (auto &[id, c] : nodes_[k].conns) {
			if (c->endpoint == i && c->open) {
				c->open = false;
				ids.push_back(id);
			}
		}
		for (uint32_t id : ids)
			run_on_node((int)k, nodes_[k].incarnation,
				    [=] { handle_conn_lost((int)k, id); });
	}
}

void Model::silence_connections(int i)
{
	for (ModelNode &n : nodes_) {
		for (auto &[id, c] : n.conns) {
			if (c->endpoint == i && c->open)
				c->silent = true;
		}
	}
}

void Model::stall_connections(int i, int64_t us)
{
	for (ModelNode &n : nodes_) {
		for (auto &[id, c] : n.conns) {
			if (c->endpoint == i && c->open)
				c->stall_us = us;
		}
	}
}

void Model::reset_connections(int i)
{
	for (size_t k = 0; k < nodes_.size(); k++) {
		std::vector<uint32_t> ids;

		for (auto &[id, c] : nodes_[k].conns) {
			if (c->endpoint == i && c->open)
				ids.push_back(id);
		}
		for (uint32_t id : ids)
			run_on_node((int)k, nodes_[k].incarnation,
				    [=] { handle_conn_lost((int)k, id); });
	}
}

void Model::heal_endpoint(int i)
{
	endpoints_[i].frozen = false;
	endpoints_[i].refuses_connections = false;
}

void Model::set_lag(int i, int64_t us)
{
	endpoints_[i].lag_us = us;
}

void Model::set_leaving(int i, bool leaving)
{
	struct record r = {};

	r.kind = RECORD_INSTANCE;
	copy_name(r.instance.name, endpoints_[i].name);
	r.instance.leaving = leaving;
	endpoints_[i].leaving = leaving;
	/* The platform's list of instances is updated later. */
	schedule(US_PER_S, [=] {
		put_record(r);
		endpoints_[i].leaving_revision = leaving ? revision_ : 0;
	});
}

/* As the conditions of the platform's transaction. */
bool Model::guard_holds(int node, const struct endpoint_record &e)
{
	struct endpoint_guard g;
	bool holds = true;

	world_get_endpoint_guard(nodes_[node].world, e.group, &g);
	for (auto &i : store_) {
		const struct record &r = i.second;

		if (r.kind == RECORD_ENDPOINT &&
		    !strcmp(r.endpoint.group, e.group))
			holds &= r.revision <= g.revision;
	}
	for (uint32_t i = 0; i < g.count; i++) {
		struct record r = {};

		r.kind = RECORD_ENDPOINT;
		snprintf(r.endpoint.group, sizeof(r.endpoint.group), "%s",
			 e.group);
		snprintf(r.endpoint.name, sizeof(r.endpoint.name), "%s",
			 g.members[i].name);
		auto stored = store_.find(get_record_path(r));
		holds &= stored != store_.end() &&
			 stored->second.revision == g.members[i].revision;
	}
	g_free(g.members);
	return holds;
}

bool Model::change_endpoint(int node, int endpoint, bool deleted)
{
	const ModelNode &n = nodes_[node];
	struct record r = make_endpoint_record(endpoints_[endpoint]);

	if (!n.world || n.paused || !can_reach_platform(n.zone) ||
	    !world_may_accept_changes(n.world, now_) ||
	    !world_may_change_endpoint(n.world, &r.endpoint, deleted) ||
	    !guard_holds(node, r.endpoint))
		return false;
	if (deleted)
		erase_record(get_record_path(r));
	else
		put_record(r);
	world_record_accepted_change(n.world, revision_);
	return true;
}

void Model::erase_log(int i)
{
	endpoints_[i].log.clear();
	endpoints_[i].log_copy = nullptr;
	endpoints_[i].current_term = 0;
	endpoints_[i].primary = false;
}

void Model::forget_term(int i)
{
	endpoints_[i].current_term = endpoints_[i].position().term;
	endpoints_[i].primary = false;
}

void Model::heal_all()
{
	cut_zones_.clear();
	cut_platforms_.clear();
	cut_links_.clear();
	platform_outage_ = false;
	answers_to_lose_ = 0;
	platform_delay_us_ = 0;
	drop_percent_ = 0;
	duplicate_percent_ = 5;
	for (int i = 0; i < opts_.endpoints; i++) {
		heal_endpoint(i);
		set_lag(i, 5 * US_PER_MS);
		if (endpoints_[i].leaving)
			set_leaving(i, false);
	}
	for (size_t i = 0; i < nodes_.size(); i++) {
		if (nodes_[i].paused)
			resume((int)i);
		if (nodes_[i].drained)
			crash((int)i);
		start((int)i);
	}
}

bool Model::withdraw_key(int node)
{
	ModelNode &n = nodes_[node];

	if (!n.world || n.paused || !can_reach_platform(n.zone) ||
	    !world_may_accept_changes(n.world, now_) || !key_present_)
		return false;
	erase_record("key/" + std::to_string(KEY_MILL));
	world_record_accepted_change(n.world, revision_);
	key_present_ = false;
	withdrawn_us_ = now_;
	int64_t at_us = now_;
	schedule(WITHDRAWAL_US, [=] {
		if (!key_present_ && withdrawn_us_ == at_us)
			check_withdrawal();
	});
	reach_fail_point({ FAIL_POINT_CHANGE_STORED, node, RECORD_KEY, -1 });
	return true;
}

void Model::restore_key()
{
	if (key_present_)
		return;
	put_record(make_key_record(KEY_MILL, "mill"));
	key_present_ = true;
}

/*
 * Checks that the transactions of a withdrawn key have ended on all nodes that
 * received the withdrawal.
 */
void Model::check_withdrawal()
{
	for (const ModelNode &n : nodes_) {
		if (!n.world || n.paused || n.seen_revision < revision_)
			continue;
		if (world_report(n.world, now_).transactions)
			oracle.add_violation(
				"a transaction of a withdrawn key is open");
	}
}

void Model::change_marker()
{
	int64_t expected = store_["profile/marker"].revision;

	schedule(latency(), [=] {
		if (platform_outage_ || marker_ + 1 == MARKERS ||
		    store_["profile/marker"].revision != expected)
			return;
		put_record(make_marker_record(++marker_));
		reach_fail_point(
			{ FAIL_POINT_CHANGE_STORED, -1, RECORD_PROFILE, -1 });
	});
}

int Model::get_marker(int node)
{
	char workspace[NAME_BYTES];

	if (!nodes_[node].world ||
	    world_find_workspace(nodes_[node].world, nullptr, "marker",
				 workspace))
		return -1;
	return workspace[strlen("marker")] - '0';
}

/* Checks that the configuration in effect in a process never goes back. */
void Model::check_marker(int node)
{
	std::pair<int, uint64_t> process = { node, nodes_[node].incarnation };
	int &seen = seen_markers_[process];
	int64_t &seen_revision = seen_revisions_[process];
	int now = get_marker(node);
	int64_t revision =
		world_report(nodes_[node].world, now_).config_revision;

	if (now < seen || revision < seen_revision)
		oracle.add_violation("configuration in effect went back");
	seen = now;
	seen_revision = revision;
}

uint64_t Model::promotions() const
{
	uint64_t n = 0;

	for (const ModelNode &m : nodes_) {
		if (m.world)
			n += world_report_group(m.world, 0).promotions;
	}
	return n;
}

int Model::primary() const
{
	int best = -1;

	for (int i = 0; i < opts_.endpoints; i++) {
		if (endpoints_[i].primary &&
		    (best < 0 || endpoints_[i].current_term >
					 endpoints_[best].current_term))
			best = i;
	}
	return best;
}

void Model::check_final()
{
	std::map<int, int> orders;
	int p = primary();

	if (p < 0) {
		oracle.add_violation("no primary after all faults ended");
		return;
	}
	for (const ModelEntry &n : endpoints_[p].log) {
		if (n.order)
			orders[n.order]++;
	}
	oracle.check_final(orders);
	oracle.check_answers(50 * US_PER_MS);
	oracle.check_rate(KEY_MILL, MILL_RATE_PER_S, MILL_BURST);
	oracle.check_rate(KEY_SCHOOL, SCHOOL_RATE_PER_S, SCHOOL_BURST);
	oracle.check_rate(KEY_KIOSK, KIOSK_RATE_PER_S, KIOSK_BURST);
	for (size_t i = 0; i < nodes_.size(); i++) {
		if (get_marker((int)i) != marker_)
			oracle.add_violation(
				"an accepted change is not in effect");
	}
}
