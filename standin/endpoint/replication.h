/*
 * replication.h - replicates the log of the primary to its peers over TCP.
 *
 * Each message is one line of JSON. The primary sends append requests, at
 * most one outstanding for each peer; the replica replies with its term, log
 * offset and requested lag.
 */
#ifndef ENDPOINT_REPLICATION_H
#define ENDPOINT_REPLICATION_H

#include "endpoint.h"

/*
 * Listens on the replication address of the options. Returns NULL when the
 * address cannot be used.
 */
struct replication *replication_new(struct endpoint *ep);
/* Its sockets must have been closed by net_free(). NULL is ignored. */
void replication_free(struct replication *r);
uint16_t replication_port(const struct replication *r);

/* Schedules a check of all peers for entries to send; NULL is ignored. */
void replication_notify(struct replication *r);

/*
 * While partitioned, this endpoint exchanges nothing with its peers; open
 * connections to and from them are closed.
 */
void replication_set_partitioned(struct replication *r, bool partitioned);

/* Replaces the peers' addresses. */
void replication_set_peers(struct replication *r, uint32_t count,
			   const char *const *peers);

#endif
