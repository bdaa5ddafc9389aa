#include "endpoint.h"
#include "replication.h"

#include <apr_general.h>
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum option_key {
	KEY_LISTEN = 256,
	KEY_NAME,
	KEY_PEERS,
	KEY_REPLICATION,
	KEY_CONTROL,
	KEY_PASSWORD,
	KEY_SLOTS,
	KEY_CONNECTIONS_MAX,
	KEY_CONNECT_DELAY_MS,
	KEY_LAG_MS,
	KEY_SERVICE_US,
	KEY_PRIMARY_TERM,
};

static const struct argp_option options[] = {
	{ "listen", KEY_LISTEN, "IP:PORT", 0, "address for clients", 0 },
	{ "name", KEY_NAME, "NAME", 0, "name in the ready line", 0 },
	{ "peers", KEY_PEERS, "A,B", 0, "replication addresses of peers", 0 },
	{ "replication", KEY_REPLICATION, "IP:PORT", 0,
	  "address for replication from peers", 0 },
	{ "control", KEY_CONTROL, "IP:PORT", 0, "address for control commands",
	  0 },
	{ "password", KEY_PASSWORD, "TEXT", 0,
	  "password of clients; none by default", 0 },
	{ "slots", KEY_SLOTS, "N", 0, "statements that run concurrently", 0 },
	{ "connections-max", KEY_CONNECTIONS_MAX, "N", 0, "clients", 0 },
	{ "connect-delay-ms", KEY_CONNECT_DELAY_MS, "MS", 0,
	  "duration of a login", 0 },
	{ "lag-ms", KEY_LAG_MS, "MS", 0, "replication lag", 0 },
	{ "service-us", KEY_SERVICE_US, "US", 0, "duration of a statement", 0 },
	{ "primary-term", KEY_PRIMARY_TERM, "N", 0,
	  "start as the primary of term N", 0 },
	{ 0 },
};

static void parse_peers(struct endpoint_opts *o, char *arg)
{
	for (char *p = strtok(arg, ","); p; p = strtok(NULL, ","))
		if (o->peer_count < ENDPOINT_PEERS_MAX)
			o->peers[o->peer_count++] = p;
}

static error_t parse_text(int key, char *arg, struct endpoint_opts *o)
{
	switch (key) {
	case KEY_LISTEN:
		o->listen = arg;
		return 0;
	case KEY_NAME:
		o->name = arg;
		return 0;
	case KEY_PEERS:
		parse_peers(o, arg);
		return 0;
	case KEY_REPLICATION:
		o->replication = arg;
		return 0;
	case KEY_CONTROL:
		o->control = arg;
		return 0;
	case KEY_PASSWORD:
		o->password = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct endpoint_opts *o = state->input;
	int64_t n = arg ? strtoll(arg, NULL, 10) : 0;

	switch (key) {
	case KEY_SLOTS:
		o->slots = (uint32_t)n;
		return 0;
	case KEY_CONNECTIONS_MAX:
		o->connections_max = (uint32_t)n;
		return 0;
	case KEY_CONNECT_DELAY_MS:
		o->connect_delay_us = n * 1000;
		return 0;
	case KEY_LAG_MS:
		o->lag_us = n * 1000;
		return 0;
	case KEY_SERVICE_US:
		o->service_us = n;
		return 0;
	case KEY_PRIMARY_TERM:
		o->primary_term = (uint64_t)n;
		return 0;
	default:
		return parse_text(key, arg, o);
	}
}

static const struct argp parser = {
	options, parse_option, NULL, "Simulates a database endpoint for tests.",
	NULL,	 NULL,	       NULL
};

int main(int argc, char **argv)
{
	struct endpoint_opts opts = {
		.name = "endpoint",
		.listen = "127.0.0.1:0",
		.replication = "127.0.0.1:0",
		.control = "127.0.0.1:0",
		.slots = 5,
		.connections_max = 35,
	};
	struct endpoint ep = { 0 };
	apr_pool_t *pool = NULL;
	struct loop *l = NULL;
	int rc;

	argp_parse(&parser, argc, argv, 0, NULL, &opts);
	signal(SIGPIPE, SIG_IGN);
	apr_initialize();
	apr_pool_create(&pool, NULL);
	if (loop_new(&l, pool))
		return 1;
	rc = endpoint_start(&ep, &opts, l);
	if (rc) {
		fprintf(stderr, "cannot start the endpoint: %s; exiting\n",
			strerror(-rc));
		return 1;
	}
	printf("ready name=%s listen=%u replication=%u control=%u\n", opts.name,
	       listener_port(ep.client_listener),
	       replication_port(ep.replication),
	       listener_port(ep.control_listener));
	fflush(stdout);
	rc = loop_run(l);
	endpoint_stop(&ep);
	apr_pool_destroy(pool);
	apr_terminate();
	return rc ? 1 : 0;
}
