#include "serve/session_host.h"

#include "base/log.h"
#include "base/loop.h"
#include "base/metrics.h"
#include "base/stream.h"
#include "http/http_server.h"
#include "peer/peer_link.h"
#include "proxy/adapter.h"
#include "proxy/engine.h"

#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum {
	/* The settings file is polled, so that a reload needs no signal. */
	SETTINGS_CHECK_INTERVAL_US = 1000 * 1000,
	/* Time given to the store to remove the instance's entry. */
	ENTRY_REMOVAL_WAIT_US = 100 * 1000,
	HTTP_CONNECTIONS_MAX = 32,
	HTTP_HEADER_MAX_BYTES = 8192,
	HTTP_IDLE_US = 15 * 1000 * 1000,
	/*
	 * A connection with data unacknowledged for this long is closed. It
	 * exceeds the 500 ms that packets may queue on a saturated link, and
	 * leaves time for a retry within a statement's timeout of 1 s.
	 */
	UNACKED_MAX_US = 600 * 1000,
	BYTES_PER_S_PER_MILLI_MBPS = 125,
	/* The store's answers take at most this part of the link. */
	STORE_LINK_DIVISOR = 2,
	/*
	 * Part of the time to apply a configuration in which it is read at that
	 * pace; the rest is enough for what is missing then.
	 */
	PACED_TIME_DIVISOR = 2,
	/* Idle time before the first TCP keep-alive probe. */
	KEEPALIVE_IDLE_US = 2000 * 1000,
	/* A message of the largest size takes a second on a slow link. */
	FINISH_MAX_US = 3000 * 1000,
};

struct session_host {
	/* As read at the start; borrowed. A reload does not change them. */
	const struct proxy_settings *settings;
	char *settings_path;
	struct timespec settings_mtime; /* when last read */
	apr_pool_t *pool;
	struct loop *loop;
	struct stream_set *streams;
	int listener; /* callers' listening socket; -1: not open */
	int relay_listener; /* that of other instances; -1: not open */
	const struct proxy_adapter *adapter;
	struct proxy_link link;
	struct engine *engine;
	struct metrics *metrics;
	struct http_server *ready_server;
	struct http_server *metrics_server;
	struct peer_link *peers;
	struct loop_timer *tick_timer;
	struct loop_timer *settings_timer;
	int64_t next_tick_us;
	/* When engine_remove_own_entry() was called; 0: not yet. */
	int64_t entry_removal_start_us;
};

/* A caller's connection. */
struct caller {
	struct session_host *host;
	struct stream *stream;
	struct session *session;
};

/* Callbacks of the engine: struct engine_host. */

static void caller_send(void *host, void *caller, const char *bytes, size_t len)
{
	stream_send(((struct caller *)caller)->stream, bytes, len);
}

static void caller_close(void *host, void *caller)
{
	struct caller *c = caller;

	/* The last answer may be larger than what the socket takes at once. */
	stream_finish(c->stream);
	g_free(c);
}

static void conn_opened(void *owner)
{
	engine_conn_opened(owner);
}

static void conn_line(void *owner, char *line, size_t len)
{
	engine_conn_line(owner, line, len);
}

static void conn_closed(void *owner, int error)
{
	engine_conn_closed(owner, error);
}

static const struct stream_ops conn_ops = {
	.on_open = conn_opened,
	.on_line = conn_line,
	.on_closed = conn_closed,
};

static void *conn_open(void *host, const char *address, struct upstream_conn *c)
{
	struct session_host *h = host;
	struct stream *s = stream_connect(h->streams, address, &conn_ops, c);

	if (!s)
		log_event(LOG_CONN_LOST, address, errno, "cannot connect: %s",
			  g_strerror(errno));
	return s;
}

static void conn_send(void *host, void *conn, const char *bytes, size_t len)
{
	stream_send(conn, bytes, len);
}

static void conn_close(void *host, void *conn)
{
	stream_close(conn);
}

