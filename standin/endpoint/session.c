#include "session_state.h"

#include <string.h>

/* Numbers of the PostgreSQL protocol, and the largest message accepted. */
enum {
	CODE_PROTOCOL_3 = 196608,
	CODE_CANCEL = 80877102,
	CODE_SSL = 80877103,
	CODE_GSS = 80877104,
	AUTH_OK = 0,
	AUTH_CLEARTEXT = 3,
	MESSAGE_BYTES_MAX = 64 << 20,
};

void session_record(struct session *s)
{
	g_byte_array_set_size(s->recorded, 0);
	s->recording = true;
}

void session_stop_recording(struct session *s)
{
	s->recording = false;
}

void session_repeat_recorded(struct session *s)
{
	session_stop_recording(s);
	s->repeats = true;
}

void session_flush(struct session *s)
{
	if (s->recording)
		g_byte_array_append(s->recorded, s->out->data, s->out->len);
	if (s->repeats && s->out->len > 0) {
		s->repeats = false;
		stream_write(s->stream, s->recorded->data, s->recorded->len);
	}
	if (s->out->len > 0)
		stream_write(s->stream, s->out->data, s->out->len);
	g_byte_array_set_size(s->out, 0);
	stream_flush(s->stream);
}

void session_close(struct session *s)
{
	if (s->closed)
		return;
	s->closed = true;
	session_rollback(s);
	delay_queue_cancel(s->ep->delay_queue, s);
	slot_pool_cancel(s->ep->slot_pool, s);
	if (s->holds_slot)
		slot_pool_release(s->ep->slot_pool);
	s->holds_slot = false;
	g_ptr_array_remove_fast(s->ep->sessions, s);
	stream_close(s->stream);
}

void session_stall(struct session *s)
{
	s->stalled = true;
	s->counted = false;
	stream_stall(s->stream);
	if (!s->waiting)
		session_rollback(s);
}

void session_close_with_error(struct session *s, const char *sqlstate,
			      const char *message)
{
	struct engine_result e = { .sqlstate = sqlstate, .message = message };

	pg_put_error(s->out, "FATAL", &e);
	session_flush(s);
	session_close(s);
}

/* Login. */

static void finish_login(void *data)
{
	struct session *s = data;

	s->phase = PHASE_READY;
	pg_put_auth(s->out, AUTH_OK);
	pg_put_parameter_status(s->out, "server_version", "15.0");
	pg_put_parameter_status(s->out, "server_encoding", "UTF8");
	pg_put_parameter_status(s->out, "client_encoding", "UTF8");
	pg_put_parameter_status(s->out, "standard_conforming_strings", "on");
	pg_put_backend_key_data(s->out, ++s->ep->next_pid);
	pg_put_ready(s->out, STATUS_IDLE);
	session_flush(s);
	session_process_input(s);
}

static void schedule_login(struct session *s)
{
	s->phase = PHASE_DELAY;
	delay_queue_add(s->ep->delay_queue,
			loop_now_us() + s->ep->opts.connect_delay_us,
			finish_login, s);
}

/* Returns the number of sessions that count towards connections_max. */
static uint32_t count_sessions(const struct endpoint *ep)
{
	uint32_t count = 0;

	for (guint i = 0; i < ep->sessions->len; i++) {
		const struct session *s = g_ptr_array_index(ep->sessions, i);

		count += s->counted;
	}
	return count;
}

static void handle_startup(struct session *s, struct pg_reader *r)
{
	int32_t code = pg_read_int32(r);

	if (code == CODE_SSL || code == CODE_GSS) {
		g_byte_array_append(s->out, (const guint8 *)"N", 1);
		session_flush(s);
		return;
	}
	if (code != CODE_PROTOCOL_3) {
		session_close(s);
		return;
	}
	if (count_sessions(s->ep) >= s->ep->opts.connections_max) {
		session_close_with_error(s, SQLSTATE_TOO_MANY,
					 "too many connections");
		return;
	}
	s->counted = true;
	if (!s->ep->opts.password) {
		schedule_login(s);
		return;
	}
	s->phase = PHASE_PASSWORD;
	pg_put_auth(s->out, AUTH_CLEARTEXT);
	session_flush(s);
}

static void handle_password(struct session *s, char type, struct pg_reader *r)
{
	if (type == 'p' && !strcmp(pg_read_string(r), s->ep->opts.password)) {
		schedule_login(s);
		return;
	}
	session_close_with_error(s, SQLSTATE_BAD_PASSWORD,
				 "password authentication failed");
}

/*
 * Processes one complete message. Returns false if there is none, or if the
 * session is closed or waits for a statement or the connect delay.
 */
static bool process_message(struct session *s)
{
	size_t header_size = s->phase == PHASE_STARTUP ? 4 : 5;
	struct pg_reader r = { .pos = s->in->data + header_size - 4,
			       .end = s->in->data + s->in->len };
	int32_t size;
	char type;
	uint8_t *body;

	if (s->closed || s->waiting || s->phase == PHASE_DELAY ||
	    s->in->len < header_size)
		return false;
	type = (char)s->in->data[0];
	size = pg_read_int32(&r);
	if (size < 4 || size > MESSAGE_BYTES_MAX) {
		session_close_with_error(s, SQLSTATE_PROTOCOL,
					 "bad message size");
		return false;
	}
	if (s->in->len < header_size - 4 + (size_t)size)
		return false;
	body = g_memdup2(r.pos, (gsize)size - 4);
	g_byte_array_remove_range(s->in, 0,
				  (guint)(header_size - 4) + (guint)size);
	r.pos = body;
	r.end = body + size - 4;
	if (s->phase == PHASE_STARTUP)
		handle_startup(s, &r);
	else if (s->phase == PHASE_PASSWORD)
		handle_password(s, type, &r);
	else
		session_handle_message(s, type, &r);
	g_free(body);
	return true;
}

void session_process_input(struct session *s)
{
	while (process_message(s))
		;
	if (s->closed)
		return;
	if (s->stalled && !s->waiting)
		session_rollback(s);
	session_flush(s);
}

static void on_data(void *data, GByteArray *in)
{
	struct session *s = data;

	g_byte_array_append(s->in, in->data, in->len);
	g_byte_array_set_size(in, 0);
	session_process_input(s);
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
	g_byte_array_free(s->recorded, TRUE);
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
	s->recorded = g_byte_array_new();
	apr_pool_create(&s->pool, NULL);
	g_ptr_array_add(ep->sessions, s);
	s->stream = stream_new(ep->net, fd, &ops, s);
}
