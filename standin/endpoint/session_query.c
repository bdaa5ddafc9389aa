#include "session_state.h"

#include <string.h>

static void clear_transaction(struct session *s)
{
	s->in_transaction = false;
	s->explicit_transaction = false;
	s->transaction_failed = false;
}

void session_rollback(struct session *s)
{
	if (s->in_transaction)
		transaction_rollback(&s->transaction);
	clear_transaction(s);
}

static void commit_transaction(struct session *s, struct engine_result *out)
{
	if (s->in_transaction)
		engine_commit(&s->ep->engine, &s->transaction, out);
	clear_transaction(s);
}

char session_transaction_status(const struct session *s)
{
	if (!s->explicit_transaction)
		return STATUS_IDLE;
	return s->transaction_failed ? STATUS_FAILED : STATUS_OPEN;
}

void session_send_unsolicited_result(struct session *s)
{
	struct engine_result r = { .column_count = 1, .columns = { "stray" } };

	r.values = g_ptr_array_new();
	g_ptr_array_add(r.values, (gpointer) "stray");
	pg_put_empty(s->out, '1');
	pg_put_empty(s->out, '2');
	pg_put_row_description(s->out, &r);
	pg_put_rows(s->out, &r);
	pg_put_complete(s->out, "SELECT 1");
	pg_put_ready(s->out, session_transaction_status(s));
	g_ptr_array_free(r.values, TRUE);
	session_flush(s);
}

void session_abort_transaction(struct session *s)
{
	if (!s->in_transaction || s->transaction.changes->len == 0)
		return;
	transaction_rollback(&s->transaction);
	transaction_start(&s->transaction, false);
	s->transaction.rollback_only = true;
}

/*
 * Sends the error. It rolls back an implicit transaction and marks an explicit
 * one as failed. In the extended query protocol, all messages up to the next
 * Sync are skipped.
 */
static void report_error(struct session *s, const struct engine_result *e)
{
	pg_put_error(s->out, "ERROR", e);
	if (s->explicit_transaction)
		s->transaction_failed = true;
	else
		session_rollback(s);
	s->skip_until_sync = !s->simple_query;
}

static void report_sqlstate(struct session *s, const char *sqlstate,
			    const char *message)
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

	if (s->transaction_failed) {
		session_rollback(s);
		pg_put_complete(s->out, "ROLLBACK");
		return;
	}
	commit_transaction(s, &e);
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
		if (s->simple_query && s->result.column_count > 0)
			pg_put_row_description(s->out, &s->result);
		pg_put_rows(s->out, &s->result);
		pg_put_complete(s->out, s->result.tag);
	}
	g_ptr_array_free(s->result.values, TRUE);
	s->result.values = NULL;
}

static void finish_simple_query(struct session *s)
{
	struct engine_result e = { 0 };

	if (!s->simple_query)
		return;
	if (!s->explicit_transaction)
		commit_transaction(s, &e);
	if (e.sqlstate)
		report_error(s, &e);
	s->simple_query = false;
	pg_put_ready(s->out, session_transaction_status(s));
}

static void execute_statement(struct session *s)
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
	finish_simple_query(s);
}

static void on_service_done(void *data)
{
	struct session *s = data;

	execute_statement(s);
	s->waiting = false;
	s->holds_slot = false;
	slot_pool_release(s->ep->slot_pool);
	session_process_input(s);
}

static void on_slot_acquired(void *data)
{
	struct session *s = data;
	int64_t service_us = s->ep->opts.service_us + s->sleep_us;

	s->holds_slot = true;
	delay_queue_add(s->ep->delay_queue, loop_now_us() + service_us,
			on_service_done, s);
}

static bool ends_transaction(const struct sql_statement *st)
{
	return st->kind == SQL_COMMIT || st->kind == SQL_ROLLBACK;
}

/*
 * Executes the statement at once if it needs no slot, or if a slot is free and
 * the statement takes no time. Otherwise executes it after it got a slot and
 * its duration has passed.
 */
