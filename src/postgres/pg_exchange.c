#include "postgres/pg_exchange.h"

#include "postgres/sql_guard.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SQLSTATE_FEATURE_NOT_SUPPORTED "0A000"
#define SQLSTATE_COMPLETION_UNKNOWN "40003"
#define SQLSTATE_READ_ONLY_TRANSACTION "25006"
#define SQLSTATE_CLASS_CONNECTION "08"

enum { TERM_TEXT_BYTES = 24 };

/* Recorded in place of an answer that exceeded the limit. */
#define ANSWER_TOO_LARGE "{\"too_large\":true}"

/* How one kind of step is sent and what its result means. */
struct step_ops {
	/* Returns false when the connection failed. */
	bool (*send)(struct pg_exchange *x, const struct statement *s);
	/* Takes a result without error. Returns 0 or -EPROTO. */
	int (*on_result)(struct pg_exchange *x, const PGresult *r);
	/* Status of the exchange after an error of this step. */
	enum result_status (*on_error)(struct pg_exchange *x,
				       const char *sqlstate);
	/* NULL: always sent. */
	bool (*is_left_out)(const struct pg_exchange *x);
};

/* Sending. */

static bool send_sql(struct pg_exchange *x, const char *sql, int count,
		     const char *const *params)
{
	return PQsendQueryParams(x->conn, sql, count, NULL, params, NULL, NULL,
				 0) == 1;
}

static bool send_state(struct pg_exchange *x, const struct statement *s)
{
	return send_sql(x, x->driver->state_sql, 0, NULL);
}

static bool send_term(struct pg_exchange *x, const char *sql)
{
	char term[TERM_TEXT_BYTES];
	const char *params[] = { term };

	snprintf(term, sizeof(term), "%" PRIu64, x->start.term);
	return send_sql(x, sql, 1, params);
}

static bool send_raise_term(struct pg_exchange *x, const struct statement *s)
{
	return send_term(x, x->driver->raise_term_sql);
}

static bool send_promote(struct pg_exchange *x, const struct statement *s)
{
	return send_term(x, x->driver->promote_sql);
}

static bool send_begin(struct pg_exchange *x, const struct statement *s)
{
	return send_sql(x, "BEGIN", 0, NULL);
}

static bool send_begin_read_only(struct pg_exchange *x,
				 const struct statement *s)
{
	return send_sql(x, "BEGIN READ ONLY", 0, NULL);
}

static bool send_commit(struct pg_exchange *x, const struct statement *s)
{
	return send_sql(x, "COMMIT", 0, NULL);
}

static bool send_rollback(struct pg_exchange *x, const struct statement *s)
{
	return send_sql(x, "ROLLBACK", 0, NULL);
}

static bool send_statement(struct pg_exchange *x, const struct statement *s)
{
	return send_sql(x, s->sql, (int)s->param_count,
			(const char *const *)s->params);
}

static json_t *commit_answer(void)
{
	return json_pack("{s:s, s:i, s:[], s:[]}", "command", "COMMIT",
			 "rows_affected", 0, "columns", "rows");
}

/* A commit's answer is known beforehand, a statement's is not. */
static bool send_request_insert(struct pg_exchange *x,
				const struct statement *s)
{
	json_t *j = commit_answer();
	char *answer = json_dumps(j, JSON_COMPACT);
	const char *params[] = { x->workspace, x->request_id, x->fingerprint,
				 x->start.plan == PLAN_COMMIT ? answer : "" };
	bool sent;

	sent = send_sql(x, x->driver->request_insert_sql, 4, params);
	free(answer);
	json_decref(j);
	return sent;
}

static bool send_request_update(struct pg_exchange *x,
				const struct statement *s)
{
	char *answer = NULL;
	const char *params[] = { x->workspace, x->request_id,
				 ANSWER_TOO_LARGE };
	bool sent;

	if (x->result) {
		answer = json_dumps(x->result, JSON_COMPACT);
		params[2] = answer;
	}
	sent = send_sql(x, x->driver->request_update_sql, 3, params);
	free(answer);
	return sent;
}

static bool send_lookup(struct pg_exchange *x, const struct statement *s)
{
	const char *params[] = { x->workspace, x->request_id };

	return send_sql(x, x->driver->request_lookup_sql, 2, params);
}

