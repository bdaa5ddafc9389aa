#include "core/exchange.h"

#include "core/dispatch.h"
#include "core/observe.h"
#include "core/outcome.h"
#include "core/probe.h"
#include "core/world_state.h"

#include <assert.h>

enum {
	OPEN_BACKOFF_US = 20 * 1000, /* doubles with each failed attempt */
	OPEN_BACKOFF_DOUBLINGS_MAX = 5,
};

uint32_t exchange_open_conn(struct world *w, uint32_t endpoint,
			    enum conn_purpose purpose, int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, endpoint);
	struct action a = { .type = ACTION_CONN_OPEN };
	uint32_t row = conn_add(&w->conns, endpoint, purpose, now_us);

	if (row == NO_INDEX)
		return NO_INDEX;
	if (purpose == CONN_FOR_WORK) {
		e->work_conns++;
		e->opening++;
	}
	a.open.conn_id = conn_id(&w->conns, row);
	g_strlcpy(a.open.address, e->record.address, sizeof(a.open.address));
	g_strlcpy(a.open.endpoint, e->record.name, sizeof(a.open.endpoint));
	action_queue_push(w->actions, &a);
	return row;
}

static void end_transaction(struct world *w, uint32_t row, const char *reason)
{
	struct transaction *x = &w->transactions.rows[row];

	world_endpoint(w, w->conns.rows[x->conn].endpoint)->pinned--;
	action_queue_log(w->actions, LOG_TRANSACTION_ENDED, 0,
			 world_group(w, x->group)->name, 0, "%s", reason);
	transaction_remove(&w->transactions, row);
}

/* Frees the row and updates the endpoint's counts. */
static void remove_conn(struct world *w, uint32_t row, int64_t now_us)
{
	struct conn *c = &w->conns.rows[row];
	struct endpoint *e = world_endpoint(w, c->endpoint);

	if (c->purpose == CONN_FOR_PROBE) {
		e->probe_conn = NO_INDEX;
	} else {
		e->work_conns--;
		if (c->state == CONN_OPENING)
			e->opening--;
		else if (c->state == CONN_IDLE)
			list_remove(&e->idle, w->conns.links, row);
		else if (c->state == CONN_BUSY && !c->checking)
			e->running--;
	}
	if (c->transaction != NO_INDEX)
		end_transaction(w, c->transaction, "connection closed");
	conn_remove(&w->conns, row);
}

void exchange_close_conn(struct world *w, uint32_t row, int64_t now_us)
{
	struct action a = { .type = ACTION_CONN_CLOSE };

	assert(w->conns.rows[row].request == NO_INDEX);
	a.conn_id = conn_id(&w->conns, row);
	action_queue_push(w->actions, &a);
	remove_conn(w, row, now_us);
}

void exchange_start(struct world *w, uint32_t row, enum exchange_plan plan,
		    uint64_t caller_id, uint64_t term, int64_t now_us)
{
	struct conn *c = &w->conns.rows[row];
	struct action a = { .type = ACTION_EXCHANGE };

	if (c->purpose == CONN_FOR_WORK && !c->checking)
		world_endpoint(w, c->endpoint)->running++;
	c->plan = plan;
	a.exchange.conn_id = conn_id(&w->conns, row);
	a.exchange.exchange = conn_begin_exchange(&w->conns, row, now_us);
	a.exchange.plan = plan;
	a.exchange.caller_id = caller_id;
	a.exchange.term = term;
	action_queue_push(w->actions, &a);
}

void exchange_handle_conn_opened(struct world *w, uint32_t id, int64_t now_us)
{
	uint32_t row = conn_find(&w->conns, id);
	struct conn *c;
	struct endpoint *e;

	if (row == NO_INDEX || w->conns.rows[row].state != CONN_OPENING)
		return;
	c = &w->conns.rows[row];
	e = world_endpoint(w, c->endpoint);
	c->state = CONN_IDLE;
	c->since_us = now_us;
	c->answered_us = now_us;
	action_queue_log(w->actions, LOG_CONN_OPENED, 0, e->record.name, id,
			 "%s", c->purpose == CONN_FOR_PROBE ? "probe" : "work");
	if (c->purpose == CONN_FOR_PROBE)
		return;
	e->opening--;
	e->open_failures = 0;
	list_append(&e->idle, w->conns.links, row);
	dispatch_endpoint(w, c->endpoint, now_us);
}

static void record_conn_failure(struct world *w, const struct conn *c,
				int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, c->endpoint);

	if (c->purpose == CONN_FOR_PROBE) {
		probe_handle_failure(w, c->endpoint, c->since_us, now_us);
		return;
	}
	if (c->state != CONN_OPENING)
		return;
	e->open_failures =
		MIN(e->open_failures + 1, OPEN_BACKOFF_DOUBLINGS_MAX);
	e->open_after_us =
		now_us + ((int64_t)OPEN_BACKOFF_US << e->open_failures);
}

