/* endpoint.h - the simulated endpoint: its options and shared components. */
#ifndef ENDPOINT_ENDPOINT_H
#define ENDPOINT_ENDPOINT_H

#include "delay.h"
#include "engine.h"
#include "net.h"
#include "slots.h"

enum { ENDPOINT_PEERS_MAX = 8 };

struct endpoint_opts {
	const char *name;
	const char *listen; /* "ip:port" for clients */
	const char *replication; /* "ip:port" for peers */
	const char *control; /* "ip:port" for control commands */
	const char *password; /* NULL: clients need none */
	uint32_t peer_count;
	const char *peers[ENDPOINT_PEERS_MAX]; /* replication addresses */
	uint32_t slots; /* statements that may run concurrently */
	uint32_t connections_max; /* of clients */
	int64_t connect_delay_us; /* duration of a login */
	int64_t lag_us; /* minimum replication lag of an entry */
	int64_t service_us; /* duration of a statement */
	uint64_t primary_term; /* to start as its primary; 0: as a replica */
};

struct replication;

struct endpoint {
	struct endpoint_opts opts;
	struct loop *loop;
	struct net *net; /* of clients and peers; `freeze` stops it */
	struct net *control_net; /* of control connections; never frozen */
	struct delay_queue *delay_queue;
	struct slot_pool *slot_pool;
	struct engine engine;
	struct replication *replication;
	struct listener *client_listener;
	struct listener *control_listener;
	GPtrArray *sessions; /* struct session, open ones */
	bool reject_clients; /* new client connections are closed at once */
	int32_t next_pid; /* last process id sent in BackendKeyData */
};

/*
 * Opens the listeners and, with primary_term, makes the endpoint the primary
 * of that term. Returns 0, or a negative errno when an address cannot be
 * used. The strings of `opts` must outlive the endpoint.
 */
int endpoint_start(struct endpoint *ep, const struct endpoint_opts *opts,
		   struct loop *l);
void endpoint_stop(struct endpoint *ep);

#endif