static void peer_changed(void *host, const char *instance, const char *address)
{
	struct session_host *h = host;

	if (!strcmp(instance, h->settings->instance.name))
		return;
	if (address)
		peer_link_set_peer(h->peers, instance, address);
	else
		peer_link_remove_peer(h->peers, instance);
}

static void peer_send(void *host, const struct peer_message *m)
{
	struct session_host *h = host;

	peer_link_send(h->peers, m);
}

static void write_log(void *host, const struct log_entry *entry)
{
	log_entry_write(entry);
}

static int64_t now_us(void *host)
{
	return loop_now_us();
}

static int64_t time_ms(void *host)
{
	return g_get_real_time() / US_PER_MS;
}

static const struct engine_host engine_ops = {
	.caller_send = caller_send,
	.caller_close = caller_close,
	.conn_open = conn_open,
	.conn_send = conn_send,
	.conn_close = conn_close,
	.peer_changed = peer_changed,
	.peer_send = peer_send,
	.log = write_log,
	.now_us = now_us,
	.time_ms = time_ms,
};

/* Connections of callers. */

static void caller_line(void *owner, char *line, size_t len)
{
	engine_caller_line(((struct caller *)owner)->session, line, len);
}

static void caller_closed(void *owner, int error)
{
	struct caller *c = owner;

	engine_caller_closed(c->session);
	g_free(c);
}

static const struct stream_ops caller_ops = {
	.on_line = caller_line,
	.on_closed = caller_closed,
};

typedef struct session *(*session_open_fn)(struct engine *e, void *caller);

static void accept_sessions(struct session_host *h, int listener,
			    session_open_fn open)
{
	int fd;

	while ((fd = stream_accept_fd(listener)) >= 0) {
		struct caller *c = g_new0(struct caller, 1);

		c->host = h;
		c->stream = stream_from_fd(h->streams, fd, &caller_ops, c);
		c->session = open(h->engine, c);
		if (c->session)
			continue;
		stream_close(c->stream);
		g_free(c);
	}
}

static void on_listener_readable(void *data, int events)
{
	struct session_host *h = data;

	accept_sessions(h, h->listener, engine_caller_opened);
}

static void on_relay_readable(void *data, int events)
{
	struct session_host *h = data;

	accept_sessions(h, h->relay_listener, engine_relay_opened);
}

/* HTTP: the load balancer's readiness probe and the metrics. */

static void send_text_response(struct http_server *server, uint64_t id,
			       uint32_t status, const char *type, char *text)
{
	const struct http_response a = { .status = status,
					 .content_type = type,
					 .text = text };

	http_server_send_response(server, id, &a);
}

static void on_ready_request(void *data, struct http_request *r)
{
	struct session_host *h = data;
	bool known = !strcmp(http_request_path(r), h->adapter->ready_path);
	bool ready = known && engine_is_ready(h->engine);
	uint32_t status = !known ? 404 : ready ? 200 : 503;

	send_text_response(h->ready_server, http_request_id(r), status,
			   "application/json",
			   strdup(ready ? "{\"ready\":true}" :
					  "{\"ready\":false}"));
}

static void on_metrics_request(void *data, struct http_request *r)
{
	struct session_host *h = data;

	if (strcmp(http_request_path(r), "/metrics") != 0) {
		send_text_response(h->metrics_server, http_request_id(r), 404,
				   "text/plain", strdup("no such path\n"));
		return;
	}
	engine_update_metrics(h->engine);
	metrics_set(h->metrics, "log_lines_left_out_total", NULL,
		    (int64_t)log_count_dropped());
	send_text_response(h->metrics_server, http_request_id(r), 200,
			   "text/plain; version=0.0.4",
			   metrics_text(h->metrics));
}

static void on_http_disconnect(void *data, uint64_t id)
{
	/* Nothing to cancel: requests are answered in their callback. */
}

