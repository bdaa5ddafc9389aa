#include "postgres/pg_exchange.h"

#include "postgres/pg_step.h"
#include "postgres/sql_guard.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#define SQLSTATE_FEATURE_NOT_SUPPORTED "0A000"
#define SQLSTATE_READ_ONLY_TRANSACTION "25006"

/* Sends the steps up to the end or the next STEP_AWAIT_RESULTS. */
static int send_round_trip(struct pg_exchange *x, const struct statement *s)
{
	for (; *x->next_to_send != STEP_END &&
	       *x->next_to_send != STEP_AWAIT_RESULTS;
	     x->next_to_send++) {
		if (pg_step_is_omitted(x, *x->next_to_send))
			continue;
		if (!pg_step_send(x, *x->next_to_send, s))
			return -EIO;
	}
	return PQflush(x->conn) < 0 ? -EIO : 0;
}

/*
 * Advances next_result over the steps that were not sent. A statement's result
 * is read row by row, so that a result over the size limit is never held in
 * memory as a whole.
 */
static void skip_omitted_steps(struct pg_exchange *x)
{
	while (*x->next_result != STEP_END &&
	       *x->next_result != STEP_AWAIT_RESULTS &&
	       pg_step_is_omitted(x, *x->next_result))
		x->next_result++;
	if (*x->next_result == STEP_STATEMENT)
		PQsetSingleRowMode(x->conn);
}

/* Returns true if the plan left the transaction in the state it should. */
static bool transaction_state_is_expected(const struct pg_exchange *x)
{
	PGTransactionStatusType s = PQtransactionStatus(x->conn);

	if (x->start.plan == PLAN_PROBE || x->start.plan == PLAN_LOOKUP)
		return true;
	if (!plan_leaves_transaction_open(x->start.plan))
		return s == PQTRANS_IDLE;
	if (x->failed)
		return s == PQTRANS_INERROR || s == PQTRANS_IDLE;
	return s == PQTRANS_INTRANS;
}

/*
 * Returns true if the endpoint was a replica before and after the statement, in
 * the same term.
 */
static bool was_replica_throughout(const struct pg_exchange *x)
{
	return x->before.role == ROLE_REPLICA &&
	       x->after.role == ROLE_REPLICA &&
	       x->before.current_term == x->after.current_term;
}

/* Returns 1 or -EPROTO. */
static int finish_plan(struct pg_exchange *x)
{
	if (!transaction_state_is_expected(x))
		return -EPROTO;
	if (x->status == RESULT_OK && plan_needs_primary(x->start.plan) &&
	    was_replica_throughout(x))
		pg_step_set_error(x, RESULT_NOT_PRIMARY,
				  SQLSTATE_READ_ONLY_TRANSACTION,
				  "not primary");
	return 1;
}

static void advance_step(struct pg_exchange *x)
{
	x->next_result++;
	x->result_received = false;
	skip_omitted_steps(x);
}

/*
 * Ends the plan or sends the next round trip. Returns 1 at the end of the
 * plan, otherwise 0, -EIO or -EPROTO.
 */
static int finish_round_trip(struct pg_exchange *x)
{
	int rc;

	if (*x->next_result == STEP_END)
		return finish_plan(x);
	x->next_to_send = ++x->next_result;
	rc = send_round_trip(x, NULL);
	skip_omitted_steps(x);
	return rc;
}

/*
 * Reads one result, or the end mark after the last result of a step. Sets
 * *needs_input if more has to be received first. Returns 0 or -EPROTO.
 */
static int read_next_result(struct pg_exchange *x, bool *needs_input)
{
	PGresult *r = PQgetResult(x->conn);
	int rc;

	if (!r) {
		*needs_input = !x->result_received;
		if (x->result_received)
			advance_step(x);
		return 0;
	}
	rc = pg_step_handle_result(x, *x->next_result, r);
	x->result_received = true;
	if (*x->next_result == STEP_SYNC)
		advance_step(x);
	PQclear(r);
	return rc;
}

int pg_exchange_continue(struct pg_exchange *x)
{
	bool needs_input = false;
	int rc = 0;

	while (!rc && !needs_input) {
		if (*x->next_result == STEP_END ||
		    *x->next_result == STEP_AWAIT_RESULTS)
			rc = finish_round_trip(x);
		else if (PQisBusy(x->conn))
			needs_input = true;
		else
			rc = read_next_result(x, &needs_input);
	}
	return rc < 0 ? -EPROTO : rc;
}

/*
 * Fails the exchange with an SQL error without sending the statement. The
 * endpoint's state is still read.
 */
static void reject_statement(struct pg_exchange *x)
{
	x->start.plan = PLAN_PROBE;
	pg_step_set_error(x, RESULT_SQL_ERROR, SQLSTATE_FEATURE_NOT_SUPPORTED,
			  "statement is not supported here");
}

static bool is_statement_allowed(const struct pg_exchange_opts *opts)
{
	return !plan_sends_statement(opts->start->plan) ||
	       (opts->statement && sql_guard_allows(opts->statement->sql));
}

static void copy_request_key(struct pg_exchange *x, const struct statement *s)
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
	x->before = opts->last_known_status;
	x->after = opts->last_known_status;
	result_builder_init(&x->builder, opts->result_max_bytes);
	if (opts->statement)
		copy_request_key(x, opts->statement);
	if (!is_statement_allowed(opts))
		reject_statement(x);
	x->next_to_send = plan_steps(x->start.plan);
	x->next_result = x->next_to_send;
	rc = send_round_trip(x, opts->statement);
	skip_omitted_steps(x);
	return rc;
}

void pg_exchange_clear(struct pg_exchange *x)
{
	result_builder_clear(&x->builder);
	json_decref(x->result);
	x->result = NULL;
}
