#include "proxy/dispatch.h"

#include "proxy/admission.h"
#include "proxy/caller.h"
#include "proxy/engine_state.h"
#include "proxy/exchange.h"
#include "proxy/placement.h"

#include <string.h>

enum {
	/* Of one statement: each copy twice, in services of three. */
	SENDS_MAX = 6,
	/* One runs and two wait, which keeps a slot busy; docs/MEASURES.md. */
	RUNNING_PER_SLOT = 3,
	/* An endpoint that refused gets so long to change. */
	AGAIN_DELAY_US = 10 * 1000,
	/* No connection is opened sooner after one failed. */
	OPEN_PAUSE_US = 100 * 1000,
	PREPARED_MAX = 200, /* of one connection; then it is reset */
};

static const struct route *route_of(const struct session *s)
{
	return fleet_config_find_route(s->engine->config, s->database);
}

static struct service *service_of(const struct session *s)
{
	const struct route *r = route_of(s);

	return r ? engine_find_service(s->engine, r->service) : NULL;
}

/* When the data that a read may miss was written at the latest. */
static bool find_mark(const struct session *s, const struct route *r,
		      struct service *svc, struct mark *out)
{
	int64_t since = s->transaction == TRANSACTION_NONE ? s->op.arrived_us :
							     s->transaction_us;

	if (!mark_ring_find(&svc->marks, since - r->max_age_us, out))
		return false;
	if (r->freshness == FRESH_SESSION && s->own_write.term &&
	    !position_covers(out->position, s->own_write)) {
		out->position = s->own_write;
		out->asked_us = s->own_write_us;
	}
	return true;
}

/* Decides what the statement needs; looked at anew for each send. */
static void find_need(struct session *s, const struct route *r,
		      struct service *svc)
{
	struct operation *op = &s->op;
	bool in_transaction = s->transaction != TRANSACTION_NONE;
	bool reads_only =
		in_transaction ? s->transaction_reads_only : !op->writes;

	op->begins = in_transaction && !s->pinned;
	op->need = NEED_PRIMARY;
	if (!reads_only)
		return;
	if (r->freshness != FRESH_STRICT && find_mark(s, r, svc, &op->after))
		op->need = NEED_READ;
	else if (!in_transaction)
		op->need = NEED_STRICT_READ;
}

static struct upstream_conn *idle_conn(const struct upstream *u,
				       const struct session *s)
{
	struct upstream_conn *found = NULL;

	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (c->state != CONN_FREE_TO_USE || c->control ||
		    strcmp(c->workspace, s->workspace) != 0)
			continue;
		/* One that holds the same values needs no reset. */
		if (!strcmp(c->signature, s->signature))
			return c;
		found = c;
	}
	return found;
}

static uint32_t conns_of(const struct upstream *u, const char *workspace)
{
	uint32_t n = 0;

	for (guint i = 0; i < u->conns->len; i++) {
		const struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		n += !strcmp(c->workspace, workspace);
	}
	return n;
}

/*
 * How soon a connection's workspace will ask for it again, on average. Reads
 * go to any copy, so a workspace needs one connection to one of them: the
 * workspaces spread over the copies.
 */
static uint32_t demand_of(const struct upstream_conn *c)
{
	const struct service *svc = c->upstream->service;
	uint32_t demand =
		quota_demand_milli_per_s(c->engine->quota, c->workspace);
	uint32_t n = 0;

	if (c->upstream == svc->primary)
		return demand / MAX(conns_of(c->upstream, c->workspace), 1);
	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		if (u != svc->primary)
			n += conns_of(u, c->workspace);
	}
	return demand / MAX(n, 1);
}

/*
 * Returns the free connection that will be missed least, or NULL: opening
 * one takes a slot of the endpoint for as long as several statements.
 */
static struct upstream_conn *least_needed(const struct upstream *u)
{
	struct upstream_conn *found = NULL;
	uint32_t least = UINT32_MAX;

	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);
		uint32_t demand;

		if (c->state != CONN_FREE_TO_USE || c->control)
			continue;
		demand = demand_of(c);
		if (found && demand > least)
			continue;
		if (found && demand == least && c->used_us >= found->used_us)
			continue;
		found = c;
		least = demand;
	}
	return found;
}

/* Connections that are being opened for a statement take slots, too. */
static uint32_t starting(const struct upstream *u)
{
	uint32_t n = 0;

	for (guint i = 0; i < u->conns->len; i++) {
		const struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		n += c->state == CONN_STARTING;
	}
	return n;
}

/*
 * An endpoint runs what waits there in the order of arrival. What waits here
 * is ordered by urgency and can still be refused, so only this instance's
 * part of the slots is filled, and of a short queue that keeps them busy.
 */
