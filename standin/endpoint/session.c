#include "session.h"

#include "pg_wire.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

enum {
	CODE_PROTOCOL_3 = 196608,
	CODE_CANCEL = 80877102,
	CODE_SSL = 80877103,
	CODE_GSS = 80877104,
	AUTH_OK = 0,
	AUTH_CLEARTEXT = 3,
	PARAMS_MAX = 64,
	MESSAGE_BYTES_MAX = 64 << 20,
};

enum phase { PHASE_STARTUP, PHASE_PASSWORD, PHASE_DELAY, PHASE_READY };

/* State that ReadyForQuery reports. */
enum { STATUS_IDLE = 'I', STATUS_OPEN = 'T', STATUS_FAILED = 'E' };

struct session {
	struct endpoint *ep;
	struct stream *stream;
	enum phase phase;
	GByteArray *in; /* bytes that are not handled yet */
	GByteArray *out; /* answers of the messages handled at once */
	bool closed;
	bool muted;
	bool counted; /* against connections_max */
	bool waiting; /* a statement waits for a slot or runs */
	bool holds_slot;
	bool skips; /* an error: ignore everything before Sync */
	bool simple; /* the statement came in a Query message */
	bool in_transaction;
	bool explicit_transaction; /* by BEGIN */
	bool failed; /* the explicit transaction had an error */
	struct transaction transaction;
	apr_pool_t *pool; /* of the unnamed statement */
	struct sql_statement *statement;
	uint32_t param_count;
	const char *params[PARAMS_MAX];
	bool described;
	struct engine_result result;
	int64_t sleep_us;
};

static void process(struct session *s);

static void flush(struct session *s)
{
	if (s->out->len > 0)
		stream_write(s->stream, s->out->data, s->out->len);
	g_byte_array_set_size(s->out, 0);
	stream_flush(s->stream);
}

static void end_transaction(struct session *s)
{
	s->in_transaction = false;
	s->explicit_transaction = false;
	s->failed = false;
}

static void rollback(struct session *s)
{
	if (s->in_transaction)
		transaction_rollback(&s->transaction);
	end_transaction(s);
}

static void commit(struct session *s, struct engine_result *out)
{
	if (s->in_transaction)
		engine_commit(&s->ep->engine, &s->transaction, out);
	end_transaction(s);
}

void session_close(struct session *s)
{
	if (s->closed)
		return;
	s->closed = true;
	rollback(s);
	delays_drop(s->ep->delays, s);
	slots_drop(s->ep->slots, s);
	if (s->holds_slot)
		slots_release(s->ep->slots);
	s->holds_slot = false;
	g_ptr_array_remove_fast(s->ep->sessions, s);
	stream_close(s->stream);
}

void session_mute(struct session *s)
{
	s->muted = true;
	s->counted = false;
	stream_mute(s->stream);
	if (!s->waiting)
		rollback(s);
}

static char status(const struct session *s)
{
	if (!s->explicit_transaction)
		return STATUS_IDLE;
	return s->failed ? STATUS_FAILED : STATUS_OPEN;
}

void session_send_stray(struct session *s)
{
	struct engine_result r = { .column_count = 1, .columns = { "stray" } };

	r.values = g_ptr_array_new();
	g_ptr_array_add(r.values, (gpointer) "stray");
	pg_put_empty(s->out, '1');
	pg_put_empty(s->out, '2');
	pg_put_row_description(s->out, &r);
	pg_put_rows(s->out, &r);
	pg_put_complete(s->out, "SELECT 1");
	pg_put_ready(s->out, status(s));
	g_ptr_array_free(r.values, TRUE);
	flush(s);
}

void session_doom(struct session *s)
{
	if (!s->in_transaction || s->transaction.changes->len == 0)
		return;
	transaction_rollback(&s->transaction);
	transaction_start(&s->transaction, false);
	s->transaction.doomed = true;
}

static void fatal(struct session *s, const char *sqlstate, const char *message)
{
	struct engine_result e = { .sqlstate = sqlstate, .message = message };

	pg_put_error(s->out, "FATAL", &e);
	flush(s);
	session_close(s);
}

