#include "session_state.h"

#include <string.h>

static void end_transaction(struct session *s)
{
	s->in_transaction = false;
	s->explicit_transaction = false;
	s->failed = false;
}

void session_rollback(struct session *s)
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

char session_status(const struct session *s)
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
	pg_put_ready(s->out, session_status(s));
	g_ptr_array_free(r.values, TRUE);
	session_flush(s);
}

void session_doom(struct session *s)
{
	if (!s->in_transaction || s->transaction.changes->len == 0)
		return;
	transaction_rollback(&s->transaction);
	transaction_start(&s->transaction, false);
	s->transaction.doomed = true;
}

/* An error ends an implicit transaction and fails an explicit one. */
static void report_error(struct session *s, const struct engine_result *e)
{
	pg_put_error(s->out, "ERROR", e);
	if (s->explicit_transaction)
		s->failed = true;
	else
		session_rollback(s);
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
		session_rollback(s);
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
	pg_put_ready(s->out, session_status(s));
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
		session_rollback(s);
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
	session_process(s);
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
	if (*portal || *name || binary || count < 0 ||
	    count > SESSION_PARAMS_MAX || !s->statement) {
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
	pg_put_ready(s->out, session_status(s));
	session_flush(s);
}

static void on_flush(struct session *s, struct pg_reader *r)
{
	session_flush(s);
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

void session_handle_message(struct session *s, char type, struct pg_reader *r)
{
	if (s->skips && type != 'S' && type != 'X')
		return;
	for (guint i = 0; i < G_N_ELEMENTS(messages); i++) {
		if (messages[i].type != type)
			continue;
		messages[i].run(s, r);
		if (r->failed && !s->closed)
			session_fatal(s, SQLSTATE_PROTOCOL,
				      "message too short");
		return;
	}
	session_fatal(s, SQLSTATE_PROTOCOL, "unknown message");
}
