#include "proxy_model.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <sstream>

extern "C" {
#include "../platform/line_wire.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000000;
constexpr int64_t NETWORK_DELAY_US = 500; /* one way */
constexpr int64_t STORE_DELAY_US = 4 * MS;
constexpr int64_t TICK_US = 5 * MS;
/* Longest time for which a withdrawn key may still work. */
constexpr int64_t KEY_LIMIT_US = 5 * S;
/* Longest time until a configuration is in force. */
constexpr int64_t CONFIG_LIMIT_US = 3 * S;
constexpr int64_t MAX_AGE_US = 1500 * MS; /* of all but strict reads */
/* After this time endpoints drop the connections of a dead machine. */
constexpr int64_t DEAD_CONN_TIMEOUT_US = 3 * S;
/* After this time nodes drop a connection to one that acknowledges nothing. */
constexpr int64_t UNACKED_MAX_US = 600 * MS;
constexpr int64_t QUOTA_WINDOW_US = 5 * S;
constexpr uint32_t QUOTA_SLACK = 20;
/* An endpoint's entry is removed after three heartbeats are missing. */
constexpr int64_t ENTRY_EXPIRY_US = 3600 * MS;
/* The adapter's timeout of a call to the store. */
constexpr int64_t STORE_CALL_TIMEOUT_US = 600 * MS;
/* Sizes on the wire, for opts.link_bytes_per_s. */
constexpr int64_t ANSWER_BYTES = 200;
constexpr int64_t ITEM_BYTES = 400;
const char DUTY_KEY[] = "duty";
/* Told to endpoints for sessions that have no workspace, nor its limit. */
const char PUBLIC_WORKSPACE[] = "public";
const char KEY_PREFIX[] = "key-"; /* of a key; its workspace follows */

/* Only blanks divide words: any other byte may stand in a field. */
std::vector<std::string> split_words(const std::string &text)
{
	std::istringstream in(text);
	std::vector<std::string> out;
	std::string w;

	while (std::getline(in, w, ' ')) {
		if (!w.empty())
			out.push_back(w);
	}
	return out;
}

/* Only CR LF ends a line. */
std::vector<std::string> split_lines(const char *bytes, size_t len)
{
	std::string text(bytes, len);
	std::vector<std::string> out;
	size_t at = 0;
	size_t end;

	while ((end = text.find("\r\n", at)) != std::string::npos) {
		out.push_back(text.substr(at, end - at));
		at = end + 2;
	}
	return out;
}

bool starts_with(const std::string &text, const char *with)
{
	return text.compare(0, strlen(with), with) == 0;
}

/* Returns true if the code says that the statement has not run. */
bool is_refusal(const std::string &code)
{
	return code == "BUSY" || code == "ABORTED" || code == "LAGGING" ||
	       code == "READONLY" || code == "MISROUTED" || code == "TOOMANY";
}

/* Replaces the store's members by a copy that the item owns. */
void copy_members(struct replica_set_entry *s)
{
	s->members = static_cast<struct upstream_entry *>(
		g_memdup2(s->members, s->count * sizeof(*s->members)));
}

} // namespace

/* A node's access to the store and to promotions. */
struct ProxyStore {
	struct store store; /* must be first */
	struct promoter promoter;
	ProxyModel *model;
	int node;

	static ProxyStore *from(struct store *s)
	{
		return reinterpret_cast<ProxyStore *>(s);
	}

	static ProxyStore *from(struct promoter *p)
	{
		return reinterpret_cast<ProxyStore *>(
			reinterpret_cast<char *>(p) -
			offsetof(ProxyStore, promoter));
	}

	uint64_t generation() const
	{
		return model->nodes[node]->generation;
	}

	/* Fails the call and returns true if the store cannot be reached. */
	bool fail_if_unreachable(store_answer_fn fn, void *data)
	{
		ProxyNode *n = model->nodes[node].get();
		struct store_answer a = {};

		a.requested_us = model->now();
		a.outcome = STORE_UNKNOWN;
		if (model->can_reach_store(*n))
			return false;
		model->send_store_answer(node, generation(), fn, data, a, {},
					 1 * S);
		return true;
	}

	static uint64_t list(struct store *s, const char *after,
			     store_answer_fn fn, void *data)
	{
		ProxyStore *st = from(s);
		uint64_t number = ++st->model->last_call_number_;
		struct store_answer a = {};
		std::vector<struct store_item> items;

		if (st->fail_if_unreachable(fn, data))
			return number;
		a.revision = st->model->revision_;
		a.requested_us = st->model->now();
		for (auto &i : st->model->items_)
			items.push_back(i.second.value);
		/* The platform sorts by key; the configuration comes first. */
		std::stable_partition(items.begin(), items.end(),
				      [](const struct store_item &i) {
					      return i.kind == ITEM_CONFIG;
				      });
		st->model->send_store_answer(st->node, st->generation(), fn,
					     data, a, items, STORE_DELAY_US,
					     number);
		return number;
	}

	static uint64_t watch(struct store *s, int64_t after, int64_t wait_us,
			      store_answer_fn fn, void *data)
	{
		ProxyStore *st = from(s);
		ProxyModel *m = st->model;
		uint64_t number = ++m->last_call_number_;

		if (st->fail_if_unreachable(fn, data))
			return number;
		m->watches_.push_back({ st->node, st->generation(), after, fn,
					data, m->now(), number, false });
		m->run_later(wait_us, [m, number] {
			for (auto &w : m->watches_) {
				if (w.number == number)
					w.after = -1 - w.after;
			}
			m->answer_watches();
		});
		m->run_later(STORE_DELAY_US, [m] { m->answer_watches(); });
		return number;
	}

	static void cancel(struct store *s, uint64_t call)
	{
		ProxyStore *st = from(s);

		st->model->cancel_call(st->model->nodes[st->node].get(), call);
	}

	static bool is_arriving(const struct store *s, uint64_t call)
	{
		const auto *st = reinterpret_cast<const ProxyStore *>(s);

		for (auto &t : st->model->nodes[st->node]->transfers) {
			if (t.call == call)
				return t.progress_us > t.begin_us;
		}
		return false;
	}

	static void probe(struct store *s, store_answer_fn fn, void *data)
	{
		ProxyStore *st = from(s);
		struct store_answer a = {};

		if (st->fail_if_unreachable(fn, data))
			return;
		a.requested_us = st->model->now();
		a.revision = st->model->revision_;
		if (st->model->store_loses_answers_ &&
		    st->model->now() < st->model->store_down_until_us_)
			a.outcome = STORE_UNKNOWN;
		st->model->send_store_answer(st->node, st->generation(), fn,
					     data, a, {}, STORE_DELAY_US);
	}

	static void change(struct store *s, const struct store_change *c,
			   store_answer_fn fn, void *data)
	{
		ProxyStore *st = from(s);
		ProxyModel *m = st->model;
		struct store_answer a = {};
		auto duty = m->items_.find(DUTY_KEY);
		int64_t duty_revision = duty == m->items_.end() ?
						0 :
						duty->second.value.revision;
		struct store_item i;

		if (st->fail_if_unreachable(fn, data))
			return;
		a.requested_us = m->now();
		auto own = m->items_.find(
			"instance/" +
			std::string(c->instance ? c->instance : ""));
		int64_t own_revision =
			own == m->items_.end() ? 0 : own->second.value.revision;
		auto limits = m->items_.find("limits");
		int64_t limits_revision = limits == m->items_.end() ?
						  0 :
						  limits->second.value.revision;
		if ((c->lease && !m->leases_.count(c->lease)) ||
		    (c->put_limits && c->limits_revision != limits_revision) ||
		    (c->if_instance && c->instance_revision != own_revision) ||
		    (c->if_duty && c->duty_revision != duty_revision)) {
			a.outcome = STORE_REFUSED;
			m->send_store_answer(st->node, st->generation(), fn,
					     data, a, {}, STORE_DELAY_US);
			return;
		}
		if (c->put_instance) {
			memset(&i, 0, sizeof(i));
			i.kind = ITEM_INSTANCE;
			i.readable = true;
			i.instance = *c->put_instance;
			g_strlcpy(i.name, c->instance, sizeof(i.name));
			m->put_item("instance/" + std::string(c->instance), i,
				    c->lease);
		}
		if (c->put_duty) {
			memset(&i, 0, sizeof(i));
			i.kind = ITEM_DUTY;
			i.readable = true;
			i.duty = *c->put_duty;
			m->put_item(DUTY_KEY, i, c->lease);
		}
		if (c->put_limits) {
			memset(&i, 0, sizeof(i));
			i.kind = ITEM_LIMITS;
			i.readable = true;
			i.limits = *c->put_limits;
			m->put_item("limits", i, 0);
		}
		if (c->put_choice) {
			memset(&i, 0, sizeof(i));
			i.kind = ITEM_CHOICE;
			i.readable = true;
			i.choice = *c->put_choice;
			g_strlcpy(i.name, c->service, sizeof(i.name));
			m->put_item("choice/" + std::string(c->service), i, 0);
		}
		if (c->put_replica_set) {
			const struct replica_set_entry *r = c->put_replica_set;

			m->replica_sets_.emplace_back(r->members,
						      r->members + r->count);
			memset(&i, 0, sizeof(i));
			i.kind = ITEM_REPLICA_SET;
			i.readable = true;
			i.replica_set = { m->replica_sets_.back().data(),
					  r->count };
			g_strlcpy(i.name, c->service, sizeof(i.name));
			m->put_item("replica-set/" + std::string(c->service), i,
				    0);
		}
		a.revision = m->revision_;
		if (m->store_loses_answers_ &&
		    m->now() < m->store_down_until_us_)
			a.outcome = STORE_UNKNOWN;
		m->send_store_answer(st->node, st->generation(), fn, data, a,
				     {}, STORE_DELAY_US);
	}

