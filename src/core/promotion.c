#include "core/promotion.h"

#include "core/probe.h"
#include "core/promotion_vote.h"
#include "core/world_state.h"

#include <string.h>

enum {
	/* Minimum duration of a fault before a promotion starts. */
	FAULT_DELAY_US = 100 * 1000,
	/* Extra delay per rank, so that instances start one by one. */
	RANK_DELAY_US = 50 * 1000,
	VOTE_TIMEOUT_US = 200 * 1000,
	PLATFORM_TIMEOUT_US = 2000 * 1000,
	RAISE_TIMEOUT_US = 1000 * 1000,
	/* Time given to the other endpoints after a majority answered. */
	RAISE_EXTRA_WAIT_US = 50 * 1000,
	PROMOTE_TIMEOUT_US = 1000 * 1000,
	RETRY_BASE_US = 300 * 1000,
	/* Time given to another instance that has allocated a term. */
	OTHER_PROMOTER_WAIT_US = 500 * 1000,
	/* An endpoint with a status of at most this age is reachable. */
	STATUS_MAX_AGE_US = 500 * 1000,
};

static struct promotion *get_promotion(struct world *w, uint32_t group)
{
	return &g_array_index(w->promotions, struct promotion, group);
}

static void enter_state(struct world *w, uint32_t group, enum promotion_state s,
			const char *text, int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);

	p->state = s;
	p->since_us = now_us;
	action_queue_log(w->actions, LOG_PROMOTION_STEP, 0,
			 world_group(w, group)->name, (int64_t)p->term, "%s",
			 text);
}

static void abort_promotion(struct world *w, uint32_t group, const char *reason,
			    int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);

	p->state = PROMOTION_IDLE;
	p->next_try_us = now_us + RETRY_BASE_US +
			 g_rand_int_range(w->rand, 0, RETRY_BASE_US);
	action_queue_log(w->actions, LOG_PROMOTION_FAILED, 0,
			 world_group(w, group)->name, (int64_t)p->term, "%s",
			 reason);
}

/* Returns true when every endpoint has answered or is marked down. */
static bool all_endpoints_observed(const struct world *w, const struct group *g)
{
	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		const struct endpoint *e = world_endpoint(w, g->endpoints[i]);

		if (!e->has_status && !e->down)
			return false;
	}
	return true;
}

/* Returns why the group needs a promotion, or NULL if it does not. */
static const char *find_promotion_reason(const struct world *w,
					 const struct group *g)
{
	const struct endpoint *e;

	if (g->primary == NO_INDEX)
		return all_endpoints_observed(w, g) ? "no primary" : NULL;
	e = world_endpoint(w, g->primary);
	if (!e->exists || e->down)
		return "primary does not answer";
	if (endpoint_is_leaving(e))
		return "primary is leaving";
	if (group_max_term(g, world_endpoints(w)) > e->status.current_term)
		return "an endpoint knows a later term";
	return NULL;
}

static bool is_reachable(const struct endpoint *e, int64_t now_us)
{
	return e->exists && e->has_status && !e->down &&
	       now_us - e->requested_us <= STATUS_MAX_AGE_US;
}

/*
 * Returns true when a majority is reachable and includes an endpoint that can
 * be promoted. Otherwise a promotion could not succeed and would only disturb
 * the group.
 */
static bool can_reach_majority(const struct world *w, const struct group *g,
			       int64_t now_us)
{
	uint32_t n = 0;
	bool candidate = false;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		const struct endpoint *e = world_endpoint(w, g->endpoints[i]);

		if (!is_reachable(e, now_us))
			continue;
		n++;
		candidate = candidate || !endpoint_is_leaving(e);
	}
	return candidate && n >= group_majority_size(g);
}

static void allocate_term(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);
	struct group *g = world_group(w, group);
	struct platform_start s = { .operation = PLATFORM_CAS_TERM };
	struct action a = { .type = ACTION_PLATFORM, .platform = &s };
	uint64_t known = MAX(g->term, group_max_term(g, world_endpoints(w)));

	p->term = MAX(known, g->term_record.term) + 1;
	p->change_id =
		(uint64_t)g_rand_int(w->rand) << 32 | g_rand_int(w->rand);
	p->operation_id = ++w->last_operation_id;
	s.operation_id = p->operation_id;
	s.expected_revision = g->term_revision;
	s.record.kind = RECORD_TERM;
	g_strlcpy(s.record.term.group, g->name, NAME_BYTES);
	g_strlcpy(s.record.term.promoter, w->opts.instance, NAME_BYTES);
	s.record.term.term = p->term;
	s.record.term.change_id = p->change_id;
	action_queue_push(w->actions, &a);
	enter_state(w, group, PROMOTION_ALLOCATING_TERM,
		    "allocating the term in the key-value service", now_us);
}

