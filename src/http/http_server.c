#include "http/http_server.h"

#include "core/sizes.h"

#include <apr_network_io.h>
#include <errno.h>
#include <glib.h>
#include <microhttpd.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DISCONNECT_CHECK_INTERVAL_US (100 * US_PER_MS)

enum {
	/* Memory of a connection beyond the request header and its index. */
	MEMORY_MARGIN_BYTES = 8192,
	/* MHD_run() calls to accept queued connections before closing. */
	ACCEPT_ROUNDS_MAX = 1000,
	SECONDS_TEXT_BYTES = 24, /* of a Retry-After header */
};

struct http_server {
	struct http_server_opts opts;
	apr_pool_t *pool;
	struct MHD_Daemon *daemon;
	struct loop_timer *run_timer; /* calls MHD_run() */
	struct loop_timer *disconnect_timer; /* checks suspended connections */
	GHashTable *waiting; /* request id to struct exchange, borrowed */
	int epoll_fd;
	uint64_t last_id;
	uint32_t pending; /* requests that MHD has not completed */
	bool running; /* inside MHD_run() */
	bool connection_resumed; /* MHD_run() must be called again soon */
	bool stop_requested; /* stop accepting after the next MHD_run() */
	bool stopped_accepting;
};

/* A request and its response, freed when MHD has completed the request. */
struct exchange {
	uint64_t id;
	struct http_server *server;
	struct MHD_Connection *conn;
	struct http_request *request;
	bool dispatched; /* passed to on_request(), or rejected */
	bool suspended;
	bool disconnected;
	uint32_t status;
	struct MHD_Response *response;
};

static void run_daemon_once(struct http_server *s)
{
	s->running = true;
	MHD_run(s->daemon);
	s->running = false;
}

static bool has_pending_connection(const struct http_server *s)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_LISTEN_FD);
	struct pollfd fd = { .fd = info->listen_fd, .events = POLLIN };

	return poll(&fd, 1, 0) > 0;
}

/*
 * Closing the listening socket makes the kernel reset connections that have
 * not been accepted, so these are accepted first.
 */
static void stop_accepting(struct http_server *s)
{
	for (int i = 0; i < ACCEPT_ROUNDS_MAX && has_pending_connection(s); i++)
		run_daemon_once(s);
	s->stop_requested = false;
	s->stopped_accepting = true;
	close(MHD_quiesce_daemon(s->daemon));
}

static void run_daemon(struct http_server *s)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	s->connection_resumed = false;
	run_daemon_once(s);
	if (s->stop_requested)
		stop_accepting(s);
	if (s->connection_resumed)
		loop_timer_set(s->run_timer, 0);
	else if (MHD_get_timeout(s->daemon, &timeout_ms) == MHD_YES)
		loop_timer_set(s->run_timer,
			       loop_now_us() + (int64_t)timeout_ms * US_PER_MS);
	else
		loop_timer_set(s->run_timer, -1);
}

static void on_ready(void *data, int events)
{
	run_daemon(data);
}

static void on_run_timer(void *data, int64_t now_us)
{
	run_daemon(data);
}

static void resume_connection(struct exchange *x)
{
	if (!x->suspended)
		return;
	x->suspended = false;
	MHD_resume_connection(x->conn);
	x->server->connection_resumed = true;
	if (!x->server->running)
		loop_timer_set(x->server->run_timer, 0);
}

static void handle_disconnect(struct http_server *s, uint64_t id)
{
	struct exchange *x = g_hash_table_lookup(s->waiting, &id);

	if (!x)
		return;
	g_hash_table_remove(s->waiting, &id);
	x->disconnected = true;
	resume_connection(x);
	s->opts.on_disconnect(s->opts.data, id);
}

/* Checks the suspended connections, which MHD does not poll. */
static void on_disconnect_timer(void *data, int64_t now_us)
{
	struct http_server *s = data;
	guint count = g_hash_table_size(s->waiting);
	struct pollfd *fds = g_new0(struct pollfd, count);
	uint64_t *ids = g_new0(uint64_t, count);
	struct exchange *x;
	GHashTableIter iter;
	nfds_t n = 0;

	g_hash_table_iter_init(&iter, s->waiting);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&x)) {
		ids[n] = x->id;
		fds[n].events = POLLRDHUP;
		fds[n++].fd =
			MHD_get_connection_info(
				x->conn, MHD_CONNECTION_INFO_CONNECTION_FD)
				->connect_fd;
	}
	if (poll(fds, n, 0) > 0) {
		for (nfds_t i = 0; i < n; i++) {
			if (fds[i].revents)
				handle_disconnect(s, ids[i]);
		}
	}
	g_free(fds);
	g_free(ids);
	if (g_hash_table_size(s->waiting))
		loop_timer_set(s->disconnect_timer,
			       now_us + DISCONNECT_CHECK_INTERVAL_US);
}