	static void lease(struct store *s, int64_t ttl_us, store_answer_fn fn,
			  void *data)
	{
		ProxyStore *st = from(s);
		ProxyModel *m = st->model;
		struct store_answer a = {};

		if (st->fail_if_unreachable(fn, data))
			return;
		a.requested_us = m->now();
		a.lease = ++m->last_lease_;
		a.ttl_us = ttl_us;
		m->leases_[a.lease] = { ttl_us, m->now() + ttl_us };
		m->send_store_answer(st->node, st->generation(), fn, data, a,
				     {}, STORE_DELAY_US);
	}

	static void renew(struct store *s, uint64_t id, store_answer_fn fn,
			  void *data)
	{
		ProxyStore *st = from(s);
		ProxyModel *m = st->model;
		struct store_answer a = {};

		if (st->fail_if_unreachable(fn, data))
			return;
		a.requested_us = m->now();
		if (m->leases_.count(id)) {
			m->leases_[id].until_us =
				m->now() + m->leases_[id].ttl_us;
			a.ttl_us = m->leases_[id].ttl_us;
		} else {
			a.outcome = STORE_REFUSED;
		}
		m->send_store_answer(st->node, st->generation(), fn, data, a,
				     {}, STORE_DELAY_US);
	}

	static int read_change(struct store *s, const char *text,
			       int64_t position, struct store_item *out)
	{
		return from(s)->model->read_change(text, position, out);
	}

	static void end_lease(struct store *s, uint64_t id, store_answer_fn fn,
			      void *data)
	{
		ProxyStore *st = from(s);

		if (st->fail_if_unreachable(fn, data))
			return;
		if (st->model->leases_.count(id))
			st->model->leases_[id].until_us = st->model->now();
		st->model->expire_leases();
	}

	static void order(struct promoter *p, const struct promotion_order *o,
			  promotion_answer_fn fn, void *data)
	{
		ProxyStore *st = from(p);
		ProxyModel *m = st->model;
		std::string service = o->service;
		std::string id = o->endpoint;
		uint64_t token = o->token;
		uint64_t generation = st->generation();
		int node = st->node;
		bool delayed = m->now() < m->promotions_delayed_until_us_;
		enum promotion_outcome outcome = PROMOTION_ORDERED;
		auto execute_order = [m, service, id, token] {
			uint64_t &highest = m->highest_tokens_[service];

			if (token < highest)
				return false;
			highest = token;
			if (m->opts.refuse_ended_endpoint &&
			    m->has_ended(service, id))
				return false;
			m->run_later(m->opts.promotion_duration_us,
				     [m, service, id] {
					     m->promote_endpoint(service, id);
				     });
			return true;
		};

		if (delayed)
			m->run_later(m->promotion_delay_us_,
				     [execute_order] { execute_order(); });
		else if (!execute_order())
			outcome = PROMOTION_REFUSED;
		if (delayed)
			outcome = PROMOTION_UNKNOWN;
		m->run_later(delayed ? 1 * S : STORE_DELAY_US, [=] {
			if (m->nodes[node]->generation == generation &&
			    m->nodes[node]->engine)
				fn(data, outcome);
		});
	}
};

static const struct store_ops model_store_ops = {
	ProxyStore::list,	 ProxyStore::watch, ProxyStore::cancel,
	ProxyStore::is_arriving, ProxyStore::probe, ProxyStore::change,
	ProxyStore::lease,	 ProxyStore::renew, ProxyStore::end_lease,
	ProxyStore::read_change,
};

static const struct promoter_ops model_promoter_ops = { ProxyStore::order };

/* Callbacks of a node's engine. */
struct ProxyHost {
	static ProxyNode *node(void *host)
	{
		return static_cast<ProxyNode *>(host);
	}

	static void caller_send(void *host, void *caller, const char *bytes,
				size_t len)
	{
		ProxyCaller *c = static_cast<ProxyCaller *>(caller);
		ProxyModel *m = node(host)->model;

		if (!c->hop)
			m->append_caller_lines(c, bytes, len);
		else if (auto h = m->find_hop(c->hop))
			m->send_hop_lines(h, false, bytes, len);
	}

	static void caller_close(void *host, void *caller)
	{
		ProxyCaller *c = static_cast<ProxyCaller *>(caller);

		c->session = nullptr;
		c->closed = true;
		if (!c->hop) {
			c->node->callers.erase(c);
		} else if (auto h = c->node->model->find_hop(c->hop)) {
			h->home_closed = true;
			c->node->model->send_hop_lines(h, false, "", 0);
		}
	}

	/* The address of a node for statements is "10.2.0.<index>:1". */
	static void *hop_open(ProxyNode *n, const char *address,
			      struct upstream_conn *engine_conn)
	{
		ProxyModel *m = n->model;
		auto h = std::make_shared<ProxyHop>();

		h->from = n;
		h->engine_conn = engine_conn;
		h->to = m->nodes[atoi(address + strlen("10.2.0."))].get();
		h->caller.node = h->to;
		h->caller.hop = h.get();
		n->hops.insert(h);
		m->run_later(2 * NETWORK_DELAY_US, [m, h] {
			if (!h->engine_conn || h->to->powerless ||
			    h->from->cut_peers.count(h->to->index) ||
			    h->to->cut_peers.count(h->from->index))
				return;
			if (!h->to->engine) {
				m->close_hop(h, -ECONNREFUSED);
				return;
			}
			h->open = true;
			h->caller.session =
				engine_relay_opened(h->to->engine, &h->caller);
			engine_conn_opened(h->engine_conn);
		});
		return h.get();
	}

	static void *conn_open(void *host, const char *address,
			       struct upstream_conn *engine_conn)
	{
		ProxyNode *n = node(host);
		ProxyModel *m = n->model;
		auto c = std::make_shared<ProxyConn>();

		if (starts_with(address, "10.2.0."))
			return hop_open(n, address, engine_conn);
		c->node = n;
		c->engine_conn = engine_conn;
		for (auto &e : m->endpoints) {
			if (e->address == address)
				c->endpoint = e.get();
		}
		n->conns.insert(c);
		m->run_later(2 * NETWORK_DELAY_US, [m, c, n] {
			ProxyEndpoint *e = c->endpoint;

			if (!c->engine_conn || !e || e->unresponsive ||
			    m->is_link_cut(*n, *e))
				return;
			if (!e->alive) {
				m->close_conn(c, -ECONNREFUSED);
				return;
			}
			c->open = true;
			e->conns.insert(c);
			engine_conn_opened(c->engine_conn);
		});
		return c.get();
	}

	static std::shared_ptr<ProxyConn> find(ProxyNode *n, void *conn)
	{
		for (auto &c : n->conns) {
			if (c.get() == conn)
				return c;
		}
		return nullptr;
	}

	static void conn_send(void *host, void *conn, const char *bytes,
			      size_t len)
	{
		ProxyNode *n = node(host);
		auto c = find(n, conn);

		if (auto h = n->model->find_hop(static_cast<ProxyHop *>(conn)))
			n->model->send_hop_lines(h, true, bytes, len);
		if (!c)
			return;
		for (const std::string &line : split_lines(bytes, len))
			n->model->deliver_line(c, line);
	}

	static void conn_close(void *host, void *conn)
	{
		ProxyNode *n = node(host);
		auto c = find(n, conn);

		if (auto h =
			    n->model->find_hop(static_cast<ProxyHop *>(conn))) {
			h->engine_conn = nullptr;
			n->model->send_hop_lines(h, true, "", 0);
			return;
		}
		if (!c)
			return;
		n->model->conns_closed++;
		c->engine_conn = nullptr;
		n->conns.erase(c);
		n->model->run_later(NETWORK_DELAY_US, [c] {
			/* The endpoint rolls back an open transaction. */
			c->open = false;
			c->pending_writes.clear();
			if (c->endpoint)
				c->endpoint->conns.erase(c);
		});
	}

	static void peer_changed(void *host, const char *instance,
				 const char *address)
	{
	}

	static void peer_send(void *host, const struct peer_message *msg)
	{
		ProxyNode *n = node(host);
		ProxyModel *m = n->model;
		struct peer_message copy = *msg;
		std::string to = msg->peer;

		g_strlcpy(copy.peer, n->name.c_str(), sizeof(copy.peer));
		copy.incarnation = n->generation;
		if ((int)msg->type == m->lost_message_type ||
		    m->is_lucky(m->opts.lost_messages_percent))
			return;
		m->message_counts[msg->type]++;
		deliver_message(n, copy, to);
		if (m->double_peer_messages ||
		    m->is_lucky(m->opts.doubled_messages_percent))
			deliver_message(n, copy, to);
	}

	static void deliver_message(ProxyNode *n,
				    const struct peer_message &copy,
				    const std::string &to)
	{
		ProxyModel *m = n->model;
		int64_t delay_us = NETWORK_DELAY_US;

		if (m->opts.message_jitter_us)
			delay_us += (int64_t)(m->rand() %
					      m->opts.message_jitter_us);
		m->run_later(delay_us, [m, n, copy, to] {
			for (auto &o : m->nodes) {
				if (o->name == to && o->engine && !o->frozen &&
				    !n->cut_peers.count(o->index))
					engine_peer_message(o->engine, &copy);
			}
		});
	}

	static void log(void *host, const struct log_entry *e)
	{
		ProxyNode *n = node(host);

		n->log_counts[e->number]++;
		if (!n->model->opts.log)
			return;
		printf("%9.4f %s %d %s %lld %s\n",
		       (double)n->model->now() / 1e6 - 1000, n->name.c_str(),
		       e->number, e->subject, (long long)e->value, e->text);
	}

	static int64_t now_us(void *host)
	{
		return node(host)->model->now();
	}

	static int64_t time_ms(void *host)
	{
		return node(host)->model->time_ms();
	}
};

