#include "proxy/leave.h"

#include "proxy/conn_pool.h"
#include "proxy/dispatch.h"
#include "proxy/engine_state.h"
#include "proxy/homes.h"
#include "proxy/relay.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* A connection that was used since then is one that is needed. */
	USED_WITHIN_US = 5 * 1000 * 1000,
	/* Time for the successors to open connections, part of the grace. */
	AHEAD_US = 300 * 1000,
	AHEAD_GRACE_DIVISOR = 10,
};

/* A need, with the home that gets its workspace. */
struct leave_need {
	struct handover_need need;
	const struct upstream *home;
};

static bool is_needed(const struct upstream_conn *c, int64_t now_us)
{
	if (c->control || c->state == CONN_STATE_STARTING || !c->statements)
		return false;
	return c->state != CONN_STATE_IDLE ||
	       now_us - c->idle_since_us < USED_WITHIN_US;
}

static uint32_t find_rate_milli_per_s(const struct upstream_conn *c,
				      int64_t now_us)
{
	int64_t age_us = MAX(now_us - c->opened_us, US_PER_S);

	return (uint32_t)MIN(c->statements * 1000 * US_PER_S / (uint64_t)age_us,
			     UINT32_MAX / HANDOVER_NEEDS_MAX);
}

static struct leave_need *find_need(GArray *needs, uint64_t workspace,
				    uint64_t endpoint)
{
	for (guint i = 0; i < needs->len; i++) {
		struct leave_need *n =
			&g_array_index(needs, struct leave_need, i);

		if (n->need.workspace == workspace &&
		    n->need.endpoint == endpoint)
			return n;
	}
	return NULL;
}

static void add_conn(GArray *needs, const struct upstream_conn *c,
		     int64_t now_us)
{
	const struct upstream *u = c->upstream;
	struct leave_need n = {
		.need = { .workspace = quota_workspace_hash(c->workspace),
			  .endpoint = upstream_id_hash(u),
			  .rate_milli_per_s =
				  find_rate_milli_per_s(c, now_us) },
		.home = homes_find_successor(u->service, c->workspace),
	};
	struct leave_need *same =
		find_need(needs, n.need.workspace, n.need.endpoint);

	if (same)
		same->need.rate_milli_per_s =
			MIN(same->need.rate_milli_per_s, UINT32_MAX / 2) +
			n.need.rate_milli_per_s;
	else if (n.home)
		g_array_append_val(needs, n);
}

static int compare_needs(const void *a, const void *b)
{
	const struct leave_need *x = a;
	const struct leave_need *y = b;

	if (x->need.rate_milli_per_s == y->need.rate_milli_per_s)
		return 0;
	return x->need.rate_milli_per_s > y->need.rate_milli_per_s ? -1 : 1;
}

/* Lists what this home uses, the most used first. */
static GArray *list_needs(const struct service *svc, int64_t now_us)
{
	GArray *needs = g_array_new(FALSE, FALSE, sizeof(struct leave_need));

	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		for (guint n = 0; n < u->conns->len; n++) {
			const struct upstream_conn *c =
				g_ptr_array_index(u->conns, n);

			if (is_needed(c, now_us))
				add_conn(needs, c, now_us);
		}
	}
	g_array_sort(needs, compare_needs);
	return needs;
}

static void send_part(struct engine *e, const struct service *svc,
		      const struct upstream *home, const GArray *needs)
{
	struct peer_message m = { .type = PEER_HANDOVER };
	struct home_handover *h = &m.handover;

	g_strlcpy(m.peer, home->entry.id, sizeof(m.peer));
	g_strlcpy(h->service, svc->name, sizeof(h->service));
	h->incarnation = e->opts.incarnation;
	h->valid_us = HANDOVER_VALID_MAX_US;
	for (guint i = 0; i < needs->len; i++) {
		const struct leave_need *n =
			&g_array_index(needs, struct leave_need, i);

		if (n->home == home && h->need_count < HANDOVER_NEEDS_MAX)
			h->needs[h->need_count++] = n->need;
	}
	if (!h->need_count)
		return;
	e->opts.ops->peer_send(e->opts.host, &m);
	engine_log(e, LOG_HANDOVER_SENT, 0, home->entry.id, h->need_count, "%s",
		   svc->name);
}