static struct exchange *exchange_new(struct http_server *s,
				     struct MHD_Connection *conn,
				     const char *method, const char *path)
{
	struct exchange *x = g_new0(struct exchange, 1);

	x->id = ++s->last_id;
	x->server = s;
	x->conn = conn;
	x->request = http_request_new(&(struct http_request_opts){
		.id = x->id,
		.conn = conn,
		.method = method,
		.path = path,
		.body_max_bytes = s->opts.body_max_bytes,
		.header_max_bytes = s->opts.header_max_bytes,
	});
	s->pending++;
	return x;
}

static void on_completed(void *data, struct MHD_Connection *conn,
			 void **request, enum MHD_RequestTerminationCode code)
{
	struct http_server *s = data;
	struct exchange *x = *request;

	if (!x)
		return;
	*request = NULL;
	g_hash_table_remove(s->waiting, &x->id);
	s->pending--;
	if (x->response)
		MHD_destroy_response(x->response);
	http_request_free(x->request);
	g_free(x);
}

/* Passes a request to on_request(), or rejects an invalid one. */
static void dispatch_request(struct exchange *x)
{
	struct http_server *s = x->server;
	struct problem p = {
		.error = http_request_error(x->request),
		.verdict = VERDICT_NOT_RUN,
	};

	x->dispatched = true;
	g_hash_table_insert(s->waiting, &x->id, x);
	if (p.error)
		http_server_send_problem(s, x->id, &p, NULL, NULL);
	else
		s->opts.on_request(s->opts.data, x->request);
}

static enum MHD_Result suspend_until_response(struct exchange *x)
{
	struct http_server *s = x->server;

	MHD_suspend_connection(x->conn);
	x->suspended = true;
	if (g_hash_table_size(s->waiting) == 1)
		loop_timer_set(s->disconnect_timer,
			       loop_now_us() + DISCONNECT_CHECK_INTERVAL_US);
	return MHD_YES;
}

/* NOLINTNEXTLINE(readability-function-size): the signature is MHD's. */
static enum MHD_Result on_access(void *data, struct MHD_Connection *conn,
				 const char *path, const char *method,
				 const char *version, const char *upload,
				 size_t *upload_len, void **request)
{
	struct exchange *x = *request;

	if (!x) {
		x = exchange_new(data, conn, method, path);
		*request = x;
		if (!http_request_is_rejected_early(x->request))
			return MHD_YES;
	}
	if (*upload_len) {
		size_t len = *upload_len;

		*upload_len = 0;
		return http_request_append_body(x->request, upload, len) ?
			       MHD_YES :
			       MHD_NO;
	}
	if (!x->dispatched)
		dispatch_request(x);
	if (x->response)
		return MHD_queue_response(conn, x->status, x->response);
	return x->disconnected ? MHD_NO : suspend_until_response(x);
}

void http_server_send_response(struct http_server *s, uint64_t id,
			       const struct http_response *response)
{
	struct exchange *x = g_hash_table_lookup(s->waiting, &id);

	if (!x) {
		free(response->text);
		return;
	}
	g_hash_table_remove(s->waiting, &id);
	x->status = response->status;
	x->response = MHD_create_response_from_buffer(strlen(response->text),
						      response->text,
						      MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(x->response, "Content-Type",
				response->content_type);
	for (int i = 0; i < HTTP_RESPONSE_HEADERS_MAX; i++) {
		if (response->headers[i].value)
			MHD_add_response_header(x->response,
						response->headers[i].name,
						response->headers[i].value);
	}
	if (s->stop_requested || s->stopped_accepting ||
	    http_request_is_rejected_early(x->request))
		MHD_add_response_header(x->response, "Connection", "close");
	resume_connection(x);
}

void http_server_send_problem(struct http_server *s, uint64_t id,
			      const struct problem *p, json_t *extra,
			      const struct http_response_header *header)
{
	char seconds[SECONDS_TEXT_BYTES];
	struct http_response response = {
		.status = (uint32_t)error_info(p->error)->http_status,
		.content_type = PROBLEM_CONTENT_TYPE,
		.text = format_problem(p, extra),
		.headers = { { "Zinnialine-Verdict",
			       verdict_name(p->verdict) } },
	};

	if (header)
		response.headers[1] = *header;
	if (p->retry_after_us > 0) {
		snprintf(seconds, sizeof(seconds), "%lld",
			 (long long)round_up_to_unit(p->retry_after_us,
						     US_PER_S));
		response.headers[2] =
			(struct http_response_header){ "Retry-After", seconds };
	}
	if (response.status == MHD_HTTP_UNAUTHORIZED)
		response.headers[3] =
			(struct http_response_header){ "WWW-Authenticate",
						       "Bearer" };
	http_server_send_response(s, id, &response);
	json_decref(extra);
}

void http_server_stop_accepting(struct http_server *s)
{
	if (s->stopped_accepting)
		return;
	s->stop_requested = true;
	if (!s->running)
		run_daemon(s);
}

uint32_t http_server_count_pending(const struct http_server *s)
{
	return s->pending;
}

uint16_t http_server_port(const struct http_server *s)
{
	return MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

static apr_status_t server_cleanup(void *data)
{
	struct http_server *s = data;
	struct exchange *x;
	GHashTableIter iter;

	loop_unwatch(s->opts.loop, s->epoll_fd);
	/* MHD_stop_daemon() does not allow suspended connections. */
	g_hash_table_iter_init(&iter, s->waiting);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&x)) {
		x->disconnected = true;
		resume_connection(x);
	}
	MHD_stop_daemon(s->daemon);
	loop_timer_set(s->run_timer, -1);
	loop_timer_set(s->disconnect_timer, -1);
	g_hash_table_destroy(s->waiting);
	g_free(s);
	return APR_SUCCESS;
}

