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
constexpr int64_t WIRE_US = 500; /* one way */
constexpr int64_t STORE_US = 4 * MS;
constexpr int64_t TICK_US = 5 * MS;
constexpr int64_t KEY_LIMIT_US = 5 * S;
constexpr int64_t MAX_AGE_US = 1500 * MS;
/* A dead machine's connections are dropped by endpoints after this. */
constexpr int64_t LINGER_US = 3 * S;
constexpr int64_t QUOTA_WINDOW_US = 5 * S;
constexpr uint32_t QUOTA_SLACK = 20;
const char DUTY_KEY[] = "duty";

std::vector<std::string> words(const std::string &text)
{
	std::istringstream in(text);
	std::vector<std::string> out;
	std::string w;

	while (in >> w)
		out.push_back(w);
	return out;
}

bool begins(const std::string &text, const char *with)
{
	return text.compare(0, strlen(with), with) == 0;
}

bool is_promise(const std::string &code)
{
	return code == "BUSY" || code == "ABORTED" || code == "LAGGING" ||
	       code == "READONLY" || code == "MISROUTED" || code == "TOOMANY";
}

} // namespace

/* One node's way to the store and to promotions. */
struct ProxyStore {
	struct store head; /* first */
	struct promoter promoter;
	ProxyModel *model;
	int node;

	static ProxyStore *of(struct store *s)
	{
		return reinterpret_cast<ProxyStore *>(s);
	}

	static ProxyStore *of(struct promoter *p)
	{
		return reinterpret_cast<ProxyStore *>(
			reinterpret_cast<char *>(p) -
			offsetof(ProxyStore, promoter));
	}

	uint64_t life() const
	{
		return model->nodes[node]->life;
	}

	bool fails(store_answer_fn fn, void *data)
	{
		ProxyNode *n = model->nodes[node].get();
		struct store_answer a = {};

		a.requested_us = model->now();
		a.outcome = STORE_UNKNOWN;
		if (model->reachable(*n))
			return false;
		model->answer(node, life(), fn, data, a, {}, 1 * S);
		return true;
	}

	static void list(struct store *s, const char *after, store_answer_fn fn,
			 void *data)
	{
		ProxyStore *st = of(s);
		struct store_answer a = {};
		std::vector<struct store_item> items;

		if (st->fails(fn, data))
			return;
		a.revision = st->model->revision_;
		a.requested_us = st->model->now();
		for (auto &i : st->model->items_)
			items.push_back(i.second.value);
		/* As the platform's keys are sorted. */
		std::stable_partition(items.begin(), items.end(),
				      [](const struct store_item &i) {
					      return i.kind == ITEM_CONFIG;
				      });
		st->model->answer(st->node, st->life(), fn, data, a, items,
				  STORE_US);
	}

	static void watch(struct store *s, int64_t after, int64_t wait_us,
			  store_answer_fn fn, void *data)
	{
		ProxyStore *st = of(s);
		ProxyModel *m = st->model;
		uint64_t number = ++m->last_watch_;

		if (st->fails(fn, data))
			return;
		m->watches_.push_back({ st->node, st->life(), after, fn, data,
					m->now(), number, false });
		m->at(wait_us, [m, number] {
			for (auto &w : m->watches_) {
				if (w.number == number)
					w.after = -1 - w.after;
			}
			m->wake_watches();
		});
		m->at(STORE_US, [m] { m->wake_watches(); });
	}

	static void probe(struct store *s, store_answer_fn fn, void *data)
	{
		ProxyStore *st = of(s);
		struct store_answer a = {};

		if (st->fails(fn, data))
			return;
		a.requested_us = st->model->now();
		a.revision = st->model->revision_;
		if (st->model->store_loses_ &&
		    st->model->now() < st->model->store_down_until_us_)
			a.outcome = STORE_UNKNOWN;
		st->model->answer(st->node, st->life(), fn, data, a, {},
				  STORE_US);
	}

	static void change(struct store *s, const struct store_change *c,
			   store_answer_fn fn, void *data)
	{
		ProxyStore *st = of(s);
		ProxyModel *m = st->model;
		struct store_answer a = {};
		auto duty = m->items_.find(DUTY_KEY);
		int64_t held = duty == m->items_.end() ?
				       0 :
				       duty->second.value.revision;
		struct store_item i;

		if (st->fails(fn, data))
			return;
		a.requested_us = m->now();
		auto own = m->items_.find(
			"instance/" +
			std::string(c->instance ? c->instance : ""));
		int64_t own_revision =
			own == m->items_.end() ? 0 : own->second.value.revision;
		if ((c->lease && !m->leases_.count(c->lease)) ||
		    (c->if_instance && c->instance_revision != own_revision) ||
		    (c->if_duty && c->duty_revision != held)) {
			a.outcome = STORE_REFUSED;
			m->answer(st->node, st->life(), fn, data, a, {},
				  STORE_US);
			return;
		}
		if (c->put_instance) {
			memset(&i, 0, sizeof(i));
			i.kind = ITEM_INSTANCE;
			i.readable = true;
			i.instance = *c->put_instance;
			g_strlcpy(i.name, c->instance, sizeof(i.name));
			m->put("instance/" + std::string(c->instance), i,
			       c->lease);
		}
		if (c->put_duty) {
			memset(&i, 0, sizeof(i));
			i.kind = ITEM_DUTY;
			i.readable = true;
			i.duty = *c->put_duty;
			m->put(DUTY_KEY, i, c->lease);
		}
		if (c->put_choice) {
			memset(&i, 0, sizeof(i));
			i.kind = ITEM_CHOICE;
			i.readable = true;
			i.choice = *c->put_choice;
			g_strlcpy(i.name, c->service, sizeof(i.name));
			m->put("choice/" + std::string(c->service), i, 0);
		}
		a.revision = m->revision_;
		if (m->store_loses_ && m->now() < m->store_down_until_us_)
			a.outcome = STORE_UNKNOWN;
		m->answer(st->node, st->life(), fn, data, a, {}, STORE_US);
	}

