#include "postgres/pg_step.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SQLSTATE_COMPLETION_UNKNOWN "40003"
#define SQLSTATE_CLASS_CONNECTION "08"

enum { TERM_TEXT_BYTES = 24, MARK_BYTES = 40 };

/* Recorded instead of a result that exceeded the size limit. */
#define ANSWER_TOO_LARGE "{\"too_large\":true}"

/* Callbacks that send one kind of step and handle its results. */
struct step_ops {
	/* Returns false if the connection failed. */
	bool (*send)(struct pg_exchange *x, const struct statement *s);
	/* Handles a successful result. Returns 0 or -EPROTO. */
	int (*on_result)(struct pg_exchange *x, const PGresult *r);
	/* Returns the status of the exchange after an error. */
	enum result_status (*on_error)(struct pg_exchange *x,
				       const char *sqlstate);
	/* NULL if the step is always sent. */
	bool (*is_omitted)(const struct pg_exchange *x);
};

static bool send_sql(struct pg_exchange *x, const char *sql, int count,
		     const char *const *params)
{
	return PQsendQueryParams(x->conn, sql, count, NULL, params, NULL, NULL,
				 0) == 1;
}

/*
 * Writes the mark of the state query that is this step of the plan; no other
 * one on the connection has the same. The endpoint returns it, so that an
 * answer given twice is not taken for that of a later exchange.
 */
static void write_mark(const struct pg_exchange *x, const enum plan_step *step,
		       char out[MARK_BYTES])
{
	snprintf(out, MARK_BYTES, "%" PRIu64 "-%d", x->start.exchange,
		 (int)(step - plan_steps(x->start.plan)));
}

static bool send_state_query(struct pg_exchange *x, const struct statement *s)
{
	char mark[MARK_BYTES];
	const char *params[] = { mark };

	write_mark(x, x->next_to_send, mark);
	return send_sql(x, x->driver->state_sql, 1, params);
}

/* Sends a statement with the parameters $1 term and $2 mark. */
static bool send_sql_with_term(struct pg_exchange *x, const char *sql)
{
	char term[TERM_TEXT_BYTES];
	char mark[MARK_BYTES];
	const char *params[] = { term, mark };

	snprintf(term, sizeof(term), "%" PRIu64, x->start.term);
	write_mark(x, x->next_to_send, mark);
	return send_sql(x, sql, 2, params);
}

static bool send_raise_term(struct pg_exchange *x, const struct statement *s)
{
	return send_sql_with_term(x, x->driver->raise_term_sql);
}

