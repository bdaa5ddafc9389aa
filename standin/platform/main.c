/*
 * Simulates the platform's key-value service for tests: the HTTP gateway, the
 * list of instances, and a control port to inject faults.
 */
#include "platform/control.h"
#include "platform/faults.h"
#include "platform/gateway.h"
#include "platform/instance_list.h"
#include "platform/kv_store.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

struct arguments {
	const char *listen;
	const char *control;
	const char *instances_prefix;
	int64_t lag_us;
	int64_t delay_us;
};

static const struct argp_option options[] = {
	{ "listen", 'l', "IP:PORT", 0, "address of the HTTP gateway", 0 },
	{ "control", 'c', "IP:PORT", 0, "address of the control port", 0 },
	{ "instances-prefix", 'i', "KEY", 0, "key prefix of the instances", 0 },
	{ "lag-ms", 'g', "MS", 0, "lag of changes of the instances", 0 },
	{ "delay-ms", 'd', "MS", 0, "delay of each HTTP response", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case 'l':
		a->listen = arg;
		return 0;
	case 'c':
		a->control = arg;
		return 0;
	case 'i':
		a->instances_prefix = arg;
		return 0;
	case 'g':
		a->lag_us = atoll(arg) * 1000;
		return 0;
	case 'd':
		a->delay_us = atoll(arg) * 1000;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

struct standin {
	struct kv_store *store;
	struct faults faults;
	struct gateway *gateway;
	struct instance_list *instances;
	struct control *control;
};

static int64_t serve_store(struct standin *s, int64_t now_us)
{
	kv_lease_expire(s->store, now_us);
	instance_list_apply_due(s->instances, now_us);
	return gateway_run(s->gateway, now_us);
}

/* While frozen, only the control port is served. */
static void serve(struct standin *s)
{
	struct pollfd fds[CONTROL_FDS_MAX + 1];
	int64_t wait_us = 0;

	while (!control_is_kill_requested(s->control)) {
		nfds_t control_count = control_fds(s->control, fds);
		nfds_t total = control_count;

		if (!s->faults.frozen) {
			fds[total].fd = gateway_fd(s->gateway);
			fds[total++].events = POLLIN;
		}
		poll(fds, total, (int)((wait_us + 999) / 1000));
		control_handle_events(s->control, fds, control_count,
				      g_get_monotonic_time());
		if (!s->faults.frozen)
			wait_us = serve_store(s, g_get_monotonic_time());
	}
}

int main(int argc, char **argv)
{
	struct argp argp = {
		options, parse_option,
		NULL,	 "Simulates the platform's key-value service.",
		NULL,	 NULL,
		NULL
	};
	struct arguments a = {
		.listen = "127.0.0.1:0",
		.control = "127.0.0.1:0",
		.instances_prefix = "/platform/instances/",
	};
	struct standin s = { 0 };

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	s.faults.delay_us = a.delay_us;
	s.store = kv_store_new();
	s.instances = instance_list_new(s.store, a.instances_prefix);
	instance_list_set_lag(s.instances, a.lag_us);
	s.gateway = gateway_new(s.store, &s.faults, a.listen);
	if (s.gateway)
		s.control = control_new(&(struct control_opts){
			.address = a.control,
			.store = s.store,
			.faults = &s.faults,
			.gateway = s.gateway,
			.instances = s.instances,
		});
	if (!s.control) {
		fprintf(stderr,
			"cannot open the gateway on %s or the control port "
			"on %s; exiting\n",
			a.listen, a.control);
		return 1;
	}
	printf("ready listen=%u control=%u\n", gateway_port(s.gateway),
	       control_port(s.control));
	fflush(stdout);
	serve(&s);
	control_free(s.control);
	gateway_free(s.gateway);
	instance_list_free(s.instances);
	kv_store_free(s.store);
	return 0;
}