static void handle_conn_end(struct world *w, uint32_t row, int64_t now_us)
{
	struct conn *c = &w->conns.rows[row];
	uint32_t endpoint = c->endpoint;
	uint32_t request = c->request;

	record_conn_failure(w, c, now_us);
	c->request = NO_INDEX;
	remove_conn(w, row, now_us);
	if (request != NO_INDEX)
		outcome_handle_conn_lost(w, request, now_us);
	dispatch_endpoint(w, endpoint, now_us);
}

void exchange_handle_conn_lost(struct world *w, uint32_t id, int64_t now_us)
{
	uint32_t row = conn_find(&w->conns, id);

	if (row == NO_INDEX)
		return;
	action_queue_log(
		w->actions, LOG_CONN_LOST, 0,
		world_endpoint(w, w->conns.rows[row].endpoint)->record.name, id,
		"connection was in state %d", w->conns.rows[row].state);
	handle_conn_end(w, row, now_us);
}

void exchange_close_timed_out_conn(struct world *w, uint32_t row,
				   int64_t now_us)
{
	struct conn *c = &w->conns.rows[row];
	struct action a = { .type = ACTION_CONN_CLOSE };

	action_queue_log(w->actions, LOG_CONN_SILENT, 0,
			 world_endpoint(w, c->endpoint)->record.name,
			 now_us - c->since_us,
			 "closing connection %u: no answer",
			 conn_id(&w->conns, row));
	a.conn_id = conn_id(&w->conns, row);
	action_queue_push(w->actions, &a);
	handle_conn_end(w, row, now_us);
}

/* Makes the connection available for its next exchange. */
static void release_conn(struct world *w, uint32_t row, int64_t now_us)
{
	struct conn *c = &w->conns.rows[row];
	struct endpoint *e = world_endpoint(w, c->endpoint);

	if (c->purpose == CONN_FOR_WORK && !c->checking) {
		e->running--;
		endpoint_add_service_time(e, now_us - c->since_us);
	}
	c->checking = false;
	c->request = NO_INDEX;
	c->since_us = now_us;
	c->answered_us = now_us;
	/* After a BEGIN the connection must not be given to other requests. */
	c->state = c->transaction != NO_INDEX || c->plan == PLAN_BEGIN ?
			   CONN_PINNED :
			   CONN_IDLE;
	if (c->state == CONN_IDLE && c->purpose == CONN_FOR_WORK)
		list_append(&e->idle, w->conns.links, row);
}

static void unpin_conn(struct world *w, uint32_t row, const char *reason)
{
	struct conn *c = &w->conns.rows[row];

	end_transaction(w, c->transaction, reason);
	c->transaction = NO_INDEX;
}

/* COMMIT and ROLLBACK end the transaction, whatever their result. */
static void end_finished_transaction(struct world *w, uint32_t row,
				     enum exchange_plan plan, uint32_t request)
{
	if (w->conns.rows[row].transaction == NO_INDEX)
		return;
	if (plan != PLAN_COMMIT && plan != PLAN_ROLLBACK)
		return;
	unpin_conn(w, row, plan == PLAN_COMMIT ? "committed" : "rolled back");
	w->requests.rows[request].transaction = NO_INDEX;
}

void exchange_handle_result(struct world *w, const struct exchange_result *x,
			    int64_t now_us)
{
	uint32_t row = conn_find(&w->conns, x->conn_id);
	struct conn *c = row == NO_INDEX ? NULL : &w->conns.rows[row];
	uint32_t endpoint;
	uint32_t request;
	int64_t requested_us;

	if (!c || c->state != CONN_BUSY || c->exchange != x->exchange) {
		action_queue_log(w->actions, LOG_CROSSED_RESULT, 0, "",
				 x->conn_id,
				 "exchange number %" G_GUINT64_FORMAT,
				 x->exchange);
		return;
	}
	endpoint = c->endpoint;
	request = c->request;
	requested_us = c->since_us;
	if (request != NO_INDEX) {
		end_finished_transaction(w, row, c->plan, request);
		w->requests.rows[request].conn = NO_INDEX;
		w->requests.rows[request].state = REQUEST_NEW;
	}
	release_conn(w, row, now_us);
	observe_status(w, endpoint, &x->after, requested_us, now_us);
	if (c->purpose == CONN_FOR_PROBE)
		probe_handle_result(w, endpoint, c->plan, x, now_us);
	if (request != NO_INDEX)
		outcome_handle_result(w, request, row, x, now_us);
	dispatch_endpoint(w, endpoint, now_us);
}
