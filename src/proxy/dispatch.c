#include "proxy/dispatch.h"

#include "proxy/admission.h"
#include "proxy/caller.h"
#include "proxy/conn_pool.h"
#include "proxy/endpoint_choice.h"
#include "proxy/engine_state.h"
#include "proxy/exchange.h"
#include "proxy/homes.h"
#include "proxy/hop.h"
#include "proxy/placement.h"
#include "proxy/service_health.h"
#include "proxy/statement_send.h"

#include <string.h>
#include <xxhash.h>

enum {
	/*
	 * Delay before the next attempt after more than one refusal, so that
	 * the state of the endpoints can change.
	 */
	RETRY_DELAY_US = 10 * 1000,
	/*
	 * Delay before the next connection to an endpoint after the host could
	 * not start to open one.
	 */
	LOCAL_OPEN_RETRY_DELAY_US = 100 * 1000,
	/* A connection with more prepared statements than this is closed. */
	CONN_PREPARED_MAX = 200,
	REFUSAL_BYTES = 96, /* reason of a refusal from the queue */
};

static struct service *find_service(const struct session *s)
{
	const struct route *r = session_find_route(s);

	if (s->relayed)
		return engine_find_service(s->engine, s->service);
	return r ? engine_find_service(s->engine, r->service) : NULL;
}

/*
 * Finds the log position that an endpoint must cover to be fresh enough for the
 * session's read. Returns false if no mark is recent enough.
 */
static bool find_min_mark(const struct session *s, const struct route *r,
			  struct service *svc, struct mark *out)
{
	int64_t since = s->transaction == TRANSACTION_NONE ? s->op.arrived_us :
							     s->transaction_us;

	if (!mark_ring_find(&svc->marks, since - r->max_age_us, out))
		return false;
	if (r->freshness == FRESH_SESSION && s->last_write.term &&
	    !position_covers(out->position, s->last_write)) {
		out->position = s->last_write;
		out->requested_us = s->last_write_us;
	}
	return true;
}

static bool reads_only(const struct session *s)
{
	return s->transaction != TRANSACTION_NONE ? s->transaction_reads_only :
						    !s->op.writes;
}

/* Decides which endpoints may run the statement, again for each attempt. */
static void determine_need(struct session *s, const struct route *r,
			   struct service *svc)
{
	struct operation *op = &s->op;
	bool in_transaction = s->transaction != TRANSACTION_NONE;

	op->opens_transaction = in_transaction && !s->pinned;
	op->need = NEED_PRIMARY;
	if (!reads_only(s))
		return;
	if (r->freshness != FRESH_STRICT &&
	    find_min_mark(s, r, svc, &op->min_mark))
		op->need = NEED_READ;
	else if (!in_transaction)
		op->need = NEED_STRICT_READ;
}

static struct upstream_conn *acquire_conn(struct session *s, struct upstream *u,
					  enum conn_source source,
					  int64_t now_us)
{
	if (source == CONN_SOURCE_IDLE)
		return conn_pool_find_idle(u, s);
	if (source == CONN_SOURCE_EVICT)
		dispatch_close_conn(conn_pool_find_evictable(u));
	return dispatch_open_conn(s->engine, u, s->workspace, false, now_us);
}

/*
 * Returns a connection to the home that is to run the statement, or NULL if
 * this instance runs it itself. The home decides where and when.
 */
