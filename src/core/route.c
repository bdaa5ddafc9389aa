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
	/* A retry must start at least this long before the deadline. */
	RETRY_MARGIN_US = 5 * 1000,
	/* Cost of another availability zone, as an equivalent queueing time. */
	REMOTE_ZONE_COST_US = 2 * 1000,
};

enum { REJECTIONS_BYTES = LOG_TEXT_BYTES };

/* Rejected candidates and the reasons, for the log line. */
struct rejections {
	char text[REJECTIONS_BYTES];
	size_t used;
};

static void add_rejection(struct rejections *f, const struct endpoint *e,
			  const char *reason)
{
	int n = snprintf(f->text + f->used, sizeof(f->text) - f->used, " %s:%s",
			 e->record.name, reason);

	if (n > 0)
		f->used = MIN(f->used + (size_t)n, sizeof(f->text) - 1);
}

/*
 * Returns why a replica cannot serve the read, judged by its last known state,
 * or NULL. Its position is checked again when the result arrives.
 */
static const char *get_rejection_reason(const struct world *w,
					const struct request *r,
					const struct group *g, uint32_t idx,
					int64_t now_us)
{
	const struct endpoint *e = world_endpoint(w, g->endpoints[idx]);
	int64_t current_us;

	if (!endpoint_is_usable(e))
		return "unusable";
	if (r->tried_mask & 1u << idx)
		return "tried";
	if (!position_covers(e->status.position, r->opts.session))
		return "session";
	current_us = group_position_current_at_us(g, world_endpoints(w),
						  e->status.position);
	if (current_us == INT64_MIN || now_us - current_us > r->max_age_us)
		return "stale";
	return NULL;
}

/*
 * Returns true when a replica whose last known position is behind the session
 * has probably caught up: more time than its replication lag has passed since
 * that position was read. Its position is checked when the result arrives.
 */
static bool has_probably_caught_up(const struct world *w,
				   const struct request *r,
				   const struct group *g, uint32_t idx,
				   int64_t now_us)
{
	const struct endpoint *e = world_endpoint(w, g->endpoints[idx]);
	int64_t current_us;

	if (!r->may_repeat || r->tried_mask || !endpoint_is_usable(e) ||
	    e->status.position.term != r->opts.session.term)
		return false;
	current_us = group_position_current_at_us(g, world_endpoints(w),
						  e->status.position);
	return current_us != INT64_MIN &&
	       now_us - current_us <= r->max_age_us &&
	       now_us - e->requested_us > e->requested_us - current_us;
}

/* Estimates the wait for a new request, plus the cost of a remote zone. */
static int64_t estimate_load_us(const struct endpoint *e)
{
	int64_t wait =
		endpoint_estimate_wait_us(e, e->queue.count + e->running);

	return wait + (e->local ? 0 : REMOTE_ZONE_COST_US);
}

static uint32_t choose_replica(const struct world *w, const struct request *r,
			       const struct group *g, struct rejections *f,
			       int64_t now_us)
{
	uint32_t best = NO_INDEX;
	int64_t best_us = INT64_MAX;
	uint32_t n = g->endpoint_count;
	/* Starts at a varying candidate to spread requests over equal ones. */
	uint32_t first = n ? (uint32_t)(r->opts.caller_id % n) : 0;

	for (uint32_t k = 0; k < n; k++) {
		uint32_t idx = (first + k) % n;
		uint32_t row = g->endpoints[idx];
		const char *reason;

		if (row == g->primary)
			continue;
		reason = get_rejection_reason(w, r, g, idx, now_us);
		if (reason) {
			add_rejection(f, world_endpoint(w, row), reason);
		} else if (estimate_load_us(world_endpoint(w, row)) < best_us) {
			best = row;
			best_us = estimate_load_us(world_endpoint(w, row));
		}
	}
	return best;
}

/* Returns a replica to try once before falling back to the primary. */
static uint32_t choose_catching_up_replica(const struct world *w,
					   const struct request *r,
					   const struct group *g,
					   int64_t now_us)
{
	uint32_t best = NO_INDEX;
	int64_t best_us = INT64_MAX;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		uint32_t row = g->endpoints[i];
		int64_t load = estimate_load_us(world_endpoint(w, row));

		if (row == g->primary || load >= best_us ||
		    !has_probably_caught_up(w, r, g, i, now_us))
			continue;
		best = row;
		best_us = load;
	}
	return best;
}

