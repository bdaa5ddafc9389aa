#include "postgres/pg_exchange.h"

#include "postgres/pg_step.h"
#include "postgres/sql_guard.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#define SQLSTATE_FEATURE_NOT_SUPPORTED "0A000"
#define SQLSTATE_READ_ONLY_TRANSACTION "25006"

/* Sends up to the end or the next STEP_ROUND. */
static int send_round(struct pg_exchange *x, const struct statement *s)
{
	for (; *x->sent != STEP_END && *x->sent != STEP_ROUND; x->sent++) {
		if (pg_step_is_left_out(x, *x->sent))
			continue;
		if (!pg_step_send(x, *x->sent, s))
			return -EIO;
	}
	return PQflush(x->conn) < 0 ? -EIO : 0;
}

/* Large results are read row by row, so that they can be dropped. */
static void skip_left_out(struct pg_exchange *x)
{
	while (*x->answered != STEP_END && *x->answered != STEP_ROUND &&
	       pg_step_is_left_out(x, *x->answered))
		x->answered++;
	if (*x->answered == STEP_STATEMENT)
		PQsetSingleRowMode(x->conn);
}

/* Whether the open transaction is as the plan should leave it. */
static bool state_is_expected(const struct pg_exchange *x)
{
	PGTransactionStatusType s = PQtransactionStatus(x->conn);

	if (x->start.plan == PLAN_PROBE || x->start.plan == PLAN_LOOKUP)
		return true;
	if (!plan_leaves_open(x->start.plan))
		return s == PQTRANS_IDLE;
	if (x->failed)
		return s == PQTRANS_INERROR || s == PQTRANS_IDLE;
	return s == PQTRANS_INTRANS;
}

static bool is_same_replica(const struct pg_exchange *x)
{
	return x->before.role == ROLE_REPLICA &&
	       x->after.role == ROLE_REPLICA &&
	       x->before.current_term == x->after.current_term;
}

/* Returns 1 or -EPROTO. */
static int finish(struct pg_exchange *x)
{
	if (!state_is_expected(x))
		return -EPROTO;
	if (x->status == RESULT_OK && plan_needs_primary(x->start.plan) &&
	    is_same_replica(x))
		pg_step_fail(x, RESULT_NOT_PRIMARY,
			     SQLSTATE_READ_ONLY_TRANSACTION, "not primary");
	return 1;
}

static void advance(struct pg_exchange *x)
{
	x->answered++;
	x->step_answered = false;
	skip_left_out(x);
}

/* Returns 1 at the end of the plan, 0, -EIO or -EPROTO. */
static int end_round(struct pg_exchange *x)
{
	int rc;

	if (*x->answered == STEP_END)
		return finish(x);
	x->sent = ++x->answered;
	rc = send_round(x, NULL);
	skip_left_out(x);
	return rc;
}

/* Takes one result, or the end of a statement's results. */
static int take_next(struct pg_exchange *x, bool *waits)
{
	PGresult *r = PQgetResult(x->conn);
	int rc;

	if (!r) {
		*waits = !x->step_answered;
		if (x->step_answered)
			advance(x);
		return 0;
	}
	rc = pg_step_take(x, *x->answered, r);
	x->step_answered = true;
	if (*x->answered == STEP_SYNC)
		advance(x);
	PQclear(r);
	return rc;
}

int pg_exchange_continue(struct pg_exchange *x)
{
	bool waits = false;
	int rc = 0;

	while (!rc && !waits) {
		if (*x->answered == STEP_END || *x->answered == STEP_ROUND)
			rc = end_round(x);
		else if (PQisBusy(x->conn))
			waits = true;
		else
			rc = take_next(x, &waits);
	}
	return rc < 0 ? -EPROTO : rc;
}

/* A statement that may not be sent fails, after a look at the state. */
static void refuse_statement(struct pg_exchange *x)
{
	x->start.plan = PLAN_PROBE;
	pg_step_fail(x, RESULT_SQL_ERROR, SQLSTATE_FEATURE_NOT_SUPPORTED,
		     "statement is not supported here");
}

static bool may_send(const struct pg_exchange_opts *opts)
{
	return !plan_has_statement(opts->start->plan) ||
	       (opts->statement && sql_guard_allows(opts->statement->sql));
}

static void copy_request(struct pg_exchange *x, const struct statement *s)
{
	g_strlcpy(x->workspace, s->workspace, sizeof(x->workspace));
	g_strlcpy(x->request_id, s->request_id, sizeof(x->request_id));
	g_strlcpy(x->fingerprint, s->fingerprint, sizeof(x->fingerprint));
}

int pg_exchange_start(struct pg_exchange *x,
		      const struct pg_exchange_opts *opts)
{
	int rc;

	memset(x, 0, sizeof(*x));
	x->driver = opts->driver;
	x->conn = opts->conn;
	x->start = *opts->start;
	x->before = opts->last_known;
	x->after = opts->last_known;
	result_builder_init(&x->builder, opts->result_max_bytes);
	if (opts->statement)
		copy_request(x, opts->statement);
	if (!may_send(opts))
		refuse_statement(x);
	x->sent = plan_steps(x->start.plan);
	x->answered = x->sent;
	rc = send_round(x, opts->statement);
	skip_left_out(x);
	return rc;
}

void pg_exchange_clear(struct pg_exchange *x)
{
	result_builder_clear(&x->builder);
	json_decref(x->result);
	x->result = NULL;
}
