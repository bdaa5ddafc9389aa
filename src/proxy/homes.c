#include "proxy/homes.h"

#include "proxy/conn_pool.h"
#include "proxy/session.h"
#include "proxy/upstream_conn.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static uint64_t score(const char *key, const char *instance)
{
	return XXH64(instance, strlen(instance), XXH64(key, strlen(key), 0));
}

bool homes_are_needed(uint32_t usable_conns, uint32_t instances)
{
	return instances > usable_conns;
}

static int compare_candidates(const void *a, const void *b)
{
	const struct home_candidate *x = a;
	const struct home_candidate *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return strcmp(x->name, y->name);
}

static bool has_endpoint_in(const struct service *svc, const char *zone)
{
	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		if (u->listed && !strcmp(u->entry.zone, zone))
			return true;
	}
	return false;
}

static bool zone_is_taken(const struct home_candidate *c, const uint32_t *homes,
			  uint32_t count, const char *zone)
{
	for (uint32_t i = 0; i < count; i++) {
		if (!strcmp(c[homes[i]].zone, zone))
			return true;
	}
	return false;
}

uint32_t homes_choose(const struct service *svc, struct home_candidate *c,
		      uint32_t count, uint32_t out[HOMES_MAX])
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < count; i++)
		c[i].score = score(svc->name, c[i].name);
	if (count) /* qsort() takes no null pointer */
		qsort(c, count, sizeof(*c), compare_candidates);
	for (uint32_t i = 0; i < count && n < HOMES_MAX; i++) {
		if (has_endpoint_in(svc, c[i].zone) &&
		    !zone_is_taken(c, out, n, c[i].zone))
			out[n++] = i;
	}
	for (uint32_t i = 0; !n && i < MIN(count, HOMES_MAX / 2); i++)
		out[i] = i;
	return n ? n : MIN(count, HOMES_MAX / 2);
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

/* A home that did not answer is tried by one statement at a time. */
static bool is_available(const struct upstream *u, const struct operation *op,
			 int64_t now_us)
{
	return !u->entry.leaving && now_us >= u->open_after_us &&
	       !(u->silent_since_us && has_starting_conn(u)) &&
	       !(u->on_trial && u->running) && conn_pool_has_home_conn(u) &&
	       !operation_avoids_endpoint(op, u);
}

/* Returns true if a replica of the service in the zone may be sent reads. */
static bool has_replica_in(const struct service *svc, const char *zone)
{
	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		if (u != svc->primary && upstream_is_usable(u) &&
		    !strcmp(u->entry.zone, zone))
			return true;
	}
	return false;
}

static void fill_option(const struct service *svc, const struct home_request *r,
			const char *name, const char *zone,
			struct home_option *out)
{
	memset(out, 0, sizeof(*out));
	out->rank = score(r->workspace, name);
	out->in_entry_zone = !strcmp(zone, r->zone);
	out->in_primary_zone =
		svc->primary && !strcmp(zone, svc->primary->entry.zone);
	out->has_replica = has_replica_in(svc, zone);
}

struct upstream *homes_find(const struct service *svc,
			    const struct home_request *r, int64_t now_us,
			    enum home_fit *fit)
{
	struct home_option options[HOMES_MAX + 1];
	struct upstream *homes[HOMES_MAX + 1] = { NULL };
	uint32_t n = 0;
	int best;

	if (svc->is_home) {
		fill_option(svc, r, r->instance, r->zone, &options[n]);
		if (r->work == HOME_WORK_READ)
			options[n].wait_us = svc->read_wait_us;
		options[n++].available = true;
	}
	for (guint i = 0; i < svc->homes->len && n <= HOMES_MAX; i++) {
		struct upstream *u = g_ptr_array_index(svc->homes, i);

		if (u->former_home)
			continue;
		homes[n] = u;
		fill_option(svc, r, u->entry.id, u->entry.zone, &options[n]);
		options[n].stalled = u->stalled;
		options[n].wait_us =
			home_load_wait_us(&u->load, r->work, now_us);
		options[n++].available = is_available(u, r->op, now_us);
	}
	best = home_choice(options, n, r->work, r->ticket);
	if (best < 0)
		return NULL;
	*fit = home_choice_fit(&options[best], r->work);
	return homes[best];
}

struct upstream *homes_find_successor(const struct service *svc,
				      const char *workspace)
{
	struct upstream *found = NULL;
	uint64_t best = 0;

	for (guint i = 0; i < svc->homes->len; i++) {
		struct upstream *u = g_ptr_array_index(svc->homes, i);
		uint64_t own = score(workspace, u->entry.id);

		if (own <= best || u->former_home || u->entry.leaving ||
		    u->silent_since_us)
			continue;
		best = own;
		found = u;
	}
	return found;
}