static uint32_t running_limit(const struct engine *e, const struct upstream *u)
{
	uint32_t all = u->entry.slots * RUNNING_PER_SLOT;

	return MAX((all + e->instance_count / 2) / e->instance_count, 1);
}

static enum conn_way way_to(const struct engine *e, const struct upstream *u,
			    const struct session *s, int64_t now_us)
{
	if (u->running + starting(u) >= running_limit(e, u))
		return CONN_WAY_NONE;
	if (idle_conn(u, s))
		return CONN_WAY_IDLE;
	if (now_us < u->open_after_us)
		return CONN_WAY_NONE;
	if (u->conns->len < engine_conns_limit(e, u))
		return CONN_WAY_OPEN;
	return least_needed(u) ? CONN_WAY_EVICT : CONN_WAY_NONE;
}

static bool may_run(const struct session *s, const struct upstream *u)
{
	const struct service *svc = u->service;

	if (!upstream_usable(u))
		return s->op.need != NEED_READ && u == svc->primary;
	return s->op.need == NEED_READ || u == svc->primary;
}

/* It said so lately, or its lag makes it likely. */
static bool is_doubtful(const struct session *s, const struct upstream *u,
			int64_t now_us)
{
	const struct operation *op = &s->op;

	if (operation_avoids(op, u) || now_us < u->busy_until_us ||
	    u->silent_since_us)
		return true;
	if (op->need != NEED_READ || u == u->service->primary)
		return false;
	if (u->has_position && position_covers(u->position, op->after.position))
		return false;
	return now_us < u->behind_until_us ||
	       now_us - op->after.asked_us < u->lag_us;
}

/*
 * It has just said that it lacks the position. The primary has it: waiting
 * for that one is better than asking again.
 */
static bool is_behind(const struct session *s, const struct upstream *u,
		      int64_t now_us)
{
	if (s->op.need != NEED_READ || u == u->service->primary ||
	    now_us >= u->behind_until_us)
		return false;
	return !position_covers(u->position, s->op.after.position);
}

static void fill_candidate(const struct session *s, const struct upstream *u,
			   struct placement_candidate *out, int64_t now_us)
{
	const struct engine *e = s->engine;

	out->way = is_behind(s, u, now_us) ? CONN_WAY_NONE :
					     way_to(e, u, s, now_us);
	out->is_primary = s->op.need == NEED_READ && u == u->service->primary;
	out->same_zone = !strcmp(u->entry.zone, e->opts.zone);
	out->doubtful = is_doubtful(s, u, now_us);
	out->running = u->running;
	out->slots = u->entry.slots;
	out->latency_us = upstream_latency_us(u, now_us);
	out->handshake_us = u->handshake_us;
}

/* More endpoints of one service than any group has. */
enum { CANDIDATES_MAX = 16 };

static struct upstream *choose(const struct session *s,
			       const struct service *svc, enum conn_way *way,
			       int64_t now_us)
{
	struct placement_candidate c[CANDIDATES_MAX];
	struct upstream *of[CANDIDATES_MAX];
	uint32_t n = 0;
	int best;

	for (guint i = 0; i < svc->upstreams->len && n < CANDIDATES_MAX; i++) {
		struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		if (!may_run(s, u))
			continue;
		of[n] = u;
		fill_candidate(s, u, &c[n++], now_us);
	}
	best = placement_choose(c, n);
	if (best < 0)
		return NULL;
	*way = c[best].way;
	return of[best];
}

static struct upstream_conn *take_conn(struct session *s, struct upstream *u,
				       enum conn_way way, int64_t now_us)
{
	if (way == CONN_WAY_IDLE)
		return idle_conn(u, s);
	if (way == CONN_WAY_EVICT)
		dispatch_close(least_needed(u));
	return dispatch_open(s->engine, u, s->workspace, false, now_us);
}

/* Returns true when the statement is under way. */
static bool try_send(struct session *s, struct service *svc, int64_t now_us)
{
	const struct route *r = route_of(s);
	enum conn_way way = CONN_WAY_NONE;
	struct upstream *u;
	struct upstream_conn *c;

	if (!r)
		return false;
	find_need(s, r, svc);
	u = choose(s, svc, &way, now_us);
	if (!u)
		return false;
	c = take_conn(s, u, way, now_us);
	if (!c)
		return false;
	engine_log(s->engine, LOG_STATEMENT_ROUTED, s->number, u->entry.id,
		   now_us - s->op.arrived_us, "%s need %d way %d age %lld",
		   s->op.query.id, s->op.need, way,
		   s->op.need == NEED_READ ?
			   (long long)(now_us - s->op.after.asked_us) :
			   0);
	s->conn = c;
	c->session = s;
	if (c->state == CONN_FREE_TO_USE)
		dispatch_run_on(c, now_us);
	return true;
}