static const struct engine_host model_host_ops = {
	.caller_send = ProxyHost::caller_send,
	.caller_close = ProxyHost::caller_close,
	.conn_open = ProxyHost::conn_open,
	.conn_send = ProxyHost::conn_send,
	.conn_close = ProxyHost::conn_close,
	.peer_changed = ProxyHost::peer_changed,
	.peer_send = ProxyHost::peer_send,
	.log = ProxyHost::log,
	.now_us = ProxyHost::now_us,
	.time_ms = ProxyHost::time_ms,
};

void ProxyModel::lose_limit_record()
{
	if (items_.count("limits"))
		remove_item("limits");
}

bool ProxyModel::is_lucky(int percent)
{
	return percent && (int)(rand() % 100) < percent;
}

/* Construction; starts and ends of nodes. */

ProxyModel::ProxyModel(const ProxyModelOpts &o)
    : rand(o.seed), opts(o), rate_per_s_(o.rate_per_s), burst_(o.burst)
{
	for (int s = 0; s < opts.services; s++) {
		for (int i = 0; i < opts.endpoints_per_service; i++) {
			auto e = std::make_unique<ProxyEndpoint>();

			e->id = "e" + std::to_string(s) + std::to_string(i);
			e->service = "svc" + std::to_string(s);
			e->zone = "z" + std::to_string(i);
			e->address = "10.0." + std::to_string(s) + "." +
				     std::to_string(i + 1) + ":1";
			e->primary = i == 0;
			e->slot_free_us.assign(opts.slots, 0);
			endpoints.push_back(std::move(e));
		}
	}
	keys_ = { "key-a", "key-b", "key-c" };
	put_config();
	for (auto &e : endpoints)
		write_entry(e.get());
	for (int i = 0; i < opts.nodes; i++) {
		auto n = std::make_unique<ProxyNode>();
		auto st = std::make_unique<ProxyStore>();

		n->model = this;
		n->index = i;
		n->name = "n" + std::to_string(i);
		n->zone = "z" + std::to_string(i % 3);
		st->store.ops = &model_store_ops;
		st->promoter.ops = &model_promoter_ops;
		st->model = this;
		st->node = i;
		nodes.push_back(std::move(n));
		stores_.push_back(std::move(st));
		start(nodes.back().get());
	}
}

ProxyModel::~ProxyModel()
{
	for (auto &n : nodes)
		kill(n.get());
}

void ProxyModel::start(ProxyNode *n)
{
	struct engine_opts o = {};

	o.ops = &model_host_ops;
	o.host = n;
	o.wire = &line_wire;
	o.store = &stores_[n->index]->store;
	o.promoter = &stores_[n->index]->promoter;
	n->metrics = metrics_new();
	o.metrics = n->metrics;
	g_strlcpy(o.instance, n->name.c_str(), sizeof(o.instance));
	g_strlcpy(o.zone, n->zone.c_str(), sizeof(o.zone));
	g_strlcpy(o.peer_address, "10.1.0.1:1", sizeof(o.peer_address));
	if (opts.relay)
		snprintf(o.relay_address, sizeof(o.relay_address),
			 "10.2.0.%d:1", n->index);
	n->powerless = false;
	o.incarnation = ++n->generation * 1000 + n->index + 1;
	o.seed = opts.seed * 100 + n->index;
	o.key_limit_us = KEY_LIMIT_US;
	o.config_limit_us = CONFIG_LIMIT_US;
	o.grace_us = 6 * S;
	o.replica_wait_us = 12 * S;
	o.tolerance.window_us = QUOTA_WINDOW_US;
	o.tolerance.overrun_milli = 100;
	o.tolerance.slack_milli = QUOTA_SLACK * 1000;
	o.sessions_max = 1000;
	n->engine = engine_new(&o, now_us_);
}

void ProxyModel::kill(ProxyNode *n)
{
	struct engine *e = n->engine;

	if (!e)
		return;
	n->generation++;
	n->engine = nullptr;
	engine_free(e);
	metrics_free(n->metrics);
	for (ProxyCaller *c : std::set<ProxyCaller *>(n->callers)) {
		c->session = nullptr;
		c->closed = true;
	}
	n->callers.clear();
	n->conns.clear();
	n->hops.clear();
	n->transfers.clear();
}

void ProxyModel::power_off(ProxyNode *n)
{
	/* The endpoints notice only when their connections time out. */
	auto conns = n->conns;

	for (auto &c : conns)
		c->engine_conn = nullptr;
	n->conns.clear();
	n->powerless = true;
	kill(n);
	run_later(DEAD_CONN_TIMEOUT_US, [conns] {
		for (auto &c : conns) {
			c->open = false;
			c->pending_writes.clear();
			if (c->endpoint)
				c->endpoint->conns.erase(c);
		}
	});
}

/* Connections between nodes. */

std::shared_ptr<ProxyHop> ProxyModel::find_hop(const ProxyHop *hop) const
{
	for (auto &n : nodes) {
		for (auto &h : n->hops) {
			if (h.get() == hop)
				return h;
		}
	}
	return nullptr;
}

/* Also called without bytes, after one end has closed the connection. */
void ProxyModel::send_hop_lines(const std::shared_ptr<ProxyHop> &h,
				bool to_home, const char *bytes, size_t len)
{
	auto &queue = to_home ? h->to_home : h->to_entry;

	for (const std::string &line : split_lines(bytes, len))
		queue.emplace_back(now_us_, line);
	run_later(NETWORK_DELAY_US + (to_home && h->to ? h->to->slow_us : 0),
		  [this, h, to_home] { deliver_hop_lines(h, to_home); });
}

/* The entry's end closes: the home's session ends, whatever is on the way. */
void ProxyModel::close_hop(const std::shared_ptr<ProxyHop> &h, int error)
{
	struct upstream_conn *c = h->engine_conn;

	h->engine_conn = nullptr;
	h->from->hops.erase(h);
	if (c)
		engine_conn_closed(c, error);
	h->to_home.clear();
	deliver_hop_lines(h, true);
}

void ProxyModel::deliver_hop_lines(const std::shared_ptr<ProxyHop> &h,
				   bool to_home)
{
	ProxyNode *sender = to_home ? h->from : h->to;
	ProxyNode *receiver = to_home ? h->to : h->from;
	auto &queue = to_home ? h->to_home : h->to_entry;
	bool cut =
		sender->cut_peers.count(receiver->index) || sender->powerless;
	bool unacked =
		receiver->powerless || receiver->cut_peers.count(sender->index);

	if (!queue.empty() && (cut || unacked) && h->engine_conn &&
	    now_us_ - queue.front().first > UNACKED_MAX_US) {
		close_hop(h, -ETIMEDOUT);
		return;
	}
	if (cut || receiver->powerless ||
	    (receiver->frozen && opts.frozen_nodes_read_nothing)) {
		bool waits = to_home ? h->caller.session != nullptr :
				       h->engine_conn != nullptr;

		if (waits && (!queue.empty() || !h->engine_conn ||
			      (!to_home && h->home_closed)))
			run_later(5 * MS, [this, h, to_home] {
				deliver_hop_lines(h, to_home);
			});
		return;
	}
	while (!queue.empty()) {
		std::string line = queue.front().second;

		queue.pop_front();
		if (to_home && h->caller.session && h->to->engine)
			engine_caller_line(h->caller.session, line);
		else if (!to_home && h->engine_conn && h->from->engine)
			engine_conn_line(h->engine_conn, line);
	}
	if (!to_home && h->home_closed && h->engine_conn && h->from->engine)
		close_hop(h, 0);
	if (to_home && !h->engine_conn && h->caller.session && h->to->engine) {
		struct session *s = h->caller.session;

		h->caller.session = nullptr;
		engine_caller_closed(s);
	}
	if (!h->engine_conn && !h->caller.session)
		h->from->hops.erase(h);
}

/* Virtual time. */

void ProxyModel::run_later(int64_t delay_us, std::function<void()> fn)
{
	events_.emplace(now_us_ + delay_us, std::move(fn));
}

void ProxyModel::tick_node(ProxyNode *n)
{
	if (n->engine && !n->frozen)
		engine_tick(n->engine);
}

void ProxyModel::run_next_event()
{
	int64_t next = next_tick_us_;

	if (!events_.empty() && events_.begin()->first <= next) {
		auto first = events_.begin();
		std::function<void()> fn = std::move(first->second);

		now_us_ = std::max(now_us_, first->first);
		events_.erase(first);
		fn();
		return;
	}
	now_us_ = next;
	next_tick_us_ = next + TICK_US;
	expire_leases();
	for (auto &n : nodes) {
		if (!n->transfers.empty() && !n->frozen)
			run_transfers(n.get());
	}
	replicate();
	for (auto &n : nodes)
		tick_node(n.get());
}

void ProxyModel::run(int64_t duration_us)
{
	int64_t end = now_us_ + duration_us;

	while (now_us_ < end)
		run_next_event();
}

bool ProxyModel::run_until(const std::function<bool()> &done,
			   int64_t timeout_us)
{
	int64_t end = now_us_ + timeout_us;

	while (!done() && now_us_ < end)
		run_next_event();
	return done();
}

void ProxyModel::record_violation(const std::string &what)
{
	if (violations.size() < 20)
		violations.push_back(std::to_string(now_us_ / MS) +
				     " ms: " + what);
}

/* Store. */

struct fleet_config *ProxyModel::build_config(int64_t revision) const
{
	const ConfigVersion &v = configs_.at(revision);
	struct fleet_config *c = fleet_config_new();
	static const struct {
		const char *name;
		enum freshness freshness;
		bool open;
	} routes[] = {
		{ "strict", FRESH_STRICT, false },
		{ "bounded", FRESH_BOUNDED, false },
		{ "session", FRESH_SESSION, false },
		{ "open", FRESH_BOUNDED, true },
	};
	static const char *const workspaces[] = { "a", "b", "c" };