static bool send_promote(struct pg_exchange *x, const struct statement *s)
{
	return send_sql_with_term(x, x->driver->promote_sql);
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

/*
 * An error that is known is rolled back, also if it turns out that it was the
 * answer to another statement.
 */
static bool send_commit(struct pg_exchange *x, const struct statement *s)
{
	return send_sql(x, x->failed ? "ROLLBACK" : "COMMIT", 0, NULL);
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

static json_t *build_commit_answer(void)
{
	return json_pack("{s:s, s:i, s:[], s:[]}", "command", "COMMIT",
			 "rows_affected", 0, "columns", "rows");
}

/*
 * The answer to a commit is known in advance and recorded at once. That of a
 * statement is recorded by STEP_REQUEST_UPDATE.
 */
static bool send_request_insert(struct pg_exchange *x,
				const struct statement *s)
{
	json_t *j = build_commit_answer();
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

static bool send_request_lookup(struct pg_exchange *x,
				const struct statement *s)
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

static int ignore_result(struct pg_exchange *x, const PGresult *r)
{
	return 0;
}

static int parse_state(const struct pg_exchange *x, const PGresult *r,
		       struct endpoint_status *out)
{
	char mark[MARK_BYTES];

	write_mark(x, x->next_result, mark);
	return x->driver->parse_state(r, mark, out);
}

static int store_state_before(struct pg_exchange *x, const PGresult *r)
{
	if (parse_state(x, r, &x->before))
		return -EPROTO;
	x->after = x->before;
	return 0;
}

static int store_state_after(struct pg_exchange *x, const PGresult *r)
{
	return parse_state(x, r, &x->after);
}

static int add_statement_result(struct pg_exchange *x, const PGresult *r)
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

static int parse_recorded_answer(struct pg_exchange *x, const char *answer)
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

static int handle_lookup_result(struct pg_exchange *x, const PGresult *r)
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
	return parse_recorded_answer(x, PQgetvalue(r, 0, 1));
}

/* In a failed transaction, the command tag of COMMIT is ROLLBACK. */
static int handle_commit_result(struct pg_exchange *x, const PGresult *r)
{
	const char *tag = x->failed ? "ROLLBACK" : "COMMIT";

	if (strcmp(PQcmdStatus((PGresult *)r), tag) != 0)
		return -EPROTO;
	if (!x->failed && x->start.plan == PLAN_COMMIT)
		x->result = build_commit_answer();
	return 0;
}

static enum result_status map_sql_error(struct pg_exchange *x,
					const char *sqlstate)
{
	return RESULT_SQL_ERROR;
}

/*
 * A write inside PLAN_READ is the caller's mistake, because it fails on a
 * primary as well.
 */
static enum result_status map_write_error(struct pg_exchange *x,
					  const char *sqlstate)
{
	if (x->start.plan != PLAN_READ && x->driver->is_not_primary(sqlstate))
		return RESULT_NOT_PRIMARY;
	return RESULT_SQL_ERROR;
}

static enum result_status map_request_insert_error(struct pg_exchange *x,
						   const char *sqlstate)
{
	if (x->driver->is_duplicate(sqlstate))
		return RESULT_DUPLICATE;
	return map_write_error(x, sqlstate);
}

static enum result_status map_promote_error(struct pg_exchange *x,
					    const char *sqlstate)
{
	return x->driver->is_term_refused(sqlstate) ? RESULT_NOT_PRIMARY :
						      RESULT_SQL_ERROR;
}

static const struct step_ops step_table[STEP_COUNT] = {
	[STEP_SYNC] = { send_sync, ignore_result, map_sql_error, NULL },
	[STEP_STATE_BEFORE] = { send_state_query, store_state_before,
				map_write_error, NULL },
	[STEP_STATE_AFTER] = { send_state_query, store_state_after,
			       map_write_error, NULL },
	[STEP_RAISE_TERM] = { send_raise_term, store_state_after, map_sql_error,
			      NULL },
	[STEP_PROMOTE] = { send_promote, store_state_after, map_promote_error,
			   NULL },
	[STEP_BEGIN] = { send_begin, ignore_result, map_write_error, NULL },
	[STEP_BEGIN_READ_ONLY] = { send_begin_read_only, ignore_result,
				   map_sql_error, NULL },
	[STEP_REQUEST_INSERT] = { send_request_insert, ignore_result,
				  map_request_insert_error, has_no_request_id },
	[STEP_STATEMENT] = { send_statement, add_statement_result,
			     map_write_error, NULL },
	[STEP_REQUEST_UPDATE] = { send_request_update, ignore_result,
				  map_write_error, has_failed },
	[STEP_LOOKUP] = { send_request_lookup, handle_lookup_result,
			  map_sql_error, NULL },
	[STEP_COMMIT] = { send_commit, handle_commit_result, map_write_error,
			  NULL },
	[STEP_ROLLBACK] = { send_rollback, ignore_result, map_sql_error, NULL },
};

void pg_step_set_error(struct pg_exchange *x, enum result_status status,
		       const char *sqlstate, const char *message)
{
	x->failed = true;
	x->status = status;
	json_decref(x->result);
	x->result = build_error_result(sqlstate, message);
}

/*
 * Returns true if it is unknown after the error whether the transaction was
 * committed, or if the error ends the connection.
 */
static bool is_outcome_unknown(const PGresult *r, const char *sqlstate)
{
	const char *severity;

	severity = PQresultErrorField(r, PG_DIAG_SEVERITY_NONLOCALIZED);
	if (!sqlstate || !severity || strcmp(severity, "ERROR") != 0)
		return true;
	return strcmp(sqlstate, SQLSTATE_COMPLETION_UNKNOWN) == 0 ||
	       strncmp(sqlstate, SQLSTATE_CLASS_CONNECTION,
		       strlen(SQLSTATE_CLASS_CONNECTION)) == 0;
}

static int handle_error(struct pg_exchange *x, enum plan_step step,
			const PGresult *r)
{
	const char *sqlstate = PQresultErrorField(r, PG_DIAG_SQLSTATE);
	const char *message = PQresultErrorField(r, PG_DIAG_MESSAGE_PRIMARY);
	enum result_status status;

	if (is_outcome_unknown(r, sqlstate))
		return -EPROTO;
	if (x->failed)
		return 0; /* only the first error is reported */
	status = step_table[step].on_error(x, sqlstate);
	pg_step_set_error(x, status, sqlstate, message ? message : "");
	return 0;
}

int pg_step_handle_result(struct pg_exchange *x, enum plan_step step,
			  const PGresult *r)
{
	switch (PQresultStatus(r)) {
	case PGRES_PIPELINE_SYNC:
		return step == STEP_SYNC ? 0 : -EPROTO;
	case PGRES_COMMAND_OK:
	case PGRES_TUPLES_OK:
	case PGRES_SINGLE_TUPLE:
	case PGRES_EMPTY_QUERY:
		return step == STEP_SYNC ? -EPROTO :
					   step_table[step].on_result(x, r);
	case PGRES_PIPELINE_ABORTED:
		return x->failed && step != STEP_COMMIT ? 0 : -EPROTO;
	case PGRES_FATAL_ERROR:
		return handle_error(x, step, r);
	default:
		return -EPROTO;
	}
}

bool pg_step_is_omitted(const struct pg_exchange *x, enum plan_step step)
{
	return step_table[step].is_omitted && step_table[step].is_omitted(x);
}

bool pg_step_send(struct pg_exchange *x, enum plan_step step,
		  const struct statement *s)
{
	return step_table[step].send(x, s);
}
