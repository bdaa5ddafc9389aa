#include "proxy/exchange.h"

#include "proxy/caller.h"
#include "proxy/dispatch.h"
#include "proxy/engine_state.h"

#include <string.h>

enum {
	/* An endpoint that lacks a position is asked again after this. */
	BEHIND_PAUSE_US = 100 * 1000,
	/* An overloaded one sheds until its queue is shorter. */
	BUSY_PAUSE_US = 20 * 1000,
	/* No connection is opened sooner after one was denied or failed. */
	OPEN_PAUSE_US = 200 * 1000,
	OPEN_PAUSE_MAX_US = 1600 * 1000,
};

/* The answer does not fit the question: nothing on it can be trusted. */
static void out_of_step(struct upstream_conn *c, const char *what,
			int64_t now_us)
{
	engine_log(c->engine, LOG_CONN_OUT_OF_STEP, 0, c->upstream->entry.id, 0,
		   "%s", what);
	exchange_lost(c, what, now_us);
}

/* What a refusal tells about the endpoint. */
static void note_refusal(struct upstream_conn *c, enum answer_code code,
			 int64_t now_us)
{
	struct upstream *u = c->upstream;

	switch (code) {
	case ANSWER_BEHIND:
		u->behind_until_us = now_us + BEHIND_PAUSE_US;
		break;
	case ANSWER_OVERLOADED:
		u->busy_until_us = now_us + BUSY_PAUSE_US;
		break;
	case ANSWER_NOT_PRIMARY:
		engine_update_primary(c->engine, u, LEAD_DENIED,
				 "refused as a replica");
		break;
	default:
		break;
	}
	metrics_add(c->engine->opts.metrics, "endpoint_refusals_total",
		    answer_code_name(code), 1);
}

/*
 * The endpoint refused the statement, or its BEGIN, before it ran. Outside
 * of a transaction that has begun it can run elsewhere.
 */
static void refused(struct upstream_conn *c, enum answer_code code,
		    int64_t now_us)
{
	struct session *s = c->session;
	bool pinned = s->pinned == c;

	note_refusal(c, code, now_us);
	if (pinned) {
		caller_refuse(s, code, "refused inside the transaction",
			      BUSY_PAUSE_US, now_us);
		return;
	}
	operation_avoid(&s->op, c->upstream);
	s->op.refusals++;
	s->op.last_code = code;
	if (code == ANSWER_NO_STATEMENT || code == ANSWER_WRONG_ENDPOINT) {
		/* What it holds is not what was believed. */
		s->conn = NULL;
		c->session = NULL;
		dispatch_close(c);
	} else {
		dispatch_release(c, now_us);
	}
	dispatch_again(s, answer_code_name(code), now_us);
}

/* A leader's log position at a question that was sent at asked_us. */
static void note_mark(struct upstream_conn *c, int64_t asked_us,
		      const struct wire_reply *r)
{
	struct service *svc = c->upstream->service;

	if (r->has_position && svc->primary == c->upstream)
		mark_ring_add(&svc->marks, asked_us, r->position);
}

static void note_write(struct session *s, const struct wire_reply *r,
		       int64_t now_us)
{
	if (!r->has_position)
		return;
	s->own_write = position_max(s->own_write, r->position);
	s->own_write_us = now_us;
}

static void statement_done(struct upstream_conn *c, const struct step *step,
			   const struct wire_reply *ready, int64_t now_us)
{
	struct session *s = c->session;
	struct operation *op = &s->op;
	bool commits = op->query.kind == QUERY_COMMIT;
	bool ends = commits || s->transaction == TRANSACTION_NONE;

	if (op->need == NEED_STRICT_READ || (op->writes && ends) ||
	    (commits && s->transaction_wrote))
		note_mark(c, step->sent_us, ready);
	if ((op->writes && ends) || (commits && s->transaction_wrote))
		note_write(s, ready, now_us);
	if (op->writes && !ends)
		s->transaction_wrote = true;
	s->conn = NULL;
	if (ends) {
		if (commits)
			s->transaction = TRANSACTION_NONE;
		dispatch_release(c, now_us);
	} else {
		s->pinned = c;
		c->state = CONN_HOLDING;
		c->upstream->running--;
		s->transaction_idle_us = now_us;
	}
	caller_answer_done(s, now_us);
}

static void statement_failed(struct upstream_conn *c, int64_t now_us)
{
	struct session *s = c->session;
	enum answer_code code = c->answer.code;
	bool first = s->pinned != c;

	if (answer_code_verdict(code) == VERDICT_NOT_RUN) {
		refused(c, code, now_us);
		return;
	}
	if (!s->op.writes && first && s->op.query.kind != QUERY_COMMIT &&
	    !s->op.begins) {
		/* A read leaves nothing behind: it may run once more. */
		operation_avoid(&s->op, c->upstream);
		s->op.last_code = code;
		dispatch_release(c, now_us);
		dispatch_again(s, answer_code_name(code), now_us);
		return;
	}
	caller_answer_error(s, code, "the endpoint reported it", now_us);
}

