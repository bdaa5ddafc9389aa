#include "platform/gateway.h"

#include "platform/net_address.h"
#include "platform/watch_stream.h"

#include <microhttpd.h>
#include <string.h>

enum {
	BODY_BYTES_MAX = 4 << 20,
	CONNECTIONS_MAX = 4096,
	STREAM_BLOCK_BYTES = 64 << 10,
	/* Sent at once with faults.link_bytes_per_s. */
	LINK_BLOCK_BYTES = 2 << 10,
};

/* Longest time between two runs of the gateway. */
#define WAIT_MAX_US (20 * INT64_C(1000))

/* What follows the execution of a call. */
enum call_outcome {
	CALL_RESPOND,
	CALL_DROP, /* close the connection without a response */
	CALL_HOLD, /* send nothing until the outage ends, then drop */
};

/* One HTTP request, or one open watch. */
struct http_call {
	struct gateway *gateway;
	struct MHD_Connection *connection;
	char *path;
	GString *body;
	bool executed; /* or skipped during an outage */
	bool suspended; /* in libmicrohttpd */
	bool stalled; /* a watch that never sends anything again */
	enum call_outcome outcome;
	int64_t response_due_us; /* earliest time of the response */
	int64_t block_due_us; /* earliest time of its next block */
	int http_status;
	char *response_body; /* NULL: none; unused with `stream` */
	struct watch_stream *stream; /* NULL: not a watch */
};

struct gateway {
	struct kv_store *store;
	struct faults *faults;
	struct MHD_Daemon *daemon;
	GPtrArray *calls; /* struct http_call, not owned */
	int64_t now_us; /* time of the current gateway_run() */
};

static void suspend_call(struct http_call *c)
{
	c->suspended = true;
	MHD_suspend_connection(c->connection);
}

static void resume_call(struct http_call *c)
{
	c->suspended = false;
	MHD_resume_connection(c->connection);
}

/*
 * Returns how much of `max` the link takes now. If that is nothing, the call is
 * suspended until it is free.
 */
static size_t take_link(struct http_call *c, size_t max)
{
	const struct gateway *g = c->gateway;
	int64_t rate = g->faults->link_bytes_per_s;

	if (!rate)
		return max;
	if (g->now_us < c->block_due_us) {
		suspend_call(c);
		return 0;
	}
	max = MIN(max, LINK_BLOCK_BYTES);
	c->block_due_us = g->now_us + (int64_t)max * 1000000 / rate;
	return max;
}

static ssize_t read_body(void *data, uint64_t pos, char *buf, size_t max)
{
	struct http_call *c = data;
	size_t n = take_link(c, MIN(strlen(c->response_body) - pos, max));

	memcpy(buf, c->response_body + pos, n);
	return n;
}

static ssize_t read_stream(void *data, uint64_t pos, char *buf, size_t max)
{
	struct http_call *c = data;
	GString *out = c->stream->out;
	size_t n;

	if (c->gateway->faults->outage != OUTAGE_OFF && !c->stalled)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (c->stalled || !watch_stream_fill(c->stream, c->gateway->now_us)) {
		if (c->stream->canceled)
			return MHD_CONTENT_READER_END_OF_STREAM;
		suspend_call(c);
		return 0;
	}
	n = take_link(c, MIN(out->len, max));
	memcpy(buf, out->str, n);
	g_string_erase(out, 0, n);
	return n;
}

static void open_watch(struct http_call *c)
{
	c->gateway->faults->call_counts[KV_CALL_WATCH]++;
	c->stream = watch_stream_new(c->gateway->store, c->body->str,
				     c->gateway->now_us);
	c->http_status = c->stream ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST;
	c->response_body = g_strdup(c->stream ? "" : "{}");
}

static void execute_kv_call(struct http_call *c)
{
	struct faults *f = c->gateway->faults;
	json_t *request = json_loads(c->body->str, 0, NULL);
	struct kv_call_result r;

	r = kv_execute_call(c->gateway->store, c->path, request,
			    c->gateway->now_us);
	f->call_counts[r.kind]++;
	if (r.kind == KV_CALL_WRITE && f->write_responses_to_drop) {
		f->write_responses_to_drop--;
		c->outcome = CALL_DROP;
	}
	c->http_status = r.http_status;
	c->response_body = json_dumps(r.body, JSON_COMPACT);
	json_decref(r.body);
	json_decref(request);
}

static void execute_call(struct http_call *c)
{
	struct gateway *g = c->gateway;

	c->executed = true;
	c->response_due_us = g->now_us + g->faults->delay_us;
	if (g->faults->outage != OUTAGE_OFF) {
		c->outcome = g->faults->outage == OUTAGE_SILENT ? CALL_HOLD :
								  CALL_DROP;
		return;
	}
	if (!strcmp(c->path, "/v3/watch"))
		open_watch(c);
	else
		execute_kv_call(c);
}

static enum MHD_Result send_response(struct http_call *c)
{
	struct MHD_Response *r;
	enum MHD_Result rv;