static int open_http(struct session_host *h, struct http_server **out,
		     const char *address,
		     void (*fn)(void *data, struct http_request *r))
{
	const struct http_server_opts opts = {
		.loop = h->loop,
		.address = address,
		.body_max_bytes = HTTP_HEADER_MAX_BYTES,
		.header_max_bytes = HTTP_HEADER_MAX_BYTES,
		.connections_max = HTTP_CONNECTIONS_MAX,
		.idle_timeout_us = HTTP_IDLE_US,
		.on_request = fn,
		.on_disconnect = on_http_disconnect,
		.data = h,
	};

	return http_server_new(out, &opts, h->pool);
}

/* Messages of peers. */

static void on_peer_message(void *data, const struct peer_message *m)
{
	struct session_host *h = data;

	engine_peer_message(h->engine, m);
}

static void on_bad_peer_message(void *data, const char *reason)
{
	log_event(LOG_PEER_MESSAGE_BAD, "peers", 0, "%s", reason);
}

static int open_peers(struct session_host *h, uint64_t incarnation)
{
	const struct peer_link_opts opts = {
		.loop = h->loop,
		.instance = h->settings->instance.name,
		.incarnation = incarnation,
		.address = h->settings->listen.peers,
		.on_message = on_peer_message,
		.on_dropped = on_bad_peer_message,
		.data = h,
	};

	return peer_link_new(&h->peers, &opts, h->pool);
}

static void on_store_call(void *data, const struct proxy_call_report *r)
{
	struct session_host *h = data;
	g_autofree char *label = g_strconcat(r->call, " ", r->outcome, NULL);

	metrics_add(h->metrics, "store_calls_total", label, 1);
	metrics_add(h->metrics, "store_received_bytes_total", r->call,
		    r->received_bytes);
	metrics_observe(h->metrics, "store_call_seconds", r->call,
			r->duration_us);
	if (r->failed)
		log_event(LOG_STORE_CALL_FAILED, r->call, r->duration_us,
			  "%s; %zu bytes received", r->outcome,
			  r->received_bytes);
}

static void open_adapter(struct session_host *h)
{
	const struct proxy_settings *s = h->settings;
	const struct proxy_adapter_opts opts = {
		.loop = h->loop,
		.store_address = s->platform.store,
		.promotions_address = s->platform.promotions,
		.call_timeout_us = s->platform.call_timeout_ms * US_PER_MS,
		.paced_bytes_per_s = (int64_t)s->platform.link_milli_mbps *
				     BYTES_PER_S_PER_MILLI_MBPS /
				     STORE_LINK_DIVISOR,
		.paced_us = s->config.applied_within_ms * US_PER_MS /
			    PACED_TIME_DIVISOR,
		.on_call = on_store_call,
		.data = h,
	};

	h->adapter->open(&h->link, &opts);
}

static struct engine_opts make_engine_opts(struct session_host *h,
					   const struct proxy_settings *s,
					   uint64_t incarnation)
{
	struct engine_opts o = {
		.ops = &engine_ops,
		.host = h,
		.wire = h->adapter->wire,
		.store = h->link.store,
		.promoter = h->link.promoter,
		.metrics = h->metrics,
		.incarnation = incarnation,
		.seed = incarnation,
		.key_limit_us = s->keys.withdrawn_after_ms * US_PER_MS,
		.config_limit_us = s->config.applied_within_ms * US_PER_MS,
		.grace_us = s->shutdown.grace_milli_s * US_PER_MS,
		.replica_wait_us = s->failover.replica_wait_milli_s * US_PER_MS,
		.tolerance = { .window_us =
				       s->limits.window_milli_s * US_PER_MS,
			       .overrun_milli = s->limits.overrun_milli,
			       .slack_milli = s->limits.slack * 1000 },
		.sessions_max = s->sessions.max,
	};

	g_strlcpy(o.instance, s->instance.name, sizeof(o.instance));
	g_strlcpy(o.zone, s->instance.zone, sizeof(o.zone));
	g_strlcpy(o.peer_address, s->listen.peers, sizeof(o.peer_address));
	g_strlcpy(o.relay_address, s->listen.relay, sizeof(o.relay_address));
	return o;
}

