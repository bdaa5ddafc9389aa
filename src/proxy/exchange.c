#include "proxy/exchange.h"

#include "proxy/caller.h"
#include "proxy/dispatch.h"
#include "proxy/engine_state.h"
#include "proxy/hedging.h"
#include "proxy/hop.h"
#include "proxy/quota_requests.h"
#include "proxy/relay_load.h"
#include "proxy/reply_match.h"
#include "proxy/sealing.h"
#include "proxy/service_health.h"
#include "proxy/statement_send.h"

#include <string.h>

enum {
	/* An endpoint that lacks a position is not tried for this long. */
	BEHIND_RETRY_DELAY_US = 100 * 1000,
	/*
	 * An overloaded endpoint is avoided this long, so that its queue gets
	 * shorter.
	 */
	BUSY_RETRY_DELAY_US = 20 * 1000,
	/*
	 * Delay before a new connection after the endpoint denied one or it
	 * failed to open; doubled with each consecutive failure.
	 */
	OPEN_BACKOFF_US = 200 * 1000,
	OPEN_BACKOFF_MAX_US = 1600 * 1000,
};

/*
 * Closes a connection whose answer does not match the request: none of its
 * further answers can be trusted.
 */
static void close_mismatched_conn(struct upstream_conn *c, const char *what,
				  int64_t now_us)
{
	engine_log(c->engine, LOG_CONN_OUT_OF_STEP, 0, c->upstream->entry.id, 0,
		   "%s", what);
	exchange_handle_loss(c, what, now_us);
}

/* Records what a refusal shows about the endpoint. */
static void record_refusal(struct upstream_conn *c, enum answer_code code,
			   int64_t now_us)
{
	struct upstream *u = c->upstream;

	if (u->is_home)
		return; /* it says nothing of a single endpoint */

	switch (code) {
	case ANSWER_BEHIND:
		u->behind_until_us = now_us + BEHIND_RETRY_DELAY_US;
		break;
	case ANSWER_OVERLOADED:
		u->busy_until_us = now_us + BUSY_RETRY_DELAY_US;
		break;
	case ANSWER_NOT_PRIMARY:
		engine_update_primary(c->engine, u, PRIMARY_CLAIM_DENIED,
				      "refused as a replica");
		break;
	default:
		break;
	}
	metrics_add(c->engine->opts.metrics, "endpoint_refusals_total",
		    answer_code_name(code), 1);
}

/*
 * Handles a home's failure to run a statement. One that it did not accept is
 * sent again; any other answer is final, as the home has tried what it could.
 */
static void handle_home_failure(struct upstream_conn *c, int64_t now_us)
{
	struct session *s = c->session;
	enum answer_code code = c->answer.code;
	char reason[sizeof(c->answer.reason)];

	g_strlcpy(reason, c->answer.reason, sizeof(reason));
	if (code != ANSWER_WRONG_ENDPOINT || s->pinned == c) {
		caller_send_error(s, code, reason, now_us);
		return;
	}
	engine_log(c->engine, LOG_HOME_REFUSED, s->number, s->op.query.id,
		   now_us - s->op.arrived_us, "%s: %s", c->upstream->entry.id,
		   reason);
	metrics_add(c->engine->opts.metrics, "relayed_not_accepted_total",
		    c->upstream->service->name, 1);
	operation_avoid_endpoint(&s->op, c->upstream);
	s->op.refusals++;
	s->op.last_code = ANSWER_OVERLOADED;
	dispatch_release_conn(c, now_us);
	dispatch_retry(s, reason, now_us);
}

/*
 * Handles an endpoint's refusal to run a statement or its BEGIN. The statement
 * is sent again, to another endpoint if possible, unless its transaction has
 * already begun on this connection.
 */
static void handle_refusal(struct upstream_conn *c, enum answer_code code,
			   int64_t now_us)
{
	struct session *s = c->session;
	bool pinned = s->pinned == c;

	if (c->upstream->is_home) {
		handle_home_failure(c, now_us);
		return;
	}
	record_refusal(c, code, now_us);
	if (pinned) {
		caller_refuse_statement(s, code,
					"refused inside the transaction",
					BUSY_RETRY_DELAY_US, now_us);
		return;
	}
	operation_avoid_endpoint(&s->op, c->upstream);
	s->op.refusals++;
	s->op.last_code = code;
	if (code == ANSWER_NO_STATEMENT || code == ANSWER_WRONG_ENDPOINT) {
		/* The connection does not hold the expected state. */
		s->conn = NULL;
		c->session = NULL;
		dispatch_close_conn(c);
	} else {
		dispatch_release_conn(c, now_us);
	}
	dispatch_retry(s, answer_code_name(code), now_us);
}

