#include "proxy/caller.h"

#include "proxy/dispatch.h"
#include "proxy/drain.h"
#include "proxy/engine_state.h"
#include "proxy/hop.h"
#include "proxy/relay_load.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

enum {
	/* Per session; a change sends all values to the endpoint again. */
	SESSION_VALUES_MAX = 32,
	SESSION_PREPARED_MAX = 256, /* per session */
	BACKLOG_MAX = 64, /* queued lines; a session with more is closed */
	REASON_BYTES = 96,
	/* Default retry delay: the cause has usually gone by then. */
	RETRY_DEFAULT_US = 200 * 1000,
	/* An operator may end a pause of writes before its time. */
	WRITE_PAUSE_RETRY_US = 1000 * 1000,
};

static void send_to_caller(struct session *s, const GString *out)
{
	const struct engine_opts *o = &s->engine->opts;

	o->ops->caller_send(o->host, s->caller, out->str, out->len);
}

static void count_answer(const struct session *s, enum answer_code code,
			 int64_t now_us)
{
	struct engine *e = s->engine;

	metrics_add(e->opts.metrics, "statements_total", answer_code_name(code),
		    1);
	metrics_observe(e->opts.metrics, "statement_seconds",
			query_kind_name(s->op.query.kind),
			now_us - s->op.arrived_us);
}

static void handle_next_queued_line(struct session *s, int64_t now_us)
{
	GBytes *line = g_queue_pop_head(&s->backlog);
	gsize size;
	const char *text;

	if (!line)
		return;
	text = g_bytes_get_data(line, &size);
	caller_handle_line(s, text, size - 1, now_us);
	g_bytes_unref(line);
}

/* Returns true for what sets up the session for an operation. */
static bool is_setup(enum query_kind kind)
{
	return kind == QUERY_SET || kind == QUERY_PREPARE ||
	       kind == QUERY_RESET;
}

/* Ends the statement and handles the next queued line, if there is one. */
static void finish_statement(struct session *s, int64_t now_us)
{
	if (!is_setup(s->op.query.kind))
		s->relayed_elapsed_us = 0;
	operation_end(&s->op);
	s->idle_since_us = now_us;
	s->transaction_idle_us = now_us;
	if (s->transaction == TRANSACTION_NONE)
		g_hash_table_remove(s->engine->busy_sessions, s);
	if (drain_should_close_session(s->engine, s, now_us)) {
		caller_close(s, now_us);
		return;
	}
	handle_next_queued_line(s, now_us);
}

static void send_answer(struct session *s, const GString *body, int64_t now_us)
{
	GString *out = g_string_new_len(body->str, (gssize)body->len);

	if (s->relayed)
		relay_load_put(out, s, now_us);
	/* Another instance needs the position of what its caller wrote. */
	s->engine->opts.wire->put_ready(out, s->transaction,
					s->relayed && s->last_write.term ?
						&s->last_write :
						NULL);
	send_to_caller(s, out);
	g_string_free(out, TRUE);
	finish_statement(s, now_us);
}

/*
 * Logs a statement that exceeded its route's target latency, and its timings.
 */
static void log_slow_statement(const struct session *s, int64_t now_us)
{
	const struct operation *op = &s->op;
	const struct route *r = session_find_route(s);
	int64_t took_us = now_us - op->arrived_us;

	if (!r || took_us <= r->target_us)
		return;
	engine_log(s->engine, LOG_STATEMENT_SLOW, s->number, op->query.id,
		   took_us,
		   "%s at %s: %" G_GINT64_FORMAT " us, tries %u, workspace %s, "
		   "mark age us %" G_GINT64_FORMAT,
		   query_kind_name(op->query.kind), op->endpoint,
		   now_us - op->sent_us, op->sends,
		   s->workspace ? s->workspace : "-",
		   op->need == NEED_READ ?
			   op->sent_us - op->min_mark.requested_us :
			   0);
}

void caller_send_result(struct session *s, int64_t now_us)
{
	count_answer(s, ANSWER_NONE, now_us);
	log_slow_statement(s, now_us);
	send_answer(s, s->op.rows, now_us);
}

/* Answers a statement that does not need an endpoint. */
static void answer_locally(struct session *s, int64_t now_us)
{
	g_string_truncate(s->op.rows, 0);
	s->engine->opts.wire->put_done(s->op.rows);
	send_answer(s, s->op.rows, now_us);
}