/* An error ends an implicit transaction and fails an explicit one. */
static void report_error(struct session *s, const struct engine_result *e)
{
	pg_put_error(s->out, "ERROR", e);
	if (s->explicit_transaction)
		s->failed = true;
	else
		rollback(s);
	s->skips = !s->simple;
}

static void report(struct session *s, const char *sqlstate, const char *message)
{
	struct engine_result e = { .sqlstate = sqlstate, .message = message };

	report_error(s, &e);
}

/* Statement execution. */

static void run_begin(struct session *s)
{
	if (!s->in_transaction)
		transaction_start(&s->transaction, s->statement->read_only);
	s->transaction.read_only = s->statement->read_only;
	s->in_transaction = true;
	s->explicit_transaction = true;
	pg_put_complete(s->out, "BEGIN");
}

static void run_commit(struct session *s)
{
	struct engine_result e = { 0 };

	if (s->failed) {
		rollback(s);
		pg_put_complete(s->out, "ROLLBACK");
		return;
	}
	commit(s, &e);
	if (e.sqlstate)
		report_error(s, &e);
	else
		pg_put_complete(s->out, "COMMIT");
}

static void run_statement(struct session *s)
{
	struct engine_call c = {
		.statement = s->statement,
		.param_count = s->param_count,
		.params = s->params,
		.transaction = &s->transaction,
		.pool = s->pool,
	};

	if (!s->in_transaction)
		transaction_start(&s->transaction, false);
	s->in_transaction = true;
	s->result.values = g_ptr_array_new();
	engine_run(&s->ep->engine, &c, &s->result);
	if (s->result.sqlstate) {
		report_error(s, &s->result);
	} else {
		if (s->simple && s->result.column_count > 0)
			pg_put_row_description(s->out, &s->result);
		pg_put_rows(s->out, &s->result);
		pg_put_complete(s->out, s->result.tag);
	}
	g_ptr_array_free(s->result.values, TRUE);
	s->result.values = NULL;
}

static void finish_simple(struct session *s)
{
	struct engine_result e = { 0 };

	if (!s->simple)
		return;
	if (!s->explicit_transaction)
		commit(s, &e);
	if (e.sqlstate)
		report_error(s, &e);
	s->simple = false;
	pg_put_ready(s->out, status(s));
}

static void run(struct session *s)
{
	switch (s->statement->kind) {
	case SQL_EMPTY:
		pg_put_empty(s->out, 'I');
		break;
	case SQL_BEGIN:
		run_begin(s);
		break;
	case SQL_COMMIT:
		run_commit(s);
		break;
	case SQL_ROLLBACK:
		rollback(s);
		pg_put_complete(s->out, "ROLLBACK");
		break;
	default:
		run_statement(s);
	}
	finish_simple(s);
}

static void on_served(void *data)
{
	struct session *s = data;

	run(s);
	s->waiting = false;
	s->holds_slot = false;
	slots_release(s->ep->slots);
	process(s);
}

static void on_slot(void *data)
{
	struct session *s = data;
	int64_t service_us = s->ep->opts.service_us + s->sleep_us;

	s->holds_slot = true;
	delays_add(s->ep->delays, loop_now_us() + service_us, on_served, s);
}

static bool ends_transaction(const struct sql_statement *st)
{
	return st->kind == SQL_COMMIT || st->kind == SQL_ROLLBACK;
}

/* Runs the statement now, or once a slot is free and its time is over. */
static void start(struct session *s)
{
	struct engine_call c = {
		.statement = s->statement,
		.param_count = s->param_count,
		.params = s->params,
	};

	if (s->failed && !ends_transaction(s->statement)) {
		report(s, SQLSTATE_ABORTED, "current transaction is aborted");
		finish_simple(s);
		return;
	}
	s->sleep_us = engine_sleep_us(&c);
	if (s->sleep_us < 0 || (s->sleep_us + s->ep->opts.service_us == 0 &&
				slots_idle(s->ep->slots))) {
		run(s);
		return;
	}
	s->waiting = true;
	slots_take(s->ep->slots, on_slot, s);
}

static bool parse(struct session *s, const char *text)
{
	apr_pool_clear(s->pool);
	s->param_count = 0;
	s->described = false;
	memset(&s->result, 0, sizeof(s->result));
	s->statement = sql_parse(text, s->pool);
	if (s->statement)
		return true;
	report(s, SQLSTATE_SYNTAX, "syntax error");
	return false;
}