static void update_last_write(struct session *s, const struct wire_reply *r,
			      int64_t now_us)
{
	if (!r->has_position)
		return;
	s->last_write = position_max(s->last_write, r->position);
	s->last_write_us = now_us;
}

static void handle_statement_success(struct upstream_conn *c,
				     const struct conn_request *request,
				     const struct wire_reply *ready,
				     int64_t now_us)
{
	struct session *s = c->session;
	struct operation *op = &s->op;
	bool commits = op->query.kind == QUERY_COMMIT;
	bool ends = commits || s->transaction == TRANSACTION_NONE;

	g_string_append_len(op->rows, c->rows->str, (gssize)c->rows->len);
	c->took_unsigned = false;
	sealing_apply_mark(c);
	if (ready->has_position &&
	    (op->need == NEED_STRICT_READ || (op->writes && ends) ||
	     (commits && s->transaction_wrote)))
		sealing_record_mark(c, request->sent_us, ready->position);
	if ((op->writes && ends) || (commits && s->transaction_wrote))
		update_last_write(s, ready, now_us);
	if (op->writes && !ends)
		s->transaction_wrote = true;
	hedging_handle_result(s, now_us - request->sent_us, now_us);
	s->conn = NULL;
	if (ends) {
		if (commits)
			s->transaction = TRANSACTION_NONE;
		dispatch_release_conn(c, now_us);
	} else {
		s->pinned = c;
		c->state = CONN_STATE_IN_TRANSACTION;
		c->upstream->running--;
		s->transaction_idle_us = now_us;
	}
	caller_send_result(s, now_us);
}

/* A read outside of a transaction changes nothing, so it can run again. */
static bool is_repeatable(const struct upstream_conn *c)
{
	const struct session *s = c->session;

	return s && !s->op.writes && s->pinned != c &&
	       s->op.query.kind != QUERY_COMMIT && !s->op.opens_transaction;
}

static void handle_statement_failure(struct upstream_conn *c, int64_t now_us)
{
	struct session *s = c->session;
	enum answer_code code = c->answer.code;

	if (c->upstream->is_home) {
		handle_home_failure(c, now_us);
		return;
	}
	if (answer_code_verdict(code) == VERDICT_NOT_RUN) {
		handle_refusal(c, code, now_us);
		return;
	}
	if (is_repeatable(c)) {
		operation_avoid_endpoint(&s->op, c->upstream);
		s->op.last_code = code;
		dispatch_release_conn(c, now_us);
		dispatch_retry(s, answer_code_name(code), now_us);
		return;
	}
	caller_send_error(s, code, "the endpoint reported it", now_us);
}

static void on_statement_answer(struct upstream_conn *c,
				const struct conn_request *request,
				const struct wire_reply *ready, int64_t now_us)
{
	service_health_record_answer(c, now_us - request->sent_us, now_us);
	/* A failure that comes quickly does not make it a fast endpoint. */
	if (!c->answer.failed)
		upstream_record_latency(c->upstream, now_us - request->sent_us,
					now_us);
	metrics_observe(c->engine->opts.metrics, "endpoint_seconds",
			c->upstream->entry.id, now_us - request->sent_us);
	if (c->answer.failed)
		sealing_note_error(c, now_us);
	if (!c->session)
		return;
	if (c->answer.failed)
		handle_statement_failure(c, now_us);
	else
		handle_statement_success(c, request, ready, now_us);
}

/*
 * Returns true if the statement can be sent: all answers to its setup and BEGIN
 * have arrived.
 */
static bool is_ready_for_statement(const struct upstream_conn *c)
{
	return c->session && c->session->conn == c && !c->request_count &&
	       !c->session->op.sent && c->state == CONN_STATE_RUNNING;
}

static void on_setup_answer(struct upstream_conn *c,
			    const struct conn_request *request,
			    const struct wire_reply *ready, int64_t now_us)
{
	if (c->answer.failed) {
		close_mismatched_conn(c, "setting values or preparing failed",
				      now_us);
		return;
	}
	c->took_unsigned = true;
	if (is_ready_for_statement(c))
		statement_send(c, now_us);
}

