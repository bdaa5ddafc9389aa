#include "core/outcome.h"

#include "core/answer.h"
#include "core/confirm.h"
#include "core/exchange.h"
#include "core/route.h"
#include "core/world_state.h"

#include <assert.h>
#include <string.h>

enum { RETRY_HINT_US = 200 * 1000 };

typedef void (*outcome_fn)(struct world *w, uint32_t row, uint32_t conn,
			   const struct exchange_result *x, int64_t now_us);

/* Returns true if the endpoint was primary, in one term, all the time. */
static bool was_primary_throughout(const struct exchange_result *x)
{
	return x->before.role == ROLE_PRIMARY &&
	       x->after.role == ROLE_PRIMARY &&
	       x->before.current_term == x->after.current_term;
}

/* Notes that the last send is known to have had no effect. */
static void mark_not_executed(struct request *r)
{
	r->may_have_run = r->earlier_may_have_run;
}

static int32_t get_result_error(enum result_status status)
{
	return status == RESULT_TOO_LARGE ? ERR_RESULT_TOO_LARGE : ERR_NONE;
}

static void switch_to_lookup(struct world *w, uint32_t row)
{
	struct request *r = &w->requests.rows[row];

	r->plan = PLAN_LOOKUP;
	r->transaction = NO_INDEX;
}

static void retry_stale_read(struct world *w, uint32_t row, const char *reason,
			     int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	action_queue_log(w->actions, LOG_STALE_RESULT, r->opts.caller_id,
			 world_endpoint(w, r->endpoint)->record.name, 0, "%s",
			 reason);
	route_retry(w, row, ERR_TOO_STALE, now_us);
}

/*
 * Checks whether the data is fresh enough for the request, by the log position
 * that was read before the statement. Retries the read if it is not.
 */
static void check_read_freshness(struct world *w, uint32_t row,
				 const struct exchange_result *x,
				 int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	const struct group *g = world_group(w, r->group);
	bool primary =
		was_primary_throughout(x) && x->before.current_term >= g->term;
	int64_t current_us;

	r->seen_position = x->before.position;
	if (!position_covers(x->before.position, r->opts.session)) {
		retry_stale_read(w, row, "data is behind the session", now_us);
		return;
	}
	if (r->max_age_us == 0 && !primary) {
		retry_stale_read(w, row, "endpoint is not the primary", now_us);
		return;
	}
	current_us = group_position_current_at_us(g, world_endpoints(w),
						  x->before.position);
	if (r->max_age_us && current_us != INT64_MIN &&
	    now_us - current_us <= r->max_age_us) {
		r->age_us = now_us - current_us;
		answer_completed(w, row, ERR_NONE, now_us);
	} else if (primary) {
		confirm_read(w, row, x->before.current_term,
			     r->max_age_us ? r->sent_us : r->arrived_us,
			     now_us);
	} else {
		retry_stale_read(w, row,
				 "data is older than the profile allows",
				 now_us);
	}
}

static void on_read(struct world *w, uint32_t row, uint32_t conn,
		    const struct exchange_result *x, int64_t now_us)
{
	switch (x->status) {
	case RESULT_OK:
		check_read_freshness(w, row, x, now_us);
		break;
	case RESULT_SQL_ERROR:
		answer_completed(w, row, ERR_SQL, now_us);
		break;
	case RESULT_TOO_LARGE:
		answer_completed(w, row, ERR_RESULT_TOO_LARGE, now_us);
		break;
	default:
		route_retry(w, row, ERR_NO_ENDPOINT, now_us);
	}
}

void outcome_handle_primary_replaced(struct world *w, uint32_t row,
				     int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	if (r->plan == PLAN_COMMIT)
		switch_to_lookup(w, row);
	route_retry(w, row, ERR_PRIMARY_REPLACED, now_us);
}

/* A rejected write had no effect, but an earlier send of it may have had. */
static void handle_write_rejected(struct world *w, uint32_t row, int32_t error,
				  int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	mark_not_executed(r);
	if (r->may_have_run)
		route_retry(w, row, error, now_us);
	else if (error == ERR_SQL)
		answer_completed(w, row, error, now_us);
	else
		answer_error(w, row, error, 0, now_us);
}

static void handle_not_primary(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	mark_not_executed(r);
	if (r->may_repeat)
		route_retry(w, row, ERR_NO_PRIMARY, now_us);
	else
		answer_error(w, row, ERR_NO_PRIMARY, RETRY_HINT_US, now_us);
}

static void confirm_written(struct world *w, uint32_t row,
			    const struct exchange_result *x, int64_t now_us)
{
	if (!was_primary_throughout(x) ||
	    x->after.position.term != x->after.current_term) {
		outcome_handle_primary_replaced(w, row, now_us);
		return;
	}
	confirm_write(w, row, x->after.position, VERDICT_RAN,
		      get_result_error(x->status), now_us);
}

static void on_write(struct world *w, uint32_t row, uint32_t conn,
		     const struct exchange_result *x, int64_t now_us)
{
	switch (x->status) {
	case RESULT_OK:
	case RESULT_TOO_LARGE:
		confirm_written(w, row, x, now_us);
		break;
	case RESULT_SQL_ERROR:
		handle_write_rejected(w, row, ERR_SQL, now_us);
		break;
	case RESULT_DUPLICATE:
		switch_to_lookup(w, row);
		route_request(w, row, now_us);
		break;
	default:
		handle_not_primary(w, row, now_us);
	}
}