static struct upstream_conn *acquire_home_conn(struct session *s,
					       const struct route *r,
					       struct service *svc,
					       int64_t now_us)
{
	struct engine *e = s->engine;
	/* Marks are kept at homes, so those known here say nothing. */
	const struct home_request request = {
		.instance = e->opts.instance,
		.zone = e->opts.zone,
		.workspace = s->workspace,
		.op = &s->op,
		.work = reads_only(s) && r->freshness != FRESH_STRICT ?
				HOME_WORK_READ :
				HOME_WORK_PRIMARY,
		.ticket = (uint32_t)g_rand_int_range(e->rand, 0, HOME_TICKETS),
	};
	enum home_fit fit = HOME_FIT_NONE;
	struct upstream_conn *c;
	struct upstream *u;

	if (!svc->has_homes || s->relayed)
		return NULL;
	u = homes_find(svc, &request, now_us, &fit);
	if (!u)
		return NULL;
	c = conn_pool_find_idle_home(u, s);
	if (!c && u->conns->len < conn_pool_limit(e, u))
		c = dispatch_open_conn(e, u, "", false, now_us);
	if (!c)
		return NULL;
	metrics_add(e->opts.metrics, "home_choices_total", home_fit_name(fit),
		    1);
	memset(&s->op.min_mark, 0, sizeof(s->op.min_mark));
	if (s->op.need == NEED_STRICT_READ)
		s->op.need = NEED_READ;
	return c;
}

/*
 * Assigns an endpoint connection to the statement. Returns false if none is
 * available now.
 */
static bool try_send(struct session *s, struct service *svc, int64_t now_us)
{
	const struct route *r = session_find_route(s);
	enum conn_source source = CONN_SOURCE_NONE;
	struct upstream *u;
	struct upstream_conn *c;

	if (!r)
		return false;
	determine_need(s, r, svc);
	c = acquire_home_conn(s, r, svc, now_us);
	if (!c) {
		u = endpoint_choice_find(s, svc, &source, now_us);
		if (!u)
			return false;
		c = acquire_conn(s, u, source, now_us);
	}
	if (!c)
		return false;
	u = c->upstream;
	engine_log(s->engine, LOG_STATEMENT_ROUTED, s->number, u->entry.id,
		   now_us - s->op.arrived_us, "%s need %d via %d age %lld",
		   s->op.query.id, s->op.need, source,
		   s->op.min_mark.requested_us && s->op.need == NEED_READ ?
			   (long long)(now_us - s->op.min_mark.requested_us) :
			   0);
	if (!u->is_home && s->op.need != NEED_PRIMARY && !s->op.sends)
		service_health_count_read(svc);
	s->conn = c;
	c->session = s;
	if (c->state == CONN_STATE_IDLE)
		statement_send_setup(c, now_us);
	return true;
}

static bool needs_primary(const struct session *s)
{
	return s->op.need != NEED_READ;
}

/* Spreads the retries of those who are refused together. */
static int64_t spread_retry_us(const struct engine *e, int64_t wait_us)
{
	int64_t retry_us = wait_us ? wait_us : ADMISSION_DEFAULT_RETRY_US;

	return retry_us +
	       (int64_t)((double)retry_us / 2.0 * g_rand_double(e->rand));
}

/* Refuses a statement that is not in the queue or no longer there. */
static void refuse_waiting(const struct sched_refusal *r, struct service *svc,
			   int64_t now_us)
{
	const struct sched_job *j = r->job;
	struct session *s = j->owner;
	struct engine *e = s->engine;
	char label[REFUSAL_BYTES];
	char reason[REFUSAL_BYTES];

	if (s->closing || !s->op.active)
		return;
	engine_log(e, LOG_STATEMENT_CROWDED_OUT, s->number, s->op.query.id,
		   r->wait_us,
		   "class %u lost to %s; workspace %s has %u of %u waiting",
		   j->class_number, sched_cause_text(r->cause), s->workspace,
		   scheduler_count_workspace(svc->queue, j->workspace),
		   scheduler_count(svc->queue));
	g_snprintf(label, sizeof(label), "class %u, %s", j->class_number,
		   sched_cause_text(r->cause));
	metrics_add(e->opts.metrics, "statements_refused_total", label, 1);
	g_snprintf(reason, sizeof(reason), "%s, class %u lost to %s",
		   needs_primary(s) ? "the primary is not free" :
				      "no endpoint is free",
		   j->class_number, sched_cause_text(r->cause));
	caller_refuse_statement(s, operation_refusal_code(&s->op), reason,
				spread_retry_us(e, r->wait_us), now_us);
}