/* Resolves "ip:port" or "[ip]:port". Returns 0 or -EINVAL. */
static int resolve_address(apr_sockaddr_t **out, const char *address,
			   apr_pool_t *pool)
{
	const char *colon = strrchr(address, ':');
	char *ip;
	char *end;
	long port;

	if (!colon)
		return -EINVAL;
	port = strtol(colon + 1, &end, 10);
	if (end == colon + 1 || *end || port < 0 || port > UINT16_MAX)
		return -EINVAL;
	if (address[0] == '[' && colon[-1] == ']')
		ip = g_strndup(address + 1, colon - address - 2);
	else
		ip = g_strndup(address, colon - address);
	if (apr_sockaddr_info_get(out, ip, APR_UNSPEC, (apr_port_t)port, 0,
				  pool) != APR_SUCCESS)
		port = -EINVAL;
	g_free(ip);
	return port < 0 ? -EINVAL : 0;
}

/*
 * Decodes the path, or the name or value of an argument. One with an encoded
 * NUL or slash stays as it is: the path would end early, or have other
 * segments than were sent.
 */
static size_t decode_uri(void *data, struct MHD_Connection *conn, char *text)
{
	if (strstr(text, "%00") || strstr(text, "%2F") || strstr(text, "%2f"))
		return strlen(text);
	return MHD_http_unescape(text);
}

static struct MHD_Daemon *start_daemon(struct http_server *s,
				       apr_sockaddr_t *sa)
{
	const struct http_server_opts *o = &s->opts;
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
	size_t memory_bytes = o->header_max_bytes + o->header_max_bytes / 2 +
			      MEMORY_MARGIN_BYTES;
	unsigned int idle_s =
		(unsigned int)round_up_to_unit(o->idle_timeout_us, US_PER_S);

	if (sa->family == APR_INET6)
		flags |= MHD_USE_IPv6;
	return MHD_start_daemon(flags, sa->port, NULL, NULL, on_access, s,
				MHD_OPTION_SOCK_ADDR, &sa->sa,
				MHD_OPTION_CONNECTION_MEMORY_LIMIT,
				memory_bytes, MHD_OPTION_CONNECTION_LIMIT,
				o->connections_max,
				MHD_OPTION_CONNECTION_TIMEOUT, idle_s,
				MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
				MHD_OPTION_UNESCAPE_CALLBACK, decode_uri, s,
				MHD_OPTION_END);
}

int http_server_new(struct http_server **out,
		    const struct http_server_opts *opts, apr_pool_t *parent)
{
	struct http_server *s;
	apr_sockaddr_t *sa;
	apr_pool_t *pool;
	int rc;

	if (apr_pool_create(&pool, parent) != APR_SUCCESS)
		return -ENOMEM;
	rc = resolve_address(&sa, opts->address, pool);
	if (rc) {
		apr_pool_destroy(pool);
		return rc;
	}
	s = g_new0(struct http_server, 1);
	s->opts = *opts;
	s->pool = pool;
	s->daemon = start_daemon(s, sa);
	if (!s->daemon) {
		g_free(s);
		apr_pool_destroy(pool);
		return -EADDRINUSE;
	}
	s->waiting = g_hash_table_new(g_int64_hash, g_int64_equal);
	s->run_timer = loop_timer_add(opts->loop, on_run_timer, s);
	s->disconnect_timer =
		loop_timer_add(opts->loop, on_disconnect_timer, s);
	s->epoll_fd = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_EPOLL_FD)
			      ->epoll_fd;
	apr_pool_cleanup_register(pool, s, server_cleanup,
				  apr_pool_cleanup_null);
	rc = loop_watch(opts->loop, s->epoll_fd, LOOP_READ, on_ready, s);
	if (rc) {
		apr_pool_destroy(pool);
		return rc;
	}
	*out = s;
	return 0;
}