static bool describe(struct session *s)
{
	if (s->described)
		return true;
	s->described = true;
	if (s->failed && !ends_transaction(s->statement)) {
		report(s, SQLSTATE_ABORTED, "current transaction is aborted");
		return false;
	}
	if (!engine_describe(&s->ep->engine, s->statement, s->pool, &s->result))
		return true;
	report_error(s, &s->result);
	return false;
}

/* Messages. */

static void on_query(struct session *s, struct pg_reader *r)
{
	s->simple = true;
	if (parse(s, pg_read_string(r)) && describe(s))
		start(s);
	else
		finish_simple(s);
}

static void on_parse(struct session *s, struct pg_reader *r)
{
	const char *name = pg_read_string(r);

	if (*name)
		report(s, SQLSTATE_UNSUPPORTED, "no named statements");
	else if (parse(s, pg_read_string(r)))
		pg_put_empty(s->out, '1');
}

static void on_bind(struct session *s, struct pg_reader *r)
{
	const char *portal = pg_read_string(r);
	const char *name = pg_read_string(r);
	int16_t formats = pg_read_int16(r);
	bool binary = false;
	int16_t count;

	for (int16_t i = 0; i < formats; i++)
		binary |= pg_read_int16(r) != 0;
	count = pg_read_int16(r);
	if (*portal || *name || binary || count < 0 || count > PARAMS_MAX ||
	    !s->statement) {
		report(s, SQLSTATE_UNSUPPORTED, "cannot bind this");
		return;
	}
	for (int16_t i = 0; i < count; i++)
		s->params[i] = pg_read_value(r, s->pool);
	s->param_count = (uint32_t)count;
	pg_put_empty(s->out, '2');
}

static void on_describe(struct session *s, struct pg_reader *r)
{
	if (!s->statement)
		report(s, SQLSTATE_PROTOCOL, "no statement");
	else if (describe(s))
		pg_put_row_description(s->out, &s->result);
}

static void on_execute(struct session *s, struct pg_reader *r)
{
	if (!s->statement)
		report(s, SQLSTATE_PROTOCOL, "no statement");
	else if (describe(s))
		start(s);
}

static void on_close_message(struct session *s, struct pg_reader *r)
{
	pg_put_empty(s->out, '3');
}

static void on_sync(struct session *s, struct pg_reader *r)
{
	struct engine_result e = { 0 };

	if (!s->explicit_transaction)
		commit(s, &e);
	if (e.sqlstate)
		report_error(s, &e);
	s->skips = false;
	pg_put_ready(s->out, status(s));
	flush(s);
}

static void on_flush(struct session *s, struct pg_reader *r)
{
	flush(s);
}

static void on_terminate(struct session *s, struct pg_reader *r)
{
	session_close(s);
}

static const struct message {
	char type;
	void (*run)(struct session *s, struct pg_reader *r);
} messages[] = {
	{ 'Q', on_query },    { 'P', on_parse },   { 'B', on_bind },
	{ 'D', on_describe }, { 'E', on_execute }, { 'C', on_close_message },
	{ 'S', on_sync },     { 'H', on_flush },   { 'X', on_terminate },
};

static void handle_message(struct session *s, char type, struct pg_reader *r)
{
	if (s->skips && type != 'S' && type != 'X')
		return;
	for (guint i = 0; i < G_N_ELEMENTS(messages); i++) {
		if (messages[i].type != type)
			continue;
		messages[i].run(s, r);
		if (r->failed && !s->closed)
			fatal(s, SQLSTATE_PROTOCOL, "message too short");
		return;
	}
	fatal(s, SQLSTATE_PROTOCOL, "unknown message");
}

/* Connection start. */

static void on_admitted(void *data)
{
	struct session *s = data;

	s->phase = PHASE_READY;
	pg_put_auth(s->out, AUTH_OK);
	pg_put_parameter(s->out, "server_version", "15.0");
	pg_put_parameter(s->out, "server_encoding", "UTF8");
	pg_put_parameter(s->out, "client_encoding", "UTF8");
	pg_put_parameter(s->out, "standard_conforming_strings", "on");
	pg_put_key_data(s->out, ++s->ep->next_pid);
	pg_put_ready(s->out, STATUS_IDLE);
	flush(s);
	process(s);
}