/* Releases the session's connection; its transaction has ended or failed. */
static void release_transaction(struct session *s, bool ended, int64_t now_us)
{
	struct upstream_conn *c = s->pinned ? s->pinned : s->conn;

	s->pinned = NULL;
	s->conn = NULL;
	if (c)
		dispatch_release_conn(c, now_us);
	if (ended || s->transaction == TRANSACTION_NONE)
		s->transaction = TRANSACTION_NONE;
	else
		s->transaction = TRANSACTION_FAILED;
}

void caller_send_error(struct session *s, enum answer_code code,
		       const char *reason, int64_t now_us)
{
	GString *out = g_string_new(NULL);
	bool ends = s->op.query.kind == QUERY_COMMIT ||
		    s->op.query.kind == QUERY_ROLLBACK;

	dispatch_dequeue(s);
	release_transaction(s, ends, now_us);
	count_answer(s, code, now_us);
	engine_log(s->engine, LOG_STATEMENT_FAILED, s->number,
		   s->op.query.id ? s->op.query.id : "-",
		   now_us - s->op.arrived_us,
		   "%s %s: %s, tries %u, at %s, workspace %s",
		   query_kind_name(s->op.query.kind), answer_code_name(code),
		   reason, s->op.sends,
		   s->op.endpoint[0] ? s->op.endpoint : "-",
		   s->workspace ? s->workspace : "-");
	s->engine->opts.wire->put_error(out, code, reason);
	send_answer(s, out, now_us);
	g_string_free(out, TRUE);
}

void caller_refuse_statement(struct session *s, enum answer_code code,
			     const char *reason, int64_t retry_us,
			     int64_t now_us)
{
	char text[REASON_BYTES];
	int64_t retry_ms = (retry_us + US_PER_MS - 1) / US_PER_MS;

	snprintf(text, sizeof(text), "%s; retry-after-ms=%" G_GINT64_FORMAT,
		 reason, retry_ms);
	caller_send_error(s, code, text, now_us);
}

void caller_abort_transaction(struct session *s, const char *reason,
			      int64_t now_us)
{
	s->pinned = NULL;
	if (s->transaction == TRANSACTION_NONE)
		return;
	s->transaction = TRANSACTION_FAILED;
	engine_log(s->engine, LOG_TRANSACTION_ENDED, s->number,
		   s->workspace ? s->workspace : "", now_us - s->transaction_us,
		   "rolled back: %s", reason);
}

void caller_close(struct session *s, int64_t now_us)
{
	struct engine *e = s->engine;

	if (s->closing)
		return;
	s->closing = true;
	dispatch_dequeue(s);
	quota_requests_cancel(e->quota_requests, s);
	release_transaction(s, true, now_us);
	operation_end(&s->op);
	g_hash_table_remove(e->busy_sessions, s);
	g_hash_table_remove(e->sessions, s);
	if (s->caller)
		e->opts.ops->caller_close(e->opts.host, s->caller);
	s->caller = NULL;
	g_ptr_array_add(e->closed_sessions, s);
}

/*
 * The other instance has checked the caller's key, and by its configuration the
 * operation goes to .service. If the configuration here is not older, it must
 * say so as well. An older one must have the service, as the limits of its
 * endpoints are needed.
 */
static enum answer_code check_relayed_access(const struct session *s,
					     const char **reason)
{
	const struct engine *e = s->engine;
	bool newer = session_has_newer_route(s);
	const struct route *r = session_find_route(s);

	if (e->leaving && s->transaction == TRANSACTION_NONE)
		*reason = "the home is stopping";
	else if (!s->database)
		*reason = "no operation was announced";
	else if (newer && !fleet_config_find_service(e->config, s->service))
		*reason = "the home has an older configuration";
	else if (!newer && (!r || strcmp(r->service, s->service) != 0))
		*reason = "the home has another route";
	else
		return ANSWER_NONE;
	return ANSWER_WRONG_ENDPOINT;
}

/*
 * Returns ANSWER_NONE if the session may run statements now, else the error
 * code, with *reason set.
 */
static enum answer_code check_access(struct session *s, const char **reason,
				     int64_t now_us)
{
	struct engine *e = s->engine;
	const struct workspace_config *w;
	const struct route *r;

	if (!e->config) {
		*reason = "no configuration yet";
		return ANSWER_OVERLOADED;
	}
	if (!engine_config_is_usable(e, now_us)) {
		*reason = "the configuration cannot be confirmed now";
		return ANSWER_OVERLOADED;
	}
	if (s->relayed)
		return check_relayed_access(s, reason);
	r = fleet_config_find_route(e->config, s->database);
	if (!r) {
		*reason = "no such database";
		return ANSWER_NO_DATABASE;
	}
	w = fleet_config_find_workspace_by_key(e->config, s->key);
	if (!r->is_public && !engine_keys_are_fresh(e, now_us)) {
		*reason = "keys cannot be confirmed now";
		return ANSWER_OVERLOADED;
	}
	if (!r->is_public && !w) {
		*reason = "unknown or withdrawn key";
		return ANSWER_BAD_KEY;
	}
	g_free(s->workspace);
	s->workspace = g_strdup(w ? w->name : e->config->public_workspace);
	return ANSWER_NONE;
}