static void wait_for_primary(struct world *w, uint32_t row)
{
	struct request *r = &w->requests.rows[row];

	r->state = REQUEST_AWAITING_PRIMARY;
	list_append(&world_group(w, r->group)->waiting, w->requests.links, row);
	action_queue_log(w->actions, LOG_QUEUED, r->opts.caller_id,
			 r->opts.group, 0, "group has no usable primary");
}

/*
 * Estimates the request's wait in *wait_us and returns true if the endpoint can
 * finish it before its deadline.
 */
static bool can_finish_in_time(const struct endpoint *e,
			       const struct request *r, int64_t now_us,
			       int64_t *wait_us)
{
	uint32_t ahead = queue_count_ahead(&e->queue, r->workspace, r->weight);

	*wait_us = endpoint_estimate_wait_us(e, ahead + e->running);
	return now_us + *wait_us + e->mean_service_us <= r->opts.deadline_us;
}

static void enqueue(struct world *w, uint32_t row, uint32_t endpoint,
		    const char *rejections, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	struct endpoint *e = world_endpoint(w, endpoint);
	int64_t wait_us;

	if (!can_finish_in_time(e, r, now_us, &wait_us)) {
		answer_error(w, row, ERR_OVERLOADED, wait_us, now_us);
		return;
	}
	r->endpoint = endpoint;
	r->state = REQUEST_QUEUED;
	queue_push(&e->queue, w->requests.links, r->workspace, r->weight, row);
	action_queue_log(w->actions, LOG_ROUTED, r->opts.caller_id,
			 e->record.name, wait_us, "%s%s",
			 e->status.role == ROLE_PRIMARY ? "primary" : "replica",
			 rejections);
	dispatch_endpoint(w, endpoint, now_us);
}

static void route_read(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	struct group *g = world_group(w, r->group);
	struct rejections f = { .used = 0 };
	uint32_t endpoint = NO_INDEX;

	if (r->max_age_us > 0)
		endpoint = choose_replica(w, r, g, &f, now_us);
	if (endpoint == NO_INDEX && r->max_age_us > 0)
		endpoint = choose_catching_up_replica(w, r, g, now_us);
	if (endpoint == NO_INDEX)
		endpoint = world_find_primary(w, g);
	if (endpoint == NO_INDEX)
		wait_for_primary(w, row);
	else
		enqueue(w, row, endpoint, f.text, now_us);
}

static void route_to_primary(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	uint32_t endpoint = world_find_primary(w, world_group(w, r->group));

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

void route_retry(struct world *w, uint32_t row, int32_t error, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	int64_t delay = retry_delay_us(w->rand, r->attempts ? r->attempts : 1);
	uint32_t idx;

	answer_detach_request(w, row, now_us);
	if (!r->may_repeat ||
	    now_us + delay + RETRY_MARGIN_US >= r->opts.deadline_us ||
	    !retry_budget_take(&w->retries)) {
		answer_error(w, row, error, delay, now_us);
		return;
	}
	idx = group_find_endpoint(world_group(w, r->group), r->endpoint);
	if (idx != NO_INDEX)
		r->tried_mask |= 1u << idx;
	r->state = REQUEST_DELAYED;
	r->resume_at_us = now_us + delay;
	list_append(&w->requests.delayed, w->requests.links, row);
	request_schedule_check(&w->requests, r->resume_at_us);
	action_queue_log(w->actions, LOG_RETRIED, r->opts.caller_id,
			 r->opts.group, delay, "after error %s",
			 error_info(error)->slug);
}

void route_waiting_requests(struct world *w, uint32_t group, int64_t now_us)
{
	struct group *g = world_group(w, group);
	uint32_t n = g->waiting.count;

	while (n-- && world_find_primary(w, g) != NO_INDEX) {
		uint32_t row = list_take_first(&g->waiting, w->requests.links);

		w->requests.rows[row].state = REQUEST_NEW;
		route_request(w, row, now_us);
	}
}

void route_requeue(struct world *w, uint32_t endpoint, int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, endpoint);
	uint32_t n = e->queue.count;

	while (n-- && e->queue.count) {
		uint32_t row = queue_pop(&e->queue, w->requests.links);

		w->requests.rows[row].state = REQUEST_NEW;
		route_request(w, row, now_us);
	}
}
