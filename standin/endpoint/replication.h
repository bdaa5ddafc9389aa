/*
 * replication.h - pushes the log of a primary to its peers, over TCP.
 *
 * Each message is one line of JSON. The primary sends "append" requests,
 * one at a time to each peer, the replica answers each with its state.
 */
#ifndef ENDPOINT_REPLICATION_H
#define ENDPOINT_REPLICATION_H

#include "endpoint.h"

/* Returns NULL when the address cannot be used. */
struct replication *replication_new(struct endpoint *ep);
/* After its sockets were closed. */
void replication_free(struct replication *r);
uint16_t replication_port(const struct replication *r);

/* Tells that there may be something to send. */
void replication_wake(struct replication *r);

/* While cut, nothing passes to or from peers. */
void replication_cut(struct replication *r, bool cut);

/* Replaces the peers' addresses. */
void replication_set_peers(struct replication *r, uint32_t count,
			   const char *const *peers);

#endif
