#include "proxy/hedging.h"

#include "proxy/dispatch.h"
#include "proxy/endpoint_choice.h"
#include "proxy/engine_state.h"

enum {
	/*
	 * Each throws an attempt away, so each has to wait longer than the one
	 * before: what is slow everywhere must end somewhere.
	 */
	HEDGES_MAX = 2,
	/* Reads are not sent to a connection that would start as late. */
	START_RETRY_US = 300 * 1000,
};

/* Returns true if the statement may be sent again, or has not been sent. */
static bool may_repeat(const struct session *s)
{
	const struct operation *op = &s->op;

	if (!op->sent)
		return true;
	return !op->writes && s->transaction == TRANSACTION_NONE &&
	       op->query.kind != QUERY_COMMIT;
}

/*
 * Returns since when the connection has not answered what the statement waits
 * for, or 0 if it waits for nothing or must stay there.
 */
static int64_t find_late_since_us(const struct session *s,
				  const struct upstream_conn *c)
{
	const struct conn_request *request;

	if (!c || c->closed || c->session != s || s->pinned == c ||
	    c->upstream->is_home || !s->op.active || s->op.job.scheduler)
		return 0;
	if (c->state == CONN_STATE_STARTING)
		return c->opened_us;
	request = upstream_conn_oldest_request(c);
	if (c->state != CONN_STATE_RUNNING || !request || !may_repeat(s))
		return 0;
	return request->sent_us;
}

static int64_t get_delay_us(const struct session *s,
			    const struct upstream_conn *c, int64_t since_us)
{
	const struct service *svc = c->upstream->service;
	const struct route *r = session_find_route(s);
	const struct hedge_times *t = c->state == CONN_STATE_STARTING ?
					      &svc->handshake_times :
					      &svc->read_times;
	int64_t aim_us = s->op.arrived_us + (r ? r->target_us : 0);

	return hedge_delay_us(hedge_times_high_us(t), aim_us - since_us)
	       << s->op.hedges;
}

/* Takes the statement off its connection. */
static void detach(struct session *s, struct upstream_conn *c, int64_t now_us)
{
	struct upstream *u = c->upstream;

	s->conn = NULL;
	c->session = NULL;
	/* A connection that starts carries nothing yet and may still serve. */
	if (c->state != CONN_STATE_STARTING)
		dispatch_close_conn(c);
	/* Whether the primary is silent, its next probe shows. */
	if (u == u->service->primary)
		u->service->probe_due_us = now_us;
	else if (c->state == CONN_STATE_STARTING)
		u->open_after_us =
			MAX(u->open_after_us, now_us + START_RETRY_US);
}

bool hedging_try(struct session *s, int64_t now_us)
{
	struct upstream_conn *c = s->conn;
	int64_t since_us = find_late_since_us(s, c);
	struct engine *e = s->engine;
	struct service *svc;

	if (!since_us || s->op.hedges >= HEDGES_MAX ||
	    now_us - since_us < get_delay_us(s, c, since_us))
		return false;
	svc = c->upstream->service;
	if (!endpoint_choice_can_move(s, c->upstream, now_us) ||
	    !hedge_take(&svc->hedge_budget))
		return false;
	engine_log(e, LOG_READ_HEDGED, s->number, c->upstream->entry.id,
		   now_us - since_us, "%s %s", s->op.query.id,
		   s->op.sent ? "has no answer" : "could not be sent");
	metrics_add(e->opts.metrics, "hedged_statements_total", svc->name, 1);
	s->op.hedges++;
	s->op.hedged = s->op.sent ? c->upstream : NULL;
	s->op.hedge_delay_us = now_us - since_us;
	detach(s, c, now_us);
	operation_avoid_endpoint(&s->op, c->upstream);
	dispatch_retry(s, "no answer yet", now_us);
	return true;
}

/* It may have been removed since. */
static struct upstream *find_upstream(const struct service *svc,
				      const struct upstream *u)
{
	for (guint i = 0; i < svc->upstreams->len; i++) {
		struct upstream *other = g_ptr_array_index(svc->upstreams, i);

		if (other == u)
			return other;
	}
	return NULL;
}

void hedging_handle_result(struct session *s, int64_t took_us, int64_t now_us)
{
	const struct service *svc = s->conn->upstream->service;
	struct upstream *u =
		s->op.hedged ? find_upstream(svc, s->op.hedged) : NULL;

	if (!u || took_us >= s->op.hedge_delay_us)
		return;
	endpoint_health_record(u->health, HEALTH_READ, HEALTH_NO_ANSWER, 0,
			       now_us);
	metrics_add(s->engine->opts.metrics, "endpoint_no_answers_total",
		    u->entry.id, 1);
}
