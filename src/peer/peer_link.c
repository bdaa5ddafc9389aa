#include "peer/peer_link.h"

#include "peer/peer_codec.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

/*
 * All instances share one CURVE key pair. It proves that a process belongs to
 * the fleet, but not which instance it is. A sender's name is accepted if it
 * was added with peer_link_set_peer(), from the platform's member records, and
 * is not this instance's own name: the processes of a fleet trust each other.
 *
 * A ZeroMQ server accepts any client key unless a ZAP handler rejects it. The
 * handler is a REP socket in the same context, served by the event loop.
 * Handshakes wait for its reply inside the library, so no extra thread is
 * needed.
 *
 * The descriptor of a ZeroMQ socket is edge-triggered: it reports only that
 * the state of the socket may have changed. Both receiving sockets are
 * therefore read until ZMQ_EVENTS shows no more input. A timer also reads them
 * every CHECK_INTERVAL_US, so that a missed event delays a message only
 * briefly.
 */

enum {
	HEARTBEAT_INTERVAL_MS = 1000,
	HEARTBEAT_TIMEOUT_MS = 3000, /* without a reply; then reconnects */
	HANDSHAKE_TIMEOUT_MS = 3000,
	CONNECT_TIMEOUT_MS = 2000,
	RECONNECT_INTERVAL_MS = 100, /* doubles up to the maximum */
	RECONNECT_INTERVAL_MAX_MS = 2000,
	SEND_QUEUE_MAX = 64, /* messages to one peer */
	RECEIVE_QUEUE_MAX = 4096, /* messages */
	SOCKETS_MAX = 16384,
	RECEIVE_BATCH_MAX = 256, /* messages handled before other loop events */
	KEY_BYTES = 32,
	KEY_Z85_BYTES = 41, /* including the NUL */
	ENDPOINT_BYTES = 256,
	ZAP_FRAMES = 7,
	ZAP_FRAME_BYTES = 256,
};

/* Interval of the timer that reads both receiving sockets. */
static const int64_t CHECK_INTERVAL_US = 100000;

/* Outgoing connections are closed after this time without a message. */
static const int64_t DEALER_IDLE_TIMEOUT_US = 30000000;

static const char ZAP_ENDPOINT[] = "inproc://zeromq.zap.01";
static const char ZAP_DOMAIN[] = "peers";

struct peer {
	char address[ADDRESS_BYTES];
	void *dealer; /* socket; NULL: opened to send the next message */
	int64_t last_used_us; /* when a message was last sent */
};

struct peer_link {
	struct loop *loop;
	struct loop_timer *timer;
	char instance[NAME_BYTES];
	uint64_t incarnation;
	char curve_public[KEY_Z85_BYTES];
	char curve_secret[KEY_Z85_BYTES];
	uint8_t public_key[KEY_BYTES];
	void (*on_message)(void *data, const struct peer_message *m);
	void (*on_dropped)(void *data, const char *reason);
	void *data;
	void *context; /* of ZeroMQ */
	void *router; /* receives messages of all peers */
	void *zap; /* authenticates connections; see above */
	uint16_t port;
	GHashTable *peers; /* instance name to struct peer, owned */
	struct peer_link_stats stats;
};

static void close_socket(void *socket)
{
	if (socket)
		zmq_close(socket);
}

static void peer_free(gpointer p)
{
	struct peer *peer = p;

	close_socket(peer->dealer);
	g_free(peer);
}

static int get_socket_fd(void *socket)
{
	int fd = -1;
	size_t size = sizeof(fd);

	zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
	return fd;
}

static bool has_input(void *socket)
{
	int events = 0;
	size_t size = sizeof(events);

	return !zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size) &&
	       (events & ZMQ_POLLIN);
}

static int set_option(void *socket, int option, int value)
{
	return zmq_setsockopt(socket, option, &value, sizeof(value));
}

static int set_text_option(void *socket, int option, const char *value)
{
	return zmq_setsockopt(socket, option, value, strlen(value));
}

