#include "core/outcome.h"

#include "core/answer.h"
#include "core/confirm.h"
#include "core/exchange.h"
#include "core/route.h"
#include "core/world_state.h"

#include <assert.h>
#include <string.h>

enum { PRIMARY_RETRY_US = 200 * 1000 };

typedef void (*outcome_fn)(struct world *w, uint32_t row, uint32_t conn,
			   const struct exchange_result *x, int64_t now_us);

/* The endpoint was the primary of one term during the whole exchange. */
static bool same_primary(const struct exchange_result *x)
{
	return x->before.role == ROLE_PRIMARY &&
	       x->after.role == ROLE_PRIMARY &&
	       x->before.current_term == x->after.current_term;
}

/* This send is known to have had no effect. */
static void no_effect(struct request *r)
{
	r->may_have_run = r->earlier_may_have_run;
}

static int32_t result_error(enum result_status status)
{
	return status == RESULT_TOO_LARGE ? ERR_RESULT_TOO_LARGE : ERR_NONE;
}

static void to_lookup(struct world *w, uint32_t row)
{
	struct request *r = &w->requests.rows[row];

	r->plan = PLAN_LOOKUP;
	r->transaction = NO_INDEX;
}

static void stale(struct world *w, uint32_t row, const char *why,
		  int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	action_queue_log(w->actions, LOG_STALE_RESULT, r->opts.caller_id,
			 world_endpoint(w, r->endpoint)->record.name, 0, "%s",
			 why);
	route_again(w, row, ERR_TOO_STALE, now_us);
}

/* Judges the data by the position read before the statement. */
static void read_ok(struct world *w, uint32_t row,
		    const struct exchange_result *x, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	const struct group *g = world_group(w, r->group);
	bool primary = same_primary(x) && x->before.current_term >= g->term;
	int64_t current_us;

	r->seen = x->before.position;
	if (!position_covers(x->before.position, r->opts.session)) {
		stale(w, row, "behind the session", now_us);
		return;
	}
	if (r->max_age_us == 0 && !primary) {
		stale(w, row, "not the primary", now_us);
		return;
	}
	current_us =
		group_position_current_at_us(g, world_endpoints(w), x->before.position);
	if (r->max_age_us && current_us != INT64_MIN &&
	    now_us - current_us <= r->max_age_us) {
		r->age_us = now_us - current_us;
		answer_ran(w, row, ERR_NONE, now_us);
	} else if (primary) {
		confirm_read(w, row, x->before.current_term,
			     r->max_age_us ? r->sent_us : r->arrived_us,
			     now_us);
	} else {
		stale(w, row, "older than the profile allows", now_us);
	}
}

static void on_read(struct world *w, uint32_t row, uint32_t conn,
		    const struct exchange_result *x, int64_t now_us)
{
	switch (x->status) {
	case RESULT_OK:
		read_ok(w, row, x, now_us);
		break;
	case RESULT_SQL_ERROR:
		answer_ran(w, row, ERR_SQL, now_us);
		break;
	case RESULT_TOO_LARGE:
		answer_ran(w, row, ERR_RESULT_TOO_LARGE, now_us);
		break;
	default:
		route_again(w, row, ERR_NO_ENDPOINT, now_us);
	}
}

void outcome_replaced(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	if (r->plan == PLAN_COMMIT)
		to_lookup(w, row);
	route_again(w, row, ERR_PRIMARY_REPLACED, now_us);
}

/* A rejected write had no effect, unless an earlier send of it had. */
static void write_rejected(struct world *w, uint32_t row, int32_t error,
			   int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	no_effect(r);
	if (r->may_have_run)
		route_again(w, row, error, now_us);
	else if (error == ERR_SQL)
		answer_ran(w, row, error, now_us);
	else
		answer_error(w, row, error, 0, now_us);
}

static void write_refused(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	no_effect(r);
	if (r->may_repeat)
		route_again(w, row, ERR_NO_PRIMARY, now_us);
	else
		answer_error(w, row, ERR_NO_PRIMARY, PRIMARY_RETRY_US, now_us);
}

static void written(struct world *w, uint32_t row,
		    const struct exchange_result *x, int64_t now_us)
{
	if (!same_primary(x) ||
	    x->after.position.term != x->after.current_term) {
		outcome_replaced(w, row, now_us);
		return;
	}
	confirm_write(w, row, x->after.position, VERDICT_RAN,
		      result_error(x->status), now_us);
}

static void on_write(struct world *w, uint32_t row, uint32_t conn,
		     const struct exchange_result *x, int64_t now_us)
{
	switch (x->status) {
	case RESULT_OK:
	case RESULT_TOO_LARGE:
		written(w, row, x, now_us);
		break;
	case RESULT_SQL_ERROR:
		write_rejected(w, row, ERR_SQL, now_us);
		break;
	case RESULT_DUPLICATE:
		to_lookup(w, row);
		route_request(w, row, now_us);
		break;
	default:
		write_refused(w, row, now_us);
	}
}