static void on_begin_answer(struct upstream_conn *c,
			    const struct conn_request *request,
			    const struct wire_reply *ready, int64_t now_us)
{
	if (!c->answer.failed && ready->state != TRANSACTION_OPEN) {
		close_mismatched_conn(c, "BEGIN was answered by something else",
				      now_us);
		return;
	}
	if (c->answer.failed)
		sealing_note_error(c, now_us);
	else
		c->took_unsigned = true;
	if (!c->session) {
		if (c->answer.failed)
			record_refusal(c, c->answer.code, now_us);
		return;
	}
	if (!c->answer.failed && c->session->op.need != NEED_READ)
		sealing_keep_mark(c, request, ready);
	if (c->answer.failed)
		handle_refusal(c, c->answer.code, now_us);
	else if (is_ready_for_statement(c))
		statement_send(c, now_us);
}

static void on_rollback_answer(struct upstream_conn *c,
			       const struct conn_request *request,
			       const struct wire_reply *ready, int64_t now_us)
{
	if (c->in_transaction && !c->request_count) {
		close_mismatched_conn(c, "ROLLBACK left the transaction open",
				      now_us);
		return;
	}
	if (c->answer.failed)
		sealing_note_error(c, now_us);
	if (c->state != CONN_STATE_PROBING || !c->unsealed.has_mark)
		return;
	/*
	 * Copies of an earlier probe come as a pair. The seal is sent after
	 * them, so that the probe's own answers come before the seal's.
	 */
	upstream_conn_put_seal(c, c->engine->opts.wire, now_us);
	engine_conn_flush(c);
}

static void on_seal_answer(struct upstream_conn *c,
			   const struct conn_request *request,
			   const struct wire_reply *ready, int64_t now_us)
{
	if (c->answer.failed || c->in_transaction)
		close_mismatched_conn(c, "RESET was answered by something else",
				      now_us);
	else
		sealing_apply(c, now_us);
}

static void on_probe_begin_answer(struct upstream_conn *c,
				  const struct conn_request *request,
				  const struct wire_reply *ready,
				  int64_t now_us)
{
	c->upstream->service->probing = false;
	if (c->answer.failed) {
		sealing_note_error(c, now_us);
		record_refusal(c, c->answer.code, now_us);
	} else if (ready->state != TRANSACTION_OPEN) {
		close_mismatched_conn(c, "BEGIN was answered by something else",
				      now_us);
	} else {
		sealing_keep_mark(c, request, ready);
	}
}

static void on_report_answer(struct upstream_conn *c,
			     const struct conn_request *request,
			     const struct wire_reply *ready, int64_t now_us)
{
	struct engine *e = c->engine;
	struct unsealed_answers *k = &c->unsealed;

	k->has_report = !c->answer.failed &&
			e->opts.wire->read_report(c->answer.report, &k->report);
	if (c->answer.failed)
		sealing_note_error(c, now_us);
	if (!k->has_report)
		failover_handle_report_error(e->failovers, c, c->answer.code,
					     now_us);
}

static void on_start_answer(struct upstream_conn *c,
			    const struct conn_request *request,
			    const struct wire_reply *ready, int64_t now_us)
{
	c->upstream->open_failures = 0;
	c->upstream->foreign = false;
	if (!c->any_id)
		c->upstream->replaced = false;
	upstream_record_handshake(c->upstream, now_us - request->sent_us);
	service_health_record_start(c, now_us - request->sent_us, now_us);
	c->idle_since_us = now_us;
	c->state = CONN_STATE_IDLE;
	if (c->control)
		failover_handle_conn_ready(c->engine->failovers, c, now_us);
	else if (c->session)
		dispatch_use_started_conn(c, now_us);
}

typedef void (*answer_fn)(struct upstream_conn *c,
			  const struct conn_request *request,
			  const struct wire_reply *ready, int64_t now_us);

static const answer_fn answer_fns[CONN_REQUEST_KIND_COUNT] = {
	[CONN_REQUEST_START] = on_start_answer,
	[CONN_REQUEST_SETUP] = on_setup_answer,
	[CONN_REQUEST_BEGIN] = on_begin_answer,
	[CONN_REQUEST_STATEMENT] = on_statement_answer,
	[CONN_REQUEST_ROLLBACK] = on_rollback_answer,
	[CONN_REQUEST_PROBE_BEGIN] = on_probe_begin_answer,
	[CONN_REQUEST_REPORT] = on_report_answer,
	[CONN_REQUEST_SEAL] = on_seal_answer,
};

/* Makes the connection idle if it is unused and no answer is outstanding. */
static void release_if_finished(struct upstream_conn *c, int64_t now_us)
{
	if (c->closed || c->request_count)
		return;
	if (c->state != CONN_STATE_CLEANUP && c->state != CONN_STATE_PROBING)
		return;
	dispatch_release_conn(c, now_us);
}

