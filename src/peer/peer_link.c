#include "peer/peer_link.h"

#include "peer/peer_codec.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

/*
 * Every instance holds the same CURVE pair: it proves that a process
 * belongs to the fleet, not which instance it is. A name is accepted when
 * it is the name of a peer that was set from the platform's member records
 * and not the own one; within the fleet the processes trust each other.
 *
 * A ZeroMQ server accepts any client key unless a ZAP handler refuses it.
 * The handler is a REP socket of the same context that the loop serves;
 * handshakes wait for it in the library, so no thread of ours is needed.
 *
 * The descriptor of a ZeroMQ socket reports only that something may have
 * changed. Both receiving sockets are read until ZMQ_EVENTS shows no input
 * each time, and once more by a timer, so no edge can be lost for long.
 */

enum {
	HEARTBEAT_MS = 1000,
	HEARTBEAT_TIMEOUT_MS = 3000, /* then a silent connection is replaced */
	HANDSHAKE_MS = 3000,
	CONNECT_TIMEOUT_MS = 2000,
	RECONNECT_MS = 100,
	RECONNECT_MAX_MS = 2000,
	SEND_QUEUE = 64, /* messages for one peer */
	RECEIVE_QUEUE = 4096,
	SOCKETS_MAX = 16384,
	RECEIVED_AT_ONCE = 256, /* messages, before other work gets its turn */
	KEY_BYTES = 32,
	KEY_Z85_BYTES = 41,
	ENDPOINT_BYTES = 256,
	ZAP_FRAMES = 7,
	ZAP_FRAME_BYTES = 256,
};

static const int64_t CHECK_INTERVAL_US = 100000;

/* Outgoing connections that were not used for so long are closed. */
static const int64_t IDLE_US = 30000000;

static const char ZAP_ENDPOINT[] = "inproc://zeromq.zap.01";
static const char ZAP_DOMAIN[] = "peers";