	c->version = v.version;
	c->transaction_idle_us = 3 * S;
	for (int s = 0; s < opts.services; s++) {
		struct service_config *sc = g_new0(struct service_config, 1);
		std::string suffix = s ? std::to_string(s) : "";

		sc->name = g_strdup(("svc" + std::to_string(s)).c_str());
		sc->conns_max = opts.conns_max;
		sc->confirms_writes = true;
		fleet_config_add_service(c, sc);
		for (auto &k : routes) {
			struct route *r = g_new0(struct route, 1);

			r->database = g_strdup((k.name + suffix).c_str());
			r->service = g_strdup(
				("svc" + std::to_string((s + v.routes_swapped) %
							opts.services))
					.c_str());
			r->freshness = k.freshness;
			r->max_age_us =
				k.freshness == FRESH_STRICT ? 0 : MAX_AGE_US;
			r->timeout_us = 1 * S;
			r->target_us = 400 * MS;
			r->priority = k.freshness == FRESH_STRICT ? 1 : 2;
			r->is_public = k.open;
			fleet_config_add_route(c, r);
		}
	}
	for (const char *name : workspaces) {
		struct workspace_config *w = g_new0(struct workspace_config, 1);
		std::string key = std::string("key-") + name;

		w->name = g_strdup(name);
		w->rate_milli_per_s =
			opts.unlimited ? UINT32_MAX : v.rate_per_s * 1000;
		w->burst_milli = v.burst * 1000;
		fleet_config_add_workspace(c, w);
		if (v.keys.count(key))
			fleet_config_add_key(c, key.c_str(), w);
	}
	return c;
}

void ProxyModel::put_config()
{
	struct store_item i;

	memset(&i, 0, sizeof(i));
	config_version_ += 3;
	i.kind = ITEM_CONFIG;
	i.readable = true;
	put_item("op/config", i, 0);
	configs_[revision_] = {
		config_version_, config_bytes_, keys_,
		rate_per_s_,	 burst_,	routes_swapped_
	};
}

void ProxyModel::swap_routes()
{
	routes_swapped_ = !routes_swapped_;
	put_config();
}

int64_t ProxyModel::time_ms() const
{
	return time_offset_ms + now_us_ / 1000;
}

static std::string steer_key(enum steer_kind kind, const std::string &subject)
{
	return std::string("steer/") + steer_kind_name(kind) + "/" + subject;
}

void ProxyModel::steer(enum steer_kind kind, const std::string &subject,
		       int64_t lasts_us, bool readable)
{
	struct store_item i;

	memset(&i, 0, sizeof(i));
	i.kind = ITEM_STEER;
	i.readable = readable;
	i.steer_kind = kind;
	g_strlcpy(i.name, subject.c_str(), sizeof(i.name));
	i.steer.kind = kind;
	g_strlcpy(i.steer.subject, subject.c_str(), sizeof(i.steer.subject));
	g_strlcpy(i.steer.by, "ann", sizeof(i.steer.by));
	i.steer.until_ms = time_ms() + lasts_us / 1000;
	put_item(steer_key(kind, subject), i, 0);
}

void ProxyModel::withdraw_steer(enum steer_kind kind,
				const std::string &subject)
{
	remove_item(steer_key(kind, subject));
}

void ProxyModel::change_config(int64_t bytes)
{
	config_bytes_ = bytes;
	put_config();
}

int ProxyModel::count_nodes_with_newest_config() const
{
	int count = 0;

	for (auto &n : nodes) {
		if (!n->engine)
			continue;
		engine_update_metrics(n->engine);
		count += metrics_get(n->metrics, "config_version", nullptr) ==
			 config_version_;
	}
	return count;
}

void ProxyModel::put_item(const std::string &key, struct store_item value,
			  uint64_t lease)
{
	value.revision = ++revision_;
	items_[key] = { value, lease };
	run_later(1 * MS, [this] { answer_watches(); });
}

void ProxyModel::remove_item(const std::string &key)
{
	struct store_item removal = items_[key].value;

	removal.revision = ++revision_;
	removal.removed = true;
	removal.config = nullptr;
	removals_.push_back(removal);
	items_.erase(key);
	run_later(1 * MS, [this] { answer_watches(); });
}

void ProxyModel::expire_leases()
{
	std::vector<std::string> expired_keys;

	if (now_us_ < store_down_until_us_ && !leases_lapse_)
		return;
	for (auto l = leases_.begin(); l != leases_.end();) {
		if (now_us_ < l->second.until_us) {
			++l;
			continue;
		}
		for (auto &i : items_) {
			if (i.second.lease == l->first)
				expired_keys.push_back(i.first);
		}
		l = leases_.erase(l);
	}
	for (auto &k : expired_keys)
		remove_item(k);
}

bool ProxyModel::can_reach_store(const ProxyNode &n) const
{
	return !n.cut_from_store &&
	       (store_loses_answers_ || now_us_ >= store_down_until_us_);
}

void ProxyModel::transfer_answer(ProxyNode *n, uint64_t call, int64_t bytes,
				 std::function<void(bool arrived)> end)
{
	if (opts.link_bytes_per_s)
		n->transfers.push_back(
			{ call, bytes, now_us_, now_us_, std::move(end) });
	else
		end(true);
}

/* An answer ends when it is complete, or was silent for too long. */
void ProxyModel::run_transfers(ProxyNode *n)
{
	std::list<ProxyTransfer> ended;
	int64_t part = n->cut_from_store ? 0 :
					   opts.link_bytes_per_s * TICK_US / S /
						   (int64_t)n->transfers.size();

	for (auto t = n->transfers.begin(); t != n->transfers.end();) {
		auto next = std::next(t);

		t->remaining_bytes -= part;
		store_sent_bytes += part;
		if (part)
			t->progress_us = now_us_;
		if (t->remaining_bytes <= 0 ||
		    now_us_ - t->progress_us >= STORE_CALL_TIMEOUT_US)
			ended.splice(ended.end(), n->transfers, t);
		t = next;
	}
	for (auto &t : ended)
		t.end(t.remaining_bytes <= 0);
}

void ProxyModel::cancel_call(ProxyNode *n, uint64_t call)
{
	canceled_calls_.insert(call);
	watches_.erase(std::remove_if(watches_.begin(), watches_.end(),
				      [call](const Watch &w) {
					      return w.number == call;
				      }),
		       watches_.end());
	n->transfers.remove_if(
		[call](const ProxyTransfer &t) { return t.call == call; });
}

void ProxyModel::send_store_answer(int node, uint64_t generation,
				   store_answer_fn fn, void *data,
				   struct store_answer a,
				   std::vector<struct store_item> items,
				   int64_t delay_us, uint64_t call)
{
	int64_t bytes = ANSWER_BYTES;
	auto is_dropped = [=] {
		return nodes[node]->generation != generation ||
		       !nodes[node]->engine || canceled_calls_.count(call);
	};
	auto arrive = [=](bool arrived) {
		struct store_answer late = {};

		late.outcome = STORE_UNKNOWN;
		late.requested_us = a.requested_us;
		if (is_dropped())
			return;
		if (arrived)
			deliver_store_answer(node, fn, data, a, items, call);
		else
			deliver_store_answer(node, fn, data, late, {}, call);
	};

	for (auto &i : items)
		bytes += i.kind == ITEM_CONFIG ? configs_.at(i.revision).bytes :
						 ITEM_BYTES;
	run_later(delay_us, [=] {
		if (!is_dropped())
			transfer_answer(nodes[node].get(), call, bytes, arrive);
	});
}

/* Gives a copy of an item what it owns. */
void ProxyModel::fill_item(struct store_item *i)
{
	if (i->kind == ITEM_CONFIG && !i->removed)
		i->config = build_config(i->revision);
	if (i->kind == ITEM_REPLICA_SET)
		copy_members(&i->replica_set);
}

int ProxyModel::read_change(const char *text, int64_t position,
			    struct store_item *out)
{
	auto found = changes_.find(text);

	*out = {};
	if (found == changes_.end() || found->second.revision != position)
		return -EINVAL;
	*out = found->second;
	fill_item(out);
	return 0;
}

void ProxyModel::deliver_store_answer(int node, store_answer_fn fn, void *data,
				      struct store_answer a,
				      std::vector<struct store_item> items,
				      uint64_t call)
{
	ProxyNode *n = nodes[node].get();

	if (n->frozen && opts.frozen_nodes_read_nothing) {
		send_store_answer(node, n->generation, fn, data, a, items,
				  1 * MS, call);
		return;
	}
	if (n->cut_from_store) {
		items.clear();
		a.outcome = STORE_UNKNOWN;
	}
	for (auto &i : items) {
		std::string text = std::to_string(i.revision) + " " +
				   std::to_string(i.kind);

		changes_[text] = i;
		fill_item(&i);
		i.text = g_strdup(text.c_str());
	}
	a.items = items.data();
	a.item_count = (uint32_t)items.size();
	fn(data, &a);
	for (auto &i : items)
		store_item_clear(&i);
}

/* A watch gets every version after its revision, not only the newest. */
void ProxyModel::add_replaced_configs(int64_t after,
				      std::vector<struct store_item> *items)
{
	struct store_item i = items_["op/config"].value;

	for (auto c = configs_.upper_bound(after);
	     c != configs_.end() && std::next(c) != configs_.end(); ++c) {
		i.revision = c->first;
		items->push_back(i);
	}
}