static void refuse_session(struct session *s, enum answer_code code,
			   const char *reason, int64_t now_us)
{
	GString *out = g_string_new(NULL);

	engine_log(s->engine, LOG_SESSION_REFUSED, s->number,
		   s->database ? s->database : "", 0, "%s: %s",
		   answer_code_name(code), reason);
	s->engine->opts.wire->put_error(out, code, reason);
	send_to_caller(s, out);
	g_string_free(out, TRUE);
	caller_close(s, now_us);
}

/* Logs that the session was accepted by a configuration that may be old. */
static void log_unconfirmed(const struct session *s, int64_t now_us)
{
	const struct engine *e = s->engine;

	if (store_feed_age_us(e->feed, now_us) < e->opts.config_limit_us)
		return;
	engine_log(e, LOG_SESSION_UNCONFIRMED, s->number, s->database,
		   e->config->version, "confirmed %lld ms ago; workspace %s",
		   (long long)(store_feed_age_us(e->feed, now_us) / US_PER_MS),
		   s->workspace);
	metrics_add(e->opts.metrics, "unconfirmed_sessions_total", NULL, 1);
}

static void start_relayed_session(struct session *s, const char *line,
				  int64_t now_us)
{
	g_autofree char *copy = g_strdup(line);
	const char *service;
	GString *out;

	if (!hop_read_start(copy, &service)) {
		refuse_session(s, ANSWER_MALFORMED, "not a start of a peer",
			       now_us);
		return;
	}
	s->service = g_strdup(service);
	s->started = true;
	out = g_string_new(NULL);
	s->engine->opts.wire->put_ready(out, TRANSACTION_NONE, NULL);
	if (s->engine->leaving)
		hop_put_leaving(out);
	send_to_caller(s, out);
	g_string_free(out, TRUE);
}

/* Handles the line that precedes an operation of another instance. */
static void announce_operation(struct session *s, const char *line,
			       int64_t now_us)
{
	g_autofree char *copy = g_strdup(line);
	struct hop_operation op;

	if (s->transaction != TRANSACTION_NONE ||
	    !hop_read_operation(copy, &op)) {
		engine_log(s->engine, LOG_PEER_MESSAGE_BAD, s->number, "hop", 0,
			   "malformed announcement of an operation");
		caller_close(s, now_us);
		return;
	}
	g_free(s->database);
	g_free(s->workspace);
	s->database = g_strdup(op.database);
	s->workspace = g_strdup(op.workspace);
	s->relayed_version = op.config_version;
	s->relayed_route = op.route;
	s->relayed_elapsed_us = op.elapsed_us;
	s->last_write = op.last_write;
	s->last_write_us = now_us;
	handle_next_queued_line(s, now_us);
}

static void start_session(struct session *s, const char *line, int64_t now_us)
{
	g_autofree char *copy = g_strdup(line);
	struct session_start in = { 0 };
	const char *reason = "";
	enum answer_code code;
	GString *out;

	if (!s->engine->opts.wire->read_start(copy, &in)) {
		refuse_session(s, ANSWER_MALFORMED, "not a session start",
			       now_us);
		return;
	}
	s->database = g_strdup(in.database);
	s->key = g_strdup(in.key);
	code = check_access(s, &reason, now_us);
	if (code) {
		refuse_session(s, code, reason, now_us);
		return;
	}
	s->started = true;
	log_unconfirmed(s, now_us);
	out = g_string_new(NULL);
	s->engine->opts.wire->put_ready(out, TRANSACTION_NONE, NULL);
	send_to_caller(s, out);
	g_string_free(out, TRUE);
}

/* Runs a statement that passed the access and quota checks. */
static void run_admitted_statement(struct session *s, int64_t now_us)
{
	if (s->op.query.kind != QUERY_BEGIN &&
	    s->op.query.kind != QUERY_BEGIN_READ) {
		dispatch_statement(s, now_us);
		return;
	}
	s->transaction = TRANSACTION_OPEN;
	s->transaction_reads_only = s->op.query.kind == QUERY_BEGIN_READ;
	s->transaction_wrote = false;
	s->transaction_us = now_us;
	/* The endpoint gets BEGIN with the transaction's first statement. */
	answer_locally(s, now_us);
}

