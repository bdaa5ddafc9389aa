/* peer_link.h - messages between instances, over ZeroMQ with CURVE. */
#ifndef PEER_PEER_LINK_H
#define PEER_PEER_LINK_H

#include "base/loop.h"
#include "core/peer_message.h"

struct peer_link;

struct peer_link_opts {
	struct loop *loop;
	const char *instance; /* own name */
	uint64_t incarnation;
	const char *address; /* "ip:port" to bind; port 0 takes a free one */
	/*
	 * Z85 keys of the fleet, 40 characters. Both NULL: the network between
	 * the instances is trusted, and messages travel in the clear.
	 */
	const char *curve_public;
	const char *curve_secret;
	void (*on_message)(void *data, const struct peer_message *m);
	/* A message was dropped: bad version, size, form or sender. */
	void (*on_bad)(void *data, const char *reason);
	void *data;
};

/* Freed with its parent pool. Returns 0 or a negative errno. */
int peer_link_new(struct peer_link **out, const struct peer_link_opts *opts,
		  apr_pool_t *parent);
uint16_t peer_link_port(const struct peer_link *l);

/* Tells where a peer listens; a new address replaces the old one. */
void peer_link_set_peer(struct peer_link *l, const char *instance,
			const char *address);
void peer_link_drop_peer(struct peer_link *l, const char *instance);

/* Sends without waiting; drops the message if the peer cannot take it. */
void peer_link_send(struct peer_link *l, const struct peer_message *m);

/* Bytes and messages sent and received since the start. */
struct peer_link_stats {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t dropped;
};
struct peer_link_stats peer_link_stats(const struct peer_link *l);

#endif