static void reread_term_record(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);
	struct platform_start s = { .operation = PLATFORM_READ_TERM };
	struct action a = { .type = ACTION_PLATFORM, .platform = &s };

	p->operation_id = ++w->last_operation_id;
	s.operation_id = p->operation_id;
	s.record.kind = RECORD_TERM;
	g_strlcpy(s.record.term.group, world_group(w, group)->name, NAME_BYTES);
	action_queue_push(w->actions, &a);
	enter_state(w, group, PROMOTION_READING_TERM,
		    "allocation unanswered; reading the term record", now_us);
}

static void start_raising_term(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);

	p->sent_mask = 0;
	p->raised_mask = 0;
	enter_state(w, group, PROMOTION_RAISING_TERM,
		    "raising the term on the endpoints", now_us);
}

/* Stores the new primary's name for operators; nothing depends on it. */
static void store_new_primary(struct world *w, uint32_t group)
{
	struct promotion *p = get_promotion(w, group);
	struct group *g = world_group(w, group);
	struct platform_start s = { .operation = PLATFORM_CAS_TERM };
	struct action a = { .type = ACTION_PLATFORM, .platform = &s };
	const struct endpoint *e =
		world_endpoint(w, g->endpoints[p->chosen_index]);

	s.operation_id = ++w->last_operation_id;
	s.expected_revision = g->term_revision;
	s.record.kind = RECORD_TERM;
	s.record.term = g->term_record;
	g_strlcpy(s.record.term.primary, e->record.name, NAME_BYTES);
	action_queue_push(w->actions, &a);
}

/*
 * Returns the index of the endpoint with the latest log, or NO_INDEX. A
 * leaving endpoint is chosen only if there is no other.
 */
static uint32_t choose_candidate(const struct world *w, const struct group *g,
				 const struct promotion *p)
{
	uint32_t best = NO_INDEX;
	bool best_leaving = false;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		bool leaving;

		if (!(p->raised_mask & 1u << i))
			continue;
		leaving =
			endpoint_is_leaving(world_endpoint(w, g->endpoints[i]));
		if (best != NO_INDEX && leaving && !best_leaving)
			continue;
		if (best != NO_INDEX && leaving == best_leaving &&
		    position_cmp(p->positions[i], p->positions[best]) <= 0)
			continue;
		best = i;
		best_leaving = leaving;
	}
	return best;
}

/* Returns true when the answers must include the latest confirmed log. */
static bool raised_on_majority(const struct world *w, const struct group *g,
			       const struct promotion *p)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		const struct endpoint *e = world_endpoint(w, g->endpoints[i]);

		/* A leaving endpoint is not chosen, so it does not count. */
		if (p->raised_mask & 1u << i && !endpoint_is_leaving(e))
			n++;
	}
	return n >= group_majority_size(g);
}

static bool raised_on_all(const struct group *g, const struct promotion *p)
{
	return p->raised_mask == (1u << g->endpoint_count) - 1;
}

static void raise_term_on_endpoints(struct world *w, uint32_t group,
				    int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);
	struct group *g = world_group(w, group);

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		if (p->sent_mask & 1u << i)
			continue;
		if (probe_send_plan(w, g->endpoints[i], PLAN_RAISE_TERM,
				    p->term, now_us))
			p->sent_mask |= 1u << i;
	}
}

static void advance_raising_term(struct world *w, uint32_t group,
				 int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);
	struct group *g = world_group(w, group);
	int64_t spent = now_us - p->since_us;

	raise_term_on_endpoints(w, group, now_us);
	if (raised_on_majority(w, g, p) &&
	    (raised_on_all(g, p) || spent >= RAISE_EXTRA_WAIT_US)) {
		p->chosen_index = choose_candidate(w, g, p);
		p->sent_mask = 0;
		enter_state(w, group, PROMOTION_PROMOTING,
			    world_endpoint(w, g->endpoints[p->chosen_index])
				    ->record.name,
			    now_us);
	} else if (spent >= RAISE_TIMEOUT_US) {
		abort_promotion(w, group,
				"no majority accepted the term in time",
				now_us);
	}
}