	static void lease(struct store *s, int64_t ttl_us, store_answer_fn fn,
			  void *data)
	{
		ProxyStore *st = of(s);
		ProxyModel *m = st->model;
		struct store_answer a = {};

		if (st->fails(fn, data))
			return;
		a.requested_us = m->now();
		a.lease = ++m->last_lease_;
		a.ttl_us = ttl_us;
		m->leases_[a.lease] = { ttl_us, m->now() + ttl_us };
		m->answer(st->node, st->life(), fn, data, a, {}, STORE_US);
	}

	static void renew(struct store *s, uint64_t id, store_answer_fn fn,
			  void *data)
	{
		ProxyStore *st = of(s);
		ProxyModel *m = st->model;
		struct store_answer a = {};

		if (st->fails(fn, data))
			return;
		a.requested_us = m->now();
		if (m->leases_.count(id)) {
			m->leases_[id].until_us =
				m->now() + m->leases_[id].ttl_us;
			a.ttl_us = m->leases_[id].ttl_us;
		} else {
			a.outcome = STORE_REFUSED;
		}
		m->answer(st->node, st->life(), fn, data, a, {}, STORE_US);
	}

	static void end_lease(struct store *s, uint64_t id, store_answer_fn fn,
			      void *data)
	{
		ProxyStore *st = of(s);

		if (st->fails(fn, data))
			return;
		if (st->model->leases_.count(id))
			st->model->leases_[id].until_us = st->model->now();
		st->model->expire_leases();
	}

	static void order(struct promoter *p, const struct promotion_order *o,
			  promotion_answer_fn fn, void *data)
	{
		ProxyStore *st = of(p);
		ProxyModel *m = st->model;
		std::string service = o->service;
		std::string id = o->endpoint;
		uint64_t token = o->token;
		uint64_t life = st->life();
		int node = st->node;
		bool lost = m->now() < m->promotions_lost_until_us_;
		enum promotion_outcome outcome = PROMOTION_ORDERED;
		auto carry_out = [m, service, id, token] {
			uint64_t &highest = m->tokens_[service];

			if (token < highest)
				return false;
			highest = token;
			m->at(m->opts.promote_us,
			      [m, service, id] { m->promote(service, id); });
			return true;
		};

		if (lost)
			m->at(m->promotions_late_us_,
			      [carry_out] { carry_out(); });
		else if (!carry_out())
			outcome = PROMOTION_REFUSED;
		if (lost)
			outcome = PROMOTION_UNKNOWN;
		m->at(lost ? 1 * S : STORE_US, [=] {
			if (m->nodes[node]->life == life &&
			    m->nodes[node]->engine)
				fn(data, outcome);
		});
	}
};

static const struct store_ops model_store_ops = {
	ProxyStore::list,      ProxyStore::watch, ProxyStore::probe,
	ProxyStore::change,    ProxyStore::lease, ProxyStore::renew,
	ProxyStore::end_lease,
};

static const struct promoter_ops model_promoter_ops = { ProxyStore::order };

/* What an engine asks of its process. */
struct ProxyHost {
	static ProxyNode *node(void *host)
	{
		return static_cast<ProxyNode *>(host);
	}

	static void caller_send(void *host, void *caller, const char *bytes,
				size_t len)
	{
		node(host)->model->caller_lines(static_cast<ProxyCaller *>(
							caller),
						bytes, len);
	}

	static void caller_close(void *host, void *caller)
	{
		ProxyCaller *c = static_cast<ProxyCaller *>(caller);

		c->session = nullptr;
		c->closed = true;
		c->node->callers.erase(c);
	}

	static void *conn_open(void *host, const char *address,
			       struct upstream_conn *owner)
	{
		ProxyNode *n = node(host);
		ProxyModel *m = n->model;
		auto c = std::make_shared<ProxyConn>();