/* Runs or refuses the statement by a result of quota_take() or -ETIMEDOUT. */
static void apply_quota_result(struct session *s, int rc, int64_t retry_us,
			       int64_t now_us)
{
	switch (rc) {
	case 0:
		run_admitted_statement(s, now_us);
		break;
	case -EAGAIN:
		quota_count_refused(s->engine->quota, s->workspace);
		caller_refuse_statement(s, ANSWER_LIMIT,
					"over the workspace's rate", retry_us,
					now_us);
		break;
	case -ETIMEDOUT:
		caller_refuse_statement(s, ANSWER_OVERLOADED,
					"the home of the limit does not answer",
					QUOTA_HOME_RETRY_US, now_us);
		break;
	default:
		caller_refuse_statement(s, ANSWER_OVERLOADED,
					"limits cannot be counted now",
					RETRY_DEFAULT_US, now_us);
		break;
	}
}

void caller_handle_quota_result(struct session *s, int rc, int64_t retry_us,
				int64_t now_us)
{
	const char *reason = "";
	enum answer_code code = check_access(s, &reason, now_us);

	/* The key may have been withdrawn while the request was pending. */
	if (code)
		caller_refuse_statement(s, code, reason, RETRY_DEFAULT_US,
					now_us);
	else
		apply_quota_result(s, rc, retry_us, now_us);
}

/*
 * Returns how long operators still pause writes of the workspace; 0: this may
 * run. A transaction that has written may end.
 */
static int64_t find_write_pause_us(const struct session *s, int64_t now_us)
{
	const struct engine *e = s->engine;
	bool has_written =
		s->transaction != TRANSACTION_NONE && s->transaction_wrote;

	if (!s->op.writes || s->relayed || has_written)
		return 0;
	return steer_remaining_us(e->steer, STEER_PAUSE_WRITES, s->workspace,
				  now_us);
}

/* Likewise, for a statement that comes while the instance is stopping. */
static enum answer_code check_stop(const struct session *s, const char **reason,
				   int64_t now_us)
{
	*reason = "the instance is stopping";
	switch (drain_judge_statement(s, now_us)) {
	case STOP_ACCEPT:
		return ANSWER_NONE;
	case STOP_REFUSE:
		return ANSWER_OVERLOADED;
	case STOP_ROLL_BACK:
		break;
	}
	return ANSWER_ABORTED;
}

/* Checks access and, for a new operation, takes one from the quota. */
static void admit_statement(struct session *s, bool new_operation,
			    int64_t now_us)
{
	struct engine *e = s->engine;
	const char *reason = "";
	enum answer_code code = check_access(s, &reason, now_us);
	int64_t retry_us = RETRY_DEFAULT_US;
	int64_t pause_us;
	int rc = 0;

	if (!code)
		code = check_stop(s, &reason, now_us);
	if (code) {
		caller_refuse_statement(s, code, reason, RETRY_DEFAULT_US,
					now_us);
		return;
	}
	pause_us = find_write_pause_us(s, now_us);
	if (pause_us) {
		caller_refuse_statement(s, ANSWER_OVERLOADED,
					"writes are paused by an operator",
					MIN(pause_us, WRITE_PAUSE_RETRY_US),
					now_us);
		return;
	}
	if (new_operation && !s->relayed)
		rc = quota_take(e->quota, s->workspace, now_us, &retry_us);
	if (rc != -EINPROGRESS && rc != -EDQUOT) {
		apply_quota_result(s, rc, retry_us, now_us);
		return;
	}
	/* What the answer is if no other instance gives one. */
	rc = rc == -EDQUOT ? -EAGAIN : -ETIMEDOUT;
	if (!quota_requests_start(e->quota_requests, s, rc, retry_us, now_us))
		apply_quota_result(s, rc, retry_us, now_us);
}

static void on_begin(struct session *s, int64_t now_us)
{
	if (s->transaction != TRANSACTION_NONE) {
		caller_send_error(s, ANSWER_MALFORMED, "a transaction is open",
				  now_us);
		return;
	}
	admit_statement(s, true, now_us);
}

static void on_rollback(struct session *s, int64_t now_us)
{
	release_transaction(s, true, now_us);
	answer_locally(s, now_us);
}

static void submit_statement(struct session *s, int64_t now_us)
{
	admit_statement(s, s->transaction == TRANSACTION_NONE, now_us);
}