static void on_ready(struct upstream_conn *c, const struct wire_reply *ready,
		     int64_t now_us)
{
	struct conn_request request = *upstream_conn_oldest_request(c);

	if (request.kind == CONN_REQUEST_SETUP &&
	    c->in_transaction != (ready->state != TRANSACTION_NONE)) {
		close_mismatched_conn(c, "SET was answered by something else",
				      now_us);
		return;
	}
	c->answered_us = now_us;
	c->stray_us = 0;
	c->retired |= reply_check_is_full(c->replies);
	upstream_conn_pop_request(c);
	c->in_transaction = ready->state != TRANSACTION_NONE;
	upstream_record_own_answer(c->upstream);
	if (ready->has_position)
		upstream_record_position(c->upstream, ready->position, now_us);
	answer_fns[request.kind](c, &request, ready, now_us);
	upstream_conn_clear_answer(c);
	release_if_finished(c, now_us);
}

/* Handles the endpoint's refusal to start a connection. */
static void handle_denied_conn(struct upstream_conn *c, enum answer_code code,
			       int64_t now_us)
{
	struct upstream *u = c->upstream;

	engine_log(c->engine, LOG_CONN_DENIED, 0, u->entry.id, u->conns->len,
		   "%s", answer_code_name(code));
	record_refusal(c, code, now_us);
	if (code != ANSWER_WRONG_ENDPOINT) {
		c->denied = true;
		upstream_record_own_answer(u);
	} else if (c->any_id) {
		u->foreign = true;
	} else {
		u->replaced = true;
	}
	u->open_after_us = now_us + OPEN_BACKOFF_US;
	exchange_handle_loss(c, answer_code_name(code), now_us);
}

/* Keeps a row or result for the session whose statement it answers. */
static void keep_line(struct upstream_conn *c, const struct wire_reply *r)
{
	const struct conn_request *request = upstream_conn_oldest_request(c);

	if (request && request->kind == CONN_REQUEST_STATEMENT && c->session)
		c->engine->opts.wire->put_line(c->rows, r->text, r->text_bytes);
}

static void on_row(struct upstream_conn *c, const struct wire_reply *r)
{
	keep_line(c, r);
	if (!c->answer.report[0])
		g_strlcpy(c->answer.report, r->text, sizeof(c->answer.report));
}

static void on_error(struct upstream_conn *c, const struct wire_reply *r,
		     int64_t now_us)
{
	const struct conn_request *request = upstream_conn_oldest_request(c);

	c->answer.failed = true;
	c->answer.code = r->code;
	g_strlcpy(c->answer.reason, r->reason, sizeof(c->answer.reason));
	if (request->kind == CONN_REQUEST_START)
		handle_denied_conn(c, r->code, now_us);
}

/* Of a message that does not fit the request which is due. */
static const char *const misfits[] = {
	[REPLY_ROW] = "a row out of place",
	[REPLY_DONE] = "a result that no request asked for",
	[REPLY_ERROR] = "an error without a request",
	[REPLY_READY] = "an answer without a result",
};

static void handle_reply(struct upstream_conn *c, const struct wire_reply *r,
			 int64_t now_us)
{
	switch (r->kind) {
	case REPLY_ROW:
		on_row(c, r);
		break;
	case REPLY_DONE:
		keep_line(c, r);
		break;
	case REPLY_ERROR:
		on_error(c, r, now_us);
		break;
	case REPLY_READY:
		on_ready(c, r, now_us);
		break;
	case REPLY_MALFORMED:
		break;
	}
}

/* The home is stopping: it gets no more work, and idle connections close. */
static void handle_home_leaving(struct upstream_conn *c)
{
	struct upstream *u = c->upstream;

	if (!u->entry.leaving)
		engine_log(c->engine, LOG_HOME_LEAVING, 0, u->entry.id, 0, "%s",
			   u->service->name);
	u->entry.leaving = true;
	if (c->state == CONN_STATE_IDLE)
		dispatch_close_conn(c);
}

void exchange_handle_line(struct upstream_conn *c, const char *line,
			  size_t bytes, int64_t now_us)
{
	struct wire_reply r;

	if (c->closed)
		return;
	if (c->upstream->is_home)
		c->upstream->load.heard_us = now_us;
	if (c->upstream->is_home && hop_is_leaving(line)) {
		handle_home_leaving(c);
		return;
	}
	if (c->upstream->is_home && hop_is_load(line)) {
		relay_load_handle_line(c, line, now_us);
		return;
	}
	c->engine->opts.wire->read_reply(line, bytes, &r);
	if (r.kind == REPLY_MALFORMED) {
		close_mismatched_conn(c, "a line that cannot be read", now_us);
		return;
	}
	switch (reply_match_check(c, &r, now_us)) {
	case REPLY_FITS:
		handle_reply(c, &r, now_us);
		break;
	case REPLY_IS_COPY:
		reply_match_drop_copy(c, &r, now_us);
		break;
	case REPLY_IS_STRAY:
		reply_match_drop_stray(c, &r, now_us);
		break;
	case REPLY_MISFITS:
		close_mismatched_conn(c, misfits[r.kind], now_us);
		break;
	}
}