		c->node = n;
		c->owner = owner;
		for (auto &e : m->endpoints) {
			if (e->address == address)
				c->endpoint = e.get();
		}
		n->conns.insert(c);
		m->at(2 * WIRE_US, [m, c, n] {
			ProxyEndpoint *e = c->endpoint;

			if (!c->owner || !e || e->dark ||
			    m->link_is_cut(*n, *e))
				return;
			if (!e->alive) {
				m->close_conn(c, -ECONNREFUSED);
				return;
			}
			c->open = true;
			e->conns.insert(c);
			engine_conn_opened(c->owner);
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
		std::istringstream in(std::string(bytes, len));
		std::string line;

		while (c && std::getline(in, line)) {
			if (!line.empty() && line.back() == '\r')
				line.pop_back();
			n->model->deliver(c, line);
		}
	}

	static void conn_close(void *host, void *conn)
	{
		ProxyNode *n = node(host);
		auto c = find(n, conn);

		if (!c)
			return;
		c->owner = nullptr;
		n->conns.erase(c);
		n->model->at(WIRE_US, [c] {
			/* The endpoint rolls back what was open. */
			c->open = false;
			c->pending.clear();
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
		copy.incarnation = n->life;
		m->at(WIRE_US, [m, copy, to] {
			for (auto &o : m->nodes) {
				if (o->name == to && o->engine && !o->frozen)
					engine_peer_message(o->engine, &copy);
			}
		});
	}

	static void log(void *host, const struct log_entry *e)
	{
		ProxyNode *n = node(host);

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
};

/* Construction. */

ProxyModel::ProxyModel(const ProxyModelOpts &o)
    : rand(o.seed), opts(o), rate_per_s_(o.rate_per_s), burst_(o.burst)
{
	for (int s = 0; s < opts.services; s++) {
		for (int i = 0; i < opts.copies; i++) {
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
		publish(e.get());
	for (int i = 0; i < opts.nodes; i++) {
		auto n = std::make_unique<ProxyNode>();
		auto st = std::make_unique<ProxyStore>();

		n->model = this;
		n->index = i;
		n->name = "n" + std::to_string(i);
		n->zone = "z" + std::to_string(i % 3);
		st->head.ops = &model_store_ops;
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
	o.store = &stores_[n->index]->head;
	o.promoter = &stores_[n->index]->promoter;
	n->metrics = metrics_new();
	o.metrics = n->metrics;
	g_strlcpy(o.instance, n->name.c_str(), sizeof(o.instance));
	g_strlcpy(o.zone, n->zone.c_str(), sizeof(o.zone));
	g_strlcpy(o.peer_address, "10.1.0.1:1", sizeof(o.peer_address));
	o.incarnation = ++n->life * 1000 + n->index + 1;
	o.seed = opts.seed * 100 + n->index;
	o.key_limit_us = KEY_LIMIT_US;
	o.grace_us = 6 * S;
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
	n->life++;
	n->engine = nullptr;
	engine_free(e);
	metrics_free(n->metrics);
	for (ProxyCaller *c : std::set<ProxyCaller *>(n->callers)) {
		c->session = nullptr;
		c->closed = true;
	}
	n->callers.clear();
	n->conns.clear();
}

void ProxyModel::power_off(ProxyNode *n)
{
	/* The endpoints do not hear of it before they lose patience. */
	auto conns = n->conns;

	for (auto &c : conns)
		c->owner = nullptr;
	n->conns.clear();
	kill(n);
	at(LINGER_US, [conns] {
		for (auto &c : conns) {
			c->open = false;
			c->pending.clear();
			if (c->endpoint)
				c->endpoint->conns.erase(c);
		}
	});
}

/* Time. */

void ProxyModel::at(int64_t delay_us, std::function<void()> fn)
{
	events_.emplace(now_us_ + delay_us, std::move(fn));
}

void ProxyModel::tick(ProxyNode *n)
{
	if (n->engine && !n->frozen)
		engine_tick(n->engine);
}

void ProxyModel::step()
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
	replicate();
	for (auto &n : nodes)
		tick(n.get());
}

void ProxyModel::run(int64_t for_us)
{
	int64_t end = now_us_ + for_us;

	while (now_us_ < end)
		step();
}

bool ProxyModel::run_until(const std::function<bool()> &done,
			   int64_t at_most_us)
{
	int64_t end = now_us_ + at_most_us;

	while (!done() && now_us_ < end)
		step();
	return done();
}

void ProxyModel::violate(const std::string &what)
{
	if (violations.size() < 20)
		violations.push_back(std::to_string(now_us_ / MS) +
				     " ms: " + what);
}

/* Store. */

struct fleet_config *ProxyModel::build_config() const
{
	struct fleet_config *c = fleet_config_new();
	static const struct {
		const char *name;
		enum freshness freshness;
		bool open;
	} kinds[] = {
		{ "strict", FRESH_STRICT, false },
		{ "bounded", FRESH_BOUNDED, false },
		{ "session", FRESH_SESSION, false },
		{ "open", FRESH_BOUNDED, true },
	};
	static const char *const names[] = { "a", "b", "c" };

	c->version = config_version_;
	c->transaction_idle_us = 3 * S;
	for (int s = 0; s < opts.services; s++) {
		struct service_config *sc = g_new0(struct service_config, 1);
		std::string suffix = s ? std::to_string(s) : "";

		sc->name = g_strdup(("svc" + std::to_string(s)).c_str());
		sc->conns_max = opts.conns_max;
		sc->confirms_writes = true;
		fleet_config_add_service(c, sc);
		for (auto &k : kinds) {
			struct route *r = g_new0(struct route, 1);

			r->database = g_strdup((k.name + suffix).c_str());
			r->service = g_strdup(sc->name);
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
	for (const char *name : names) {
		struct workspace_config *w = g_new0(struct workspace_config, 1);
		std::string key = std::string("key-") + name;

		w->name = g_strdup(name);
		w->rate_milli_per_s =
			opts.unlimited ? UINT32_MAX : rate_per_s_ * 1000;
		w->burst_milli = burst_ * 1000;
		fleet_config_add_workspace(c, w);
		if (keys_.count(key))
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
	put("op/config", i, 0);
}

void ProxyModel::put(const std::string &key, struct store_item value,
		     uint64_t lease)
{
	value.revision = ++revision_;
	items_[key] = { value, lease };
	at(1 * MS, [this] { wake_watches(); });
}

void ProxyModel::remove_key(const std::string &key)
{
	struct store_item gone = items_[key].value;

	gone.revision = ++revision_;
	gone.removed = true;
	gone.config = nullptr;
	removals_.push_back(gone);
	items_.erase(key);
	at(1 * MS, [this] { wake_watches(); });
}

void ProxyModel::expire_leases()
{
	std::vector<std::string> gone;

	if (now_us_ < store_down_until_us_)
		return;
	for (auto l = leases_.begin(); l != leases_.end();) {
		if (now_us_ < l->second.until_us) {
			++l;
			continue;
		}
		for (auto &i : items_) {
			if (i.second.lease == l->first)
				gone.push_back(i.first);
		}
		l = leases_.erase(l);
	}
	for (auto &k : gone)
		remove_key(k);
}

bool ProxyModel::reachable(const ProxyNode &n) const
{
	return !n.cut_from_store &&
	       (store_loses_ || now_us_ >= store_down_until_us_);
}

void ProxyModel::answer(int node, uint64_t life, store_answer_fn fn, void *data,
			struct store_answer a,
			std::vector<struct store_item> items, int64_t delay_us)
{
	at(delay_us, [this, node, life, fn, data, a, items]() mutable {
		ProxyNode *n = nodes[node].get();

		if (n->life != life || !n->engine)
			return;
		if (n->cut_from_store) {
			items.clear();
			a.outcome = STORE_UNKNOWN;
		}
		for (auto &i : items) {
			if (i.kind == ITEM_CONFIG && !i.removed)
				i.config = build_config();
		}
		a.items = items.data();
		a.item_count = (uint32_t)items.size();
		fn(data, &a);
		for (auto &i : items)
			store_item_clear(&i);
	});
}

void ProxyModel::wake_watches()
{
	std::vector<Watch> left;
	std::vector<Watch> all;

	all.swap(watches_);
	for (auto &w : all) {
		bool expired = w.after < 0;
		int64_t after = expired ? -1 - w.after : w.after;
		std::vector<struct store_item> items;
		struct store_answer a = {};

		if (w.life != nodes[w.node]->life)
			continue;
		if (w.dead || !reachable(*nodes[w.node])) {
			a.outcome = STORE_UNKNOWN;
			a.requested_us = w.asked_us;
			if (expired)
				answer(w.node, w.life, w.fn, w.data, a, {}, 0);
			else
				left.push_back(w);
			continue;
		}
		for (auto &i : items_) {
			if (i.second.value.revision > after)
				items.push_back(i.second.value);
		}
		for (auto &r : removals_) {
			if (r.revision > after)
				items.push_back(r);
		}
		if (items.empty() && !expired) {
			left.push_back(w);
			continue;
		}
		std::sort(items.begin(), items.end(),
			  [](const store_item &x, const store_item &y) {
				  return x.revision < y.revision;
			  });
		a.revision = revision_;
		a.requested_us = w.asked_us;
		answer(w.node, w.life, w.fn, w.data, a, items, WIRE_US);
	}
	watches_.insert(watches_.end(), left.begin(), left.end());
}

void ProxyModel::publish_as(ProxyEndpoint *e, const char *role)
{
	struct store_item i;

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
	i.upstream.started_ms = 1;
	e->listed = true;
	put("servers/" + e->id, i, 0);
}

void ProxyModel::publish(ProxyEndpoint *e)
{
	publish_as(e, e->primary ? "primary" : "replica");
}

void ProxyModel::unlist(ProxyEndpoint *e)
{
	e->listed = false;
	remove_key("servers/" + e->id);
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
	struct upstream_conn *owner = c->owner;

	c->open = false;
	c->pending.clear();
	c->owner = nullptr;
	c->node->conns.erase(c);
	if (c->endpoint)
		c->endpoint->conns.erase(c);
	if (owner && c->node->engine)
		engine_conn_closed(owner, error);
}

void ProxyModel::crash(ProxyEndpoint *e)
{
	auto conns = e->conns;

	e->alive = false;
	for (auto &c : conns)
		close_conn(c, -ECONNRESET);
	e->conns.clear();
}

void ProxyModel::go_dark(ProxyEndpoint *e)
{
	e->dark = true;
	e->alive = false;
}

void ProxyModel::bring_back(ProxyEndpoint *e)
{
	e->alive = true;
	e->dark = false;
	e->held_term = 0;
	e->conns.clear();
	publish(e);
}

void ProxyModel::set_leaving(ProxyEndpoint *e, bool leaving)
{
	e->leaving = leaving;
	publish(e);
}

void ProxyModel::silence_conns(ProxyEndpoint *e)
{
	for (auto &c : e->conns)
		c->silent = true;
}

void ProxyModel::revoke_key(const std::string &key)
{
	keys_.erase(key);
	revoked_us_[key] = now_us_;
	put_config();
}

void ProxyModel::set_limit(uint32_t rate_per_s, uint32_t burst)
{
	rate_before_ = std::max(rate_before_, rate_per_s_);
	burst_before_ = std::max(burst_before_, burst_);
	lowered_us_ = now_us_;
	rate_per_s_ = rate_per_s;
	burst_ = burst;
	put_config();
}

void ProxyModel::restart_all(int64_t dark_us)
{
	for (auto &n : nodes)
		power_off(n.get());
	run(dark_us);
	for (auto &n : nodes)
		start(n.get());
}

void ProxyModel::store_down(int64_t for_us, bool lose_answers)
{
	store_down_until_us_ = now_us_ + for_us;
	store_loses_ = lose_answers;
	for (auto &w : watches_)
		w.dead = w.number % 2;
	at(for_us, [this] {
		store_loses_ = false;
		/* Leases paused: they run on from here. */
		for (auto &l : leases_)
			l.second.until_us = std::max(l.second.until_us,
						     now_us_ + l.second.ttl_us);
		wake_watches();
	});
}

void ProxyModel::lose_promotions(int64_t for_us, int64_t late_us)
{
	promotions_lost_until_us_ = now_us_ + for_us;
	promotions_late_us_ = late_us;
}

bool ProxyModel::link_is_cut(const ProxyNode &n, const ProxyEndpoint &e) const
{
	return e.dark || e.cut_nodes.count(n.index) > 0;
}

/* Endpoints. */

void ProxyModel::deliver(const std::shared_ptr<ProxyConn> &c,
			 const std::string &line)
{
	c->arrive_us = std::max(c->arrive_us, now_us_ + WIRE_US);
	at(c->arrive_us - now_us_, [this, c, line] {
		if (c->silent) {
			/* Bytes that nobody acknowledges end it. */
			at(600 * MS, [this, c] { close_conn(c, -ETIMEDOUT); });
			return;
		}
		if (!c->open || !c->endpoint->alive ||
		    link_is_cut(*c->node, *c->endpoint))
			return;
		endpoint_line(c, line);
	});
}

void ProxyModel::reply(const std::shared_ptr<ProxyConn> &c,
		       const std::string &lines)
{
	uint64_t life = c->node->life;

	at(WIRE_US, [this, c, lines, life] {
		std::istringstream in(lines);
		std::string line;

		if (c->silent || link_is_cut(*c->node, *c->endpoint) ||
		    c->node->life != life)
			return;
		while (c->owner && c->node->engine && std::getline(in, line))
			engine_conn_line(c->owner, line.c_str());
	});
}

/* The last entry that reads at the endpoint see. */
ProxyPosition ProxyModel::seen(const ProxyEndpoint &e) const
{
	size_t n = e.primary ? e.log.size() :
			       std::min<size_t>(e.applied, e.log.size());

	return n ? ProxyPosition{ e.log[n - 1].term, e.log[n - 1].number } :
		   ProxyPosition{ 1, 0 };
}

std::string ProxyModel::ready(const ProxyConn &c) const
{
	ProxyPosition at = seen(*c.endpoint);

	return std::string("READY ") + c.state + " " + std::to_string(at.term) +
	       "." + std::to_string(at.number);
}

bool ProxyModel::covers(const ProxyEndpoint &e, uint64_t term,
			uint64_t number) const
{
	ProxyPosition at = seen(e);

	return at.term > term || (at.term == term && at.number >= number);
}

void ProxyModel::endpoint_line(const std::shared_ptr<ProxyConn> &c,
			       const std::string &line)
{
	std::vector<std::string> w = words(line);
	ProxyEndpoint *e = c->endpoint;
	std::string rest;

	if (c->busy) {
		c->queue.push_back(line);
		return;
	}
	if (!c->started) {
		c->started = true;
		if (e->conns.size() > opts.conns_max) {
			reply(c, "ERROR TOOMANY full");
			at(2 * WIRE_US, [this, c] { close_conn(c, 0); });
			return;
		}
		if (w.size() < 4 || w[1] != e->service || w[3] != e->id) {
			reply(c, "ERROR MISROUTED wrong");
			at(2 * WIRE_US, [this, c] { close_conn(c, 0); });
			return;
		}
		c->workspace = w[2];
		at(opts.handshake_us, [this, c] {
			if (c->open)
				reply(c, ready(*c));
		});
		return;
	}
	if (w.size() < 3 || w[0] != "QUERY") {
		violate("an endpoint cannot read: " + line);
		return;
	}
	rest = line.substr(line.find(w[1]) + w[1].size() + 1);
	statement(c, w[1], rest);
}

/* Takes the lines that came while a statement ran. */
void ProxyModel::end_statement(const std::shared_ptr<ProxyConn> &c)
{
	std::vector<std::string> lines;

	c->busy = false;
	lines.swap(c->queue);
	for (const std::string &line : lines)
		endpoint_line(c, line);
}

bool ProxyModel::own_statement(const std::shared_ptr<ProxyConn> &c,
			       const std::string &text)
{
	std::vector<std::string> w = words(text);
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
		c->pending.clear();
	} else if (w[0] == "PAUSE" || w[0] == "RESUME" || w[0] == "DEMOTE" ||
		   w[0] == "STATUS") {
		uint64_t term = w.size() > 1 ? std::stoull(w[1]) : 0;
		ProxyPosition last = { 1, 0 };

		if (!e->log.empty())
			last = { e->log.back().term, e->log.back().number };

		if (w[0] == "PAUSE" && !e->primary && term > e->term)
			e->held_term = term;
		if (w[0] == "RESUME")
			e->held_term = 0;
		if (w[0] == "DEMOTE" && e->primary && term > e->term) {
			e->primary = false;
			e->applied = e->log.size();
			publish(e);
		}
		reply(c, std::string("ROW ") +
				 (e->primary ? "primary " : "replica ") +
				 std::to_string(e->term) + " " +
				 std::to_string(last.term) + "." +
				 std::to_string(last.number) + " " +
				 std::to_string(e->held_term) + " 0 0 1\n" +
				 "COMPLETE -\n" + ready(*c));
		return true;
	} else {
		return false;
	}
	reply(c, "COMPLETE -\n" + ready(*c));
	return true;
}

void ProxyModel::statement(const std::shared_ptr<ProxyConn> &c,
			   const std::string &id, std::string text)
{
	ProxyEndpoint *e = c->endpoint;
	std::vector<std::string> w = words(text);
	auto refuse = [&](const char *code) {
		if (c->state == 'T')
			c->state = 'E';
		reply(c, std::string("ERROR ") + code + " " + e->id + "\n" +
				 ready(*c));
	};

	if (w[0] == "AFTER") {
		size_t dot = w[1].find('.');
		uint64_t term = std::stoull(w[1].substr(0, dot));
		uint64_t number = std::stoull(w[1].substr(dot + 1));

		text = text.substr(text.find(w[1]) + w[1].size() + 1);
		w = words(text);
		if (!covers(*e, term, number)) {
			refuse("LAGGING");
			return;
		}
	}
	if (id == "-" && w[0] != "BEGIN") {
		if (!own_statement(c, text))
			violate("unknown own statement " + text);
		return;
	}
	if (w[0] == "BEGIN") {
		bool reads = w.size() > 1;

		if (!reads && !e->primary) {
			reply(c, "ERROR READONLY " + e->id + "\n" + ready(*c));
			return;
		}
		c->state = 'T';
		c->read_only = reads;
		reply(c, "COMPLETE -\n" + ready(*c));
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
		writes = begins(c->prepared[w[1]], "WRITE");
	}
	if (writes && (!e->primary || (c->state == 'T' && c->read_only))) {
		refuse("READONLY");
		return;
	}
	execute(c, id, text, writes);
}

void ProxyModel::check_run(const std::shared_ptr<ProxyConn> &c,
			   const std::string &id, const std::string &text)
{
	auto sent = sent_.find(id);

	run_count++;
	if (sent == sent_.end()) {
		violate("UNASKED: " + id + " " + text);
		return;
	}
	const Sent &s = sent->second;
	std::vector<std::string> w = words(text);

	if (!begins(s.text, w[0].c_str()))
		violate("UNASKED: sent '" + s.text + "' ran '" + text + "'");
	if (w[0] == "EXECUTE" && s.caller) {
		std::vector<std::string> asked = words(s.text);
		const std::string &want = s.prepared.at(asked[1]);

		if (c->prepared[w[1]] != want)
			violate("PINNED: ran " + c->prepared[w[1]] +
				" instead of " + want);
	}
	if (c->values != s.values)
		violate("PINNED: other session values for " + id);
	auto revoked = revoked_us_.find(s.key);
	if (revoked != revoked_us_.end() && !begins(s.database, "open") &&
	    s.at_us > revoked->second + KEY_LIMIT_US)
		violate("CONFIG: a withdrawn key ran " + id);
	if (s.key == "key-" + c->workspace || begins(s.database, "open")) {
		if (counted_.insert(id).second)
			ran_[c->workspace].push_back(now_us_);
	} else {
		violate("UNASKED: workspace " + c->workspace + " for " + s.key);
	}
}

void ProxyModel::check_read(const std::shared_ptr<ProxyConn> &c,
			    const std::string &id)
{
	const ProxyEndpoint &e = *c->endpoint;
	const Sent &s = sent_[id];
	size_t seen = e.primary ? e.log.size() : e.applied;
	std::set<uint64_t> has;
	int64_t bound = s.at_us;

	if (!e.primary)
		replica_reads++;
	for (size_t i = 0; i < seen && i < e.log.size(); i++)
		has.insert(e.log[i].number);
	if (!begins(s.database, "strict"))
		bound -= MAX_AGE_US;
	for (auto &a : acked_[e.service]) {
		if (a.second < bound && !has.count(a.first))
			violate("STALE: " + s.database + " read " + id +
				" at " + e.id + " lacks " +
				std::to_string(a.first));
	}
	if (begins(s.database, "session") && s.own_number &&
	    acked_[e.service].count(s.own_number) && !has.count(s.own_number))
		violate("STALE: " + id + " lacks its session's write");
}

void ProxyModel::execute(const std::shared_ptr<ProxyConn> &c,
			 const std::string &id, const std::string &text,
			 bool writes)
{
	ProxyEndpoint *e = c->endpoint;
	auto slot = std::min_element(e->slot_free_us.begin(),
				     e->slot_free_us.end());
	int64_t start = std::max(*slot, now_us_);

	*slot = start + opts.work_us;
	c->busy = true;
	at(*slot - now_us_, [this, c, id, text, writes, e] {
		bool commits = begins(text, "COMMIT");

		if (!e->alive || e->dark || !c->open)
			return;
		if (writes && !e->primary) {
			if (c->state == 'T')
				c->state = 'E';
			reply(c, "ERROR READONLY x\n" + ready(*c));
			end_statement(c);
			return;
		}
		if (c->state == 'T' && !c->read_only && !e->primary &&
		    !(commits && c->pending.empty())) {
			c->state = 'E';
			reply(c, "ERROR READONLY x\n" + ready(*c));
			end_statement(c);
			return;
		}
		check_run(c, id, text);
		if (commits) {
			bool keeps = !c->pending.empty();

			c->state = 'I';
			if (keeps) {
				commit(c, id);
				return;
			}
			reply(c, "COMPLETE sig." + id + "\n" + ready(*c));
			end_statement(c);
			return;
		}
		if (!writes)
			check_read(c, id);
		else if (c->state == 'I') {
			c->pending = { id };
			commit(c, id);
			return;
		} else {
			c->pending.push_back(id);
		}
		reply(c, (writes ? "" : "ROW r." + id + "\n") +
				 std::string("COMPLETE sig.") + id + "\n" +
				 ready(*c));
		end_statement(c);
	});
}

void ProxyModel::commit(const std::shared_ptr<ProxyConn> &c,
			const std::string &id)
{
	ProxyEndpoint *e = c->endpoint;
	uint64_t number = ++last_number_;

	for (auto &w : c->pending) {
		if (++committed_[w] > 1)
			violate("TWICE: " + w);
		if (promised_.count(w))
			violate("REFUSED: " + w + " is kept after " +
				promised_[w]);
	}
	c->pending.clear();
	e->log.push_back({ e->term, number, id });
	unconfirmed_.push_back({ c, id, number, e->service });
}

/* Runs at each tick: replicas receive, apply later, and confirm. */
void ProxyModel::replicate()
{
	for (auto &p : endpoints) {
		if (!p->primary || !p->alive || p->dark || p->cut_replication)
			continue;
		for (auto &r : endpoints) {
			if (r->service != p->service || r.get() == p.get() ||
			    !r->alive || r->dark || r->cut_replication ||
			    r->held_term > p->term)
				continue;
			if (r->log.size() < p->log.size())
				r->log.insert(r->log.end(),
					      p->log.begin() +
						      (long)r->log.size(),
					      p->log.end());
			r->term = p->term;
			size_t size = r->log.size();
			ProxyEndpoint *to = r.get();

			if (size > to->applied)
				at(to->lag_us, [to, size] {
					to->applied = std::max<uint64_t>(
						to->applied,
						std::min(size, to->log.size()));
				});
		}
	}
	for (size_t i = 0; i < unconfirmed_.size();) {
		Unconfirmed u = unconfirmed_[i];
		bool held = false;

		for (auto &r : endpoints) {
			if (r->service != u.service ||
			    r.get() == u.conn->endpoint)
				continue;
			for (auto &l : r->log)
				held |= l.number == u.number;
		}
		if (!held || !u.conn->endpoint->primary ||
		    !u.conn->endpoint->alive) {
			i++;
			continue;
		}
		unconfirmed_.erase(unconfirmed_.begin() + (long)i);
		reply(u.conn, "COMPLETE sig." + u.id + "\n" + ready(*u.conn));
		end_statement(u.conn);
	}
}

void ProxyModel::promote(const std::string &service, const std::string &id)
{
	ProxyEndpoint *to = nullptr;
	uint64_t term = 0;
	std::set<uint64_t> has;

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
		has.insert(l.number);
	auto &acked = acked_[service];
	for (auto a = acked.begin(); a != acked.end();) {
		if (has.count(a->first)) {
			++a;
			continue;
		}
		violate("LOST: " + std::to_string(a->first) + " at " + id);
		a = acked.erase(a);
	}
	for (auto &e : endpoints) {
		if (e->service != service)
			continue;
		bool led = e->primary;

		if (led)
			e->applied = e->log.size();
		e->primary = e.get() == to;
		e->held_term = 0;
		/* What the leader lacks is rolled back. */
		if (e.get() != to && e->log.size() > to->log.size())
			e->log.resize(to->log.size());
		e->applied = std::min<uint64_t>(e->applied, e->log.size());
		if (led && e->alive && !e->dark && e->listed)
			publish(e.get());
	}
	to->term = term + 1;
	/* A term begins with an entry of its own. */
	to->log.push_back({ to->term, ++last_number_, "" });
	to->applied = to->log.size();
	publish(to);
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
				   ("STARTUP " + database + " " + key).c_str());
	} else {
		c->closed = true;
	}
	callers_.push_back(std::move(c));
	return callers_.back().get();
}

void ProxyModel::caller_lines(ProxyCaller *c, const char *bytes, size_t len)
{
	std::istringstream in(std::string(bytes, len));
	std::string line;

	while (std::getline(in, line)) {
		if (!line.empty() && line.back() == '\r')
			line.pop_back();
		c->lines.push_back(line);
	}
}

void ProxyModel::send(ProxyCaller *c, const std::string &text)
{
	std::string id = "q" + std::to_string(++last_id_);

	if (!c->session)
		return;
	c->statement_us = now_us_;
	c->last_id = id;
	c->last_text = text;
	if (begins(text, "BEGIN"))
		c->transaction_us = now_us_;
	sent_[id] = {
		c,	   c->transaction_us ? c->transaction_us : now_us_,
		text,	   c->database,
		c->key,	   c->own_number,
		c->values, c->prepared
	};
	engine_caller_line(c->session, ("QUERY " + id + " " + text).c_str());
}

ProxyAnswer ProxyModel::take(ProxyCaller *c, int64_t at_most_us)
{
	ProxyAnswer a;
	std::vector<std::string> w;
	std::string done;
	auto complete = [c] {
		return c->closed ||
		       (!c->lines.empty() && begins(c->lines.back(), "READY"));
	};

	a.answered = run_until(complete, at_most_us);
	a.closed = c->closed;
	a.took_us = now_us_ - c->statement_us;
	for (auto &line : c->lines) {
		w = words(line);
		if (w[0] == "ROW")
			a.rows.push_back(line);
		if (w[0] == "COMPLETE") {
			a.ok = true;
			done = w[1];
		}
		if (w[0] == "ERROR") {
			a.code = w[1];
			a.text = line;
		}
		if (w[0] == "READY")
			a.state = w[1][0];
	}
	c->lines.clear();
	if (!c->last_id.empty()) {
		const std::string &id = c->last_id;
		const std::string &text = c->last_text;
		bool runs = begins(text, "READ") || begins(text, "WRITE") ||
			    begins(text, "COMMIT") || begins(text, "EXECUTE");

		answers[a.ok ? "ok" : a.code.empty() ? "none" : a.code]++;
		if (a.ok && runs && done != "sig." + id)
			violate("MIXED: " + done + " for " + id);
		if (a.ok && begins(text, "SET")) {
			w = words(text);
			c->values[w[1]] =
				text.substr(text.find(w[1]) + w[1].size() + 1);
		}
		if (a.ok && begins(text, "PREPARE")) {
			w = words(text);
			c->prepared[w[1]] = w[2] + " " + w[3];
		}
		if (is_promise(a.code)) {
			if (committed_.count(id))
				violate("REFUSED: " + id + " " + a.code);
			promised_[id] = a.code;
		}
		if (a.ok && committed_.count(id) && begins(text, "WRITE") &&
		    !c->transaction_us) {
			for (auto &e : endpoints) {
				for (auto &l : e->log) {
					if (l.write_id != id)
						continue;
					acked_[e->service][l.number] = now_us_;
					c->own_number = l.number;
				}
			}
			acknowledged++;
		}
		if (a.ok && begins(text, "COMMIT")) {
			for (auto &e : endpoints) {
				for (auto &l : e->log) {
					if (l.write_id != id)
						continue;
					acked_[e->service][l.number] = now_us_;
					c->own_number = l.number;
				}
			}
			acknowledged++;
		}
		if (a.state == 'I')
			c->transaction_us = 0;
		c->last_id.clear();
	}
	return a;
}

ProxyAnswer ProxyModel::ask(ProxyCaller *c, const std::string &text,
			    int64_t at_most_us)
{
	take(c, 100 * MS);
	send(c, text);
	return take(c, at_most_us);
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
	uint32_t rate = std::max(rate_per_s_, rate_before_);
	uint32_t burst = std::max(burst_, burst_before_);
	int64_t binds_us = lowered_us_ + 3 * S + QUOTA_WINDOW_US;

	for (auto &r : ran_) {
		auto &t = r.second;

		for (size_t i = 0, j = 0; i < t.size(); i++) {
			bool low = lowered_us_ && t[j] > binds_us;

			while (t[i] - t[j] >= QUOTA_WINDOW_US)
				j++;
			low = lowered_us_ && t[j] > binds_us;
			double most = ((low ? rate_per_s_ : rate) * 5.0 +
				       (low ? burst_ : burst)) *
					      1.1 +
				      QUOTA_SLACK;
			if ((double)(i - j + 1) > most) {
				violate("QUOTA: " + r.first + " ran " +
					std::to_string(i - j + 1));
				break;
			}
		}
	}
}