static void admit(struct session *s)
{
	s->phase = PHASE_DELAY;
	delays_add(s->ep->delays, loop_now_us() + s->ep->opts.connect_delay_us,
		   on_admitted, s);
}

static uint32_t counted_sessions(const struct endpoint *ep)
{
	uint32_t count = 0;

	for (guint i = 0; i < ep->sessions->len; i++) {
		const struct session *s = g_ptr_array_index(ep->sessions, i);

		count += s->counted;
	}
	return count;
}

static void on_startup(struct session *s, struct pg_reader *r)
{
	int32_t code = pg_read_int32(r);

	if (code == CODE_SSL || code == CODE_GSS) {
		g_byte_array_append(s->out, (const guint8 *)"N", 1);
		flush(s);
		return;
	}
	if (code != CODE_PROTOCOL_3) {
		session_close(s);
		return;
	}
	if (counted_sessions(s->ep) >= s->ep->opts.connections_max) {
		fatal(s, SQLSTATE_TOO_MANY, "too many connections");
		return;
	}
	s->counted = true;
	if (!s->ep->opts.password) {
		admit(s);
		return;
	}
	s->phase = PHASE_PASSWORD;
	pg_put_auth(s->out, AUTH_CLEARTEXT);
	flush(s);
}

static void on_password(struct session *s, char type, struct pg_reader *r)
{
	if (type == 'p' && !strcmp(pg_read_string(r), s->ep->opts.password)) {
		admit(s);
		return;
	}
	fatal(s, SQLSTATE_BAD_PASSWORD, "password authentication failed");
}

/*
 * Handles one whole message. Returns false when there is none, or when
 * the session is not to go on now.
 */
static bool process_one(struct session *s)
{
	size_t head = s->phase == PHASE_STARTUP ? 4 : 5;
	struct pg_reader r = { .at = s->in->data + head - 4,
			       .end = s->in->data + s->in->len };
	int32_t size;
	char type;
	uint8_t *body;

	if (s->closed || s->waiting || s->phase == PHASE_DELAY ||
	    s->in->len < head)
		return false;
	type = (char)s->in->data[0];
	size = pg_read_int32(&r);
	if (size < 4 || size > MESSAGE_BYTES_MAX) {
		fatal(s, SQLSTATE_PROTOCOL, "bad message size");
		return false;
	}
	if (s->in->len < head - 4 + (size_t)size)
		return false;
	body = g_memdup2(r.at, (gsize)size - 4);
	g_byte_array_remove_range(s->in, 0, (guint)(head - 4) + (guint)size);
	r.at = body;
	r.end = body + size - 4;
	if (s->phase == PHASE_STARTUP)
		on_startup(s, &r);
	else if (s->phase == PHASE_PASSWORD)
		on_password(s, type, &r);
	else
		handle_message(s, type, &r);
	g_free(body);
	return true;
}

static void process(struct session *s)
{
	while (process_one(s))
		;
	if (s->closed)
		return;
	if (s->muted && !s->waiting)
		rollback(s);
	flush(s);
}

static void on_data(void *data, GByteArray *in)
{
	struct session *s = data;

	g_byte_array_append(s->in, in->data, in->len);
	g_byte_array_set_size(in, 0);
	process(s);
}

static void on_close(void *data)
{
	session_close(data);
}

static void on_free(void *data)
{
	struct session *s = data;

	session_close(s);
	g_byte_array_free(s->in, TRUE);
	g_byte_array_free(s->out, TRUE);
	apr_pool_destroy(s->pool);
	g_free(s);
}

static const struct stream_ops ops = { on_data, on_close, on_free };

void session_new(struct endpoint *ep, int fd)
{
	struct session *s = g_new0(struct session, 1);

	s->ep = ep;
	s->in = g_byte_array_new();
	s->out = g_byte_array_new();
	apr_pool_create(&s->pool, NULL);
	g_ptr_array_add(ep->sessions, s);
	s->stream = stream_new(ep->net, fd, &ops, s);
}