/* Returns true if there was anything to tell. */
static bool hand_over_service(struct engine *e, const struct service *svc,
			      int64_t now_us)
{
	GArray *needs;
	bool any;

	if (!svc->has_homes || !svc->is_home)
		return false;
	needs = list_needs(svc, now_us);
	any = needs->len != 0;
	for (guint i = 0; i < svc->homes->len; i++)
		send_part(e, svc, g_ptr_array_index(svc->homes, i), needs);
	g_array_free(needs, TRUE);
	return any;
}

void leave_start(struct engine *e, int64_t now_us)
{
	GHashTableIter it;
	gpointer svc;
	bool any = false;

	g_hash_table_iter_init(&it, e->services);
	while (g_hash_table_iter_next(&it, NULL, &svc))
		any |= hand_over_service(e, svc, now_us);
	e->leave_due_us = now_us;
	if (any)
		e->leave_due_us +=
			MIN(AHEAD_US, e->opts.grace_us / AHEAD_GRACE_DIVISOR);
	leave_run(e, now_us);
}

void leave_run(struct engine *e, int64_t now_us)
{
	if (!e->stop.since_us || e->leaving || now_us < e->leave_due_us)
		return;
	e->leaving = true;
	e->homes_changed = true;
	relay_announce_leaving(e);
}

/* Returns true if the sender has been replaced by a later process. */
static bool is_late(const struct engine *e, const struct peer_message *m)
{
	const struct instance_entry *i =
		g_hash_table_lookup(e->instances, m->peer);

	return i && i->incarnation > m->handover.incarnation;
}

void leave_handle_message(struct engine *e, const struct peer_message *m,
			  int64_t now_us)
{
	const struct home_handover *h = &m->handover;
	bool taken = !is_late(e, m) &&
		     handover_plan_put(e->handover, m->peer, h, now_us);

	engine_log(e, taken ? LOG_HANDOVER_TAKEN : LOG_HANDOVER_DROPPED, 0,
		   m->peer, h->need_count, "%s", h->service);
}

static struct upstream *find_upstream(const struct service *svc, uint64_t hash)
{
	for (guint i = 0; i < svc->upstreams->len; i++) {
		struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		if (upstream_id_hash(u) == hash)
			return u;
	}
	return NULL;
}

static const char *find_workspace(const struct engine *e, uint64_t hash)
{
	for (guint i = 0; e->config && i < e->config->workspaces->len; i++) {
		const struct workspace_config *w =
			g_ptr_array_index(e->config->workspaces, i);

		if (quota_workspace_hash(w->name) == hash)
			return w->name;
	}
	return NULL;
}

static bool has_conn_of(const struct upstream *u, const char *workspace)
{
	for (guint i = 0; i < u->conns->len; i++) {
		const struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (!strcmp(c->workspace, workspace))
			return true;
	}
	return false;
}

static bool has_starting_conn(const struct upstream *u)
{
	for (guint i = 0; i < u->conns->len; i++) {
		const struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (c->state == CONN_STATE_STARTING)
			return true;
	}
	return false;
}

/* A service, while its needs are judged. */
struct judge {
	struct engine *engine;
	struct service *service;
	int64_t now_us;
};

/* One at a time for each endpoint: callers' statements need its slots too. */
static enum handover_verdict judge_need(void *data,
					const struct handover_need *n)
{
	const struct judge *j = data;
	const struct upstream *u = find_upstream(j->service, n->endpoint);
	const char *workspace = find_workspace(j->engine, n->workspace);

	if (!u || !u->listed || !upstream_is_usable(u) || !workspace ||
	    has_conn_of(u, workspace))
		return HANDOVER_NEVER;
	if (u->conns->len >= conn_pool_limit(j->engine, u))
		return HANDOVER_NEVER;
	if (has_starting_conn(u) || u->silent_since_us ||
	    j->now_us < u->open_after_us)
		return HANDOVER_LATER;
	return HANDOVER_OPEN;
}

void leave_open_conns(struct engine *e, struct service *svc, int64_t now_us)
{
	struct judge j = { .engine = e, .service = svc, .now_us = now_us };
	struct handover_need n;

	if (!svc->is_home || e->stop.since_us)
		return;
	while (handover_plan_next(e->handover, svc->name, judge_need, &j, &n,
				  now_us)) {
		const char *workspace = find_workspace(e, n.workspace);

		if (!dispatch_open_conn(e, find_upstream(svc, n.endpoint),
					workspace, false, now_us))
			return;
		metrics_add(e->opts.metrics, "connections_ahead_total",
			    svc->name, 1);
	}
}