/* Sets the options that both ends of a connection need. */
static int set_common_options(struct peer_link *l, void *socket)
{
	int rc = 0;

	rc |= set_option(socket, ZMQ_LINGER, 0);
	rc |= set_option(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
	rc |= set_option(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
	rc |= set_option(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	rc |= set_option(socket, ZMQ_HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS);
	if (l->curve_secret[0])
		rc |= set_text_option(socket, ZMQ_CURVE_SECRETKEY,
				      l->curve_secret);
	return rc;
}

static void *open_dealer(struct peer_link *l, const char *address)
{
	void *s = zmq_socket(l->context, ZMQ_DEALER);
	char endpoint[ENDPOINT_BYTES];
	int rc;

	if (!s)
		return NULL;
	rc = set_common_options(l, s);
	rc |= set_option(s, ZMQ_SNDHWM, SEND_QUEUE_MAX);
	rc |= set_option(s, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	rc |= set_option(s, ZMQ_RECONNECT_IVL, RECONNECT_INTERVAL_MS);
	rc |= set_option(s, ZMQ_RECONNECT_IVL_MAX, RECONNECT_INTERVAL_MAX_MS);
	if (l->curve_secret[0]) {
		rc |= set_text_option(s, ZMQ_CURVE_PUBLICKEY, l->curve_public);
		rc |= set_text_option(s, ZMQ_CURVE_SERVERKEY, l->curve_public);
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (!rc && !zmq_connect(s, endpoint))
		return s;
	zmq_close(s);
	return NULL;
}

static void report_dropped(struct peer_link *l, const char *reason)
{
	l->stats.dropped++;
	if (l->on_dropped)
		l->on_dropped(l->data, reason);
}

static void handle_message(struct peer_link *l, const uint8_t *data,
			   size_t size)
{
	struct peer_message m;
	int rc = peer_decode(data, size, &m);

	l->stats.received++;
	l->stats.received_bytes += size;
	if (rc)
		report_dropped(l, rc == -EPROTO ? "unsupported version" :
						  "malformed");
	else if (!strcmp(m.peer, l->instance) ||
		 !g_hash_table_contains(l->peers, m.peer))
		report_dropped(l, "unknown sender");
	else
		l->on_message(l->data, &m);
}

/*
 * Receives and handles one message: a frame with the connection's id and a
 * frame with the content. Returns false if there is none.
 */
static bool receive_one(struct peer_link *l)
{
	uint8_t frame[2][PEER_MESSAGE_MAX_BYTES];
	int frames = 0;
	int len = 0;
	int more = 1;
	size_t size = sizeof(more);

	while (more) {
		len = zmq_recv(l->router, frame[frames > 0], sizeof(frame[0]),
			       ZMQ_DONTWAIT);
		if (len < 0)
			return false;
		frames++;
		zmq_getsockopt(l->router, ZMQ_RCVMORE, &more, &size);
	}
	if (frames == 2 && len <= (int)sizeof(frame[1]))
		handle_message(l, frame[1], (size_t)len);
	else
		report_dropped(l, "unexpected frames");
	return true;
}

static void receive_messages(struct peer_link *l)
{
	for (int i = 0; i < RECEIVE_BATCH_MAX; i++) {
		if (!has_input(l->router) || !receive_one(l))
			return;
	}
	loop_timer_set(l->timer, loop_now_us());
}

static void on_router_ready(void *data, int events)
{
	receive_messages(data);
}

/* An authentication request of ZeroMQ; see zap_accepts(). */
struct zap_request {
	char frames[ZAP_FRAMES][ZAP_FRAME_BYTES];
	int sizes[ZAP_FRAMES];
	int count; /* of all received frames, also those not stored */
};

static bool receive_zap_request(struct peer_link *l, struct zap_request *r)
{
	char discarded[ZAP_FRAME_BYTES] = { 0 };
	int more = 1;
	size_t size = sizeof(more);

	r->count = 0;
	while (more) {
		bool fits = r->count < ZAP_FRAMES;
		int n = zmq_recv(l->zap, fits ? r->frames[r->count] : discarded,
				 ZAP_FRAME_BYTES, ZMQ_DONTWAIT);

		if (n < 0)
			return false;
		if (fits)
			r->sizes[r->count] = MIN(n, ZAP_FRAME_BYTES);
		r->count++;
		zmq_getsockopt(l->zap, ZMQ_RCVMORE, &more, &size);
	}
	return true;
}

static bool zap_frame_equals(const struct zap_request *r, int i,
			     const void *expected, size_t size)
{
	return i < r->count && (size_t)r->sizes[i] == size &&
	       !memcmp(r->frames[i], expected, size);
}

/*
 * The frames of a ZAP request are version, request id, domain, address,
 * identity, mechanism and client key.
 */
static bool zap_accepts(const struct peer_link *l, const struct zap_request *r)
{
	return r->count == ZAP_FRAMES && zap_frame_equals(r, 0, "1.0", 3) &&
	       zap_frame_equals(r, 2, ZAP_DOMAIN, strlen(ZAP_DOMAIN)) &&
	       zap_frame_equals(r, 5, "CURVE", 5) &&
	       zap_frame_equals(r, 6, l->public_key, KEY_BYTES);
}

static void send_zap_reply(struct peer_link *l, const struct zap_request *r)
{
	bool ok = zap_accepts(l, r);
	int id_size = r->count > 1 ? r->sizes[1] : 0;
	const char *text = ok ? "" : "client key does not belong to the fleet";

	zmq_send(l->zap, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(l->zap, r->frames[1], (size_t)id_size, ZMQ_SNDMORE);
	zmq_send(l->zap, ok ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(l->zap, text, strlen(text), ZMQ_SNDMORE);
	zmq_send(l->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(l->zap, "", 0, 0);
	if (!ok)
		report_dropped(l, "connection with an unknown CURVE key");
}

static void on_zap_ready(void *data, int events)
{
	struct peer_link *l = data;
	struct zap_request r = { .count = 0 };

	while (has_input(l->zap) && receive_zap_request(l, &r))
		send_zap_reply(l, &r);
}

static void close_idle_dealers(struct peer_link *l, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct peer *p = value;

		if (!p->dealer ||
		    now_us - p->last_used_us < DEALER_IDLE_TIMEOUT_US)
			continue;
		close_socket(p->dealer);
		p->dealer = NULL;
	}
}

static void on_timer(void *data, int64_t now_us)
{
	struct peer_link *l = data;

	loop_timer_set(l->timer, now_us + CHECK_INTERVAL_US);
	on_zap_ready(l, 0);
	receive_messages(l);
	close_idle_dealers(l, now_us);
}

static apr_status_t link_cleanup(void *data)
{
	struct peer_link *l = data;

	loop_timer_set(l->timer, -1);
	g_hash_table_destroy(l->peers);
	if (l->router) {
		loop_unwatch(l->loop, get_socket_fd(l->router));
		close_socket(l->router);
	}
	if (l->zap) {
		loop_unwatch(l->loop, get_socket_fd(l->zap));
		close_socket(l->zap);
	}
	zmq_ctx_term(l->context);
	g_free(l);
	return APR_SUCCESS;
}

static int open_zap(struct peer_link *l)
{
	l->zap = zmq_socket(l->context, ZMQ_REP);
	if (!l->zap || set_option(l->zap, ZMQ_LINGER, 0) ||
	    zmq_bind(l->zap, ZAP_ENDPOINT))
		return -errno;
	return loop_watch(l->loop, get_socket_fd(l->zap), LOOP_READ,
			  on_zap_ready, l);
}

static int read_port(struct peer_link *l)
{
	char endpoint[ENDPOINT_BYTES];
	size_t size = sizeof(endpoint);
	const char *colon;

	if (zmq_getsockopt(l->router, ZMQ_LAST_ENDPOINT, endpoint, &size))
		return -errno;
	colon = strrchr(endpoint, ':');
	l->port = colon ? (uint16_t)strtoul(colon + 1, NULL, 10) : 0;
	return 0;
}

static int open_router(struct peer_link *l, const char *address)
{
	char endpoint[ENDPOINT_BYTES];
	int rc;

	l->router = zmq_socket(l->context, ZMQ_ROUTER);
	if (!l->router)
		return -errno;
	rc = set_common_options(l, l->router);
	if (l->curve_secret[0]) {
		rc |= set_option(l->router, ZMQ_CURVE_SERVER, 1);
		rc |= set_text_option(l->router, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN);
	}
	rc |= set_option(l->router, ZMQ_RCVHWM, RECEIVE_QUEUE_MAX);
	rc |= zmq_setsockopt(l->router, ZMQ_MAXMSGSIZE,
			     &(int64_t){ PEER_MESSAGE_MAX_BYTES },
			     sizeof(int64_t));
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (rc || zmq_bind(l->router, endpoint))
		return -errno;
	rc = read_port(l);
	if (rc)
		return rc;
	return loop_watch(l->loop, get_socket_fd(l->router), LOOP_READ,
			  on_router_ready, l);
}

static int set_keys(struct peer_link *l, const struct peer_link_opts *opts)
{
	if (!opts->curve_public && !opts->curve_secret)
		return 0;
	if (!opts->curve_public || !opts->curve_secret ||
	    strlen(opts->curve_public) != KEY_Z85_BYTES - 1 ||
	    strlen(opts->curve_secret) != KEY_Z85_BYTES - 1 ||
	    !zmq_z85_decode(l->public_key, opts->curve_public))
		return -EINVAL;
	g_strlcpy(l->curve_public, opts->curve_public, KEY_Z85_BYTES);
	g_strlcpy(l->curve_secret, opts->curve_secret, KEY_Z85_BYTES);
	return 0;
}

static struct peer_link *alloc_link(const struct peer_link_opts *opts)
{
	struct peer_link *l = g_new0(struct peer_link, 1);

	l->loop = opts->loop;
	l->timer = loop_timer_add(l->loop, on_timer, l);
	g_strlcpy(l->instance, opts->instance, sizeof(l->instance));
	l->incarnation = opts->incarnation;
	l->on_message = opts->on_message;
	l->on_dropped = opts->on_dropped;
	l->data = opts->data;
	l->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 peer_free);
	l->context = zmq_ctx_new();
	zmq_ctx_set(l->context, ZMQ_MAX_SOCKETS, SOCKETS_MAX);
	return l;
}

int peer_link_new(struct peer_link **out, const struct peer_link_opts *opts,
		  apr_pool_t *parent)
{
	struct peer_link *l = alloc_link(opts);
	apr_pool_t *pool = NULL;
	int rc;

	apr_pool_create(&pool, parent);
	apr_pool_cleanup_register(pool, l, link_cleanup, apr_pool_cleanup_null);
	rc = set_keys(l, opts);
	if (!rc)
		rc = open_zap(l);
	if (!rc)
		rc = open_router(l, opts->address);
	if (rc) {
		apr_pool_destroy(pool);
		return rc;
	}
	loop_timer_set(l->timer, 0);
	*out = l;
	return 0;
}

uint16_t peer_link_port(const struct peer_link *l)
{
	return l->port;
}

void peer_link_set_peer(struct peer_link *l, const char *instance,
			const char *address)
{
	struct peer *p = g_hash_table_lookup(l->peers, instance);

	if (p && !strcmp(p->address, address))
		return;
	p = g_new0(struct peer, 1);
	g_strlcpy(p->address, address, sizeof(p->address));
	g_hash_table_replace(l->peers, g_strdup(instance), p);
}

void peer_link_remove_peer(struct peer_link *l, const char *instance)
{
	g_hash_table_remove(l->peers, instance);
}

void peer_link_send(struct peer_link *l, const struct peer_message *m)
{
	struct peer *p = g_hash_table_lookup(l->peers, m->peer);
	struct peer_message copy = *m;
	uint8_t buf[PEER_MESSAGE_MAX_BYTES];
	int len;

	copy.incarnation = l->incarnation;
	len = peer_encode(&copy, l->instance, buf, sizeof(buf));
	if (p && !p->dealer)
		p->dealer = open_dealer(l, p->address);
	if (!p || !p->dealer || len < 0) {
		l->stats.dropped++;
		return;
	}
	p->last_used_us = loop_now_us();
	if (zmq_send(p->dealer, buf, (size_t)len, ZMQ_DONTWAIT) < 0) {
		l->stats.dropped++;
		return;
	}
	l->stats.sent++;
	l->stats.sent_bytes += (uint64_t)len;
}

struct peer_link_stats peer_link_stats(const struct peer_link *l)
{
	return l->stats;
}
