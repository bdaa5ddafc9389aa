/*
 * world_state.h - the tables that the core's systems work on.
 *
 * Internal to src/core. Each system is one module with a function
 * x_run(struct world *, int64_t now_us). world.c calls them in a fixed order.
 */
#ifndef CORE_WORLD_STATE_H
#define CORE_WORLD_STATE_H

#include "core/action_queue.h"
#include "core/catalog.h"
#include "core/conn.h"
#include "core/endpoint.h"
#include "core/group.h"
#include "core/key_guard.h"
#include "core/limit.h"
#include "core/member.h"
#include "core/promotion.h"
#include "core/request.h"
#include "core/retry.h"
#include "core/transaction.h"
#include "core/world.h"

#include <glib.h>

struct world {
	struct world_opts opts;
	GRand *rand;
	struct action_queue *actions;

	struct catalog catalog;
	GArray *endpoints; /* of struct endpoint; rows are never reused */
	GArray *groups; /* of struct group; rows are never reused */
	GArray *promotions; /* of struct promotion, by row of the group */
	GHashTable *group_rows; /* name to row in groups, plus 1 */
	struct conn_table conns;
	struct request_table requests;
	struct transaction_table transactions;
	struct retry_budget retries;

	struct member_table *members;
	struct key_guard *keys;
	struct limits *limits;

	bool keys_confirmed; /* as last logged */
	bool config_known; /* a complete configuration was applied */
	int64_t revision; /* all records up to this one were applied */
	uint64_t last_operation_id; /* of promotions' platform operations */
	uint32_t instances; /* that share the endpoints; at least 1 */
	bool draining;
	struct drain_limits drain_limits; /* while draining */
	bool drained;
	int64_t idle_since_us; /* draining, no request open; 0: not yet */
};

static inline struct endpoint *world_endpoint(const struct world *w,
					      uint32_t row)
{
	return &g_array_index(w->endpoints, struct endpoint, row);
}

static inline struct endpoint *world_endpoints(const struct world *w)
{
	return (struct endpoint *)(void *)w->endpoints->data;
}

static inline struct group *world_group(const struct world *w, uint32_t row)
{
	return &g_array_index(w->groups, struct group, row);
}

/* Returns the row of a group, or NO_INDEX if unknown or without endpoints. */
uint32_t world_find_group(const struct world *w, const char *name);

/* Returns the row of a group's primary, or NO_INDEX if none is usable. */
uint32_t world_find_primary(const struct world *w, const struct group *g);

#endif