static bool send_sync(struct pg_exchange *x, const struct statement *s)
{
	return PQpipelineSync(x->conn) == 1;
}

static bool has_no_request_id(const struct pg_exchange *x)
{
	return x->request_id[0] == '\0';
}

static bool has_failed(const struct pg_exchange *x)
{
	return x->failed;
}

/* Results. */

static int take_nothing(struct pg_exchange *x, const PGresult *r)
{
	return 0;
}

static int take_before(struct pg_exchange *x, const PGresult *r)
{
	if (x->driver->parse_state(r, &x->before))
		return -EPROTO;
	x->after = x->before;
	return 0;
}

static int take_after(struct pg_exchange *x, const PGresult *r)
{
	return x->driver->parse_state(r, &x->after);
}

static int take_statement(struct pg_exchange *x, const PGresult *r)
{
	result_builder_add(&x->builder, r);
	if (PQresultStatus(r) == PGRES_SINGLE_TUPLE)
		return 0;
	if (x->builder.too_large)
		x->status = RESULT_TOO_LARGE;
	else
		x->result = result_builder_finish(&x->builder, r);
	return 0;
}

static int take_recorded(struct pg_exchange *x, const char *answer)
{
	x->result = json_loads(answer, 0, NULL);
	if (!x->result)
		return -EPROTO;
	if (strcmp(answer, ANSWER_TOO_LARGE) == 0) {
		x->status = RESULT_TOO_LARGE;
		json_decref(x->result);
		x->result = NULL;
	}
	return 0;
}

static int take_lookup(struct pg_exchange *x, const PGresult *r)
{
	if (PQntuples(r) == 0) {
		x->status = RESULT_NOT_FOUND;
		return 0;
	}
	if (PQnfields(r) != 2 || PQntuples(r) != 1)
		return -EPROTO;
	if (strcmp(PQgetvalue(r, 0, 0), x->fingerprint) != 0) {
		x->status = RESULT_ID_REUSED;
		return 0;
	}
	return take_recorded(x, PQgetvalue(r, 0, 1));
}

/* In a transaction that had failed before, COMMIT reports ROLLBACK. */
static int take_commit(struct pg_exchange *x, const PGresult *r)
{
	bool committed = strcmp(PQcmdStatus((PGresult *)r), "COMMIT") == 0;

	if (committed == x->failed)
		return -EPROTO;
	if (committed && x->start.plan == PLAN_COMMIT)
		x->result = commit_answer();
	return 0;
}

/* Errors. */

static enum result_status fail_plain(struct pg_exchange *x,
				     const char *sqlstate)
{
	return RESULT_SQL_ERROR;
}

/* A write inside PLAN_READ is the caller's mistake, wherever it is sent. */
static enum result_status fail_write(struct pg_exchange *x,
				     const char *sqlstate)
{
	if (x->start.plan != PLAN_READ && x->driver->is_not_primary(sqlstate))
		return RESULT_NOT_PRIMARY;
	return RESULT_SQL_ERROR;
}

static enum result_status fail_request_insert(struct pg_exchange *x,
					      const char *sqlstate)
{
	if (x->driver->is_duplicate(sqlstate))
		return RESULT_DUPLICATE;
	return fail_write(x, sqlstate);
}

static enum result_status fail_promote(struct pg_exchange *x,
				       const char *sqlstate)
{
	return x->driver->is_term_refused(sqlstate) ? RESULT_NOT_PRIMARY :
						      RESULT_SQL_ERROR;
}

