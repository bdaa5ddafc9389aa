#include "proxy/homes.h"

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
	return !u->former_home && !u->entry.leaving &&
	       now_us >= u->open_after_us &&
	       !(u->silent_since_us && has_starting_conn(u)) &&
	       !operation_avoids_endpoint(op, u);
}

struct upstream *homes_find(const struct service *svc, const char *self,
			    const char *workspace, const struct operation *op,
			    int64_t now_us)
{
	uint64_t best = svc->is_home ? score(workspace, self) : 0;
	struct upstream *found = NULL;

	for (guint i = 0; i < svc->homes->len; i++) {
		struct upstream *u = g_ptr_array_index(svc->homes, i);
		uint64_t own = score(workspace, u->entry.id);

		if (own <= best || !is_available(u, op, now_us))
			continue;
		best = own;
		found = u;
	}
	return found;
}
