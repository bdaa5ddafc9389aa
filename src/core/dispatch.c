#include "core/dispatch.h"

#include "core/answer.h"
#include "core/exchange.h"
#include "core/route.h"
#include "core/world_state.h"

#include <assert.h>

enum {
	/* An idle connection that answered nothing for so long is checked. */
	IDLE_CHECK_US = 1000 * 1000,
	IDLE_CHECK_TIMEOUT_US = 500 * 1000,
	PINNED_RETRY_US = 100 * 1000,
	/* Until a transaction that found too many others looks again. */
	PINNED_WAIT_US = 10 * 1000,
	/* After that it is refused: the others are not about to end. */
	PINNED_WAIT_MAX_US = 800 * 1000,
};

static bool is_write(enum exchange_plan plan)
{
	return plan == PLAN_WRITE || plan == PLAN_WRITE_BY_ID ||
	       plan == PLAN_COMMIT;
}

static bool carries_statement(enum exchange_plan plan)
{
	return plan == PLAN_READ || plan == PLAN_STATEMENT || is_write(plan);
}

static void first_send(struct world *w, const struct request *r, int64_t now_us)
{
	retry_earn(&w->retries);
	if (r->cost_milli)
		limit_commit(w->limits,
			     catalog_workspace(&w->catalog, r->workspace)->name,
			     r->cost_milli, now_us);
}

static void start_request(struct world *w, uint32_t conn, uint32_t row,
			  int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	struct conn *c = &w->conns.rows[conn];

	r->state = REQUEST_RUNNING;
	r->conn = conn;
	r->endpoint = c->endpoint;
	r->sent_us = now_us;
	r->sent_term = world_group(w, r->group)->term;
	r->attempts++;
	if (r->attempts == 1)
		first_send(w, r, now_us);
	r->earlier_may_have_run = r->may_have_run;
	if (carries_statement(r->plan))
		r->may_have_run = true;
	if (is_write(r->plan))
		r->write_term = MAX(r->write_term, r->sent_term);
	c->request = row;
	exchange_start(w, conn, r->plan, r->opts.caller_id, 0, now_us);
}

/* A transaction must leave one connection to everybody else. */
static bool may_pin(const struct endpoint *e)
{
	return e->pinned + 1 < MAX(e->conn_limit, 2);
}

static void open_conn(struct world *w, uint32_t endpoint, int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, endpoint);

	if (now_us < e->open_after_us || e->opening >= e->queue.count ||
	    e->work_conns >= e->conn_limit)
		return;
	exchange_open_conn(w, endpoint, CONN_FOR_WORK, now_us);
}

/*
 * A request that waited, in an instance that was paused meanwhile, may have
 * passed its deadline or the time for which its key is known to be in force.
 */
static bool still_valid(struct world *w, uint32_t row, int64_t now_us)
{
	const struct request *r = &w->requests.rows[row];
	int64_t retry_us = 0;
	int32_t error = ERR_NONE;

	if (now_us >= r->opts.deadline_us)
		error = ERR_DEADLINE;
	else if (!r->open)
		error = key_guard_check(w->keys, now_us, &retry_us);
	if (error)
		answer_error(w, row, error, retry_us, now_us);
	return error == ERR_NONE;
}

/* Nothing of it was sent, so it may wait for others to end. */
static void delay_begin(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	if (now_us - r->arrived_us >= PINNED_WAIT_MAX_US ||
	    now_us + PINNED_WAIT_US >= r->opts.deadline_us) {
		answer_error(w, row, ERR_OVERLOADED, PINNED_RETRY_US, now_us);
		return;
	}
	r->state = REQUEST_DELAYED;
	r->resume_us = now_us + PINNED_WAIT_US;
	list_append(&w->requests.delayed, w->requests.links, row);
	request_due(&w->requests, r->resume_us);
}