void ProxyModel::answer_watches()
{
	std::vector<Watch> remaining;
	std::vector<Watch> watches;

	watches.swap(watches_);
	for (auto &w : watches) {
		bool expired = w.after < 0;
		int64_t after = expired ? -1 - w.after : w.after;
		std::vector<struct store_item> items;
		struct store_answer a = {};

		if (w.generation != nodes[w.node]->generation)
			continue;
		if (w.dead || !can_reach_store(*nodes[w.node])) {
			a.outcome = STORE_UNKNOWN;
			a.requested_us = w.asked_us;
			if (expired)
				send_store_answer(w.node, w.generation, w.fn,
						  w.data, a, {}, 0, w.number);
			else
				remaining.push_back(w);
			continue;
		}
		for (auto &i : items_) {
			if (i.second.value.revision > after)
				items.push_back(i.second.value);
		}
		add_replaced_configs(after, &items);
		for (auto &r : removals_) {
			if (r.revision > after)
				items.push_back(r);
		}
		if (items.empty() && !expired) {
			remaining.push_back(w);
			continue;
		}
		std::stable_sort(items.begin(), items.end(),
				 [](const store_item &x, const store_item &y) {
					 return x.revision < y.revision;
				 });
		a.revision = revision_;
		a.requested_us = w.asked_us;
		send_store_answer(w.node, w.generation, w.fn, w.data, a, items,
				  NETWORK_DELAY_US, w.number);
	}
	watches_.insert(watches_.end(), remaining.begin(), remaining.end());
}

void ProxyModel::write_entry_with_role(ProxyEndpoint *e, const char *role)
{
	struct store_item i;

	if (e->gone || e->cut_from_store)
		return;
	memset(&i, 0, sizeof(i));
	i.kind = ITEM_UPSTREAM;
	i.readable = true;
	g_strlcpy(i.name, e->id.c_str(), sizeof(i.name));
	g_strlcpy(i.upstream.id, e->id.c_str(), sizeof(i.upstream.id));
	g_strlcpy(i.upstream.service, e->service.c_str(),
		  sizeof(i.upstream.service));
	g_strlcpy(i.upstream.address, e->address.c_str(),
		  sizeof(i.upstream.address));
	g_strlcpy(i.upstream.zone, e->zone.c_str(), sizeof(i.upstream.zone));
	i.upstream.slots = opts.slots;
	i.upstream.leaving = e->leaving;
	i.upstream.role = strcmp(role, "primary") ? ROLE_REPLICA : ROLE_PRIMARY;
	i.upstream.started_ms = e->started_ms;
	e->listed = true;
	put_item("servers/" + e->id, i, 0);
}

void ProxyModel::write_entry(ProxyEndpoint *e)
{
	write_entry_with_role(e, e->primary ? "primary" : "replica");
}

void ProxyModel::remove_entry(ProxyEndpoint *e)
{
	e->listed = false;
	remove_item("servers/" + e->id);
}

/* Faults. */

ProxyEndpoint *ProxyModel::primary(int service)
{
	std::string name = "svc" + std::to_string(service);

	for (auto &e : endpoints) {
		if (e->service == name && e->primary)
			return e.get();
	}
	return nullptr;
}

ProxyEndpoint *ProxyModel::replica(int index, int service)
{
	std::string name = "svc" + std::to_string(service);

	for (auto &e : endpoints) {
		if (e->service == name && !e->primary && index-- == 0)
			return e.get();
	}
	return nullptr;
}

void ProxyModel::close_conn(const std::shared_ptr<ProxyConn> &c, int error)
{
	struct upstream_conn *engine_conn = c->engine_conn;

	c->open = false;
	c->pending_writes.clear();
	c->engine_conn = nullptr;
	c->node->conns.erase(c);
	if (c->endpoint)
		c->endpoint->conns.erase(c);
	if (engine_conn && c->node->engine)
		engine_conn_closed(engine_conn, error);
}

void ProxyModel::crash(ProxyEndpoint *e)
{
	auto conns = e->conns;

	e->alive = false;
	for (auto &c : conns)
		close_conn(c, -ECONNRESET);
	e->conns.clear();
}

void ProxyModel::make_unresponsive(ProxyEndpoint *e)
{
	e->unresponsive = true;
	e->alive = false;
}

void ProxyModel::restore(ProxyEndpoint *e)
{
	if (e->gone)
		return;
	e->alive = true;
	e->unresponsive = false;
	e->paused_below_term = 0;
	e->conns.clear();
	write_entry(e);
}

void ProxyModel::expire_entry(ProxyEndpoint *e)
{
	if (e->listed)
		remove_entry(e);
}

void ProxyModel::restart(ProxyEndpoint *e, int64_t off_us)
{
	int64_t started_ms = (now_us_ + off_us) / MS;

	crash(e);
	run_later(ENTRY_EXPIRY_US, [this, e] {
		if (!e->alive)
			expire_entry(e);
	});
	run_later(off_us, [this, e, started_ms] {
		e->started_ms = started_ms;
		restore(e);
	});
}

void ProxyModel::lose(ProxyEndpoint *e)
{
	crash(e);
	e->gone = true;
	e->log.clear();
	run_later(ENTRY_EXPIRY_US, [this, e] { expire_entry(e); });
}

ProxyEndpoint *ProxyModel::add_successor(ProxyEndpoint *e)
{
	auto n = std::make_unique<ProxyEndpoint>();

	n->id = e->id + "n";
	n->service = e->service;
	n->zone = e->zone;
	n->address = e->address;
	n->term = e->term;
	n->log = e->log;
	n->applied_count = n->log.size();
	n->started_ms = now_us_ / MS;
	n->slot_free_us.assign(opts.slots, 0);
	endpoints.push_back(std::move(n));
	return endpoints.back().get();
}

void ProxyModel::replace(ProxyEndpoint *e, int64_t off_us)
{
	crash(e);
	e->gone = true;
	expire_entry(e);
	run_later(off_us, [this, e] { write_entry(add_successor(e)); });
}

void ProxyModel::restart_with_new_id(ProxyEndpoint *e, int64_t off_us,
				     int64_t cut_us)
{
	crash(e);
	e->gone = true;
	run_later(off_us, [this, e, cut_us] {
		ProxyEndpoint *n = add_successor(e);

		n->primary = e->primary;
		e->primary = false;
		n->cut_nodes = e->cut_nodes;
		n->listed = false;
		cut_from_store(n, cut_us);
	});
}

void ProxyModel::cut_from_store(ProxyEndpoint *e, int64_t duration_us)
{
	if (e->gone || e->cut_from_store)
		return;
	e->cut_from_store = true;
	if (duration_us >= ENTRY_EXPIRY_US)
		run_later(ENTRY_EXPIRY_US, [this, e] { expire_entry(e); });
	run_later(duration_us, [this, e] {
		e->cut_from_store = false;
		if (e->alive)
			write_entry(e);
	});
}

void ProxyModel::set_leaving(ProxyEndpoint *e, bool leaving)
{
	e->leaving = leaving;
	write_entry(e);
}

void ProxyModel::silence_connections(ProxyEndpoint *e)
{
	for (auto &c : e->conns)
		c->silent = true;
}

void ProxyModel::withdraw_key(const std::string &key, bool beside)
{
	keys_.erase(key);
	withdrawn_us_.emplace(key, now_us_);
	put_config();
	if (beside) {
		struct store_item i = {};

		i.kind = ITEM_OTHER;
		i.revision = revision_;
		items_["op/audit"] = { i, 0 };
	}
}

void ProxyModel::set_limit(uint32_t rate_per_s, uint32_t burst)
{
	old_rate_per_s_ = std::max(old_rate_per_s_, rate_per_s_);
	old_burst_ = std::max(old_burst_, burst_);
	limit_changed_us_ = now_us_;
	rate_per_s_ = rate_per_s;
	burst_ = burst;
	put_config();
}

void ProxyModel::restart_all(int64_t off_us)
{
	for (auto &n : nodes)
		power_off(n.get());
	run(off_us);
	for (auto &n : nodes)
		start(n.get());
}

void ProxyModel::start_store_outage(int64_t duration_us, bool lose_answers,
				    bool lapse_leases)
{
	store_down_until_us_ = now_us_ + duration_us;
	store_loses_answers_ = lose_answers;
	leases_lapse_ = lapse_leases;
	for (auto &w : watches_)
		w.dead = w.number % 2;
	run_later(duration_us, [this] {
		if (leases_lapse_)
			expire_leases();
		leases_lapse_ = false;
		store_loses_answers_ = false;
		/*
		 * Leases do not expire during the outage and last for at least
		 * their time to live after it.
		 */
		for (auto &l : leases_)
			l.second.until_us = std::max(l.second.until_us,
						     now_us_ + l.second.ttl_us);
		answer_watches();
	});
}

void ProxyModel::delay_promotions(int64_t duration_us, int64_t delay_us)
{
	promotions_delayed_until_us_ = now_us_ + duration_us;
	promotion_delay_us_ = delay_us;
}

bool ProxyModel::is_link_cut(const ProxyNode &n, const ProxyEndpoint &e) const
{
	return e.unresponsive || e.cut_nodes.count(n.index) > 0;
}

/* Endpoints. */

void ProxyModel::deliver_line(const std::shared_ptr<ProxyConn> &c,
			      const std::string &line)
{
	c->last_arrival_us =
		std::max(c->last_arrival_us, now_us_ + NETWORK_DELAY_US);
	run_later(c->last_arrival_us - now_us_, [this, c, line] {
		if (c->silent) {
			/* The node closes it when its bytes get no TCP ACK. */
			run_later(600 * MS,
				  [this, c] { close_conn(c, -ETIMEDOUT); });
			return;
		}
		if (!c->open || !c->endpoint->alive ||
		    is_link_cut(*c->node, *c->endpoint))
			return;
		handle_endpoint_line(c, line);
	});
}

static unsigned reply_kind(const std::vector<std::string> &lines)
{
	if (lines.size() == 1)
		return REPLIES_STARTS;
	if (starts_with(lines[0], "ERROR"))
		return REPLIES_ERRORS;
	if (starts_with(lines[lines.size() - 2], "COMPLETE sig."))
		return REPLIES_SIGNED;
	return starts_with(lines[0], "ROW") ? REPLIES_REPORTS : REPLIES_OWN;
}

