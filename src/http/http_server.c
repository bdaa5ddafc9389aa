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
#include <strings.h>
#include <unistd.h>

#define GONE_CHECK_US (100 * US_PER_MS)

enum {
	/* Of a connection, on top of twice the request header. */
	MEMORY_MARGIN_BYTES = 16384,
	/* Rest of a refused body that is read, to keep the connection. */
	DISCARD_MAX_BYTES = 16 << 20,
	HEADER_SEPARATORS_BYTES = 4, /* ": " and CRLF */
	ACCEPT_ROUNDS_MAX = 1000,
	SECONDS_TEXT_BYTES = 24,
};

struct http_server {
	struct http_server_opts opts;
	apr_pool_t *pool;
	struct MHD_Daemon *daemon;
	struct loop_timer *run_timer;
	struct loop_timer *gone_timer;
	GHashTable *waiting; /* id to struct http_request, borrowed */
	int epoll_fd;
	uint64_t last_id;
	uint32_t pending;
	bool running; /* inside of MHD_run() */
	bool wake; /* a connection was resumed */
	bool stopped_accepting;
};

/* Owned by its connection, freed when that has completed the request. */
struct http_request {
	uint64_t id;
	int64_t received_us;
	struct http_server *server;
	struct MHD_Connection *conn;
	const char *method;
	const char *path;
	GByteArray *body;
	uint64_t discarded_bytes;
	int32_t error; /* found before it was passed on */
	bool asked; /* passed on, or refused */
	bool suspended;
	bool gone;
	uint32_t status;
	struct MHD_Response *response;
};

static void run(struct http_server *s)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	s->wake = false;
	s->running = true;
	MHD_run(s->daemon);
	s->running = false;
	if (s->wake)
		loop_timer_set(s->run_timer, 0);
	else if (MHD_get_timeout(s->daemon, &timeout_ms) == MHD_YES)
		loop_timer_set(s->run_timer,
			       loop_now_us() + (int64_t)timeout_ms * US_PER_MS);
	else
		loop_timer_set(s->run_timer, -1);
}

static void on_ready(void *data, int events)
{
	run(data);
}

static void on_run_timer(void *data, int64_t now_us)
{
	run(data);
}

static void resume(struct http_request *r)
{
	if (!r->suspended)
		return;
	r->suspended = false;
	MHD_resume_connection(r->conn);
	r->server->wake = true;
	if (!r->server->running)
		loop_timer_set(r->server->run_timer, 0);
}

static void drop_gone(struct http_server *s, uint64_t id)
{
	struct http_request *r = g_hash_table_lookup(s->waiting, &id);

	if (!r)
		return;
	g_hash_table_remove(s->waiting, &id);
	r->gone = true;
	resume(r);
	s->opts.on_gone(s->opts.data, id);
}

/* MHD does not look at suspended connections. */
static void on_gone_timer(void *data, int64_t now_us)
{
	struct http_server *s = data;
	guint count = g_hash_table_size(s->waiting);
	struct pollfd *fds = g_new0(struct pollfd, count);
	uint64_t *ids = g_new0(uint64_t, count);
	struct http_request *r;
	GHashTableIter iter;
	nfds_t n = 0;

	g_hash_table_iter_init(&iter, s->waiting);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&r)) {
		ids[n] = r->id;
		fds[n].events = POLLRDHUP;
		fds[n++].fd =
			MHD_get_connection_info(
				r->conn, MHD_CONNECTION_INFO_CONNECTION_FD)
				->connect_fd;
	}
	if (poll(fds, n, 0) > 0) {
		for (nfds_t i = 0; i < n; i++) {
			if (fds[i].revents)
				drop_gone(s, ids[i]);
		}
	}
	g_free(fds);
	g_free(ids);
	if (g_hash_table_size(s->waiting))
		loop_timer_set(s->gone_timer, now_us + GONE_CHECK_US);
}

static enum MHD_Result add_size(void *data, enum MHD_ValueKind kind,
				const char *key, size_t key_len,
				const char *value, size_t value_len)
{
	size_t *sum = data;

	*sum += key_len + value_len + HEADER_SEPARATORS_BYTES;
	return MHD_YES;
}

static size_t header_size(const struct http_request *r)
{
	size_t sum = strlen(r->method) + strlen(r->path);

	MHD_get_connection_values_n(r->conn,
				    MHD_HEADER_KIND | MHD_GET_ARGUMENT_KIND,
				    add_size, &sum);
	return sum;
}