static struct admission_outage
find_outage(const struct session *s, const struct service *svc, int64_t now_us)
{
	int64_t since_us = service_outage_since_us(svc, now_us);
	struct admission_outage o = { .age_us = ADMISSION_NO_OUTAGE,
				      .typical_us = svc->typical_outage_us };

	if (needs_primary(s) && since_us)
		o.age_us = now_us - since_us;
	return o;
}

/* Measures the room at the endpoints that can run a statement. */
static struct sched_room measure_room(const struct session *s,
				      const struct service *svc, int64_t now_us)
{
	struct admission_outage o = find_outage(s, svc, now_us);
	struct sched_room room = { .blocked_us =
					   admission_expected_outage_us(&o) };
	guint usable = 0;

	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		usable += upstream_is_usable(u);
		if (!endpoint_choice_can_run(s, u))
			continue;
		room.running += u->running;
	}
	room.shared = usable == 1 && svc->primary &&
		      upstream_is_usable(svc->primary) &&
		      upstream_is_usable_primary(svc->primary);
	return room;
}

static int64_t expected_run_us(const struct session *s,
			       const struct service *svc, int64_t now_us)
{
	int64_t run_us = 0;
	int64_t any_us = 0; /* used while none can run it */

	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);
		int64_t latency_us = upstream_expected_latency_us(u, now_us);

		any_us = MAX(any_us, latency_us);
		if (endpoint_choice_can_run(s, u))
			run_us = MAX(run_us, latency_us);
	}
	return run_us ? run_us : any_us;
}

static void enqueue_or_refuse(struct session *s, struct service *svc,
			      int64_t now_us)
{
	struct admission_outage o = find_outage(s, svc, now_us);
	struct sched_room room = measure_room(s, svc, now_us);
	struct sched_refusal refused[SCHED_REFUSED_MAX];
	const struct route *r = session_find_route(s);
	struct operation *op = &s->op;
	uint32_t n;

	op->wait_deadline_us = op->arrived_us + admission_max_wait_us(r, &o);
	op->job = (struct sched_job){
		.owner = s,
		.class_number = r->priority,
		.workspace = XXH64(s->workspace, strlen(s->workspace), 0),
		.needs_primary = needs_primary(s),
		.latest_us = op->wait_deadline_us,
		.run_us = expected_run_us(s, svc, now_us),
	};
	n = scheduler_add(svc->queue, &op->job, &room, refused, now_us);
	/* A refused caller's next statement may change the queue again. */
	for (uint32_t i = 0; i < n; i++)
		refuse_waiting(&refused[i], svc, now_us);
}

/*
 * Returns true if the statement's route leads to another service by now, or is
 * gone.
 */
static bool is_rerouted(const struct session *s, const struct service *svc)
{
	const struct route *r = session_find_route(s);

	return !session_has_newer_route(s) &&
	       (!r || strcmp(r->service, svc->name) != 0);
}

/* Sends a statement to the service of its present route; it was not sent. */
static void reroute(struct session *s, int64_t now_us)
{
	if (s->relayed)
		caller_refuse_statement(s, ANSWER_WRONG_ENDPOINT,
					"the home has another route",
					ADMISSION_DEFAULT_RETRY_US, now_us);
	else
		dispatch_statement(s, now_us);
}

/* Takes out the queued statements whose routes lead elsewhere by now. */
static void reroute_waiting(struct service *svc, int64_t now_us)
{
	GPtrArray *moved = g_ptr_array_new();

	for (struct sched_job *j = scheduler_first(svc->queue); j;
	     j = scheduler_skip(svc->queue)) {
		if (is_rerouted(j->owner, svc))
			g_ptr_array_add(moved, j->owner);
	}
	for (guint i = 0; i < moved->len; i++)
		dispatch_dequeue(g_ptr_array_index(moved, i));
	for (guint i = 0; i < moved->len; i++) {
		struct session *s = g_ptr_array_index(moved, i);

		/* Others' answers may have closed it. */
		if (!s->closing && s->op.active)
			reroute(s, now_us);
	}
	g_ptr_array_free(moved, TRUE);
}