static const struct step_ops ops[STEP_COUNT] = {
	[STEP_SYNC] = { send_sync, take_nothing, fail_plain, NULL },
	[STEP_STATE_BEFORE] = { send_state, take_before, fail_write, NULL },
	[STEP_STATE_AFTER] = { send_state, take_after, fail_write, NULL },
	[STEP_RAISE_TERM] = { send_raise_term, take_after, fail_plain, NULL },
	[STEP_PROMOTE] = { send_promote, take_after, fail_promote, NULL },
	[STEP_BEGIN] = { send_begin, take_nothing, fail_write, NULL },
	[STEP_BEGIN_READ_ONLY] = { send_begin_read_only, take_nothing,
				   fail_plain, NULL },
	[STEP_REQUEST_INSERT] = { send_request_insert, take_nothing,
				  fail_request_insert, has_no_request_id },
	[STEP_STATEMENT] = { send_statement, take_statement, fail_write, NULL },
	[STEP_REQUEST_UPDATE] = { send_request_update, take_nothing, fail_write,
				  has_failed },
	[STEP_LOOKUP] = { send_lookup, take_lookup, fail_plain, NULL },
	[STEP_COMMIT] = { send_commit, take_commit, fail_write, NULL },
	[STEP_ROLLBACK] = { send_rollback, take_nothing, fail_plain, NULL },
};

static void set_error(struct pg_exchange *x, enum result_status status,
		      const char *sqlstate, const char *message)
{
	x->failed = true;
	x->status = status;
	json_decref(x->result);
	x->result = result_error(sqlstate, message);
}

/*
 * Returns true when an error leaves open whether the transaction was
 * committed, or ends the connection.
 */
static bool is_unclear(const PGresult *r, const char *sqlstate)
{
	const char *severity;

	severity = PQresultErrorField(r, PG_DIAG_SEVERITY_NONLOCALIZED);
	if (!sqlstate || !severity || strcmp(severity, "ERROR") != 0)
		return true;
	return strcmp(sqlstate, SQLSTATE_COMPLETION_UNKNOWN) == 0 ||
	       strncmp(sqlstate, SQLSTATE_CLASS_CONNECTION,
		       strlen(SQLSTATE_CLASS_CONNECTION)) == 0;
}

static int take_error(struct pg_exchange *x, const PGresult *r)
{
	const char *sqlstate = PQresultErrorField(r, PG_DIAG_SQLSTATE);
	const char *message = PQresultErrorField(r, PG_DIAG_MESSAGE_PRIMARY);
	enum result_status status;

	if (is_unclear(r, sqlstate))
		return -EPROTO;
	if (x->failed)
		return 0; /* the first error is the one to report */
	status = ops[*x->answered].on_error(x, sqlstate);
	set_error(x, status, sqlstate, message ? message : "");
	return 0;
}

/* Returns 0 or -EPROTO. */
static int take_result(struct pg_exchange *x, const PGresult *r)
{
	enum plan_step step = *x->answered;

	switch (PQresultStatus(r)) {
	case PGRES_PIPELINE_SYNC:
		return step == STEP_SYNC ? 0 : -EPROTO;
	case PGRES_COMMAND_OK:
	case PGRES_TUPLES_OK:
	case PGRES_SINGLE_TUPLE:
	case PGRES_EMPTY_QUERY:
		return step == STEP_SYNC ? -EPROTO : ops[step].on_result(x, r);
	case PGRES_PIPELINE_ABORTED:
		return x->failed && step != STEP_COMMIT ? 0 : -EPROTO;
	case PGRES_FATAL_ERROR:
		return take_error(x, r);
	default:
		return -EPROTO;
	}
}

/* Sends up to the end or the next STEP_ROUND. */
static int send_round(struct pg_exchange *x, const struct statement *s)
{
	for (; *x->sent != STEP_END && *x->sent != STEP_ROUND; x->sent++) {
		const struct step_ops *o = &ops[*x->sent];

		if (o->is_left_out && o->is_left_out(x))
			continue;
		if (!o->send(x, s))
			return -EIO;
	}
	return PQflush(x->conn) < 0 ? -EIO : 0;
}

/* Large results are read row by row, so that they can be dropped. */
static void skip_left_out(struct pg_exchange *x)
{
	for (;;) {
		const struct step_ops *o = &ops[*x->answered];

		if (*x->answered == STEP_END || *x->answered == STEP_ROUND ||
		    !o->is_left_out || !o->is_left_out(x))
			break;
		x->answered++;
	}
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
		set_error(x, RESULT_NOT_PRIMARY, SQLSTATE_READ_ONLY_TRANSACTION,
			  "not primary");
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
	rc = take_result(x, r);
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
	set_error(x, RESULT_SQL_ERROR, SQLSTATE_FEATURE_NOT_SUPPORTED,
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