static uint64_t content_length(const struct http_request *r)
{
	const char *text = http_request_header(r, "Content-Length");

	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

static struct http_request *request_new(struct http_server *s,
					struct MHD_Connection *conn,
					const char *method, const char *path)
{
	struct http_request *r = g_new0(struct http_request, 1);

	r->id = ++s->last_id;
	r->received_us = loop_now_us();
	r->server = s;
	r->conn = conn;
	r->method = method;
	r->path = path;
	r->body = g_byte_array_new();
	s->pending++;
	if (header_size(r) > s->opts.header_max_bytes)
		r->error = ERR_HEADER_TOO_LARGE;
	else if (content_length(r) > s->opts.body_max_bytes)
		r->error = ERR_BODY_TOO_LARGE;
	return r;
}

static void on_completed(void *data, struct MHD_Connection *conn,
			 void **request, enum MHD_RequestTerminationCode code)
{
	struct http_server *s = data;
	struct http_request *r = *request;

	if (!r)
		return;
	*request = NULL;
	g_hash_table_remove(s->waiting, &r->id);
	s->pending--;
	if (r->response)
		MHD_destroy_response(r->response);
	g_byte_array_unref(r->body);
	g_free(r);
}

static enum MHD_Result take_body(struct http_request *r, const char *data,
				 size_t len)
{
	if (!r->error && r->body->len + len > r->server->opts.body_max_bytes) {
		r->error = ERR_BODY_TOO_LARGE;
		g_byte_array_set_size(r->body, 0);
	}
	if (!r->error) {
		g_byte_array_append(r->body, (const guint8 *)data, len);
		return MHD_YES;
	}
	r->discarded_bytes += len;
	return r->discarded_bytes > DISCARD_MAX_BYTES ? MHD_NO : MHD_YES;
}

/* Passes the request on, or refuses it. */
static void ask(struct http_request *r)
{
	struct http_server *s = r->server;
	struct problem p = { .error = r->error, .verdict = VERDICT_NOT_RUN };

	r->asked = true;
	g_hash_table_insert(s->waiting, &r->id, r);
	if (r->error)
		http_server_answer_problem(s, r->id, &p, NULL, NULL);
	else
		s->opts.on_request(s->opts.data, r);
}

static enum MHD_Result wait_for_answer(struct http_request *r)
{
	struct http_server *s = r->server;

	MHD_suspend_connection(r->conn);
	r->suspended = true;
	if (g_hash_table_size(s->waiting) == 1)
		loop_timer_set(s->gone_timer, loop_now_us() + GONE_CHECK_US);
	return MHD_YES;
}

/* A client that must not send its body is answered without it. */
static bool is_refused_early(const struct http_request *r)
{
	return r->error && (http_request_header(r, "Expect") ||
			    content_length(r) > DISCARD_MAX_BYTES);
}

/* NOLINTNEXTLINE(readability-function-size): the signature is MHD's. */
static enum MHD_Result on_access(void *data, struct MHD_Connection *conn,
				 const char *path, const char *method,
				 const char *version, const char *upload,
				 size_t *upload_len, void **request)
{
	struct http_request *r = *request;

	if (!r) {
		r = request_new(data, conn, method, path);
		*request = r;
		if (!is_refused_early(r))
			return MHD_YES;
	}
	if (*upload_len) {
		size_t len = *upload_len;

		*upload_len = 0;
		return take_body(r, upload, len);
	}
	if (!r->asked)
		ask(r);
	if (r->response)
		return MHD_queue_response(conn, r->status, r->response);
	return r->gone ? MHD_NO : wait_for_answer(r);
}

uint64_t http_request_id(const struct http_request *r)
{
	return r->id;
}

int64_t http_request_received_us(const struct http_request *r)
{
	return r->received_us;
}

const char *http_request_method(const struct http_request *r)
{
	return r->method;
}

const char *http_request_path(const struct http_request *r)
{
	return r->path;
}

const char *http_request_body(const struct http_request *r, size_t *len)
{
	*len = r->body->len;
	return (const char *)r->body->data;
}

const char *http_request_header(const struct http_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);
}

struct name_count {
	const char *name;
	uint32_t count;
};

static enum MHD_Result count_name(void *data, enum MHD_ValueKind kind,
				  const char *key, const char *value)
{
	struct name_count *c = data;

	c->count += strcasecmp(key, c->name) == 0;
	return MHD_YES;
}