static bool is_pinned_to(const struct session *s, const struct upstream_conn *c)
{
	return s->pinned == c;
}

/* Returns true if the statement may take effect although it is not answered. */
static bool may_take_effect(const struct session *s)
{
	const struct operation *op = &s->op;

	if (!op->sent)
		return false;
	return op->query.kind == QUERY_COMMIT ?
		       s->transaction_wrote :
		       op->writes && s->transaction == TRANSACTION_NONE;
}

/* Answers the statement that the lost connection carried, or sends it again. */
static void handle_statement_loss(struct session *s, struct upstream_conn *c,
				  const char *reason, int64_t now_us)
{
	struct operation *op = &s->op;

	if (may_take_effect(s)) {
		caller_send_error(s, ANSWER_IN_DOUBT, reason, now_us);
		return;
	}
	if (is_pinned_to(s, c) || (op->sent && s->transaction)) {
		s->pinned = NULL;
		/*
		 * The endpoint rolls the transaction back when the connection
		 * ends.
		 */
		caller_refuse_statement(s, ANSWER_ABORTED, reason,
					BUSY_RETRY_DELAY_US, now_us);
		return;
	}
	operation_avoid_endpoint(op, c->upstream);
	dispatch_retry(s, reason, now_us);
}

static void record_conn_failure(struct upstream_conn *c, int64_t now_us)
{
	struct upstream *u = c->upstream;
	int64_t delay_us;

	/* An endpoint that refuses a connection answers. */
	if (!u->silent_since_us && !c->denied)
		u->silent_since_us = now_us;
	/*
	 * A probe shows whether the endpoint failed, or only this connection.
	 */
	if (c->state != CONN_STATE_STARTING && u->service->primary == u)
		u->service->probe_due_us = now_us;
	if (c->state != CONN_STATE_STARTING)
		return;
	u->open_failures = MIN(u->open_failures + 1, 4);
	delay_us = (int64_t)OPEN_BACKOFF_US << (u->open_failures - 1);
	u->open_after_us = MAX(u->open_after_us,
			       now_us + MIN(delay_us, OPEN_BACKOFF_MAX_US));
}

void exchange_handle_loss(struct upstream_conn *c, const char *reason,
			  int64_t now_us)
{
	struct session *s = c->session;
	struct engine *e = c->engine;

	if (c->closed)
		return;
	engine_log(e, LOG_CONN_LOST, s ? s->number : 0, c->upstream->entry.id,
		   now_us - c->opened_us, "%s", reason);
	service_health_record_loss(c, now_us);
	if (c->state == CONN_STATE_STARTING || c->request_count)
		record_conn_failure(c, now_us);
	if (c->state == CONN_STATE_PROBING)
		c->upstream->service->probing = false;
	dispatch_close_conn(c);
	if (!s)
		return;
	c->session = NULL;
	if (s->conn != c) {
		caller_abort_transaction(s, reason, now_us);
		return;
	}
	s->conn = NULL;
	handle_statement_loss(s, c, reason, now_us);
}

bool exchange_retry_unanswered(struct session *s, int64_t now_us)
{
	struct upstream_conn *c = s->conn;

	if (!c || c->closed || c->session != s || !c->stray_us ||
	    c->state != CONN_STATE_RUNNING || !is_repeatable(c) ||
	    now_us - c->stray_us <
		    OWN_ANSWER_TIMES *
			    upstream_expected_latency_us(c->upstream, now_us))
		return false;
	c->stray_us = 0;
	dispatch_release_conn(c, now_us);
	dispatch_retry(s, "answered without a signature", now_us);
	return true;
}

void exchange_give_up_statement(struct session *s, enum answer_code unknown,
				const char *reason, int64_t now_us)
{
	struct upstream_conn *c = s->conn;

	quota_requests_cancel(s->engine->quota_requests, s);
	if (may_take_effect(s))
		caller_send_error(s, unknown, reason, now_us);
	else
		caller_refuse_statement(s, ANSWER_ABORTED, reason, 0, now_us);
	/* Its late answer could be mistaken for that of another statement. */
	if (c && !c->closed && c->request_count)
		exchange_handle_loss(c, reason, now_us);
}