static void remove_entry_and_stop(struct session_host *h, int64_t now)
{
	if (!h->entry_removal_start_us) {
		h->entry_removal_start_us = now;
		engine_remove_own_entry(h->engine);
	} else if (now - h->entry_removal_start_us >= ENTRY_REMOVAL_WAIT_US) {
		log_event(LOG_STOPPED, h->settings->instance.name, 0,
			  "removed its entry from the store; event loop ends");
		loop_stop(h->loop);
	}
}

/* Returns true if nothing that was accepted is left to do or to send. */
static bool is_drained(const struct session_host *h)
{
	return engine_is_drained(h->engine) &&
	       !stream_set_is_finishing(h->streams);
}

static void before_wait(void *data, int64_t now)
{
	struct session_host *h = data;

	if (now >= h->next_tick_us)
		engine_tick(h->engine);
	stream_set_flush(h->streams);
	log_flush();
	if (is_drained(h) || now >= engine_end_due_us(h->engine))
		remove_entry_and_stop(h, now);
	h->next_tick_us = engine_next_due_us(h->engine);
	loop_timer_set(h->tick_timer, h->next_tick_us);
}

static void on_tick_timer(void *data, int64_t now)
{
	/* Only wakes the loop: before_wait() runs the tick. */
}

static void record_settings_mtime(struct session_host *h)
{
	struct stat st;

	if (!stat(h->settings_path, &st))
		h->settings_mtime = st.st_mtim;
}

static void check_settings_file(void *data, int64_t now)
{
	struct session_host *h = data;
	struct stat st;

	loop_timer_set(h->settings_timer, now + SETTINGS_CHECK_INTERVAL_US);
	if (stat(h->settings_path, &st) ||
	    (st.st_mtim.tv_sec == h->settings_mtime.tv_sec &&
	     st.st_mtim.tv_nsec == h->settings_mtime.tv_nsec))
		return;
	session_host_reload(h);
}

void session_host_reload(struct session_host *h)
{
	struct proxy_settings *s = NULL;
	struct engine_opts o;
	char errbuf[256];

	record_settings_mtime(h);
	if (proxy_settings_load(h->settings_path, &s, errbuf, sizeof(errbuf))) {
		log_event(LOG_SETTINGS_REFUSED, h->settings_path, 0, "%s",
			  errbuf);
		return;
	}
	/*
	 * Only keys, config, limits, failover and shutdown are reloaded;
	 * all other settings, such as names and addresses, need a restart.
	 */
	o = make_engine_opts(h, s, 0);
	engine_reload(h->engine, &o);
	proxy_settings_free(s);
}

static void close_listener(struct session_host *h, int fd)
{
	if (fd < 0)
		return;
	loop_unwatch(h->loop, fd);
	close(fd);
}

static apr_status_t host_cleanup(void *data)
{
	struct session_host *h = data;

	if (h->engine)
		engine_free(h->engine);
	if (h->streams)
		stream_set_free(h->streams);
	if (h->link.handle)
		h->adapter->close(&h->link);
	close_listener(h, h->listener);
	close_listener(h, h->relay_listener);
	metrics_free(h->metrics);
	g_free(h->settings_path);
	g_free(h);
	return APR_SUCCESS;
}

static int fail_startup(struct session_host *h, const char *subject, int rc,
			char *errbuf, size_t errbuf_size)
{
	snprintf(errbuf, errbuf_size, "%s: %s", subject, g_strerror(-rc));
	apr_pool_destroy(h->pool);
	return rc;
}

static int listen_callers(struct session_host *h)
{
	h->listener = stream_listen(h->settings->listen.callers);
	if (h->listener < 0)
		return h->listener;
	return loop_watch(h->loop, h->listener, LOOP_READ, on_listener_readable,
			  h);
}

