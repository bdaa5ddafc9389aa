/*
 * session_fuzz.c - libFuzzer target for whatever reaches a session engine:
 * lines of callers, of other instances and of endpoints, peer messages, losses
 * of connections, in any order. An assertion or a wrong access is a finding.
 *
 * Each line of the input is one event; its first byte selects the kind, see
 * struct event_kind.
 */
#include "../platform/line_wire.h"
#include "peer/peer_codec.h"
#include "proxy/engine.h"
#include "proxy/fleet_config.h"

#include <stdlib.h>
#include <string.h>

enum {
	CALLERS = 3,
	RELAYS = 2,
	CONNS = 24,
	ANSWERS_MAX = 64,
	EVENTS_MAX = 400,
	TICK_US = 10 * 1000,
};

/* A call to the store whose answer is due at the next tick. */
struct pending_answer {
	store_answer_fn fn;
	void *data;
	struct store_answer answer;
	bool lists;
};

struct world {
	struct store store; /* must be first */
	struct promoter promoter;
	struct engine *engine;
	struct metrics *metrics;
	int64_t now_us;
	int64_t revision;
	uint64_t calls;
	struct pending_answer pending[ANSWERS_MAX];
	uint32_t pending_count;
	/* The address of a slot is the host's handle. NULL: not open. */
	struct session *sessions[CALLERS + RELAYS];
	struct upstream_conn *conns[CONNS];
};

static struct world w;

static void put_answer(store_answer_fn fn, void *data, bool lists)
{
	struct pending_answer *p = &w.pending[w.pending_count];

	if (w.pending_count == ANSWERS_MAX)
		return;
	w.pending_count++;
	memset(p, 0, sizeof(*p));
	p->fn = fn;
	p->data = data;
	p->lists = lists;
	p->answer.outcome = STORE_DONE;
	p->answer.requested_us = w.now_us;
	p->answer.revision = w.revision;
	p->answer.lease = 7;
	p->answer.ttl_us = 4 * US_PER_S;
}

static uint64_t store_list(struct store *s, const char *after,
			   store_answer_fn fn, void *data)
{
	put_answer(fn, data, true);
	return ++w.calls;
}

/* A watch stays without an answer. */
static uint64_t store_watch(struct store *s, int64_t after, int64_t wait_us,
			    store_answer_fn fn, void *data)
{
	return ++w.calls;
}

static void store_cancel(struct store *s, uint64_t call)
{
}

static bool store_is_arriving(const struct store *s, uint64_t call)
{
	return false;
}

static void store_probe(struct store *s, store_answer_fn fn, void *data)
{
	put_answer(fn, data, false);
}

static void store_change(struct store *s, const struct store_change *c,
			 store_answer_fn fn, void *data)
{
	w.revision++;
	put_answer(fn, data, false);
}

static void store_lease(struct store *s, int64_t ttl_us, store_answer_fn fn,
			void *data)
{
	put_answer(fn, data, false);
}

static void store_renew(struct store *s, uint64_t lease, store_answer_fn fn,
			void *data)
{
	put_answer(fn, data, false);
}

static const struct store_ops store_ops = {
	store_list,   store_watch, store_cancel, store_is_arriving, store_probe,
	store_change, store_lease, store_renew,	 store_renew,
};

/* Orders stay without an answer. */
static void promoter_order(struct promoter *p, const struct promotion_order *o,
			   promotion_answer_fn fn, void *data)
{
}

static const struct promoter_ops promoter_ops = { promoter_order };

static void host_send(void *host, void *handle, const char *bytes, size_t len)
{
}

static void host_caller_close(void *host, void *caller)
{
	*(struct session **)caller = NULL;
}

static void *host_conn_open(void *host, const char *address,
			    struct upstream_conn *c)
{
	for (uint32_t i = 0; i < CONNS; i++) {
		if (w.conns[i])
			continue;
		w.conns[i] = c;
		return &w.conns[i];
	}
	return NULL;
}

static void host_conn_close(void *host, void *conn)
{
	*(struct upstream_conn **)conn = NULL;
}

static void host_peer_changed(void *host, const char *instance,
			      const char *address)
{
}

static void host_peer_send(void *host, const struct peer_message *m)
{
}

static void host_log(void *host, const struct log_entry *entry)
{
}

static int64_t host_now_us(void *host)
{
	return w.now_us;
}