static void start_next(struct world *w, uint32_t endpoint, int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, endpoint);
	uint32_t row = queue_pop(&e->queue, w->requests.links);
	struct request *r = &w->requests.rows[row];
	uint32_t conn;

	r->state = REQUEST_NEW;
	if (!still_valid(w, row, now_us))
		return;
	if (r->plan == PLAN_BEGIN && !may_pin(e)) {
		delay_begin(w, row, now_us);
		return;
	}
	conn = list_take_last(&e->idle, w->conns.links);
	start_request(w, conn, row, now_us);
}

void dispatch_endpoint(struct world *w, uint32_t endpoint, int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, endpoint);

	while (e->queue.count && e->idle.count && endpoint_usable(e) &&
	       e->running < e->running_limit)
		start_next(w, endpoint, now_us);
	if (e->queue.count && !e->idle.count && endpoint_usable(e))
		open_conn(w, endpoint, now_us);
}

void dispatch_transaction(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	struct transaction *x = &w->transactions.rows[r->transaction];

	assert(x->request == NO_INDEX);
	assert(w->conns.rows[x->conn].state == CONN_PINNED);
	x->request = row;
	start_request(w, x->conn, row, now_us);
}

/* A read or a recorded write may be sent again on another connection. */
static void retire_silent(struct world *w, uint32_t conn, int64_t now_us)
{
	struct conn *c = &w->conns.rows[conn];
	struct request *r;

	if (c->request == NO_INDEX) {
		exchange_conn_silent(w, conn, now_us);
		return;
	}
	r = &w->requests.rows[c->request];
	if (!r->may_repeat || r->was_silent || r->transaction != NO_INDEX)
		return;
	r->was_silent = true;
	exchange_conn_silent(w, conn, now_us);
}

static bool may_give_up(const struct world *w, const struct conn *c)
{
	const struct request *r;

	if (c->state == CONN_FREE || c->state == CONN_PINNED)
		return false;
	if (c->request == NO_INDEX)
		return true;
	r = &w->requests.rows[c->request];
	return r->may_repeat && r->transaction == NO_INDEX;
}

void dispatch_give_up(struct world *w, uint32_t endpoint, int64_t now_us)
{
	for (uint32_t i = 0; i < w->conns.high; i++) {
		const struct conn *c = &w->conns.rows[i];

		if (c->endpoint == endpoint && c->purpose == CONN_FOR_WORK &&
		    may_give_up(w, c))
			exchange_conn_silent(w, i, now_us);
	}
}

static void check_conn(struct world *w, uint32_t conn, int64_t now_us)
{
	struct conn *c = &w->conns.rows[conn];
	int64_t quiet = now_us - c->since_us;

	if (c->purpose != CONN_FOR_WORK)
		return;
	switch (c->state) {
	case CONN_OPENING:
		if (quiet >= w->opts.silence_us)
			exchange_conn_silent(w, conn, now_us);
		break;
	case CONN_IDLE:
		if (now_us - c->answered_us < IDLE_CHECK_US)
			break;
		list_remove(&world_endpoint(w, c->endpoint)->idle,
			    w->conns.links, conn);
		c->checking = true;
		exchange_start(w, conn, PLAN_PROBE, 0, 0, now_us);
		break;
	case CONN_BUSY:
		if (c->checking && quiet >= IDLE_CHECK_TIMEOUT_US)
			exchange_conn_silent(w, conn, now_us);
		else if (!c->checking && quiet >= w->opts.silence_us)
			retire_silent(w, conn, now_us);
		break;
	case CONN_FREE:
	case CONN_PINNED:
		break;
	}
}

void dispatch_run(struct world *w, int64_t now_us)
{
	for (uint32_t i = 0; i < w->conns.high; i++) {
		if (w->conns.rows[i].state != CONN_FREE)
			check_conn(w, i, now_us);
	}
	for (uint32_t i = 0; i < w->endpoints->len; i++)
		dispatch_endpoint(w, i, now_us);
}