static void on_commit(struct world *w, uint32_t row, uint32_t conn,
		      const struct exchange_result *x, int64_t now_us)
{
	if (x->status == RESULT_SQL_ERROR || x->status == RESULT_NOT_PRIMARY)
		handle_write_rejected(w, row, ERR_TRANSACTION_ABORTED, now_us);
	else
		on_write(w, row, conn, x, now_us);
}

/*
 * Handles a commit whose request id is not recorded. If the term has changed
 * since it was sent, the commit can no longer take effect once a quorum holds
 * the log of the later term.
 */
static void handle_not_recorded(struct world *w, uint32_t row,
				const struct exchange_result *x, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	if (!r->write_term)
		answer_error(w, row, ERR_UNKNOWN_TRANSACTION, 0, now_us);
	else if (was_primary_throughout(x) &&
		 x->before.current_term > r->write_term)
		confirm_write(w, row, x->after.position, VERDICT_NOT_RUN,
			      ERR_TRANSACTION_ABORTED, now_us);
	else
		route_retry(w, row, ERR_CONNECTION_LOST, now_us);
}

static void on_lookup(struct world *w, uint32_t row, uint32_t conn,
		      const struct exchange_result *x, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	switch (x->status) {
	case RESULT_OK:
		confirm_written(w, row, x, now_us);
		break;
	case RESULT_ID_REUSED:
		r->may_have_run = false;
		answer_error(w, row, ERR_REQUEST_ID_REUSED, 0, now_us);
		break;
	case RESULT_NOT_FOUND:
		if (r->opts.kind == REQUEST_COMMIT) {
			handle_not_recorded(w, row, x, now_us);
			break;
		}
		/* The record was lost with the old primary: write again. */
		r->plan = PLAN_WRITE_BY_ID;
		route_retry(w, row, ERR_PRIMARY_REPLACED, now_us);
		break;
	default:
		route_retry(w, row, ERR_NO_PRIMARY, now_us);
	}
}

static void on_begin(struct world *w, uint32_t row, uint32_t conn,
		     const struct exchange_result *x, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	struct conn *c = &w->conns.rows[conn];
	struct endpoint *e = world_endpoint(w, c->endpoint);
	struct transaction *t;
	uint32_t tx;

	if (x->status != RESULT_OK || !was_primary_throughout(x)) {
		exchange_close_conn(w, conn, now_us);
		route_retry(w, row, ERR_NO_PRIMARY, now_us);
		return;
	}
	tx = transaction_add(&w->transactions, w->rand);
	if (tx == NO_INDEX) {
		exchange_close_conn(w, conn, now_us);
		answer_error(w, row, ERR_OVERLOADED, RETRY_HINT_US, now_us);
		return;
	}
	c->transaction = tx;
	e->pinned++;
	t = &w->transactions.rows[tx];
	t->workspace = r->workspace;
	t->group = r->group;
	t->conn = conn;
	t->keyless = r->keyless;
	t->last_used_us = now_us;
	memcpy(t->key_digest, r->opts.key_digest, DIGEST_BYTES);
	r->transaction = tx;
	answer_completed(w, row, ERR_NONE, now_us);
}

static void on_statement(struct world *w, uint32_t row, uint32_t conn,
			 const struct exchange_result *x, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	w->transactions.rows[r->transaction].last_used_us = now_us;
	if (x->status == RESULT_OK || x->status == RESULT_TOO_LARGE)
		answer_completed(w, row, get_result_error(x->status), now_us);
	else
		answer_completed(w, row, ERR_SQL, now_us);
}

static void on_rollback(struct world *w, uint32_t row, uint32_t conn,
			const struct exchange_result *x, int64_t now_us)
{
	answer_completed(w, row, ERR_NONE, now_us);
}

static const outcome_fn outcomes[] = {
	[PLAN_READ] = on_read,	       [PLAN_WRITE] = on_write,
	[PLAN_WRITE_BY_ID] = on_write, [PLAN_LOOKUP] = on_lookup,
	[PLAN_BEGIN] = on_begin,       [PLAN_STATEMENT] = on_statement,
	[PLAN_COMMIT] = on_commit,     [PLAN_ROLLBACK] = on_rollback,
};

void outcome_handle_result(struct world *w, uint32_t row, uint32_t conn,
			   const struct exchange_result *x, int64_t now_us)
{
	outcome_fn fn = outcomes[w->requests.rows[row].plan];

	assert(fn);
	fn(w, row, conn, x, now_us);
}

void outcome_handle_conn_lost(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	r->state = REQUEST_NEW;
	r->conn = NO_INDEX;
	switch (r->plan) {
	case PLAN_STATEMENT:
	case PLAN_ROLLBACK:
		/* The endpoint rolls back when its connection is lost. */
		mark_not_executed(r);
		r->transaction = NO_INDEX;
		answer_error(w, row, ERR_TRANSACTION_ABORTED, 0, now_us);
		return;
	case PLAN_COMMIT:
		switch_to_lookup(w, row);
		break;
	default:
		break;
	}
	route_retry(w, row, ERR_CONNECTION_LOST, now_us);
}