static void on_commit(struct world *w, uint32_t row, uint32_t conn,
		      const struct exchange_result *x, int64_t now_us)
{
	if (x->status == RESULT_SQL_ERROR || x->status == RESULT_NOT_PRIMARY)
		write_rejected(w, row, ERR_TRANSACTION_ABORTED, now_us);
	else
		on_write(w, row, conn, x, now_us);
}

/*
 * The request id is not recorded. Under a later term, once a quorum holds
 * that term's log, the earlier send can never take effect.
 */
static void not_recorded(struct world *w, uint32_t row,
			 const struct exchange_result *x, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	if (!r->write_term)
		answer_error(w, row, ERR_UNKNOWN_TRANSACTION, 0, now_us);
	else if (same_primary(x) && x->before.current_term > r->write_term)
		confirm_write(w, row, x->after.position, VERDICT_NOT_RUN,
			      ERR_TRANSACTION_ABORTED, now_us);
	else
		route_again(w, row, ERR_CONNECTION_LOST, now_us);
}

static void on_lookup(struct world *w, uint32_t row, uint32_t conn,
		      const struct exchange_result *x, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	switch (x->status) {
	case RESULT_OK:
		written(w, row, x, now_us);
		break;
	case RESULT_ID_REUSED:
		r->may_have_run = false;
		answer_error(w, row, ERR_REQUEST_ID_REUSED, 0, now_us);
		break;
	case RESULT_NOT_FOUND:
		if (r->opts.kind == REQUEST_COMMIT) {
			not_recorded(w, row, x, now_us);
			break;
		}
		/* The record went with a replaced primary: write it anew. */
		r->plan = PLAN_WRITE_BY_ID;
		route_again(w, row, ERR_PRIMARY_REPLACED, now_us);
		break;
	default:
		route_again(w, row, ERR_NO_PRIMARY, now_us);
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

	if (x->status != RESULT_OK || !same_primary(x)) {
		exchange_close_conn(w, conn, now_us);
		route_again(w, row, ERR_NO_PRIMARY, now_us);
		return;
	}
	tx = transaction_add(&w->transactions, w->rand);
	if (tx == NO_INDEX) {
		exchange_close_conn(w, conn, now_us);
		answer_error(w, row, ERR_OVERLOADED, PRIMARY_RETRY_US, now_us);
		return;
	}
	c->transaction = tx;
	e->pinned++;
	t = &w->transactions.rows[tx];
	t->workspace = r->workspace;
	t->group = r->group;
	t->conn = conn;
	t->open = r->open;
	t->used_us = now_us;
	memcpy(t->key_digest, r->opts.key_digest, DIGEST_BYTES);
	r->transaction = tx;
	answer_ran(w, row, ERR_NONE, now_us);
}

static void on_statement(struct world *w, uint32_t row, uint32_t conn,
			 const struct exchange_result *x, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	w->transactions.rows[r->transaction].used_us = now_us;
	if (x->status == RESULT_OK || x->status == RESULT_TOO_LARGE)
		answer_ran(w, row, result_error(x->status), now_us);
	else
		answer_ran(w, row, ERR_SQL, now_us);
}

static void on_rollback(struct world *w, uint32_t row, uint32_t conn,
			const struct exchange_result *x, int64_t now_us)
{
	answer_ran(w, row, ERR_NONE, now_us);
}

static const outcome_fn outcomes[] = {
	[PLAN_READ] = on_read,	       [PLAN_WRITE] = on_write,
	[PLAN_WRITE_BY_ID] = on_write, [PLAN_LOOKUP] = on_lookup,
	[PLAN_BEGIN] = on_begin,       [PLAN_STATEMENT] = on_statement,
	[PLAN_COMMIT] = on_commit,     [PLAN_ROLLBACK] = on_rollback,
};

void outcome_result(struct world *w, uint32_t row, uint32_t conn,
		    const struct exchange_result *x, int64_t now_us)
{
	outcome_fn fn = outcomes[w->requests.rows[row].plan];

	assert(fn);
	fn(w, row, conn, x, now_us);
}

void outcome_lost(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	r->state = REQUEST_NEW;
	r->conn = NO_INDEX;
	switch (r->plan) {
	case PLAN_STATEMENT:
	case PLAN_ROLLBACK:
		/* The endpoint rolls back when the connection ends. */
		no_effect(r);
		r->transaction = NO_INDEX;
		answer_error(w, row, ERR_TRANSACTION_ABORTED, 0, now_us);
		return;
	case PLAN_COMMIT:
		to_lookup(w, row);
		break;
	default:
		break;
	}
	route_again(w, row, ERR_CONNECTION_LOST, now_us);
}