static const struct engine_host host_ops = {
	.caller_send = host_send,
	.caller_close = host_caller_close,
	.conn_open = host_conn_open,
	.conn_send = host_send,
	.conn_close = host_conn_close,
	.peer_changed = host_peer_changed,
	.peer_send = host_peer_send,
	.log = host_log,
	.now_us = host_now_us,
};

static void add_route(struct fleet_config *c, const char *database,
		      enum freshness freshness)
{
	struct route *r = g_new0(struct route, 1);

	r->database = g_strdup(database);
	r->service = g_strdup("svc");
	r->freshness = freshness;
	r->max_age_us = US_PER_S;
	r->timeout_us = 2 * US_PER_S;
	r->target_us = US_PER_S / 5;
	fleet_config_add_route(c, r);
}

static void fill_config(struct store_item *i)
{
	struct fleet_config *c = fleet_config_new();
	struct service_config *s = g_new0(struct service_config, 1);
	struct workspace_config *ws = g_new0(struct workspace_config, 1);

	c->version = 1;
	c->transaction_idle_us = US_PER_S;
	s->name = g_strdup("svc");
	s->conns_max = 8;
	fleet_config_add_service(c, s);
	add_route(c, "strict", FRESH_STRICT);
	add_route(c, "bounded", FRESH_BOUNDED);
	add_route(c, "session", FRESH_SESSION);
	ws->name = g_strdup("ws");
	ws->rate_milli_per_s = UINT32_MAX;
	fleet_config_add_workspace(c, ws);
	fleet_config_add_key(c, "key", ws);
	i->kind = ITEM_CONFIG;
	i->config = c;
}

static void fill_upstream(struct store_item *i, uint32_t number)
{
	struct upstream_entry *e = &i->upstream;

	i->kind = ITEM_UPSTREAM;
	g_snprintf(e->id, sizeof(e->id), "i-%u", number);
	g_snprintf(e->address, sizeof(e->address), "10.0.0.%u:1", number + 1);
	g_strlcpy(e->service, "svc", sizeof(e->service));
	g_strlcpy(e->zone, number ? "b" : "a", sizeof(e->zone));
	g_strlcpy(i->name, e->id, sizeof(i->name));
	e->slots = 2;
	e->role = number ? ROLE_REPLICA : ROLE_PRIMARY;
	e->started_ms = 1;
}

/* More instances than connections, so that the service has homes. */
static void fill_instance(struct store_item *i, uint32_t number)
{
	struct instance_entry *e = &i->instance;

	i->kind = ITEM_INSTANCE;
	g_snprintf(e->name, sizeof(e->name), "n%u", number);
	g_snprintf(e->address, sizeof(e->address), "10.1.0.%u:1", number + 1);
	g_snprintf(e->relay, sizeof(e->relay), "10.2.0.%u:1", number + 1);
	g_strlcpy(e->zone, number % 2 ? "b" : "a", sizeof(e->zone));
	g_strlcpy(i->name, e->name, sizeof(i->name));
	e->incarnation = 1;
	e->settled = true;
}

static void deliver_list(struct pending_answer *p)
{
	enum { UPSTREAMS = 3, INSTANCES = 8 };
	const uint32_t count = 1 + UPSTREAMS + INSTANCES;
	struct store_item *items = g_new0(struct store_item, count);

	fill_config(&items[0]);
	for (uint32_t i = 0; i < UPSTREAMS; i++)
		fill_upstream(&items[1 + i], i);
	for (uint32_t i = 0; i < INSTANCES; i++)
		fill_instance(&items[1 + UPSTREAMS + i], i);
	for (uint32_t i = 0; i < count; i++) {
		items[i].revision = 1;
		items[i].readable = true;
	}
	p->answer.items = items;
	p->answer.item_count = count;
	p->fn(p->data, &p->answer);
	for (uint32_t i = 0; i < count; i++)
		store_item_clear(&items[i]);
	g_free(items);
}

static void run_tick(void)
{
	struct pending_answer due[ANSWERS_MAX];
	uint32_t n = w.pending_count;

	w.now_us += TICK_US;
	memcpy(due, w.pending, n * sizeof(due[0]));
	w.pending_count = 0;
	for (uint32_t i = 0; i < n; i++) {
		if (due[i].lists)
			deliver_list(&due[i]);
		else
			due[i].fn(due[i].data, &due[i].answer);
	}
	engine_tick(w.engine);
}

/* Events; `number` is the second byte of the line, `text` the rest. */