/* Sends the queued statements that can be sent now. */
static void send_waiting(struct service *svc, int64_t now_us)
{
	struct sched_job *j;

	svc->room_freed = false;
	if (svc->routes_changed) {
		svc->routes_changed = false;
		reroute_waiting(svc, now_us);
	}
	j = scheduler_first(svc->queue);
	while (j) {
		struct session *s = j->owner;

		if (now_us >= s->op.backoff_until_us &&
		    try_send(s, svc, now_us)) {
			j = scheduler_send(svc->queue);
		} else {
			j->needs_primary = needs_primary(s);
			j = scheduler_skip(svc->queue);
		}
	}
}

void dispatch_use_started_conn(struct upstream_conn *c, int64_t now_us)
{
	struct session *s = c->session;

	if (!is_rerouted(s, c->upstream->service)) {
		statement_send_setup(c, now_us);
		return;
	}
	dispatch_release_conn(c, now_us);
	reroute(s, now_us);
}

/* Sends the statement unless those that wait take the room. */
static void send_or_enqueue(struct session *s, struct service *svc,
			    int64_t now_us)
{
	if (svc->room_freed || svc->routes_changed)
		send_waiting(svc, now_us);
	if (now_us < s->op.backoff_until_us || !try_send(s, svc, now_us))
		enqueue_or_refuse(s, svc, now_us);
}

void dispatch_statement(struct session *s, int64_t now_us)
{
	const struct route *r = session_find_route(s);
	struct service *svc = find_service(s);
	struct operation *op = &s->op;

	if (!r || !svc) {
		caller_refuse_statement(s, ANSWER_OVERLOADED,
					"no endpoint is known",
					ADMISSION_DEFAULT_RETRY_US, now_us);
		return;
	}
	op->deadline_us = op->arrived_us + r->timeout_us;
	if (s->pinned) {
		s->conn = s->pinned;
		statement_send_setup(s->pinned, now_us);
		return;
	}
	send_or_enqueue(s, svc, now_us);
}

void dispatch_retry(struct session *s, const char *reason, int64_t now_us)
{
	struct service *svc = find_service(s);
	struct operation *op = &s->op;

	g_string_truncate(op->rows, 0);
	op->sent = false;
	if (!svc || op->sends >= OPERATION_SENDS_MAX ||
	    now_us >= op->deadline_us) {
		caller_refuse_statement(s,
					op->last_code ? op->last_code :
							ANSWER_ABORTED,
					reason, ADMISSION_DEFAULT_RETRY_US,
					now_us);
		return;
	}
	if (is_rerouted(s, svc)) {
		reroute(s, now_us);
		return;
	}
	engine_log(s->engine, LOG_STATEMENT_AGAIN, s->number, op->query.id,
		   now_us - op->arrived_us, "%s, tries %u", reason, op->sends);
	op->backoff_until_us = now_us + (op->refusals > 1 ? RETRY_DELAY_US : 0);
	send_or_enqueue(s, svc, now_us);
}

void dispatch_dequeue(struct session *s)
{
	scheduler_remove(&s->op.job);
}

/* Refuses the queued statements that waited too long. */
static void refuse_late(struct service *svc, int64_t now_us)
{
	struct sched_job *j;

	while ((j = scheduler_find_late(svc->queue, now_us))) {
		struct sched_room room = measure_room(j->owner, svc, now_us);
		struct sched_refusal r = scheduler_estimate(j, &room);

		/* It was expected to be sent by now. */
		r.wait_us = MAX(r.wait_us, ADMISSION_DEFAULT_RETRY_US);
		scheduler_remove(j);
		refuse_waiting(&r, svc, now_us);
	}
}

