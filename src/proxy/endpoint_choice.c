#include "proxy/endpoint_choice.h"

#include "proxy/conn_pool.h"
#include "proxy/engine_state.h"

#include <string.h>

bool endpoint_choice_can_run(const struct session *s, const struct upstream *u)
{
	if (s->op.need == NEED_READ)
		return upstream_is_usable(u);
	return upstream_is_usable_primary(u);
}

/*
 * Returns true if the endpoint has refused or lost this statement, is
 * overloaded or silent, or probably lacks the data.
 */
static bool is_likely_to_fail(const struct session *s, const struct upstream *u,
			      int64_t now_us)
{
	const struct operation *op = &s->op;

	if (operation_avoids_endpoint(op, u) || now_us < u->busy_until_us ||
	    u->silent_since_us)
		return true;
	if (op->need != NEED_READ || u == u->service->primary)
		return false;
	if (u->has_position &&
	    position_covers(u->position, op->min_mark.position))
		return false;
	return now_us < u->behind_until_us ||
	       now_us - op->min_mark.requested_us < u->lag_us;
}

/*
 * Returns true if the endpoint has just refused because its log does not cover
 * the position. The primary's log does, so waiting for the primary is better
 * than trying this endpoint again.
 */
static bool is_behind(const struct session *s, const struct upstream *u,
		      int64_t now_us)
{
	if (s->op.need != NEED_READ || u == u->service->primary ||
	    now_us >= u->behind_until_us)
		return false;
	return !position_covers(u->position, s->op.min_mark.position);
}

/* Returns true if it has what the statement needs and would run it. */
static bool is_fit(const struct session *s, const struct upstream *u,
		   int64_t now_us)
{
	return endpoint_choice_can_run(s, u) && !is_behind(s, u, now_us) &&
	       !is_likely_to_fail(s, u, now_us);
}

/*
 * Returns true if the endpoint is on trial and has its share of trials. It is
 * used nevertheless if no other replica could run the statement.
 */
static bool is_kept_out(const struct session *s, const struct upstream *u,
			int64_t now_us)
{
	const GPtrArray *all = u->service->upstreams;

	if (s->op.need != NEED_READ ||
	    endpoint_health_may_read(u->health, u->running))
		return false;
	for (guint i = 0; i < all->len; i++) {
		const struct upstream *other = g_ptr_array_index(all, i);

		if (other != u && other != u->service->primary &&
		    endpoint_health_step(other->health) != HEALTH_STEP_TRIALS &&
		    is_fit(s, other, now_us))
			return true;
	}
	return false;
}

static void fill_candidate(const struct session *s, const struct upstream *u,
			   struct placement_candidate *out, int64_t now_us)
{
	const struct engine *e = s->engine;

	out->source = is_behind(s, u, now_us) || is_kept_out(s, u, now_us) ?
			      CONN_SOURCE_NONE :
			      conn_pool_find_source(e, u, s, now_us);
	out->is_primary = s->op.need == NEED_READ && u == u->service->primary;
	out->same_zone = !strcmp(u->entry.zone, e->opts.zone);
	out->likely_to_fail =
		is_likely_to_fail(s, u, now_us) || engine_avoids_endpoint(e, u);
	out->reduced_milli = HEALTH_WEIGHT_FULL_MILLI -
			     endpoint_health_weight_milli(u->health);
	out->running = u->running;
	out->slots = u->entry.slots;
	out->latency_us = upstream_expected_latency_us(u, now_us);
	out->handshake_us = u->handshake_us;
}

/* More than any service has endpoints; further ones would be ignored. */
enum { CANDIDATES_MAX = 16 };

/*
 * Returns true if the read should show how the endpoint serves now. Only its
 * first attempt does.
 */
static bool is_trial(const struct session *s, const struct upstream *u,
		     enum conn_source source, int64_t now_us)
{
	return s->op.need == NEED_READ && !s->op.sends &&
	       !s->op.opens_transaction &&
	       (source == CONN_SOURCE_IDLE || source == CONN_SOURCE_OPEN) &&
	       endpoint_health_trial_is_due(u->health, u->running, now_us) &&
	       is_fit(s, u, now_us);
}

struct upstream *endpoint_choice_find(const struct session *s,
				      const struct service *svc,
				      enum conn_source *source, int64_t now_us)
{
	struct placement_candidate c[CANDIDATES_MAX];
	struct upstream *endpoints[CANDIDATES_MAX];
	uint32_t n = 0;
	int best;

	for (guint i = 0; i < svc->upstreams->len && n < CANDIDATES_MAX; i++) {
		struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		if (!endpoint_choice_can_run(s, u))
			continue;
		endpoints[n] = u;
		fill_candidate(s, u, &c[n], now_us);
		if (is_trial(s, u, c[n].source, now_us)) {
			endpoint_health_begin_trial(u->health, now_us);
			*source = c[n].source;
			return u;
		}
		n++;
	}
	best = placement_choose(c, n);
	if (best < 0)
		return NULL;
	*source = c[best].source;
	return endpoints[best];
}

/* Returns true if the statement may leave `from` for the endpoint. */
static bool can_move_to(const struct session *s, const struct upstream *from,
			const struct upstream *u, int64_t now_us)
{
	enum conn_source source =
		conn_pool_find_source(s->engine, u, s, now_us);

	if (source != CONN_SOURCE_IDLE && source != CONN_SOURCE_OPEN)
		return false;
	/* Another connection to the only endpoint that can run it. */
	if (u == from)
		return s->op.need != NEED_READ &&
		       endpoint_choice_can_run(s, u) && !u->silent_since_us;
	return is_fit(s, u, now_us) && !is_kept_out(s, u, now_us);
}

bool endpoint_choice_can_move(const struct session *s,
			      const struct upstream *from, int64_t now_us)
{
	const GPtrArray *all = from->service->upstreams;

	if (s->op.sends + 1 >= OPERATION_SENDS_MAX ||
	    now_us >= s->op.deadline_us)
		return false;
	for (guint i = 0; i < all->len; i++) {
		if (can_move_to(s, from, g_ptr_array_index(all, i), now_us))
			return true;
	}
	return false;
}