static void start_statement(struct session *s)
{
	struct engine_call c = {
		.statement = s->statement,
		.param_count = s->param_count,
		.params = s->params,
	};

	if (s->transaction_failed && !ends_transaction(s->statement)) {
		report_sqlstate(s, SQLSTATE_ABORTED,
				"current transaction is aborted");
		finish_simple_query(s);
		return;
	}
	s->sleep_us = engine_sleep_us(&c);
	if (s->sleep_us < 0 || (s->sleep_us + s->ep->opts.service_us == 0 &&
				slot_pool_has_free(s->ep->slot_pool))) {
		execute_statement(s);
		return;
	}
	s->waiting = true;
	slot_pool_acquire(s->ep->slot_pool, on_slot_acquired, s);
}

static bool parse_statement(struct session *s, const char *text)
{
	apr_pool_clear(s->pool);
	s->param_count = 0;
	s->described = false;
	memset(&s->result, 0, sizeof(s->result));
	s->statement = sql_parse(text, s->pool);
	if (s->statement)
		return true;
	report_sqlstate(s, SQLSTATE_SYNTAX, "syntax error");
	return false;
}

static bool describe_statement(struct session *s)
{
	if (s->described)
		return true;
	s->described = true;
	if (s->transaction_failed && !ends_transaction(s->statement)) {
		report_sqlstate(s, SQLSTATE_ABORTED,
				"current transaction is aborted");
		return false;
	}
	if (!engine_describe(&s->ep->engine, s->statement, s->pool, &s->result))
		return true;
	report_error(s, &s->result);
	return false;
}

/* Message handlers. */

static void on_query(struct session *s, struct pg_reader *r)
{
	s->simple_query = true;
	if (parse_statement(s, pg_read_string(r)) && describe_statement(s))
		start_statement(s);
	else
		finish_simple_query(s);
}

static void on_parse(struct session *s, struct pg_reader *r)
{
	const char *name = pg_read_string(r);

	if (*name)
		report_sqlstate(s, SQLSTATE_UNSUPPORTED, "no named statements");
	else if (parse_statement(s, pg_read_string(r)))
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
		report_sqlstate(s, SQLSTATE_UNSUPPORTED, "cannot bind this");
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
		report_sqlstate(s, SQLSTATE_PROTOCOL, "no statement");
	else if (describe_statement(s))
		pg_put_row_description(s->out, &s->result);
}

static void on_execute(struct session *s, struct pg_reader *r)
{
	if (!s->statement)
		report_sqlstate(s, SQLSTATE_PROTOCOL, "no statement");
	else if (describe_statement(s))
		start_statement(s);
}

static void on_close_message(struct session *s, struct pg_reader *r)
{
	pg_put_empty(s->out, '3');
}

static void on_sync(struct session *s, struct pg_reader *r)
{
	struct engine_result e = { 0 };

	if (!s->explicit_transaction)
		commit_transaction(s, &e);
	if (e.sqlstate)
		report_error(s, &e);
	s->skip_until_sync = false;
	pg_put_ready(s->out, session_transaction_status(s));
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

static const struct message_handler {
	char type;
	void (*run)(struct session *s, struct pg_reader *r);
} message_handlers[] = {
	{ 'Q', on_query },    { 'P', on_parse },   { 'B', on_bind },
	{ 'D', on_describe }, { 'E', on_execute }, { 'C', on_close_message },
	{ 'S', on_sync },     { 'H', on_flush },   { 'X', on_terminate },
};

void session_handle_message(struct session *s, char type, struct pg_reader *r)
{
	if (s->skip_until_sync && type != 'S' && type != 'X')
		return;
	for (guint i = 0; i < G_N_ELEMENTS(message_handlers); i++) {
		if (message_handlers[i].type != type)
			continue;
		message_handlers[i].run(s, r);
		if (r->failed && !s->closed)
			session_close_with_error(s, SQLSTATE_PROTOCOL,
						 "message too short");
		return;
	}
	session_close_with_error(s, SQLSTATE_PROTOCOL, "unknown message");
}
