/* endpoint.h - one database endpoint: its options and shared parts. */
#ifndef ENDPOINT_ENDPOINT_H
#define ENDPOINT_ENDPOINT_H

#include "delay.h"
#include "engine.h"
#include "net.h"
#include "slots.h"

enum { ENDPOINT_PEERS_MAX = 8 };

struct endpoint_opts {
	const char *name;
	const char *listen; /* "ip:port", for clients */
	const char *replication; /* "ip:port", for peers */
	const char *control; /* "ip:port", for tests */
	const char *password; /* NULL: none is asked for */
	uint32_t peer_count;
	const char *peers[ENDPOINT_PEERS_MAX]; /* replication addresses */
	uint32_t slots;
	uint32_t connections_max;
	int64_t connect_delay_us;
	int64_t lag_us; /* entries reach a replica so much later */
	int64_t service_us; /* time that a statement takes */
	uint64_t primary_term; /* 0: start as a replica */
};

struct replication;

struct endpoint {
	struct endpoint_opts opts;
	struct loop *loop;
	struct net *net; /* clients and peers; frozen together */
	struct net *control_net;
	struct delays *delays;
	struct slots *slots;
	struct engine engine;
	struct replication *replication;
	struct listener *client_listener;
	struct listener *control_listener;
	GPtrArray *sessions; /* of struct session */
	bool clients_cut; /* new connections are closed at once */
	int32_t next_pid; /* given to sessions */
};

/* Returns 0, or a negative errno when an address cannot be used. */
int endpoint_start(struct endpoint *ep, const struct endpoint_opts *opts,
		   struct loop *l);
void endpoint_stop(struct endpoint *ep);

#endif