static void on_statement(struct upstream_conn *c, const struct step *step,
			 const struct wire_reply *ready, int64_t now_us)
{
	if (c->answer.done && !c->answer.has_signature) {
		out_of_step(c, "an unsigned answer to a statement", now_us);
		return;
	}
	upstream_note_latency(c->upstream, now_us - step->sent_us, now_us);
	metrics_observe(c->engine->opts.metrics, "endpoint_seconds",
			c->upstream->entry.id, now_us - step->sent_us);
	if (!c->session)
		return;
	if (c->answer.failed)
		statement_failed(c, now_us);
	else
		statement_done(c, step, ready, now_us);
}

/* The last of the answers before the statement itself. */
static bool awaits_statement(const struct upstream_conn *c)
{
	return c->session && c->session->conn == c && !c->step_count &&
	       !c->session->op.sent && c->state == CONN_WORKING;
}

static void on_setup(struct upstream_conn *c, const struct step *step,
		     const struct wire_reply *ready, int64_t now_us)
{
	if (c->answer.failed || c->answer.has_signature) {
		out_of_step(c, "setting values or preparing failed", now_us);
		return;
	}
	if (awaits_statement(c))
		dispatch_send_statement(c, now_us);
}

static void on_begin(struct upstream_conn *c, const struct step *step,
		     const struct wire_reply *ready, int64_t now_us)
{
	if (c->answer.has_signature ||
	    (!c->answer.failed && ready->state != TRANSACTION_OPEN)) {
		out_of_step(c, "BEGIN was answered by something else", now_us);
		return;
	}
	if (!c->session) {
		if (c->answer.failed)
			note_refusal(c, c->answer.code, now_us);
		return;
	}
	if (!c->answer.failed && c->session->op.need != NEED_READ)
		note_mark(c, step->sent_us, ready);
	if (c->answer.failed)
		refused(c, c->answer.code, now_us);
	else if (awaits_statement(c))
		dispatch_send_statement(c, now_us);
}

static void on_rollback(struct upstream_conn *c, const struct step *step,
			const struct wire_reply *ready, int64_t now_us)
{
	if (c->answer.has_signature)
		out_of_step(c, "ROLLBACK was answered by something else",
			    now_us);
	else if (c->in_transaction && !c->step_count)
		out_of_step(c, "ROLLBACK left the transaction open", now_us);
}

static void on_probe_begin(struct upstream_conn *c, const struct step *step,
			   const struct wire_reply *ready, int64_t now_us)
{
	c->upstream->service->probing = false;
	if (c->answer.failed) {
		note_refusal(c, c->answer.code, now_us);
		return;
	}
	/* Only a leader begins a transaction that may write. */
	if (c->upstream->service->primary != c->upstream)
		engine_update_primary(c->engine, c->upstream, LEAD_TAKEN,
				 "answers as the leader");
	note_mark(c, step->sent_us, ready);
}

static void on_report(struct upstream_conn *c, const struct step *step,
		      const struct wire_reply *ready, int64_t now_us)
{
	struct engine *e = c->engine;
	struct upstream_report report;

	if (c->answer.failed ||
	    !e->opts.wire->read_report(c->answer.report, &report)) {
		failover_handle_report_error(e->failovers, c, c->answer.code, now_us);
		return;
	}
	failover_handle_report(e->failovers, c, &report, now_us);
}

static void on_start(struct upstream_conn *c, const struct step *step,
		     const struct wire_reply *ready, int64_t now_us)
{
	c->upstream->open_failures = 0;
	upstream_note_handshake(c->upstream, now_us - step->sent_us);
	c->used_us = now_us;
	c->state = CONN_FREE_TO_USE;
	if (c->control)
		failover_handle_conn_ready(c->engine->failovers, c, now_us);
	else if (c->session)
		dispatch_run_on(c, now_us);
}

typedef void (*step_fn)(struct upstream_conn *c, const struct step *step,
			const struct wire_reply *ready, int64_t now_us);

static const step_fn step_fns[STEP_KIND_COUNT] = {
	[STEP_START] = on_start,       [STEP_SETUP] = on_setup,
	[STEP_BEGIN] = on_begin,       [STEP_STATEMENT] = on_statement,
	[STEP_ROLLBACK] = on_rollback, [STEP_PROBE_BEGIN] = on_probe_begin,
	[STEP_REPORT] = on_report,
};

/* Nobody needs it and nothing is expected: it can be used again. */
static void settle(struct upstream_conn *c, int64_t now_us)
{
	if (c->closed || c->step_count)
		return;
	if (c->state != CONN_CLEANING && c->state != CONN_PROBING)
		return;
	dispatch_release(c, now_us);
}