static void advance_promoting(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);
	uint32_t endpoint = world_group(w, group)->endpoints[p->chosen_index];

	if (!p->sent_mask &&
	    probe_send_plan(w, endpoint, PLAN_PROMOTE, p->term, now_us))
		p->sent_mask = 1;
	if (now_us - p->since_us >= PROMOTE_TIMEOUT_US)
		abort_promotion(w, group,
				"chosen endpoint did not answer in time",
				now_us);
}

static void start_voting(struct world *w, uint32_t group, int64_t now_us)
{
	promotion_vote_start(w, group);
	enter_state(w, group, PROMOTION_VOTING,
		    "asking other instances whether the primary is silent",
		    now_us);
}

static void advance_voting(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);

	if (promotion_vote_passed(w, p))
		allocate_term(w, group, now_us);
	else if (now_us - p->since_us >= VOTE_TIMEOUT_US)
		abort_promotion(w, group,
				"no majority of instances finds the primary "
				"silent",
				now_us);
}

static void start_if_needed(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);
	struct group *g = world_group(w, group);
	const char *reason =
		g->endpoint_count ? find_promotion_reason(w, g) : NULL;
	int64_t wait;
	bool down;

	if (!reason) {
		p->fault_since_us = 0;
		return;
	}
	/* The rank scans all members, so it is computed only on a fault. */
	wait = (int64_t)RANK_DELAY_US * member_self_rank(w->members);
	down = g->primary != NO_INDEX && world_endpoint(w, g->primary)->down;
	if (!p->fault_since_us)
		p->fault_since_us = now_us;
	/* A primary marked down has been silent for suspect_us already. */
	if (!down)
		wait += FAULT_DELAY_US;
	if (now_us - p->fault_since_us < wait || now_us < p->next_try_us ||
	    !can_reach_majority(w, g, now_us))
		return;
	action_queue_log(w->actions, LOG_PROMOTION_STARTED, 0, g->name,
			 (int64_t)g->term, "%s", reason);
	if (down)
		start_voting(w, group, now_us);
	else
		allocate_term(w, group, now_us);
}

static void advance_promotion(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);

	switch (p->state) {
	case PROMOTION_IDLE:
		start_if_needed(w, group, now_us);
		break;
	case PROMOTION_VOTING:
		advance_voting(w, group, now_us);
		break;
	case PROMOTION_ALLOCATING_TERM:
	case PROMOTION_READING_TERM:
		if (now_us - p->since_us >= PLATFORM_TIMEOUT_US)
			abort_promotion(w, group,
					"no answer from the key-value service",
					now_us);
		break;
	case PROMOTION_RAISING_TERM:
		advance_raising_term(w, group, now_us);
		break;
	case PROMOTION_PROMOTING:
		advance_promoting(w, group, now_us);
		break;
	}
}

void promotion_run(struct world *w, int64_t now_us)
{
	if (w->draining)
		return;
	for (uint32_t i = 0; i < w->groups->len; i++)
		advance_promotion(w, i, now_us);
}

static void handle_raise_answer(struct world *w, uint32_t group, uint32_t index,
				const struct endpoint_status *s, int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);

	if (s->current_term > p->term) {
		abort_promotion(w, group, "an endpoint has a later term",
				now_us);
		return;
	}
	if (s->current_term != p->term ||
	    endpoint_has_lost_state(
		    world_endpoint(w, world_group(w, group)->endpoints[index]),
		    s))
		return;
	p->raised_mask |= 1u << index;
	p->positions[index] = s->position;
	advance_raising_term(w, group, now_us);
}

static void handle_promote_answer(struct world *w, uint32_t group,
				  const struct exchange_result *x,
				  int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);

	if (x->status != RESULT_OK || x->after.role != ROLE_PRIMARY ||
	    x->after.current_term != p->term) {
		abort_promotion(w, group,
				"chosen endpoint refused the promotion",
				now_us);
		return;
	}
	p->state = PROMOTION_IDLE;
	p->fault_since_us = 0;
	p->completed++;
	action_queue_log(w->actions, LOG_PROMOTION_DONE, 0,
			 world_group(w, group)->name, (int64_t)p->term,
			 "completed");
	store_new_primary(w, group);
}