uint32_t http_request_header_count(const struct http_request *r,
				   const char *name)
{
	struct name_count c = { .name = name };

	MHD_get_connection_values(r->conn, MHD_HEADER_KIND, count_name, &c);
	return c.count;
}

void http_server_answer(struct http_server *s, uint64_t id,
			const struct http_answer *a)
{
	struct http_request *r = g_hash_table_lookup(s->waiting, &id);

	if (!r) {
		free(a->text);
		return;
	}
	g_hash_table_remove(s->waiting, &id);
	r->status = a->status;
	r->response = MHD_create_response_from_buffer(strlen(a->text), a->text,
						      MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(r->response, "Content-Type", a->content_type);
	for (int i = 0; i < HTTP_ANSWER_HEADERS_MAX; i++) {
		if (a->headers[i].value)
			MHD_add_response_header(r->response, a->headers[i].name,
						a->headers[i].value);
	}
	if (s->stopped_accepting)
		MHD_add_response_header(r->response, "Connection", "close");
	resume(r);
}

void http_server_answer_problem(struct http_server *s, uint64_t id,
				const struct problem *p, json_t *extra,
				const struct http_answer_header *header)
{
	json_t *doc = problem_document(p, extra);
	char seconds[SECONDS_TEXT_BYTES];
	struct http_answer a = {
		.status = (uint32_t)error_info(p->error)->http_status,
		.content_type = PROBLEM_CONTENT_TYPE,
		.text = json_dumps(doc, JSON_COMPACT),
		.headers = { { "Zinnialine-Verdict",
			       verdict_name(p->verdict) } },
	};

	if (header)
		a.headers[1] = *header;
	if (p->retry_after_us > 0) {
		snprintf(seconds, sizeof(seconds), "%lld",
			 (long long)problem_round_up(p->retry_after_us,
						     US_PER_S));
		a.headers[2] =
			(struct http_answer_header){ "Retry-After", seconds };
	}
	if (a.status == MHD_HTTP_UNAUTHORIZED)
		a.headers[3] = (struct http_answer_header){ "WWW-Authenticate",
							    "Bearer" };
	http_server_answer(s, id, &a);
	json_decref(doc);
	json_decref(extra);
}

static bool has_connecting_client(const struct http_server *s)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_LISTEN_FD);
	struct pollfd fd = { .fd = info->listen_fd, .events = POLLIN };

	return poll(&fd, 1, 0) > 0;
}

void http_server_stop_accepting(struct http_server *s)
{
	if (s->stopped_accepting)
		return;
	for (int i = 0; i < ACCEPT_ROUNDS_MAX; i++) {
		if (s->running || !has_connecting_client(s))
			break;
		run(s);
	}
	s->stopped_accepting = true;
	close(MHD_quiesce_daemon(s->daemon));
}

uint32_t http_server_pending(const struct http_server *s)
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
	struct http_request *r;
	GHashTableIter iter;

	loop_unwatch(s->opts.loop, s->epoll_fd);
	/* MHD does not stop while connections are suspended. */
	g_hash_table_iter_init(&iter, s->waiting);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&r)) {
		r->gone = true;
		resume(r);
	}
	MHD_stop_daemon(s->daemon);
	loop_timer_set(s->run_timer, -1);
	loop_timer_set(s->gone_timer, -1);
	g_hash_table_destroy(s->waiting);
	g_free(s);
	return APR_SUCCESS;
}

/* Splits "ip:port" or "[ip]:port". */
static int resolve(apr_sockaddr_t **out, const char *address, apr_pool_t *pool)
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

static struct MHD_Daemon *start_daemon(struct http_server *s,
				       apr_sockaddr_t *sa)
{
	const struct http_server_opts *o = &s->opts;
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
	size_t memory = 2 * (size_t)o->header_max_bytes + MEMORY_MARGIN_BYTES;
	unsigned int idle_s =
		(unsigned int)problem_round_up(o->idle_timeout_us, US_PER_S);

	if (sa->family == APR_INET6)
		flags |= MHD_USE_IPv6;
	return MHD_start_daemon(flags, sa->port, NULL, NULL, on_access, s,
				MHD_OPTION_SOCK_ADDR, &sa->sa,
				MHD_OPTION_CONNECTION_MEMORY_LIMIT, memory,
				MHD_OPTION_CONNECTION_LIMIT, o->connections_max,
				MHD_OPTION_CONNECTION_TIMEOUT, idle_s,
				MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
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
	rc = resolve(&sa, opts->address, pool);
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
	s->gone_timer = loop_timer_add(opts->loop, on_gone_timer, s);
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
