#include "postgres/pg_step.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SQLSTATE_COMPLETION_UNKNOWN "40003"
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

void pg_step_fail(struct pg_exchange *x, enum result_status status,
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

static int take_error(struct pg_exchange *x, enum plan_step step,
		      const PGresult *r)
{
	const char *sqlstate = PQresultErrorField(r, PG_DIAG_SQLSTATE);
	const char *message = PQresultErrorField(r, PG_DIAG_MESSAGE_PRIMARY);
	enum result_status status;

	if (is_unclear(r, sqlstate))
		return -EPROTO;
	if (x->failed)
		return 0; /* the first error is the one to report */
	status = ops[step].on_error(x, sqlstate);
	pg_step_fail(x, status, sqlstate, message ? message : "");
	return 0;
}

int pg_step_take(struct pg_exchange *x, enum plan_step step, const PGresult *r)
{
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
		return take_error(x, step, r);
	default:
		return -EPROTO;
	}
}

bool pg_step_is_left_out(const struct pg_exchange *x, enum plan_step step)
{
	return ops[step].is_left_out && ops[step].is_left_out(x);
}

bool pg_step_send(struct pg_exchange *x, enum plan_step step,
		  const struct statement *s)
{
	return ops[step].send(x, s);
}
