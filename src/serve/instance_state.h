/*
 * instance_state.h - the parts of one running instance.
 *
 * Internal to src/serve. The adapters belong to the instance's pool.
 */
#ifndef SERVE_INSTANCE_STATE_H
#define SERVE_INSTANCE_STATE_H

#include "admin/operator_api.h"
#include "admin/record_store.h"
#include "base/loop.h"
#include "base/metrics.h"
#include "core/world.h"
#include "etcd/platform_client.h"
#include "http/caller_listener.h"
#include "http/operator_listener.h"
#include "peer/peer_link.h"
#include "postgres/pg_link.h"
#include "serve/statement_table.h"
#include "serve/instance.h"

struct instance {
	const struct settings *settings; /* borrowed */
	apr_pool_t *pool;
	struct loop *loop;
	struct world *world;
	struct pg_link *endpoints;
	struct caller_listener *callers;
	struct operator_listener *operators;
	struct operator_api *api;
	struct platform_client *platform;
	struct peer_link *peers;
	struct caller_table *requests;
	struct record_store *records;
	struct metrics *metrics;
	struct loop_timer *tick;
	struct loop_timer *drain_limit;
	struct loop_timer *linger;
	int64_t linger_until_us;
	int64_t next_tick_us;
	bool platform_reachable;
	bool draining;
	bool left; /* the platform; the loop ends once answers are sent */
};

/* Gives an event to the core with the time of now. */
void instance_handle(struct instance *in, const struct event *e);

#endif
