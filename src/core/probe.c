#include "core/probe.h"

#include "core/dispatch.h"
#include "core/exchange.h"
#include "core/observe.h"
#include "core/promotion.h"
#include "core/route.h"
#include "core/world_state.h"

enum {
	/* Probe interval while requests wait for a quorum. */
	FAST_PROBE_INTERVAL_US = 2 * 1000,
	/* Pause between attempts to connect. */
	RECONNECT_DELAY_US = 50 * 1000,
	/* An endpoint is down after the old and a new connection failed. */
	PROBE_ATTEMPTS = 2,
};

static bool has_unconfirmed_requests(const struct world *w,
				     const struct endpoint *e)
{
	return world_group(w, e->group)->unconfirmed.count > 0;
}

bool probe_send_plan(struct world *w, uint32_t row, enum exchange_plan plan,
		     uint64_t term, int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, row);

	if (e->probe_conn == NO_INDEX ||
	    w->conns.rows[e->probe_conn].state != CONN_IDLE)
		return false;
	exchange_start(w, e->probe_conn, plan, 0, term, now_us);
	return true;
}

static void start_probe(struct world *w, uint32_t row, int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, row);
	int64_t interval = has_unconfirmed_requests(w, e) ?
				   FAST_PROBE_INTERVAL_US :
				   w->opts.probe_interval_us;

	if (probe_send_plan(w, row, PLAN_PROBE, 0, now_us))
		e->probe_due_us = now_us + interval;
}

void probe_group_now(struct world *w, uint32_t group, int64_t now_us)
{
	struct group *g = world_group(w, group);

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		struct endpoint *e = world_endpoint(w, g->endpoints[i]);

		if (e->probe_due_us > now_us + FAST_PROBE_INTERVAL_US)
			e->probe_due_us = now_us;
		if (e->probe_due_us <= now_us)
			start_probe(w, g->endpoints[i], now_us);
	}
}

static void mark_endpoint_down(struct world *w, uint32_t row, int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, row);

	e->down = true;
	action_queue_log(w->actions, LOG_ENDPOINT_DOWN, 0, e->record.name,
			 now_us - e->silent_since_us,
			 "probes failed; marked down");
	observe_update_primary(w, e->group, now_us);
	route_requeue(w, row, now_us);
	dispatch_close_conns(w, row, now_us);
}

void probe_handle_failure(struct world *w, uint32_t row, int64_t requested_us,
			  int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, row);

	e->probe_due_us = now_us + RECONNECT_DELAY_US;
	if (!e->silent_since_us) {
		if (world_group(w, e->group)->primary == row)
			action_queue_log(w->actions, LOG_PRIMARY_SUSPECTED, 0,
					 e->record.name, now_us - requested_us,
					 "probe failed; trying a new "
					 "connection");
		/* The endpoint may be up: only the connection may be lost. */
		e->silent_since_us = requested_us;
		e->probe_due_us = now_us;
	} else if (!e->down &&
		   now_us - e->silent_since_us >= w->opts.suspect_us) {
		mark_endpoint_down(w, row, now_us);
	}
}

void probe_handle_result(struct world *w, uint32_t row, enum exchange_plan plan,
			 const struct exchange_result *x, int64_t now_us)
{
	if (plan == PLAN_RAISE_TERM || plan == PLAN_PROMOTE)
		promotion_handle_answer(w, row, plan, x, now_us);
}

static void check_probe_timeout(struct world *w, uint32_t row, int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, row);
	const struct conn *c = &w->conns.rows[e->probe_conn];

	if (now_us - c->since_us < w->opts.suspect_us / PROBE_ATTEMPTS)
		return;
	exchange_close_timed_out_conn(w, e->probe_conn, now_us);
}

static void probe_endpoint(struct world *w, uint32_t row, int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, row);

	if (!e->exists)
		return;
	if (e->probe_conn == NO_INDEX) {
		if (now_us >= e->probe_due_us)
			e->probe_conn =
				exchange_open_conn(w, row, CONN_FOR_PROBE,
						   now_us);
		return;
	}
	if (w->conns.rows[e->probe_conn].state != CONN_IDLE)
		check_probe_timeout(w, row, now_us);
	else if (now_us >= e->probe_due_us || !e->has_status ||
		 e->silent_since_us)
		start_probe(w, row, now_us);
}

void probe_run(struct world *w, int64_t now_us)
{
	for (uint32_t i = 0; i < w->endpoints->len; i++)
		probe_endpoint(w, i, now_us);
}
