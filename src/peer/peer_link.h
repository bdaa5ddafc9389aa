/*
 * peer_link.h - sends and receives messages between instances, over ZeroMQ
 * with CURVE encryption.
 */
#ifndef PEER_PEER_LINK_H
#define PEER_PEER_LINK_H

#include "base/loop.h"
#include "core/peer_message.h"

struct peer_link;

struct peer_link_opts {
	struct loop *loop;
	const char *instance; /* name of this instance */
	uint64_t incarnation; /* of this process; sent in each message */
	/* "ip:port" to listen on; with port 0 the system picks one. */
	const char *address;
	/*
	 * Key pair shared by all instances: Z85 text of 40 characters each. If
	 * both are NULL, the network between the instances is trusted and
	 * messages are not encrypted.
	 */
	const char *curve_public;
	const char *curve_secret;
	void (*on_message)(void *data, const struct peer_message *m);
	/*
	 * A received message was rejected because of its version, format or
	 * sender, or a connection because of its CURVE key. `reason` is a
	 * constant text. May be NULL.
	 */
	void (*on_dropped)(void *data, const char *reason);
	void *data;
};

/*
 * Binds to the address. The link is freed with its parent pool. Returns 0 or a
 * negative errno.
 */
int peer_link_new(struct peer_link **out, const struct peer_link_opts *opts,
		  apr_pool_t *parent);

/* Returns the port on which it listens. */
uint16_t peer_link_port(const struct peer_link *l);

/*
 * Adds a peer with the address on which it listens ("ip:port"), or replaces its
 * address. Only messages of peers that were added are accepted.
 */
void peer_link_set_peer(struct peer_link *l, const char *instance,
			const char *address);

/* Removes a peer and closes the connection to it. */
void peer_link_remove_peer(struct peer_link *l, const char *instance);

/*
 * Sends a message to m->peer without blocking. The message is dropped if it
 * cannot be queued, for example because the peer is unknown or its send queue
 * is full.
 */
void peer_link_send(struct peer_link *l, const struct peer_message *m);

/* Messages and bytes sent and received since the start of the process. */
struct peer_link_stats {
	uint64_t sent; /* messages */
	uint64_t sent_bytes;
	uint64_t received; /* messages */
	uint64_t received_bytes;
	/* Messages that could not be sent, and rejected input. */
	uint64_t dropped;
};

struct peer_link_stats peer_link_stats(const struct peer_link *l);

#endif
