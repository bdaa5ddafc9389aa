#include "core/route.h"

#include "core/answer.h"
#include "core/dispatch.h"
#include "core/world_state.h"

#include <stdio.h>
#include <string.h>

enum {
	/* Hint to callers while a group has no primary. */
	NO_PRIMARY_RETRY_US = 500 * 1000,
	NO_ENDPOINT_RETRY_US = 200 * 1000,
	/* A deadline nearer than this leaves no time for another send. */
	RESEND_MARGIN_US = 5 * 1000,
	/* Cost of a hop to another availability zone, against queueing. */
	REMOTE_ZONE_US = 2 * 1000,
};

enum { REASON_BYTES = LOG_TEXT_BYTES };

/* Candidates that were refused, for the log line. */
struct refusals {
	char text[REASON_BYTES];
	size_t used;
};

static void refuse(struct refusals *f, const struct endpoint *e,
		   const char *why)
{
	int n = snprintf(f->text + f->used, sizeof(f->text) - f->used, " %s:%s",
			 e->record.name, why);

	if (n > 0)
		f->used = MIN(f->used + (size_t)n, sizeof(f->text) - 1);
}

/*
 * Returns why a replica cannot serve the read by what is known now, or
 * NULL. The answer's own position is checked again.
 */
static const char *replica_refusal(const struct world *w,
				   const struct request *r,
				   const struct group *g, uint32_t place,
				   int64_t now_us)
{
	const struct endpoint *e = world_endpoint(w, g->endpoints[place]);
	int64_t current_us;

	if (!endpoint_usable(e))
		return "unusable";
	if (r->tried & 1u << place)
		return "tried";
	if (!position_covers(e->status.position, r->opts.session))
		return "session";
	current_us =
		group_position_current_at_us(g, world_endpoints(w), e->status.position);
	if (current_us == INT64_MIN || now_us - current_us > r->max_age_us)
		return "stale";
	return NULL;
}

/*
 * Returns true when a replica whose known position lies behind the session
 * has probably caught up: more time than its lag has passed since that
 * position was read. The answer's own position is checked.
 */
static bool may_have_caught_up(const struct world *w, const struct request *r,
			       const struct group *g, uint32_t place,
			       int64_t now_us)
{
	const struct endpoint *e = world_endpoint(w, g->endpoints[place]);
	int64_t current_us;

	if (!r->may_repeat || r->tried || !endpoint_usable(e) ||
	    e->status.position.term != r->opts.session.term)
		return false;
	current_us =
		group_position_current_at_us(g, world_endpoints(w), e->status.position);
	return current_us != INT64_MIN &&
	       now_us - current_us <= r->max_age_us &&
	       now_us - e->asked_us > e->asked_us - current_us;
}

/* Estimated time until the endpoint starts one more request. */
static int64_t load_us(const struct endpoint *e)
{
	int64_t wait = endpoint_wait_us(e, e->queue.count + e->running);

	return wait + (e->local ? 0 : REMOTE_ZONE_US);
}

static uint32_t choose_replica(const struct world *w, const struct request *r,
			       const struct group *g, struct refusals *f,
			       int64_t now_us)
{
	uint32_t best = NO_INDEX;
	int64_t best_us = INT64_MAX;
	uint32_t n = g->endpoint_count;
	/* Rotates the first candidate, so that ties are spread. */
	uint32_t first = n ? (uint32_t)(r->opts.caller_id % n) : 0;

	for (uint32_t k = 0; k < n; k++) {
		uint32_t place = (first + k) % n;
		uint32_t row = g->endpoints[place];
		const char *why;

		if (row == g->primary)
			continue;
		why = replica_refusal(w, r, g, place, now_us);
		if (why) {
			refuse(f, world_endpoint(w, row), why);
		} else if (load_us(world_endpoint(w, row)) < best_us) {
			best = row;
			best_us = load_us(world_endpoint(w, row));
		}
	}
	return best;
}

/* Returns a replica that is worth one attempt before the primary. */
static uint32_t choose_likely_replica(const struct world *w,
				      const struct request *r,
				      const struct group *g, int64_t now_us)
{
	uint32_t best = NO_INDEX;
	int64_t best_us = INT64_MAX;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		uint32_t row = g->endpoints[i];
		int64_t load = load_us(world_endpoint(w, row));

		if (row == g->primary || load >= best_us ||
		    !may_have_caught_up(w, r, g, i, now_us))
			continue;
		best = row;
		best_us = load;
	}
	return best;
}