	if (c->outcome != CALL_RESPOND)
		return MHD_NO;
	if (c->stream)
		r = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
						      STREAM_BLOCK_BYTES,
						      read_stream, c, NULL);
	else
		r = MHD_create_response_from_callback(strlen(c->response_body),
						      STREAM_BLOCK_BYTES,
						      read_body, c, NULL);
	MHD_add_response_header(r, "Content-Type", "application/json");
	rv = MHD_queue_response(c->connection, c->http_status, r);
	MHD_destroy_response(r);
	return rv;
}

/* libmicrohttpd prescribes the signature. */
/* NOLINTNEXTLINE(readability-function-size) */
static enum MHD_Result on_request(void *data, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **call_state)
{
	struct gateway *g = data;
	struct http_call *c = *call_state;

	if (!c) {
		c = g_new0(struct http_call, 1);
		c->gateway = g;
		c->connection = conn;
		c->path = g_strdup(url);
		c->body = g_string_new(NULL);
		g_ptr_array_add(g->calls, c);
		*call_state = c;
		return MHD_YES;
	}
	if (*upload_size) {
		if (c->body->len + *upload_size > BODY_BYTES_MAX)
			return MHD_NO;
		g_string_append_len(c->body, upload, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (!c->executed)
		execute_call(c);
	if (c->outcome == CALL_HOLD || g->now_us < c->response_due_us) {
		suspend_call(c);
		return MHD_YES;
	}
	return send_response(c);
}

static void on_completed(void *data, struct MHD_Connection *conn,
			 void **call_state,
			 enum MHD_RequestTerminationCode code)
{
	struct http_call *c = *call_state;

	if (!c)
		return;
	g_ptr_array_remove_fast(c->gateway->calls, c);
	g_free(c->path);
	g_string_free(c->body, TRUE);
	free(c->response_body);
	if (c->stream)
		watch_stream_free(c->stream);
	g_free(c);
	*call_state = NULL;
}

struct gateway *gateway_new(struct kv_store *s, struct faults *f,
			    const char *address)
{
	struct gateway *g = g_new0(struct gateway, 1);
	struct sockaddr_in addr;

	g->store = s;
	g->faults = f;
	g->calls = g_ptr_array_new();
	if (net_address_parse(address, &addr))
		g->daemon = MHD_start_daemon(
			MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
			on_request, g, MHD_OPTION_SOCK_ADDR,
			(struct sockaddr *)&addr, MHD_OPTION_NOTIFY_COMPLETED,
			on_completed, NULL, MHD_OPTION_CONNECTION_LIMIT,
			(unsigned)CONNECTIONS_MAX, MHD_OPTION_END);
	if (g->daemon)
		return g;
	g_ptr_array_free(g->calls, TRUE);
	g_free(g);
	return NULL;
}

void gateway_free(struct gateway *g)
{
	for (guint i = 0; i < g->calls->len; i++) {
		struct http_call *c = g_ptr_array_index(g->calls, i);

		if (c->suspended)
			resume_call(c);
	}
	MHD_stop_daemon(g->daemon);
	g_ptr_array_free(g->calls, TRUE);
	g_free(g);
}

uint16_t gateway_port(const struct gateway *g)
{
	return MHD_get_daemon_info(g->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

int gateway_fd(const struct gateway *g)
{
	return MHD_get_daemon_info(g->daemon, MHD_DAEMON_INFO_EPOLL_FD)
		->epoll_fd;
}

static bool is_stream_ready(const struct http_call *c)
{
	if (c->stalled)
		return false;
	return c->gateway->faults->outage != OUTAGE_OFF ||
	       watch_stream_fill(c->stream, c->gateway->now_us);
}

static bool is_ready_to_resume(const struct http_call *c)
{
	if (c->outcome == CALL_HOLD)
		return c->gateway->faults->outage != OUTAGE_SILENT;
	if (c->gateway->now_us < MAX(c->response_due_us, c->block_due_us))
		return false;
	return !c->stream || is_stream_ready(c);
}

static void resume_due_calls(struct gateway *g)
{
	for (guint i = 0; i < g->calls->len; i++) {
		struct http_call *c = g_ptr_array_index(g->calls, i);

		if (!c->suspended || !is_ready_to_resume(c))
			continue;
		/* A held call is dropped once the outage is over. */
		if (c->outcome == CALL_HOLD)
			c->outcome = CALL_DROP;
		resume_call(c);
	}
}

int64_t gateway_run(struct gateway *g, int64_t now_us)
{
	MHD_UNSIGNED_LONG_LONG wait_ms = 0;
	int64_t wait_us = WAIT_MAX_US;

	g->now_us = now_us;
	resume_due_calls(g);
	MHD_run(g->daemon);
	resume_due_calls(g);
	if (MHD_get_timeout(g->daemon, &wait_ms) == MHD_YES)
		wait_us = MIN(wait_us, (int64_t)wait_ms * 1000);
	for (guint i = 0; i < g->calls->len; i++) {
		const struct http_call *c = g_ptr_array_index(g->calls, i);

		int64_t due_us = MAX(c->response_due_us, c->block_due_us);

		if (c->suspended && due_us > now_us)
			wait_us = MIN(wait_us, due_us - now_us);
	}
	return wait_us;
}

void gateway_stall_watches(struct gateway *g)
{
	for (guint i = 0; i < g->calls->len; i++) {
		struct http_call *c = g_ptr_array_index(g->calls, i);

		if (c->stream)
			c->stalled = true;
	}
}