static void on_commit(struct session *s, int64_t now_us)
{
	if (s->transaction == TRANSACTION_NONE) {
		caller_send_error(s, ANSWER_MALFORMED, "no transaction",
				  now_us);
		return;
	}
	if (s->transaction == TRANSACTION_FAILED) {
		caller_send_error(s, ANSWER_ABORTED,
				  "the transaction was rolled back", now_us);
		return;
	}
	submit_statement(s, now_us);
}

static void on_write(struct session *s, int64_t now_us)
{
	s->op.writes = true;
	submit_statement(s, now_us);
}

static void on_execute(struct session *s, int64_t now_us)
{
	const struct prepared_statement *p =
		session_find_prepared(s, s->op.query.name);

	if (!p) {
		caller_send_error(s, ANSWER_NO_STATEMENT,
				  "no such prepared statement", now_us);
		return;
	}
	s->op.writes = p->writes;
	submit_statement(s, now_us);
}

static void on_set(struct session *s, int64_t now_us)
{
	if (g_hash_table_size(s->values) >= SESSION_VALUES_MAX) {
		caller_send_error(s, ANSWER_TOO_LARGE, "too many values",
				  now_us);
		return;
	}
	session_set_value(s, s->op.query.name, s->op.query.value);
	answer_locally(s, now_us);
}

static void on_prepare(struct session *s, int64_t now_us)
{
	if (g_hash_table_size(s->prepared) >= SESSION_PREPARED_MAX) {
		caller_send_error(s, ANSWER_TOO_LARGE,
				  "too many prepared statements", now_us);
		return;
	}
	session_prepare(s, &s->op.query);
	answer_locally(s, now_us);
}

static void on_deallocate(struct session *s, int64_t now_us)
{
	if (session_deallocate(s, s->op.query.name))
		answer_locally(s, now_us);
	else
		caller_send_error(s, ANSWER_NO_STATEMENT,
				  "no such prepared statement", now_us);
}

static void on_malformed(struct session *s, int64_t now_us)
{
	caller_send_error(s, ANSWER_MALFORMED, "unknown statement", now_us);
}

static void on_reset(struct session *s, int64_t now_us)
{
	if (!s->relayed) {
		on_malformed(s, now_us);
		return;
	}
	session_reset(s);
	answer_locally(s, now_us);
}

static void on_end(struct session *s, int64_t now_us)
{
	caller_close(s, now_us);
}

typedef void (*query_fn)(struct session *s, int64_t now_us);

static const query_fn query_fns[] = {
	[QUERY_BEGIN] = on_begin,
	[QUERY_BEGIN_READ] = on_begin,
	[QUERY_COMMIT] = on_commit,
	[QUERY_ROLLBACK] = on_rollback,
	[QUERY_READ] = submit_statement,
	[QUERY_WRITE] = on_write,
	[QUERY_SET] = on_set,
	[QUERY_PREPARE] = on_prepare,
	[QUERY_EXECUTE] = on_execute,
	[QUERY_DEALLOCATE] = on_deallocate,
	[QUERY_RESET] = on_reset,
	[QUERY_END] = on_end,
	[QUERY_MALFORMED] = on_malformed,
};

static bool ends_transaction(enum query_kind kind)
{
	return kind == QUERY_ROLLBACK || kind == QUERY_COMMIT ||
	       kind == QUERY_END;
}

void caller_handle_line(struct session *s, const char *line, size_t bytes,
			int64_t now_us)
{
	struct query q;

	if (s->closing)
		return;
	if (!s->started) {
		if (strlen(line) != bytes)
			refuse_session(s, ANSWER_MALFORMED,
				       "not a session start", now_us);
		else if (s->relayed)
			start_relayed_session(s, line, now_us);
		else
			start_session(s, line, now_us);
		return;
	}
	if (s->op.active) {
		if (g_queue_get_length(&s->backlog) >= BACKLOG_MAX)
			caller_close(s, now_us);
		else
			/* With the NUL that ends it. */
			g_queue_push_tail(&s->backlog,
					  g_bytes_new(line, bytes + 1));
		return;
	}
	if (s->relayed && hop_is_operation(line)) {
		announce_operation(s, line, now_us);
		return;
	}
	s->engine->opts.wire->read_query(line, bytes, &q);
	g_hash_table_add(s->engine->busy_sessions, s);
	operation_start(&s->op, &q, now_us - s->relayed_elapsed_us);
	if (s->transaction == TRANSACTION_FAILED &&
	    !ends_transaction(s->op.query.kind)) {
		caller_send_error(s, ANSWER_MALFORMED,
				  "the transaction has failed", now_us);
		return;
	}
	query_fns[s->op.query.kind](s, now_us);
}