static void wait_for_primary(struct world *w, uint32_t row)
{
	struct request *r = &w->requests.rows[row];

	r->state = REQUEST_WAITING;
	list_append(&world_group(w, r->group)->waiting, w->requests.links, row);
	action_queue_log(w->actions, LOG_QUEUED, r->opts.caller_id,
			 r->opts.group, 0, "no usable primary");
}

/* Returns true when the endpoint starts the request before its deadline. */
static bool in_time(const struct endpoint *e, const struct request *r,
		    int64_t now_us, int64_t *wait_us)
{
	uint32_t ahead = queue_ahead(&e->queue, r->workspace, r->weight);

	*wait_us = endpoint_wait_us(e, ahead + e->running);
	return now_us + *wait_us + e->service_us <= r->opts.deadline_us;
}

static void enqueue(struct world *w, uint32_t row, uint32_t endpoint,
		    const char *refused, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	struct endpoint *e = world_endpoint(w, endpoint);
	int64_t wait_us;

	if (!in_time(e, r, now_us, &wait_us)) {
		answer_error(w, row, ERR_OVERLOADED, wait_us, now_us);
		return;
	}
	r->endpoint = endpoint;
	r->state = REQUEST_QUEUED;
	queue_push(&e->queue, w->requests.links, r->workspace, r->weight, row);
	action_queue_log(w->actions, LOG_ROUTED, r->opts.caller_id,
			 e->record.name, wait_us, "%s%s",
			 e->status.role == ROLE_PRIMARY ? "primary" : "replica",
			 refused);
	dispatch_endpoint(w, endpoint, now_us);
}

static void route_read(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	struct group *g = world_group(w, r->group);
	struct refusals f = { .used = 0 };
	uint32_t endpoint = NO_INDEX;

	if (r->max_age_us > 0)
		endpoint = choose_replica(w, r, g, &f, now_us);
	if (endpoint == NO_INDEX && r->max_age_us > 0)
		endpoint = choose_likely_replica(w, r, g, now_us);
	if (endpoint == NO_INDEX)
		endpoint = world_primary(w, g);
	if (endpoint == NO_INDEX)
		wait_for_primary(w, row);
	else
		enqueue(w, row, endpoint, f.text, now_us);
}

static void route_to_primary(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	uint32_t endpoint = world_primary(w, world_group(w, r->group));

	if (endpoint == NO_INDEX)
		wait_for_primary(w, row);
	else
		enqueue(w, row, endpoint, "", now_us);
}

void route_request(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	if (now_us >= r->opts.deadline_us)
		answer_error(w, row, ERR_DEADLINE, 0, now_us);
	else if (r->transaction != NO_INDEX)
		dispatch_transaction(w, row, now_us);
	else if (r->plan == PLAN_READ)
		route_read(w, row, now_us);
	else
		route_to_primary(w, row, now_us);
}

void route_again(struct world *w, uint32_t row, int32_t error, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	int64_t delay = retry_delay_us(w->rand, r->attempts ? r->attempts : 1);
	uint32_t place;

	answer_detach(w, row, now_us);
	if (!r->may_repeat ||
	    now_us + delay + RESEND_MARGIN_US >= r->opts.deadline_us ||
	    !retry_spend(&w->retries)) {
		answer_error(w, row, error, delay, now_us);
		return;
	}
	place = group_find_endpoint(world_group(w, r->group), r->endpoint);
	if (place != NO_INDEX)
		r->tried |= 1u << place;
	r->state = REQUEST_DELAYED;
	r->resume_us = now_us + delay;
	list_append(&w->requests.delayed, w->requests.links, row);
	request_due(&w->requests, r->resume_us);
	action_queue_log(w->actions, LOG_RETRIED, r->opts.caller_id,
			 r->opts.group, delay, "after %s",
			 error_info(error)->slug);
}

void route_waiting(struct world *w, uint32_t group, int64_t now_us)
{
	struct group *g = world_group(w, group);
	uint32_t n = g->waiting.count;

	while (n-- && world_primary(w, g) != NO_INDEX) {
		uint32_t row = list_take_first(&g->waiting, w->requests.links);

		w->requests.rows[row].state = REQUEST_NEW;
		route_request(w, row, now_us);
	}
}

void route_away(struct world *w, uint32_t endpoint, int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, endpoint);
	uint32_t n = e->queue.count;

	while (n-- && e->queue.count) {
		uint32_t row = queue_pop(&e->queue, w->requests.links);

		w->requests.rows[row].state = REQUEST_NEW;
		route_request(w, row, now_us);
	}
}