static void on_session_line(uint32_t slot, bool relayed, const char *text,
			    size_t len)
{
	struct session **s = &w.sessions[slot];

	if (!*s)
		*s = relayed ? engine_relay_opened(w.engine, s) :
			       engine_caller_opened(w.engine, s);
	if (*s)
		engine_caller_line(*s, text, len);
}

static void on_caller_line(uint32_t number, const char *text, size_t len)
{
	on_session_line(number % CALLERS, false, text, len);
}

static void on_relay_line(uint32_t number, const char *text, size_t len)
{
	on_session_line(CALLERS + number % RELAYS, true, text, len);
}

static void on_session_closed(uint32_t number, const char *text, size_t len)
{
	struct session **s = &w.sessions[number % (CALLERS + RELAYS)];
	struct session *closed = *s;

	*s = NULL;
	if (closed)
		engine_caller_closed(closed);
}

static void on_conn_opened(uint32_t number, const char *text, size_t len)
{
	if (w.conns[number % CONNS])
		engine_conn_opened(w.conns[number % CONNS]);
}

static void on_conn_line(uint32_t number, const char *text, size_t len)
{
	if (w.conns[number % CONNS])
		engine_conn_line(w.conns[number % CONNS], text, len);
}

static void on_conn_lost(uint32_t number, const char *text, size_t len)
{
	struct upstream_conn *c = w.conns[number % CONNS];

	if (c)
		engine_conn_closed(c, 0);
	/* The engine closes what it was told is gone; the slot is free then. */
}

static void on_peer_bytes(uint32_t number, const char *text, size_t len)
{
	struct peer_message m;

	if (!peer_decode((const uint8_t *)text, len, &m))
		engine_peer_message(w.engine, &m);
}

static void on_ticks(uint32_t number, const char *text, size_t len)
{
	for (uint32_t i = 0; i <= number % 32; i++)
		run_tick();
}

static void on_drain(uint32_t number, const char *text, size_t len)
{
	engine_drain(w.engine);
}

static const struct event_kind {
	char letter;
	void (*run)(uint32_t number, const char *text, size_t len);
} event_kinds[] = {
	{ 'c', on_caller_line },    { 'r', on_relay_line },
	{ 'x', on_session_closed }, { 'o', on_conn_opened },
	{ 'e', on_conn_line },	    { 'l', on_conn_lost },
	{ 'p', on_peer_bytes },	    { 't', on_ticks },
	{ 'd', on_drain },
};

static void run_event(char *line, size_t len)
{
	if (len < 2)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(event_kinds); i++) {
		if (event_kinds[i].letter == line[0])
			event_kinds[i].run((uint8_t)line[1], line + 2, len - 2);
	}
}

static void start(void)
{
	struct engine_opts o = { 0 };

	memset(&w, 0, sizeof(w));
	w.now_us = US_PER_S;
	w.revision = 1;
	w.store.ops = &store_ops;
	w.promoter.ops = &promoter_ops;
	w.metrics = metrics_new();
	o.ops = &host_ops;
	o.wire = &line_wire;
	o.store = &w.store;
	o.promoter = &w.promoter;
	o.metrics = w.metrics;
	o.incarnation = 1;
	o.seed = 1;
	o.key_limit_us = 5 * US_PER_S;
	o.config_limit_us = 5 * US_PER_S;
	o.grace_us = 6 * US_PER_S;
	o.replica_wait_us = 12 * US_PER_S;
	o.tolerance.window_us = 5 * US_PER_S;
	o.sessions_max = 100;
	g_strlcpy(o.instance, "n0", sizeof(o.instance));
	g_strlcpy(o.zone, "a", sizeof(o.zone));
	g_strlcpy(o.peer_address, "10.1.0.1:1", sizeof(o.peer_address));
	g_strlcpy(o.relay_address, "10.2.0.1:1", sizeof(o.relay_address));
	w.engine = engine_new(&o, w.now_us);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	char *line = text;
	char *end = text + size;

	start();
	for (uint32_t i = 0; i < 20; i++)
		run_tick();
	for (uint32_t i = 0; i < EVENTS_MAX && line < end; i++) {
		char *stop = memchr(line, '\n', (size_t)(end - line));

		if (!stop)
			stop = end;
		*stop = '\0';
		run_event(line, (size_t)(stop - line));
		run_tick();
		line = stop + 1;
	}
	engine_free(w.engine);
	metrics_free(w.metrics);
	g_free(text);
	return 0;
}
