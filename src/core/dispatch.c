#include "core/dispatch.h"

#include "core/answer.h"
#include "core/exchange.h"
#include "core/route.h"
#include "core/world_state.h"

#include <assert.h>

enum {
	/* Time without an answer until an idle connection is checked. */
	IDLE_CHECK_US = 1000 * 1000,
	IDLE_CHECK_TIMEOUT_US = 500 * 1000,
	PIN_REFUSED_RETRY_US = 100 * 1000,
	/* Interval at which a BEGIN checks for a connection it may pin. */
	PIN_POLL_INTERVAL_US = 10 * 1000,
	/*
	 * A BEGIN that has waited this long is refused: the open transactions
	 * are unlikely to end soon.
	 */
	PIN_WAIT_MAX_US = 800 * 1000,
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

static void account_first_send(struct world *w, const struct request *r,
			       int64_t now_us)
{
	retry_budget_add(&w->retries);
	if (r->cost_milli)
		limit_commit(
			w->limits,
			catalog_get_workspace(&w->catalog, r->workspace)->name,
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
		account_first_send(w, r, now_us);
	r->earlier_may_have_run = r->may_have_run;
	if (carries_statement(r->plan))
		r->may_have_run = true;
	if (is_write(r->plan))
		r->write_term = MAX(r->write_term, r->sent_term);
	c->request = row;
	exchange_start(w, conn, r->plan, r->opts.caller_id, 0, now_us);
}

/* At least one connection must remain for requests outside transactions. */
static bool can_pin_conn(const struct endpoint *e)
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
 * If the process was paused while the request was queued, its deadline may
 * have passed or its API key may no longer be confirmed as valid. Replies with
 * the error and returns false in that case.
 */
static bool check_still_valid(struct world *w, uint32_t row, int64_t now_us)
{
	const struct request *r = &w->requests.rows[row];
	int64_t retry_us = 0;
	int32_t error = ERR_NONE;

	if (now_us >= r->opts.deadline_us)
		error = ERR_DEADLINE;
	else if (!r->keyless)
		error = key_guard_check(w->keys, now_us, &retry_us);
	if (error)
		answer_error(w, row, error, retry_us, now_us);
	return error == ERR_NONE;
}

/*
 * Delays a BEGIN, of which nothing has been sent yet, until other transactions
 * may have ended.
 */
static void delay_or_reject_begin(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	if (now_us - r->arrived_us >= PIN_WAIT_MAX_US ||
	    now_us + PIN_POLL_INTERVAL_US >= r->opts.deadline_us) {
		answer_error(w, row, ERR_OVERLOADED, PIN_REFUSED_RETRY_US,
			     now_us);
		return;
	}
	r->state = REQUEST_DELAYED;
	r->resume_at_us = now_us + PIN_POLL_INTERVAL_US;
	list_append(&w->requests.delayed, w->requests.links, row);
	request_schedule_check(&w->requests, r->resume_at_us);
}

static void start_next_request(struct world *w, uint32_t endpoint,
			       int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, endpoint);
	uint32_t row = queue_pop(&e->queue, w->requests.links);
	struct request *r = &w->requests.rows[row];
	uint32_t conn;

	r->state = REQUEST_NEW;
	if (!check_still_valid(w, row, now_us))
		return;
	if (r->plan == PLAN_BEGIN && !can_pin_conn(e)) {
		delay_or_reject_begin(w, row, now_us);
		return;
	}
	conn = list_take_last(&e->idle, w->conns.links);
	start_request(w, conn, row, now_us);
}

void dispatch_endpoint(struct world *w, uint32_t endpoint, int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, endpoint);

	while (e->queue.count && e->idle.count && endpoint_is_usable(e) &&
	       e->running < e->running_limit)
		start_next_request(w, endpoint, now_us);
	if (e->queue.count && !e->idle.count && endpoint_is_usable(e))
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

/*
 * Closes a connection that timed out, unless its request could not be retried
 * on another one: a request that must not be repeated, that belongs to a
 * transaction or that has timed out before keeps its connection.
 */
static void close_unanswered_conn(struct world *w, uint32_t conn,
				  int64_t now_us)
{
	struct conn *c = &w->conns.rows[conn];
	struct request *r;

	if (c->request == NO_INDEX) {
		exchange_close_timed_out_conn(w, conn, now_us);
		return;
	}
	r = &w->requests.rows[c->request];
	if (!r->may_repeat || r->timed_out_once || r->transaction != NO_INDEX)
		return;
	r->timed_out_once = true;
	exchange_close_timed_out_conn(w, conn, now_us);
}

/* A connection stays open for a request that cannot be retried elsewhere. */
static bool can_close_conn(const struct world *w, const struct conn *c)
{
	const struct request *r;

	if (c->state == CONN_FREE || c->state == CONN_PINNED)
		return false;
	if (c->request == NO_INDEX)
		return true;
	r = &w->requests.rows[c->request];
	return r->may_repeat && r->transaction == NO_INDEX;
}

void dispatch_close_conns(struct world *w, uint32_t endpoint, int64_t now_us)
{
	for (uint32_t i = 0; i < w->conns.high_water; i++) {
		const struct conn *c = &w->conns.rows[i];

		if (c->endpoint == endpoint && c->purpose == CONN_FOR_WORK &&
		    can_close_conn(w, c))
			exchange_close_timed_out_conn(w, i, now_us);
	}
}

static void check_conn(struct world *w, uint32_t conn, int64_t now_us)
{
	struct conn *c = &w->conns.rows[conn];
	int64_t elapsed_us = now_us - c->since_us;

	if (c->purpose != CONN_FOR_WORK)
		return;
	switch (c->state) {
	case CONN_OPENING:
		if (elapsed_us >= w->opts.silence_us)
			exchange_close_timed_out_conn(w, conn, now_us);
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
		if (c->checking && elapsed_us >= IDLE_CHECK_TIMEOUT_US)
			exchange_close_timed_out_conn(w, conn, now_us);
		else if (!c->checking && elapsed_us >= w->opts.silence_us)
			close_unanswered_conn(w, conn, now_us);
		break;
	case CONN_FREE:
	case CONN_PINNED:
		break;
	}
}

void dispatch_run(struct world *w, int64_t now_us)
{
	for (uint32_t i = 0; i < w->conns.high_water; i++) {
		if (w->conns.rows[i].state != CONN_FREE)
			check_conn(w, i, now_us);
	}
	for (uint32_t i = 0; i < w->endpoints->len; i++)
		dispatch_endpoint(w, i, now_us);
}