void promotion_handle_answer(struct world *w, uint32_t endpoint,
			     enum exchange_plan plan,
			     const struct exchange_result *x, int64_t now_us)
{
	uint32_t group = world_endpoint(w, endpoint)->group;
	struct promotion *p = get_promotion(w, group);
	uint32_t index = group_find_endpoint(world_group(w, group), endpoint);

	if (index == NO_INDEX)
		return;
	if (p->state == PROMOTION_RAISING_TERM && plan == PLAN_RAISE_TERM)
		handle_raise_answer(w, group, index, &x->after, now_us);
	else if (p->state == PROMOTION_PROMOTING && plan == PLAN_PROMOTE &&
		 index == p->chosen_index)
		handle_promote_answer(w, group, x, now_us);
}

void promotion_handle_record(struct world *w, const struct record *r,
			     int64_t now_us)
{
	uint32_t row = world_find_group(w, r->term.group);
	struct group *g;
	struct promotion *p;

	if (row == NO_INDEX)
		return;
	g = world_group(w, row);
	p = get_promotion(w, row);
	if (r->revision <= g->term_revision)
		return;
	g->term_record = r->term;
	g->term_revision = r->revision;
	if (!r->term.primary[0] &&
	    strcmp(r->term.promoter, w->opts.instance) != 0)
		p->next_try_us =
			MAX(p->next_try_us, now_us + OTHER_PROMOTER_WAIT_US);
}

void promotion_handle_endpoint_removed(struct world *w, uint32_t group,
				       int64_t now_us)
{
	const struct promotion *p = get_promotion(w, group);

	if (p->state == PROMOTION_RAISING_TERM ||
	    p->state == PROMOTION_PROMOTING)
		abort_promotion(w, group, "an endpoint was removed", now_us);
}

static void handle_term_allocated(struct world *w, uint32_t group,
				  const struct platform_result *r,
				  int64_t now_us)
{
	if (r->record.revision > 0)
		promotion_handle_record(w, &r->record, now_us);
	if (r->outcome == PLATFORM_UNKNOWN)
		reread_term_record(w, group, now_us);
	else if (r->outcome == PLATFORM_APPLIED)
		start_raising_term(w, group, now_us);
	else
		abort_promotion(w, group,
				"another instance changed the term record",
				now_us);
}

static void handle_term_read(struct world *w, uint32_t group,
			     const struct platform_result *r, int64_t now_us)
{
	struct promotion *p = get_promotion(w, group);

	if (r->outcome == PLATFORM_UNKNOWN) {
		abort_promotion(w, group,
				"no answer when reading the term record",
				now_us);
		return;
	}
	if (r->found)
		promotion_handle_record(w, &r->record, now_us);
	if (r->found && r->record.term.change_id == p->change_id &&
	    r->record.term.term == p->term)
		start_raising_term(w, group, now_us);
	else
		abort_promotion(w, group,
				"the term record lacks this allocation",
				now_us);
}

bool promotion_handle_platform(struct world *w, const struct platform_result *r,
			       int64_t now_us)
{
	for (uint32_t i = 0; i < w->promotions->len; i++) {
		struct promotion *p = get_promotion(w, i);

		if (!p->operation_id || p->operation_id != r->operation_id)
			continue;
		p->operation_id = 0;
		if (p->state == PROMOTION_ALLOCATING_TERM)
			handle_term_allocated(w, i, r, now_us);
		else if (p->state == PROMOTION_READING_TERM)
			handle_term_read(w, i, r, now_us);
		return true;
	}
	if (r->record.revision > 0 && r->record.kind == RECORD_TERM)
		promotion_handle_record(w, &r->record, now_us);
	return false;
}

bool promotion_handle_peer(struct world *w, const struct peer_message *m,
			   int64_t now_us)
{
	uint32_t group;

	switch (m->type) {
	case PEER_VOTE_REQUEST:
		promotion_vote_handle_request(w, m, now_us);
		return true;
	case PEER_VOTE:
		group = promotion_vote_handle_vote(w, m);
		if (group != NO_INDEX)
			advance_voting(w, group, now_us);
		return true;
	default:
		return false;
	}
}