struct peer {
	char address[ADDRESS_BYTES];
	void *dealer; /* NULL: connected at the next message */
	int64_t used_us;
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
	void (*on_bad)(void *data, const char *reason);
	void *data;
	void *context;
	void *router;
	void *zap;
	uint16_t port;
	GHashTable *peers; /* name to struct peer */
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

static int socket_fd(void *socket)
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

static int set_text(void *socket, int option, const char *value)
{
	return zmq_setsockopt(socket, option, value, strlen(value));
}

/* Options that both ends of a connection need. */
static int set_common(struct peer_link *l, void *socket)
{
	int rc = 0;

	rc |= set_option(socket, ZMQ_LINGER, 0);
	rc |= set_option(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
	rc |= set_option(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
	rc |= set_option(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	rc |= set_option(socket, ZMQ_HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS);
	if (l->curve_secret[0])
		rc |= set_text(socket, ZMQ_CURVE_SECRETKEY, l->curve_secret);
	return rc;
}

static void *new_dealer(struct peer_link *l, const char *address)
{
	void *s = zmq_socket(l->context, ZMQ_DEALER);
	char endpoint[ENDPOINT_BYTES];
	int rc;

	if (!s)
		return NULL;
	rc = set_common(l, s);
	rc |= set_option(s, ZMQ_SNDHWM, SEND_QUEUE);
	rc |= set_option(s, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	rc |= set_option(s, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	rc |= set_option(s, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	if (l->curve_secret[0]) {
		rc |= set_text(s, ZMQ_CURVE_PUBLICKEY, l->curve_public);
		rc |= set_text(s, ZMQ_CURVE_SERVERKEY, l->curve_public);
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (!rc && !zmq_connect(s, endpoint))
		return s;
	zmq_close(s);
	return NULL;
}

static void drop_bad(struct peer_link *l, const char *reason)
{
	l->stats.dropped++;
	if (l->on_bad)
		l->on_bad(l->data, reason);
}

static void take_message(struct peer_link *l, const uint8_t *data, size_t size)
{
	struct peer_message m;
	int rc = peer_decode(data, size, &m);

	l->stats.received++;
	l->stats.received_bytes += size;
	if (rc)
		drop_bad(l, rc == -EPROTO ? "other version" : "malformed");
	else if (!strcmp(m.peer, l->instance) ||
		 !g_hash_table_contains(l->peers, m.peer))
		drop_bad(l, "unknown sender");
	else
		l->on_message(l->data, &m);
}

/* Reads one message: the connection's id, then one frame. */
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
		take_message(l, frame[1], (size_t)len);
	else
		drop_bad(l, "unexpected frames");
	return true;
}

static void receive(struct peer_link *l)
{
	for (int i = 0; i < RECEIVED_AT_ONCE; i++) {
		if (!has_input(l->router) || !receive_one(l))
			return;
	}
	loop_timer_set(l->timer, loop_now_us());
}

static void on_router(void *data, int events)
{
	receive(data);
}

struct zap_request {
	char frames[ZAP_FRAMES][ZAP_FRAME_BYTES];
	int sizes[ZAP_FRAMES];
	int count;
};

static bool zap_receive(struct peer_link *l, struct zap_request *r)
{
	char rest[ZAP_FRAME_BYTES] = { 0 };
	int more = 1;
	size_t size = sizeof(more);

	r->count = 0;
	while (more) {
		bool fits = r->count < ZAP_FRAMES;
		int n = zmq_recv(l->zap, fits ? r->frames[r->count] : rest,
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

static bool zap_frame_is(const struct zap_request *r, int i, const void *want,
			 size_t size)
{
	return i < r->count && (size_t)r->sizes[i] == size &&
	       !memcmp(r->frames[i], want, size);
}

/* Frames: version, id, domain, address, identity, mechanism, key. */
static bool zap_allows(const struct peer_link *l, const struct zap_request *r)
{
	return r->count == ZAP_FRAMES && zap_frame_is(r, 0, "1.0", 3) &&
	       zap_frame_is(r, 2, ZAP_DOMAIN, strlen(ZAP_DOMAIN)) &&
	       zap_frame_is(r, 5, "CURVE", 5) &&
	       zap_frame_is(r, 6, l->public_key, KEY_BYTES);
}

static void zap_answer(struct peer_link *l, const struct zap_request *r)
{
	bool ok = zap_allows(l, r);
	int id_size = r->count > 1 ? r->sizes[1] : 0;
	const char *text = ok ? "" : "key not of the fleet";

	zmq_send(l->zap, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(l->zap, r->frames[1], (size_t)id_size, ZMQ_SNDMORE);
	zmq_send(l->zap, ok ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(l->zap, text, strlen(text), ZMQ_SNDMORE);
	zmq_send(l->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(l->zap, "", 0, 0);
	if (!ok)
		drop_bad(l, "connection with another key");
}

static void on_zap(void *data, int events)
{
	struct peer_link *l = data;
	struct zap_request r = { .count = 0 };

	while (has_input(l->zap) && zap_receive(l, &r))
		zap_answer(l, &r);
}

static void close_idle(struct peer_link *l, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct peer *p = value;

		if (!p->dealer || now_us - p->used_us < IDLE_US)
			continue;
		close_socket(p->dealer);
		p->dealer = NULL;
	}
}

static void on_timer(void *data, int64_t now_us)
{
	struct peer_link *l = data;

	loop_timer_set(l->timer, now_us + CHECK_INTERVAL_US);
	on_zap(l, 0);
	receive(l);
	close_idle(l, now_us);
}

static apr_status_t link_cleanup(void *data)
{
	struct peer_link *l = data;

	loop_timer_set(l->timer, -1);
	g_hash_table_destroy(l->peers);
	if (l->router) {
		loop_unwatch(l->loop, socket_fd(l->router));
		close_socket(l->router);
	}
	if (l->zap) {
		loop_unwatch(l->loop, socket_fd(l->zap));
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
	return loop_watch(l->loop, socket_fd(l->zap), LOOP_READ, on_zap, l);
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
	rc = set_common(l, l->router);
	if (l->curve_secret[0]) {
		rc |= set_option(l->router, ZMQ_CURVE_SERVER, 1);
		rc |= set_text(l->router, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN);
	}
	rc |= set_option(l->router, ZMQ_RCVHWM, RECEIVE_QUEUE);
	rc |= zmq_setsockopt(l->router, ZMQ_MAXMSGSIZE,
			     &(int64_t){ PEER_MESSAGE_MAX_BYTES },
			     sizeof(int64_t));
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (rc || zmq_bind(l->router, endpoint))
		return -errno;
	rc = read_port(l);
	if (rc)
		return rc;
	return loop_watch(l->loop, socket_fd(l->router), LOOP_READ, on_router,
			  l);
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
	l->on_bad = opts->on_bad;
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

void peer_link_drop_peer(struct peer_link *l, const char *instance)
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
		p->dealer = new_dealer(l, p->address);
	if (!p || !p->dealer || len < 0) {
		l->stats.dropped++;
		return;
	}
	p->used_us = loop_now_us();
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