static int listen_relay(struct session_host *h)
{
	if (!*h->settings->listen.relay)
		return 0;
	h->relay_listener = stream_listen(h->settings->listen.relay);
	if (h->relay_listener < 0)
		return h->relay_listener;
	return loop_watch(h->loop, h->relay_listener, LOOP_READ,
			  on_relay_readable, h);
}

static void open_engine(struct session_host *h, uint64_t incarnation)
{
	const struct stream_set_opts streams = {
		.loop = h->loop,
		.line_max_bytes = h->settings->sessions.line_max_bytes,
		.unacked_max_us = UNACKED_MAX_US,
		.keepalive_idle_us = KEEPALIVE_IDLE_US,
		.finish_max_us = FINISH_MAX_US,
	};
	struct engine_opts o;

	h->streams = stream_set_new(&streams);
	open_adapter(h);
	o = make_engine_opts(h, h->settings, incarnation);
	h->engine = engine_new(&o, loop_now_us());
}

static struct session_host *host_alloc(const char *settings_path,
				       const struct proxy_settings *settings,
				       apr_pool_t *parent)
{
	struct session_host *h = g_new0(struct session_host, 1);

	h->settings = settings;
	h->settings_path = g_strdup(settings_path);
	h->adapter = proxy_adapter();
	h->metrics = metrics_new();
	h->listener = -1;
	h->relay_listener = -1;
	apr_pool_create(&h->pool, parent);
	/* Frees the streams before the loop, which is in a subpool. */
	apr_pool_pre_cleanup_register(h->pool, h, host_cleanup);
	return h;
}

int session_host_new(struct session_host **out, const char *settings_path,
		     const struct proxy_settings *settings, apr_pool_t *parent,
		     char *errbuf, size_t errbuf_size)
{
	struct session_host *h = host_alloc(settings_path, settings, parent);
	uint64_t incarnation = 0;
	int rc;

	while (!incarnation)
		randombytes_buf(&incarnation, sizeof(incarnation));
	incarnation &= INT64_MAX; /* Jansson's integers are signed 64-bit */
	record_settings_mtime(h);
	rc = loop_new(&h->loop, h->pool);
	if (rc)
		return fail_startup(h, "event loop", rc, errbuf, errbuf_size);
	rc = open_peers(h, incarnation);
	if (rc)
		return fail_startup(h, settings->listen.peers, rc, errbuf,
				    errbuf_size);
	open_engine(h, incarnation);
	rc = listen_callers(h);
	if (rc)
		return fail_startup(h, settings->listen.callers, rc, errbuf,
				    errbuf_size);
	rc = listen_relay(h);
	if (rc)
		return fail_startup(h, settings->listen.relay, rc, errbuf,
				    errbuf_size);
	rc = open_http(h, &h->ready_server, settings->listen.ready,
		       on_ready_request);
	if (rc)
		return fail_startup(h, settings->listen.ready, rc, errbuf,
				    errbuf_size);
	rc = open_http(h, &h->metrics_server, settings->listen.metrics,
		       on_metrics_request);
	if (rc)
		return fail_startup(h, settings->listen.metrics, rc, errbuf,
				    errbuf_size);
	h->tick_timer = loop_timer_add(h->loop, on_tick_timer, h);
	h->settings_timer = loop_timer_add(h->loop, check_settings_file, h);
	loop_timer_set(h->settings_timer,
		       loop_now_us() + SETTINGS_CHECK_INTERVAL_US);
	loop_set_before_wait(h->loop, before_wait, h);
	log_event(LOG_STARTED, settings->instance.name, 0, "zone %s callers %s",
		  settings->instance.zone, settings->listen.callers);
	*out = h;
	return 0;
}

int session_host_run(struct session_host *h)
{
	return loop_run(h->loop);
}

void session_host_drain(struct session_host *h)
{
	engine_drain(h->engine);
}

struct loop *session_host_loop(const struct session_host *h)
{
	return h->loop;
}