static void enqueue(struct session *s, struct service *svc)
{
	const struct route *r = route_of(s);
	guint i = 0;

	for (; i < svc->waiting->len; i++) {
		const struct session *o = g_ptr_array_index(svc->waiting, i);
		const struct route *other = route_of(o);

		if (other && r && r->priority < other->priority)
			break;
	}
	g_ptr_array_insert(svc->waiting, (gint)i, s);
	s->op.waiting = true;
}

static void refuse_hopeless(struct session *s, int64_t wait_us, int64_t now_us)
{
	caller_refuse(s, ANSWER_OVERLOADED,
		      s->op.need == NEED_READ ? "no endpoint is free" :
						"the primary is not free",
		      wait_us, now_us);
}

/* What is ahead of a statement that has to wait. */
static struct admission_load load_of(const struct session *s,
				     const struct service *svc, int64_t now_us)
{
	struct admission_load l = { .waiting = svc->waiting->len };

	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		if (!may_run(s, u))
			continue;
		l.running += u->running;
		l.latency_us =
			MAX(l.latency_us, upstream_latency_us(u, now_us));
	}
	l.outage_us = svc->outage_us;
	if (s->op.need != NEED_READ && service_outage_since_us(svc, now_us))
		l.lost_us = now_us - service_outage_since_us(svc, now_us);
	else
		l.lost_us = ADMISSION_NOT_LOST;
	return l;
}

static void wait_or_refuse(struct session *s, struct service *svc,
			   int64_t now_us)
{
	struct admission_load l = load_of(s, svc, now_us);
	int64_t wait_us = admission_wait_us(&l);

	s->op.hold_until_us =
		s->op.arrived_us + admission_hold_us(route_of(s), &l);
	if (now_us + wait_us > s->op.hold_until_us) {
		refuse_hopeless(s, wait_us, now_us);
		return;
	}
	enqueue(s, svc);
}

void dispatch_start(struct session *s, int64_t now_us)
{
	const struct route *r = route_of(s);
	struct service *svc = service_of(s);
	struct operation *op = &s->op;

	if (!r || !svc) {
		caller_refuse(s, ANSWER_OVERLOADED, "no endpoint is known",
			      ADMISSION_UNKNOWN_RETRY_US, now_us);
		return;
	}
	op->deadline_us = op->arrived_us + r->timeout_us;
	if (s->pinned) {
		s->conn = s->pinned;
		dispatch_run_on(s->pinned, now_us);
		return;
	}
	if (!try_send(s, svc, now_us))
		wait_or_refuse(s, svc, now_us);
}

void dispatch_again(struct session *s, const char *why, int64_t now_us)
{
	struct service *svc = service_of(s);
	struct operation *op = &s->op;

	g_string_truncate(op->rows, 0);
	op->sent = false;
	if (!svc || op->sends >= SENDS_MAX || now_us >= op->deadline_us) {
		caller_refuse(s, op->last_code ? op->last_code : ANSWER_ABORTED,
			      why, ADMISSION_UNKNOWN_RETRY_US, now_us);
		return;
	}
	engine_log(s->engine, LOG_STATEMENT_AGAIN, s->number, op->query.id,
		   now_us - op->arrived_us, "%s, sends %u", why, op->sends);
	op->resume_us = now_us + (op->refusals > 1 ? AGAIN_DELAY_US : 0);
	if (op->resume_us > now_us || !try_send(s, svc, now_us))
		wait_or_refuse(s, svc, now_us);
}

void dispatch_forget(struct session *s)
{
	GHashTableIter it;
	gpointer svc;

	if (!s->op.waiting)
		return;
	s->op.waiting = false;
	g_hash_table_iter_init(&it, s->engine->services);
	while (g_hash_table_iter_next(&it, NULL, &svc))
		g_ptr_array_remove(((struct service *)svc)->waiting, s);
}

void dispatch_pump(struct service *svc, int64_t now_us)
{
	guint i = 0;

	while (i < svc->waiting->len) {
		struct session *s = g_ptr_array_index(svc->waiting, i);

		if (now_us >= s->op.hold_until_us) {
			dispatch_forget(s);
			refuse_hopeless(s, ADMISSION_UNKNOWN_RETRY_US, now_us);
			i = 0;
			continue;
		}
		if (now_us < s->op.resume_us || !try_send(s, svc, now_us)) {
			i++;
			continue;
		}
		dispatch_forget(s);
	}
}

static void put_begin(struct upstream_conn *c, const struct session *s,
		      int64_t now_us)
{
	const struct operation *op = &s->op;
	const struct own_message m = {
		.statement = op->need == NEED_READ ? OWN_BEGIN_READ : OWN_BEGIN,
		.after = op->need == NEED_READ ? &op->after.position : NULL,
	};

	upstream_conn_put(c, c->engine->opts.wire, &m, STEP_BEGIN, now_us);
}