/* Puts the lines of a right answer in place of R, C and Y. */
std::vector<std::string>
ProxyModel::make_odd_answer(const std::vector<std::string> &lines) const
{
	std::vector<std::string> out;

	for (const std::string &line : odd_answer) {
		if (line == "R" && lines.size() > 2)
			out.push_back(lines[0]);
		else if (line == "C")
			out.push_back(lines[lines.size() - 2]);
		else if (line == "Y")
			out.push_back(lines.back());
		else if (line != "R")
			out.push_back(line);
	}
	return out;
}

void ProxyModel::send_reply(const std::shared_ptr<ProxyConn> &c,
			    std::vector<std::string> lines)
{
	const ProxyStutter &s = c->endpoint->stutter;
	uint64_t generation = c->node->generation;

	if (reply_kind(lines) == REPLIES_SIGNED && odd_answers > 0) {
		odd_answers--;
		lines = make_odd_answer(lines);
	}
	c->last_reply_us =
		std::max(c->last_reply_us, now_us_ + NETWORK_DELAY_US);
	run_later(c->last_reply_us - now_us_, [this, c, lines, generation] {
		if (!c->silent && !is_link_cut(*c->node, *c->endpoint))
			deliver_reply(c, lines, generation);
	});
	if ((s.kinds & reply_kind(lines)) && meets(s.percent)) {
		uint64_t range_us =
			(uint64_t)(s.delay_max_us - s.delay_min_us + 1);

		run_later(s.delay_min_us + (int64_t)(rand() % range_us),
			  [this, c, lines, generation] {
				  send_copy(c, lines, generation);
			  });
	}
}

/* Later replies of the connection arrive after the copy's last line. */
void ProxyModel::send_copy(const std::shared_ptr<ProxyConn> &c,
			   const std::vector<std::string> &lines,
			   uint64_t generation)
{
	int64_t gap_us = c->endpoint->stutter.gap_us;

	if (c->node->generation != generation)
		return;
	if (!c->open || !c->engine_conn || c->silent ||
	    is_link_cut(*c->node, *c->endpoint))
		return;
	copies_sent++;
	c->last_reply_us =
		std::max(c->last_reply_us, now_us_ + NETWORK_DELAY_US);
	if (!gap_us) {
		run_later(c->last_reply_us - now_us_,
			  [this, c, lines, generation] {
				  deliver_reply(c, lines, generation);
			  });
		return;
	}
	for (const std::string &line : lines) {
		run_later(c->last_reply_us - now_us_,
			  [this, c, line, generation] {
				  deliver_reply(c, { line }, generation);
			  });
		c->last_reply_us += gap_us;
	}
}

void ProxyModel::deliver_reply(const std::shared_ptr<ProxyConn> &c,
			       const std::vector<std::string> &lines,
			       uint64_t generation)
{
	if (c->node->generation != generation)
		return;
	if (opts.replies_keep_order) {
		c->unread.insert(c->unread.end(), lines.begin(), lines.end());
		read_replies(c, generation);
		return;
	}
	if (c->node->frozen && opts.frozen_nodes_read_nothing) {
		run_later(1 * MS, [this, c, lines, generation] {
			deliver_reply(c, lines, generation);
		});
		return;
	}
	for (const std::string &line : lines) {
		if (c->engine_conn && c->node->engine)
			engine_conn_line(c->engine_conn, line);
	}
}

/* Lines that arrive at a frozen node are read in their order after it. */
void ProxyModel::read_replies(const std::shared_ptr<ProxyConn> &c,
			      uint64_t generation)
{
	if (c->node->generation != generation)
		return;
	if (c->node->frozen && opts.frozen_nodes_read_nothing) {
		run_later(1 * MS, [this, c, generation] {
			read_replies(c, generation);
		});
		return;
	}
	while (c->engine_conn && c->node->engine && !c->unread.empty()) {
		std::string line = c->unread.front();

		c->unread.pop_front();
		engine_conn_line(c->engine_conn, line);
	}
}

/* Returns the position of the last log entry that reads see. */
ProxyPosition ProxyModel::get_visible_position(const ProxyEndpoint &e) const
{
	size_t n = e.primary ? e.log.size() :
			       std::min<size_t>(e.applied_count, e.log.size());

	return n ? ProxyPosition{ e.log[n - 1].term, e.log[n - 1].number } :
		   ProxyPosition{ 1, 0 };
}

std::string ProxyModel::format_ready_line(const ProxyConn &c) const
{
	ProxyPosition position = get_visible_position(*c.endpoint);

	return std::string("READY ") + c.state + " " +
	       std::to_string(position.term) + "." +
	       std::to_string(position.number);
}

bool ProxyModel::covers_position(const ProxyEndpoint &e, uint64_t term,
				 uint64_t number) const
{
	ProxyPosition position = get_visible_position(e);

	return position.term > term ||
	       (position.term == term && position.number >= number);
}

void ProxyModel::handle_endpoint_line(const std::shared_ptr<ProxyConn> &c,
				      const std::string &line)
{
	std::vector<std::string> w = split_words(line);
	ProxyEndpoint *e = c->endpoint;
	std::string text;

	if (c->busy) {
		c->queued_lines.push_back(line);
		return;
	}
	if (!c->startup_received) {
		c->startup_received = true;
		if (e->conns.size() > opts.conns_max) {
			send_reply(c, { "ERROR TOOMANY full" });
			run_later(2 * NETWORK_DELAY_US,
				  [this, c] { close_conn(c, 0); });
			return;
		}
		if (w.size() < 3 || w[1] != e->service ||
		    (w.size() > 3 && w[3] != e->id)) {
			send_reply(c, { "ERROR MISROUTED wrong" });
			run_later(2 * NETWORK_DELAY_US,
				  [this, c] { close_conn(c, 0); });
			return;
		}
		c->workspace = w[2];
		if (e->hung_starts)
			return;
		run_later(opts.handshake_duration_us, [this, c] {
			if (c->open)
				send_reply(c, { format_ready_line(*c) });
		});
		return;
	}
	if (w.size() < 3 || w[0] != "QUERY") {
		record_violation("an endpoint received a malformed line: " +
				 line);
		return;
	}
	text = line.substr(line.find(w[1]) + w[1].size() + 1);
	handle_statement(c, w[1], text);
}

/* Ends a statement and handles the lines that arrived while it ran. */
void ProxyModel::finish_statement(const std::shared_ptr<ProxyConn> &c)
{
	std::vector<std::string> lines;

	c->busy = false;
	lines.swap(c->queued_lines);
	for (const std::string &line : lines)
		handle_endpoint_line(c, line);
}

bool ProxyModel::execute_proxy_statement(const std::shared_ptr<ProxyConn> &c,
					 const std::string &text)
{
	std::vector<std::string> w = split_words(text);
	ProxyEndpoint *e = c->endpoint;

	if (w[0] == "RESET") {
		c->values.clear();
		c->prepared.clear();
	} else if (w[0] == "SET") {
		c->values[w[1]] =
			text.substr(text.find(w[1]) + w[1].size() + 1);
	} else if (w[0] == "PREPARE") {
		c->prepared[w[1]] = w[2] + " " + w[3];
	} else if (w[0] == "ROLLBACK") {
		c->state = 'I';
		c->pending_writes.clear();
	} else if (w[0] == "PAUSE" || w[0] == "RESUME" || w[0] == "DEMOTE" ||
		   w[0] == "STATUS") {
		uint64_t term = w.size() > 1 ? std::stoull(w[1]) : 0;
		ProxyPosition last = { 1, 0 };

		if (!e->log.empty())
			last = { e->log.back().term, e->log.back().number };

		if (w[0] == "PAUSE" && !e->primary && term > e->term)
			e->paused_below_term = term;
		if (w[0] == "RESUME")
			e->paused_below_term = 0;
		if (w[0] == "DEMOTE" && e->primary && term > e->term) {
			e->primary = false;
			e->applied_count = e->log.size();
			write_entry(e);
		}
		send_reply(c, { std::string("ROW ") +
					(e->primary ? "primary " : "replica ") +
					std::to_string(e->term) + " " +
					std::to_string(last.term) + "." +
					std::to_string(last.number) + " " +
					std::to_string(e->paused_below_term) +
					" 0 0 1",
				"COMPLETE -", format_ready_line(*c) });
		return true;
	} else {
		return false;
	}
	send_reply(c, { "COMPLETE -", format_ready_line(*c) });
	return true;
}

void ProxyModel::handle_statement(const std::shared_ptr<ProxyConn> &c,
				  const std::string &id, std::string text)
{
	ProxyEndpoint *e = c->endpoint;
	std::vector<std::string> w = split_words(text);
	auto refuse = [&](const char *code) {
		if (c->state == 'T')
			c->state = 'E';
		send_reply(c, { std::string("ERROR ") + code + " " + e->id,
				format_ready_line(*c) });
	};

	if (w[0] == "AFTER") {
		size_t dot = w[1].find('.');
		uint64_t term = std::stoull(w[1].substr(0, dot));
		uint64_t number = std::stoull(w[1].substr(dot + 1));

		text = text.substr(text.find(w[1]) + w[1].size() + 1);
		w = split_words(text);
		if (!covers_position(*e, term, number)) {
			refuse("LAGGING");
			return;
		}
	}
	if (id == "-" && w[0] != "BEGIN") {
		if (!execute_proxy_statement(c, text))
			record_violation("unknown statement of the proxy: " +
					 text);
		return;
	}
	if (w[0] == "BEGIN") {
		bool reads = w.size() > 1;

		if (!reads && !e->primary) {
			send_reply(c, { "ERROR READONLY " + e->id,
					format_ready_line(*c) });
			return;
		}
		c->state = 'T';
		c->read_only = reads;
		send_reply(c, { "COMPLETE -", format_ready_line(*c) });
		return;
	}
	if (c->state == 'E') {
		refuse("MALFORMED");
		return;
	}
	if (c->state == 'T' && !c->read_only && !e->primary) {
		refuse("READONLY");
		return;
	}
	bool writes = w[0] == "WRITE";

	if (w[0] == "EXECUTE") {
		if (!c->prepared.count(w[1])) {
			refuse("NOSTMT");
			return;
		}
		writes = starts_with(c->prepared[w[1]], "WRITE");
	}
	if (writes && (!e->primary || (c->state == 'T' && c->read_only))) {
		refuse("READONLY");
		return;
	}
	if (meets(e->busy_percent)) {
		refuse("BUSY");
		return;
	}
	execute_statement(c, id, text, writes);
}