static void on_ready(struct upstream_conn *c, const struct wire_reply *ready,
		     int64_t now_us)
{
	const struct step *oldest = upstream_conn_step(c);
	struct step step;

	if (!oldest) {
		out_of_step(c, "an answer that nobody asked for", now_us);
		return;
	}
	step = *oldest;
	c->answered_us = now_us;
	upstream_conn_pop(c);
	c->in_transaction = ready->state != TRANSACTION_NONE;
	upstream_note_answer(c->upstream);
	if (ready->has_position)
		upstream_note_position(c->upstream, ready->position, now_us);
	step_fns[step.kind](c, &step, ready, now_us);
	memset(&c->answer, 0, sizeof(c->answer));
	settle(c, now_us);
}

/* The endpoint refused the connection itself. */
static void start_refused(struct upstream_conn *c, enum answer_code code,
			  int64_t now_us)
{
	struct upstream *u = c->upstream;

	engine_log(c->engine, LOG_CONN_DENIED, 0, u->entry.id, u->conns->len,
		   "%s", answer_code_name(code));
	note_refusal(c, code, now_us);
	upstream_note_answer(u);
	u->open_after_us = now_us + OPEN_PAUSE_US;
	exchange_lost(c, answer_code_name(code), now_us);
}

static void on_row(struct upstream_conn *c, const struct wire_reply *r)
{
	const struct step *step = upstream_conn_step(c);
	struct answer_in *a = &c->answer;

	if (step && step->kind == STEP_STATEMENT && c->session)
		c->engine->opts.wire->put_line(c->session->op.rows, r->text);
	else if (!a->report[0])
		g_strlcpy(a->report, r->text, sizeof(a->report));
}

void exchange_line(struct upstream_conn *c, const char *line, int64_t now_us)
{
	const struct step *step = upstream_conn_step(c);
	struct wire_reply r;

	if (c->closed)
		return;
	c->engine->opts.wire->read_reply(line, &r);
	switch (r.kind) {
	case REPLY_ROW:
		on_row(c, &r);
		break;
	case REPLY_DONE:
		c->answer.done = true;
		c->answer.has_signature = r.has_signature;
		if (step && step->kind == STEP_STATEMENT && c->session)
			c->engine->opts.wire->put_line(c->session->op.rows,
						       r.text);
		break;
	case REPLY_ERROR:
		c->answer.failed = true;
		c->answer.code = r.code;
		if (step && step->kind == STEP_START)
			start_refused(c, r.code, now_us);
		break;
	case REPLY_READY:
		on_ready(c, &r, now_us);
		break;
	case REPLY_MALFORMED:
		out_of_step(c, "a line that cannot be read", now_us);
		break;
	}
}

static bool has_begun(const struct session *s, const struct upstream_conn *c)
{
	return s->pinned == c;
}

/* Answers or repeats what the lost connection carried. */
static void statement_lost(struct session *s, struct upstream_conn *c,
			   const char *why, int64_t now_us)
{
	struct operation *op = &s->op;
	bool commits = op->query.kind == QUERY_COMMIT;
	bool keeps = commits ? s->transaction_wrote :
			       op->writes && s->transaction == TRANSACTION_NONE;

	if (op->sent && keeps) {
		caller_answer_error(s, ANSWER_IN_DOUBT, why, now_us);
		return;
	}
	if (has_begun(s, c) || (op->sent && s->transaction)) {
		s->pinned = NULL;
		/* It is rolled back with its connection. */
		caller_refuse(s, ANSWER_ABORTED, why, BUSY_PAUSE_US, now_us);
		return;
	}
	operation_avoid(op, c->upstream);
	dispatch_again(s, why, now_us);
}

static void note_failure(struct upstream_conn *c, int64_t now_us)
{
	struct upstream *u = c->upstream;
	int64_t pause_us;

	if (!u->silent_since_us)
		u->silent_since_us = now_us;
	/* A fresh connection tells whether it or its connection is gone. */
	if (c->state != CONN_STARTING && u->service->primary == u)
		u->service->probe_due_us = now_us;
	if (c->state != CONN_STARTING)
		return;
	u->open_failures = MIN(u->open_failures + 1, 4);
	pause_us = (int64_t)OPEN_PAUSE_US << (u->open_failures - 1);
	u->open_after_us = MAX(u->open_after_us,
			       now_us + MIN(pause_us, OPEN_PAUSE_MAX_US));
}

void exchange_lost(struct upstream_conn *c, const char *why, int64_t now_us)
{
	struct session *s = c->session;
	struct engine *e = c->engine;

	if (c->closed)
		return;
	engine_log(e, LOG_CONN_LOST, s ? s->number : 0, c->upstream->entry.id,
		   now_us - c->opened_us, "%s", why);
	if (c->state == CONN_STARTING || c->step_count)
		note_failure(c, now_us);
	if (c->state == CONN_PROBING)
		c->upstream->service->probing = false;
	dispatch_close(c);
	if (!s)
		return;
	c->session = NULL;
	if (s->conn != c) {
		caller_lose_transaction(s, why, now_us);
		return;
	}
	s->conn = NULL;
	statement_lost(s, c, why, now_us);
}