void dispatch_run_on(struct upstream_conn *c, int64_t now_us)
{
	struct session *s = c->session;
	const struct operation *op = &s->op;
	const char *name =
		op->query.kind == QUERY_EXECUTE ? op->query.name : NULL;
	bool begins = op->begins || op->need == NEED_STRICT_READ;
	bool setup;

	c->upstream->running++;
	c->state = CONN_WORKING;
	setup = upstream_conn_put_setup(c, c->engine->opts.wire, s, name,
					now_us);
	/*
	 * The statement follows once these are known to have worked: after a
	 * failed BEGIN it would run outside of the transaction.
	 */
	if (!s->pinned && begins)
		put_begin(c, s, now_us);
	else if (!setup)
		dispatch_send_statement(c, now_us);
	engine_conn_flush(c);
}

void dispatch_send_statement(struct upstream_conn *c, int64_t now_us)
{
	struct session *s = c->session;
	const struct wire_ops *wire = c->engine->opts.wire;
	const struct own_message rollback = { .statement = OWN_ROLLBACK };
	struct operation *op = &s->op;
	const char *name = NULL;
	const struct position *after = NULL;

	if (op->query.kind == QUERY_EXECUTE)
		name = upstream_conn_prepared(c, s, op->query.name);
	if (op->need == NEED_READ && !c->in_transaction)
		after = &op->after.position;
	wire->put_query(c->out, &op->query, name, after);
	upstream_conn_expect(c, STEP_STATEMENT, now_us);
	if (!op->sends)
		metrics_observe(c->engine->opts.metrics, "queue_seconds",
				c->upstream->service->name,
				now_us - op->arrived_us);
	op->sent = true;
	op->sent_us = now_us;
	op->sends++;
	g_strlcpy(op->endpoint, c->upstream->entry.id, sizeof(op->endpoint));
	if (op->need == NEED_STRICT_READ)
		upstream_conn_put(c, wire, &rollback, STEP_ROLLBACK, now_us);
	engine_conn_flush(c);
}

static void clean(struct upstream_conn *c, int64_t now_us)
{
	const struct own_message rollback = { .statement = OWN_ROLLBACK };

	c->state = CONN_CLEANING;
	if (!c->in_transaction || c->step_count)
		return;
	upstream_conn_put(c, c->engine->opts.wire, &rollback, STEP_ROLLBACK,
			  now_us);
	engine_conn_flush(c);
}

/* More connections than its share, or it should not be used again. */
static bool is_surplus(const struct upstream_conn *c)
{
	const struct upstream *u = c->upstream;

	return !upstream_usable(u) || !u->listed ||
	       u->conns->len > engine_conns_limit(c->engine, u) ||
	       g_hash_table_size(c->prepared) > PREPARED_MAX;
}

void dispatch_release(struct upstream_conn *c, int64_t now_us)
{
	if (c->session) {
		c->session->conn = NULL;
		if (c->session->pinned == c)
			c->session->pinned = NULL;
		c->session = NULL;
	}
	if (c->closed || c->state == CONN_STARTING)
		return;
	if (c->state == CONN_WORKING)
		c->upstream->running--;
	if (c->step_count || c->in_transaction) {
		clean(c, now_us);
		return;
	}
	c->state = CONN_FREE_TO_USE;
	c->used_us = now_us;
	if (!c->control && is_surplus(c))
		dispatch_close(c);
}

struct upstream_conn *dispatch_open(struct engine *e, struct upstream *u,
				    const char *workspace, bool control,
				    int64_t now_us)
{
	struct upstream_conn *c = upstream_conn_new(e, u, workspace, now_us);

	c->control = control;
	c->stream = e->opts.ops->conn_open(e->opts.host, u->entry.address, c);
	if (!c->stream) {
		u->open_after_us = now_us + OPEN_PAUSE_US;
		upstream_conn_free(c);
		return NULL;
	}
	g_ptr_array_add(u->conns, c);
	e->opts.wire->put_start(c->out, u->entry.service, workspace,
				u->entry.id);
	upstream_conn_expect(c, STEP_START, now_us);
	metrics_add(e->opts.metrics, "connections_opened_total",
		    control ? "control" : "work", 1);
	return c;
}

void dispatch_close(struct upstream_conn *c)
{
	struct engine *e = c->engine;

	if (c->closed)
		return;
	c->closed = true;
	if (c->state == CONN_WORKING)
		c->upstream->running--;
	g_ptr_array_remove(c->upstream->conns, c);
	e->opts.ops->conn_close(e->opts.host, c->stream);
	if (c->control)
		failover_handle_conn_lost(e->failovers, c, engine_now(e));
	g_ptr_array_add(e->closed_conns, c);
}