void dispatch_run_queue(struct service *svc, int64_t now_us)
{
	refuse_late(svc, now_us);
	send_waiting(svc, now_us);
}

static void start_cleanup(struct upstream_conn *c, int64_t now_us)
{
	const struct proxy_message rollback = {
		.statement = PROXY_STATEMENT_ROLLBACK
	};

	c->state = CONN_STATE_CLEANUP;
	if (!c->in_transaction || c->request_count)
		return;
	upstream_conn_put_message(c, c->engine->opts.wire, &rollback,
				  CONN_REQUEST_ROLLBACK, now_us);
	engine_conn_flush(c);
}

/*
 * Returns true if the endpoint should not be used, or if the connection exceeds
 * this instance's share or holds too many prepared statements.
 */
static bool should_close(const struct upstream_conn *c)
{
	const struct upstream *u = c->upstream;

	return !upstream_is_usable(u) || !u->listed ||
	       u->conns->len > conn_pool_limit(c->engine, u) ||
	       g_hash_table_size(c->prepared) > CONN_PREPARED_MAX;
}

void dispatch_release_conn(struct upstream_conn *c, int64_t now_us)
{
	if (c->session) {
		c->session->conn = NULL;
		if (c->session->pinned == c)
			c->session->pinned = NULL;
		c->session = NULL;
	}
	if (c->closed || c->state == CONN_STATE_STARTING)
		return;
	c->unsealed.has_mark = false;
	if (c->retired && !c->control && c->state != CONN_STATE_PROBING) {
		dispatch_close_conn(c);
		return;
	}
	if (c->state == CONN_STATE_RUNNING)
		c->upstream->running--;
	if (c->request_count || c->in_transaction) {
		start_cleanup(c, now_us);
		return;
	}
	c->state = CONN_STATE_IDLE;
	c->idle_since_us = now_us;
	c->upstream->service->room_freed = true;
	if (!c->control && should_close(c))
		dispatch_close_conn(c);
}

struct upstream_conn *dispatch_open_conn(struct engine *e, struct upstream *u,
					 const char *workspace, bool control,
					 int64_t now_us)
{
	struct upstream_conn *c = upstream_conn_new(e, u, workspace, now_us);

	c->control = control;
	c->stream = e->opts.ops->conn_open(e->opts.host, u->entry.address, c);
	if (!c->stream) {
		u->open_after_us = now_us + LOCAL_OPEN_RETRY_DELAY_US;
		upstream_conn_free(c);
		return NULL;
	}
	g_ptr_array_add(u->conns, c);
	c->any_id = control && upstream_has_unknown_successor(u);
	if (u->is_home)
		hop_put_start(c->out, u->entry.service);
	else
		e->opts.wire->put_start(c->out, u->entry.service, workspace,
					c->any_id ? NULL : u->entry.id);
	upstream_conn_push_request(c, CONN_REQUEST_START, now_us);
	metrics_add(e->opts.metrics, "connections_opened_total",
		    u->is_home ? "home" :
		    control    ? "control" :
				 "work",
		    1);
	return c;
}

void dispatch_close_conn(struct upstream_conn *c)
{
	struct engine *e = c->engine;

	if (c->closed)
		return;
	c->closed = true;
	c->upstream->service->room_freed = true;
	if (c->state == CONN_STATE_RUNNING)
		c->upstream->running--;
	g_ptr_array_remove(c->upstream->conns, c);
	if (c->upstream->check_conn == c)
		c->upstream->check_conn = NULL;
	e->opts.ops->conn_close(e->opts.host, c->stream);
	if (c->control)
		failover_handle_conn_lost(e->failovers, c, engine_now(e));
	g_ptr_array_add(e->closed_conns, c);
}