/* Only the name of a prepared statement may differ. */
static bool is_same_statement(const std::string &sent, const std::string &ran)
{
	std::vector<std::string> sent_words = split_words(sent);
	std::vector<std::string> words = split_words(ran);

	if (sent_words.size() < 2 || words.size() < 2 ||
	    sent_words[0] != "EXECUTE")
		return sent == ran;
	return words[0] == "EXECUTE" &&
	       sent.substr(sent.find(sent_words[1]) + sent_words[1].size()) ==
		       ran.substr(ran.find(words[1]) + words[1].size());
}

void ProxyModel::check_executed(const std::shared_ptr<ProxyConn> &c,
				const std::string &id, const std::string &text)
{
	auto sent = sent_statements_.find(id);

	executed_count++;
	executed_at[c->endpoint->id]++;
	if (sent == sent_statements_.end()) {
		if (!allow_unasked)
			record_violation("UNASKED: " + id + " " + text);
		return;
	}
	const SentStatement &s = sent->second;
	std::vector<std::string> w = split_words(text);

	if (!is_same_statement(s.text, text))
		record_violation("UNASKED: sent '" + s.text + "' ran '" + text +
				 "'");
	if (w[0] == "EXECUTE" && s.caller) {
		std::vector<std::string> sent_words = split_words(s.text);
		const std::string &expected = s.prepared.at(sent_words[1]);

		if (c->prepared[w[1]] != expected)
			record_violation("PINNED: ran " + c->prepared[w[1]] +
					 " instead of " + expected);
	}
	if (c->values != s.values)
		record_violation("PINNED: wrong session values for " + id);
	auto withdrawn = withdrawn_us_.find(s.key);
	if (withdrawn != withdrawn_us_.end() &&
	    !starts_with(s.database, "open") &&
	    s.began_us > withdrawn->second + KEY_LIMIT_US)
		record_violation("CONFIG: executed with a withdrawn key: " +
				 id);
	if (!may_run_in(s, c->workspace)) {
		record_violation("UNASKED: workspace " + c->workspace +
				 " for " + s.key);
		return;
	}
	std::string workspace = find_limited_workspace(s, c->workspace);
	if (!workspace.empty() && counted_ids_.insert(id).second)
		executed_us_[workspace].push_back(now_us_);
}

/*
 * A session is of the workspace that holds its key. Only on a public route, and
 * only while no workspace holds the key, it is of none.
 */
bool ProxyModel::may_run_in(const SentStatement &s,
			    const std::string &workspace) const
{
	if (workspace == PUBLIC_WORKSPACE)
		return starts_with(s.database, "open") && !keys_.count(s.key);
	return s.key == KEY_PREFIX + workspace;
}

/*
 * Returns the workspace whose limit a statement counts for: that which the
 * endpoint was told, or that which held the key when the statement was sent; ""
 * if there is neither.
 */
std::string ProxyModel::find_limited_workspace(const SentStatement &s,
					       const std::string &told) const
{
	auto withdrawn = withdrawn_us_.find(s.key);

	if (told != PUBLIC_WORKSPACE)
		return told;
	return withdrawn != withdrawn_us_.end() &&
			       s.began_us <= withdrawn->second ?
		       s.key.substr(strlen(KEY_PREFIX)) :
		       "";
}

void ProxyModel::check_read(const std::shared_ptr<ProxyConn> &c,
			    const std::string &id)
{
	const ProxyEndpoint &e = *c->endpoint;
	const SentStatement &s = sent_statements_[id];
	size_t visible_count = e.primary ? e.log.size() : e.applied_count;
	std::set<uint64_t> log_numbers;
	int64_t bound = s.began_us;

	if (!e.primary)
		replica_reads++;
	for (size_t i = 0; i < visible_count && i < e.log.size(); i++)
		log_numbers.insert(e.log[i].number);
	if (!starts_with(s.database, "strict"))
		bound -= MAX_AGE_US;
	for (auto &a : acknowledged_us_[e.service]) {
		if (a.second < bound && !log_numbers.count(a.first))
			record_violation("STALE: " + s.database + " read " +
					 id + " at " + e.id + " lacks " +
					 std::to_string(a.first));
	}
	if (starts_with(s.database, "session") && s.own_commit &&
	    acknowledged_us_[e.service].count(s.own_commit) &&
	    !log_numbers.count(s.own_commit))
		record_violation("STALE: " + id +
				 " lacks the last write of its session");
}

std::string ProxyModel::sign(const std::string &id)
{
	return "COMPLETE sig." + id + "." + std::to_string(++last_signature_);
}

std::string ProxyModel::make_row(const std::string &id) const
{
	return "r." + id + row_end;
}

/* Returns true in so many percent of the calls. */
bool ProxyModel::meets(int percent)
{
	return percent && (int)(rand() % 100) < percent;
}

void ProxyModel::execute_statement(const std::shared_ptr<ProxyConn> &c,
				   const std::string &id,
				   const std::string &text, bool writes)
{
	ProxyEndpoint *e = c->endpoint;
	auto slot = std::min_element(e->slot_free_us.begin(),
				     e->slot_free_us.end());
	int64_t start = std::max(*slot, now_us_);

	*slot = start + opts.statement_duration_us * e->slow_factor;
	c->busy = true;
	e->reads += !writes;
	if (!writes && meets(e->hung_read_percent))
		return;
	run_later(*slot - now_us_, [this, c, id, text, writes, e] {
		bool commits = starts_with(text, "COMMIT");

		if (!e->alive || e->unresponsive || !c->open)
			return;
		if (!writes && meets(e->failed_read_percent)) {
			if (c->state == 'T')
				c->state = 'E';
			send_reply(c,
				   { "ERROR FAILED x", format_ready_line(*c) });
			finish_statement(c);
			return;
		}
		if (writes && !e->primary) {
			if (c->state == 'T')
				c->state = 'E';
			send_reply(c, { "ERROR READONLY x",
					format_ready_line(*c) });
			finish_statement(c);
			return;
		}
		if (c->state == 'T' && !c->read_only && !e->primary &&
		    !(commits && c->pending_writes.empty())) {
			c->state = 'E';
			send_reply(c, { "ERROR READONLY x",
					format_ready_line(*c) });
			finish_statement(c);
			return;
		}
		check_executed(c, id, text);
		if (commits) {
			bool has_writes = !c->pending_writes.empty();

			c->state = 'I';
			if (has_writes) {
				commit_writes(c, id);
				return;
			}
			send_reply(c, { sign(id), format_ready_line(*c) });
			finish_statement(c);
			return;
		}
		if (!writes)
			check_read(c, id);
		else if (c->state == 'I') {
			c->pending_writes = { id };
			commit_writes(c, id);
			return;
		} else {
			c->pending_writes.push_back(id);
		}
		if (writes)
			send_reply(c, { sign(id), format_ready_line(*c) });
		else
			send_reply(c, { "ROW " + make_row(id), sign(id),
					format_ready_line(*c) });
		finish_statement(c);
	});
}

void ProxyModel::commit_writes(const std::shared_ptr<ProxyConn> &c,
			       const std::string &id)
{
	ProxyEndpoint *e = c->endpoint;
	uint64_t number = ++last_log_number_;

	for (auto &w : c->pending_writes) {
		if (++commit_counts_[w] > 1)
			record_violation("TWICE: committed again: " + w);
		if (refused_.count(w))
			record_violation("REFUSED: " + w +
					 " was committed after " + refused_[w]);
	}
	c->pending_writes.clear();
	committed_ids_.insert(id);
	e->log.push_back({ e->term, number, id });
	unconfirmed_commits_.push_back({ c, id, number, e->service });
}

/*
 * Runs at each tick. Replicas receive the primary's log at once and apply it
 * after their lag; commits that a replica has received are confirmed.
 */
void ProxyModel::replicate()
{
	for (auto &p : endpoints) {
		if (!p->primary || !p->alive || p->unresponsive ||
		    p->cut_replication)
			continue;
		for (auto &r : endpoints) {
			if (r->service != p->service || r.get() == p.get() ||
			    !r->alive || r->unresponsive ||
			    r->cut_replication ||
			    r->paused_below_term > p->term)
				continue;
			if (r->log.size() < p->log.size())
				r->log.insert(r->log.end(),
					      p->log.begin() +
						      (long)r->log.size(),
					      p->log.end());
			r->term = p->term;
			size_t size = r->log.size();
			ProxyEndpoint *to = r.get();

			if (size > to->applied_count)
				run_later(to->lag_us, [to, size] {
					to->applied_count = std::max<uint64_t>(
						to->applied_count,
						std::min(size, to->log.size()));
				});
		}
	}
	for (size_t i = 0; i < unconfirmed_commits_.size();) {
		UnconfirmedCommit u = unconfirmed_commits_[i];
		bool on_replica = false;

		for (auto &r : endpoints) {
			if (r->service != u.service ||
			    r.get() == u.conn->endpoint)
				continue;
			for (auto &l : r->log)
				on_replica |= l.number == u.number;
		}
		if (!on_replica || !u.conn->endpoint->primary ||
		    !u.conn->endpoint->alive) {
			i++;
			continue;
		}
		unconfirmed_commits_.erase(unconfirmed_commits_.begin() +
					   (long)i);
		send_reply(u.conn, { sign(u.id), format_ready_line(*u.conn) });
		finish_statement(u.conn);
	}
}

