#include "proxy/conn_pool.h"

#include "placement/conn_division.h"
#include "proxy/engine_state.h"
#include "proxy/homes.h"

#include <string.h>

enum {
	PERCENT = 100,
	/*
	 * Percentage of an endpoint's connections kept free. Connections of
	 * instances that lose power stay open at the endpoint for some seconds,
	 * and their successors need connections in that time.
	 */
	CONN_RESERVE_PERCENT = 45,
	/* Connections of this instance to a home of a service. */
	HOME_CONNS_MAX = 32,
	/*
	 * Statements per slot, over all instances: one runs while two wait at
	 * the endpoint, which keeps the slot busy; see docs/MEASURES.md.
	 */
	RUNNING_PER_SLOT = 3,
};

uint32_t conn_pool_usable(const struct service *s)
{
	return s->conns_max - s->conns_max * CONN_RESERVE_PERCENT / PERCENT;
}

/*
 * Returns how many of what the homes of the endpoint's service divide this
 * instance gets, which is one of them.
 */
static uint32_t get_home_part(const struct engine *e, const struct upstream *u,
			      uint32_t total)
{
	const struct service *s = u->service;
	struct division_member m[HOMES_MAX];
	uint32_t n = 0;

	m[n++].in_endpoint_zone = !strcmp(e->opts.zone, u->entry.zone);
	for (guint i = 0; i < s->homes->len && n < HOMES_MAX; i++) {
		const struct upstream *h = g_ptr_array_index(s->homes, i);

		if (h->former_home)
			continue;
		m[n++].in_endpoint_zone = !strcmp(h->entry.zone, u->entry.zone);
	}
	return conn_division_part(m, n, 0, total);
}

uint32_t conn_pool_limit(const struct engine *e, const struct upstream *u)
{
	const struct service *s = u->service;
	uint32_t usable = conn_pool_usable(s);
	uint32_t each = usable / e->instance_count;
	uint32_t rest = usable % e->instance_count;

	if (u->is_home)
		return HOME_CONNS_MAX;
	/* One for those that use none as a rule, if no home can be reached. */
	if (s->has_homes)
		return s->is_home ? get_home_part(e, u, usable) : 1;

	/* The remainder goes to the first instances by name, one each. */
	return MAX(each + (e->instance_rank < rest), 1);
}

/* Returns true if an error on the connection would be the statement's own. */
static bool may_run(const struct upstream_conn *c, const struct session *s)
{
	bool takes_effect = s->transaction != TRANSACTION_NONE ?
				    !s->transaction_reads_only :
				    s->op.writes;
	int64_t now_us = engine_now(c->engine);

	return !c->retired && now_us >= c->unused_until_us &&
	       !(takes_effect && upstream_conn_had_error(c, now_us));
}

struct upstream_conn *conn_pool_find_idle(const struct upstream *u,
					  const struct session *s)
{
	struct upstream_conn *found = NULL;

	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (c->state != CONN_STATE_IDLE || c->control ||
		    strcmp(c->workspace, s->workspace) != 0 || !may_run(c, s))
			continue;
		/* A connection that holds the same values needs no reset. */
		if (!strcmp(c->values_key, s->values_key))
			return c;
		found = c;
	}
	return found;
}

static uint32_t count_workspace_conns(const struct upstream *u,
				      const char *workspace)
{
	uint32_t n = 0;

	for (guint i = 0; i < u->conns->len; i++) {
		const struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		n += !strcmp(c->workspace, workspace);
	}
	return n;
}

/*
 * Returns the average demand for the connection, in thousandths of operations
 * per second: the demand of its workspace, divided by the workspace's
 * connections that can serve it. Reads may run on any replica, so connections
 * to all replicas are counted together. The workspaces then spread over the
 * replicas, with one connection to one replica each.
 */
static uint32_t estimate_conn_demand(const struct upstream_conn *c)
{
	const struct service *svc = c->upstream->service;
	uint32_t demand =
		quota_get_demand_milli_per_s(c->engine->quota, c->workspace);
	uint32_t n = 0;

	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		if ((u == svc->primary) == (c->upstream == svc->primary))
			n += count_workspace_conns(u, c->workspace);
	}
	return demand / MAX(n, 1);
}

struct upstream_conn *conn_pool_find_evictable(const struct upstream *u)
{
	struct upstream_conn *found = NULL;
	uint32_t least = UINT32_MAX;

	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);
		uint32_t demand;

		if (c->state != CONN_STATE_IDLE || c->control)
			continue;
		if (c->retired)
			return c;
		demand = estimate_conn_demand(c);
		if (found && demand > least)
			continue;
		if (found && demand == least &&
		    c->idle_since_us >= found->idle_since_us)
			continue;
		found = c;
		least = demand;
	}
	return found;
}

/*
 * Counts the connections that are being opened: they take slots of the endpoint
 * as well.
 */
static uint32_t count_starting_conns(const struct upstream *u)
{
	uint32_t n = 0;

	for (guint i = 0; i < u->conns->len; i++) {
		const struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		n += c->state == CONN_STATE_STARTING;
	}
	return n;
}

/*
 * Returns how many statements this instance may have at the endpoint. An
 * endpoint runs its queue in the order of arrival, while the queue here is
 * ordered by priority and can still refuse statements. So this instance fills
 * only its share of the slots and of a short queue that keeps them busy.
 */
static uint32_t get_running_limit(const struct engine *e,
				  const struct upstream *u)
{
	const struct service *svc = u->service;
	uint32_t all = u->entry.slots * RUNNING_PER_SLOT;
	uint32_t sharers = e->instance_count;

	if (svc->has_homes && svc->is_home)
		return get_home_part(e, u, all);
	return MAX((all + sharers / 2) / sharers, 1);
}

enum conn_source conn_pool_find_source(const struct engine *e,
				       const struct upstream *u,
				       const struct session *s, int64_t now_us)
{
	if (u->running + count_starting_conns(u) >= get_running_limit(e, u))
		return CONN_SOURCE_NONE;
	if (conn_pool_find_idle(u, s))
		return CONN_SOURCE_IDLE;
	if (now_us < u->open_after_us)
		return CONN_SOURCE_NONE;
	if (u->conns->len < conn_pool_limit(e, u))
		return CONN_SOURCE_OPEN;
	return conn_pool_find_evictable(u) ? CONN_SOURCE_EVICT :
					     CONN_SOURCE_NONE;
}

struct upstream_conn *conn_pool_find_idle_home(const struct upstream *u,
					       const struct session *s)
{
	struct upstream_conn *found = NULL;

	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (c->state != CONN_STATE_IDLE)
			continue;
		if (!strcmp(c->values_key, s->values_key))
			return c;
		found = c;
	}
	return found;
}

bool conn_pool_has_home_conn(const struct upstream *u)
{
	for (guint i = 0; i < u->conns->len; i++) {
		const struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (c->state == CONN_STATE_IDLE)
			return true;
	}
	return u->conns->len < HOME_CONNS_MAX;
}