bool ProxyModel::has_ended(const std::string &service,
			   const std::string &id) const
{
	for (auto &e : endpoints) {
		if (e->service == service && e->id == id)
			return !e->alive;
	}
	return true;
}

std::string ProxyModel::describe_holders(const std::string &service,
					 uint64_t number) const
{
	std::string out;

	for (auto &e : endpoints) {
		for (auto &l : e->log) {
			if (e->service != service || l.number != number)
				continue;
			out += "; in the log of " + e->id;
			out += e->primary ? ", primary" : "";
			out += e->gone ? ", ended" : !e->alive ? ", down" : "";
			out += e->listed ? "" : ", without an entry";
			out += e->paused_below_term ? ", paused" : "";
		}
	}
	return out;
}

void ProxyModel::promote_endpoint(const std::string &service,
				  const std::string &id)
{
	ProxyEndpoint *to = nullptr;
	uint64_t term = 0;
	std::set<uint64_t> log_numbers;

	for (auto &e : endpoints) {
		if (e->service != service)
			continue;
		term = std::max(term, e->term);
		if (e->id == id)
			to = e.get();
	}
	if (!to || !to->alive || to->primary)
		return;
	promotions++;
	for (auto &l : to->log)
		log_numbers.insert(l.number);
	auto &ack_times = acknowledged_us_[service];
	for (auto a = ack_times.begin(); a != ack_times.end();) {
		if (log_numbers.count(a->first)) {
			++a;
			continue;
		}
		record_violation("LOST: commit " + std::to_string(a->first) +
				 " is missing at promoted endpoint " + id +
				 describe_holders(service, a->first));
		a = ack_times.erase(a);
	}
	for (auto &e : endpoints) {
		if (e->service != service)
			continue;
		bool was_primary = e->primary;

		if (was_primary)
			e->applied_count = e->log.size();
		e->primary = e.get() == to;
		e->paused_below_term = 0;
		/* Log entries that the new primary lacks are removed. */
		if (e.get() != to && e->log.size() > to->log.size())
			e->log.resize(to->log.size());
		e->applied_count =
			std::min<uint64_t>(e->applied_count, e->log.size());
		if (was_primary && e->alive && !e->unresponsive && e->listed)
			write_entry(e.get());
	}
	to->term = term + 1;
	/* The first entry of a term belongs to no commit. */
	to->log.push_back({ to->term, ++last_log_number_, "" });
	to->applied_count = to->log.size();
	write_entry(to);
}

/* Callers. */

ProxyCaller *ProxyModel::connect(int node, const std::string &database,
				 const std::string &key)
{
	auto c = std::make_unique<ProxyCaller>();
	ProxyNode *n = nodes[node].get();

	c->node = n;
	c->database = database;
	c->key = key;
	if (n->engine) {
		c->session = engine_caller_opened(n->engine, c.get());
		n->callers.insert(c.get());
		engine_caller_line(c->session,
				   "STARTUP " + database + " " + key);
	} else {
		c->closed = true;
	}
	callers_.push_back(std::move(c));
	return callers_.back().get();
}

void ProxyModel::append_caller_lines(ProxyCaller *c, const char *bytes,
				     size_t len)
{
	for (const std::string &line : split_lines(bytes, len))
		c->lines.push_back(line);
}

void ProxyModel::send_statement(ProxyCaller *c, const std::string &text)
{
	std::string id = "q" + std::to_string(++last_statement_id_);

	if (!c->session)
		return;
	c->sent_us = now_us_;
	c->statement_id = id;
	c->statement_text = text;
	if (starts_with(text, "BEGIN"))
		c->transaction_began_us = now_us_;
	sent_statements_[id] = {
		c,
		c->transaction_began_us ? c->transaction_began_us : now_us_,
		text,
		c->database,
		c->key,
		c->own_commit,
		c->values,
		c->prepared
	};
	engine_caller_line(c->session, "QUERY " + id + " " + text);
}

bool ProxyModel::is_in_a_log(const std::string &write_id) const
{
	for (auto &e : endpoints) {
		for (auto &l : e->log) {
			if (l.write_id == write_id)
				return true;
		}
	}
	return false;
}

std::vector<std::string> ProxyModel::expected_rows(const ProxyCaller &c) const
{
	std::vector<std::string> w = split_words(c.statement_text);
	bool reads = w[0] == "READ";

	if (w[0] == "EXECUTE" && w.size() > 1 && c.prepared.count(w[1]))
		reads = starts_with(c.prepared.at(w[1]), "READ");
	if (!reads)
		return {};
	return { "ROW " + make_row(c.statement_id) };
}

ProxyAnswer ProxyModel::wait_for_answer(ProxyCaller *c, int64_t timeout_us)
{
	ProxyAnswer a;
	std::vector<std::string> w;
	std::string completed;
	std::string form; /* first letters of the last answer's lines */
	auto complete = [c] {
		return c->closed || (!c->lines.empty() &&
				     starts_with(c->lines.back(), "READY"));
	};

	a.answered = run_until(complete, timeout_us);
	a.closed = c->closed;
	a.took_us = now_us_ - c->sent_us;
	for (auto &line : c->lines) {
		w = split_words(line);
		w.resize(std::max<size_t>(w.size(), 2));
		if (!form.empty() && form.back() == 'D')
			form.clear();
		form += w[0] == "READY" ? 'D' : w[0][0];
		if (w[0] == "ROW")
			a.rows.push_back(line);
		if (w[0] == "COMPLETE") {
			a.ok = true;
			completed = w[1];
		}
		if (w[0] == "ERROR") {
			a.code = w[1];
			a.text = line;
		}
		if (w[0] == "READY") {
			a.state = w[1][0];
			if (!c->started)
				form.clear();
			c->started = true;
		}
	}
	c->lines.clear();
	if (!c->statement_id.empty()) {
		const std::string &id = c->statement_id;
		const std::string &text = c->statement_text;
		bool has_result = starts_with(text, "READ") ||
				  starts_with(text, "WRITE") ||
				  starts_with(text, "COMMIT") ||
				  starts_with(text, "EXECUTE");

		answers[a.ok ? "ok" : a.code.empty() ? "none" : a.code]++;
		if (a.ok && has_result &&
		    !starts_with(completed, ("sig." + id + ".").c_str()))
			record_violation("MIXED: " + completed + " answers " +
					 id);
		if (!form.empty() && form.back() == 'D' &&
		    form.find_first_not_of('R') != form.size() - 2)
			record_violation("MIXED: the lines " + form +
					 " answer " + id);
		if (a.ok && a.rows != expected_rows(*c))
			record_violation(
				"MIXED: " + std::to_string(a.rows.size()) +
				" rows answer " + id + ": " +
				(a.rows.empty() ? "" : a.rows[0]));
		if (a.ok && starts_with(text, "SET")) {
			w = split_words(text);
			c->values[w[1]] =
				text.substr(text.find(w[1]) + w[1].size() + 1);
		}
		if (a.ok && starts_with(text, "PREPARE")) {
			w = split_words(text);
			c->prepared[w[1]] = w[2] + " " + w[3];
		}
		if (is_refusal(a.code)) {
			if (commit_counts_.count(id))
				record_violation(
					"REFUSED: " + id +
					" was committed but answered " +
					a.code);
			refused_[id] = a.code;
		}
		if (a.ok && committed_ids_.count(id) && !is_in_a_log(id))
			record_violation("LOST: " + id +
					 " was acknowledged and is in no log");
		if (a.ok && commit_counts_.count(id) &&
		    starts_with(text, "WRITE") && !c->transaction_began_us) {
			for (auto &e : endpoints) {
				for (auto &l : e->log) {
					if (l.write_id != id)
						continue;
					acknowledged_us_[e->service][l.number] =
						now_us_;
					c->own_commit = l.number;
				}
			}
			acknowledged++;
		}
		if (a.ok && starts_with(text, "COMMIT")) {
			for (auto &e : endpoints) {
				for (auto &l : e->log) {
					if (l.write_id != id)
						continue;
					acknowledged_us_[e->service][l.number] =
						now_us_;
					c->own_commit = l.number;
				}
			}
			acknowledged++;
		}
		if (a.state == 'I')
			c->transaction_began_us = 0;
		c->statement_id.clear();
	}
	return a;
}

ProxyAnswer ProxyModel::run_statement(ProxyCaller *c, const std::string &text,
				      int64_t timeout_us)
{
	if (!c->started || !c->statement_id.empty() || !c->lines.empty())
		wait_for_answer(c, 100 * MS);
	send_statement(c, text);
	return wait_for_answer(c, timeout_us);
}

void ProxyModel::disconnect(ProxyCaller *c)
{
	struct session *s = c->session;

	if (!s)
		return;
	c->session = nullptr;
	c->closed = true;
	c->node->callers.erase(c);
	engine_caller_closed(s);
}

void ProxyModel::check_quota()
{
	uint32_t rate = std::max(rate_per_s_, old_rate_per_s_);
	uint32_t burst = std::max(burst_, old_burst_);
	int64_t old_limit_until_us =
		limit_changed_us_ + 3 * S + QUOTA_WINDOW_US;

	for (auto &r : executed_us_) {
		auto &t = r.second;

		for (size_t i = 0, j = 0; i < t.size(); i++) {
			bool old_limit_ended =
				limit_changed_us_ && t[j] > old_limit_until_us;

			while (t[i] - t[j] >= QUOTA_WINDOW_US)
				j++;
			old_limit_ended =
				limit_changed_us_ && t[j] > old_limit_until_us;
			double max_count =
				((old_limit_ended ? rate_per_s_ : rate) * 5.0 +
				 (old_limit_ended ? burst_ : burst)) *
					1.1 +
				QUOTA_SLACK;
			if ((double)(i - j + 1) > max_count) {
				record_violation("QUOTA: " + r.first +
						 " ran too many in a window: " +
						 std::to_string(i - j + 1));
				break;
			}
		}
	}
}
