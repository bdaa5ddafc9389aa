#include "core/promotion.h"

#include "core/probe.h"
#include "core/promotion_vote.h"
#include "core/world_state.h"

#include <string.h>

enum {
	/* A group without a working primary is left alone so long. */
	FAULT_SETTLE_US = 100 * 1000,
	/* Instances start one after the other, by rank. */
	RANK_DELAY_US = 50 * 1000,
	VIEW_TIMEOUT_US = 200 * 1000,
	PLATFORM_TIMEOUT_US = 2000 * 1000,
	RAISE_TIMEOUT_US = 1000 * 1000,
	/* After a majority answered, the others get so long. */
	RAISE_LINGER_US = 50 * 1000,
	PROMOTE_TIMEOUT_US = 1000 * 1000,
	RETRY_BASE_US = 300 * 1000,
	/* An instance that allocated a term is left to finish so long. */
	OTHERS_TURN_US = 500 * 1000,
	/* A status is recent enough to count on its endpoint. */
	REACHABLE_US = 500 * 1000,
};

static struct promotion *promotion_at(struct world *w, uint32_t group)
{
	return &g_array_index(w->promotions, struct promotion, group);
}

static void enter(struct world *w, uint32_t group, enum promotion_state s,
		  const char *text, int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);

	p->state = s;
	p->since_us = now_us;
	action_queue_log(w->actions, LOG_PROMOTION_STEP, 0,
			 world_group(w, group)->name, (int64_t)p->term, "%s",
			 text);
}

static void give_up(struct world *w, uint32_t group, const char *why,
		    int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);

	p->state = PROMOTION_IDLE;
	p->next_try_us = now_us + RETRY_BASE_US +
			 g_rand_int_range(w->rand, 0, RETRY_BASE_US);
	action_queue_log(w->actions, LOG_PROMOTION_FAILED, 0,
			 world_group(w, group)->name, (int64_t)p->term, "%s",
			 why);
}

/* Returns true when every endpoint answered or is known to be down. */
static bool all_known(const struct world *w, const struct group *g)
{
	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		const struct endpoint *e = world_endpoint(w, g->endpoints[i]);

		if (!e->has_status && !e->down)
			return false;
	}
	return true;
}

/* Returns why the group needs a promotion, or NULL. */
static const char *fault_of(const struct world *w, const struct group *g)
{
	const struct endpoint *e;

	if (g->primary == NO_INDEX)
		return all_known(w, g) ? "no primary" : NULL;
	e = world_endpoint(w, g->primary);
	if (!e->exists || e->down)
		return "primary does not answer";
	if (endpoint_leaving(e))
		return "primary is leaving";
	if (group_max_term(g, world_endpoints(w)) > e->status.current_term)
		return "an endpoint knows a later term";
	return NULL;
}

static bool reachable(const struct endpoint *e, int64_t now_us)
{
	return e->exists && e->has_status && !e->down &&
	       now_us - e->asked_us <= REACHABLE_US;
}

/* A promotion that cannot reach a majority would only disturb. */
static bool majority_reachable(const struct world *w, const struct group *g,
			       int64_t now_us)
{
	uint32_t n = 0;
	bool candidate = false;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		const struct endpoint *e = world_endpoint(w, g->endpoints[i]);

		if (!reachable(e, now_us))
			continue;
		n++;
		candidate = candidate || !endpoint_leaving(e);
	}
	return candidate && n >= group_majority(g);
}

static void allocate(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);
	struct group *g = world_group(w, group);
	struct platform_start s = { .operation = PLATFORM_CAS_TERM };
	struct action a = { .type = ACTION_PLATFORM, .platform = &s };
	uint64_t known = MAX(g->term, group_max_term(g, world_endpoints(w)));

	p->term = MAX(known, g->term_record.term) + 1;
	p->change_id =
		(uint64_t)g_rand_int(w->rand) << 32 | g_rand_int(w->rand);
	p->operation = ++w->last_operation;
	s.operation_id = p->operation;
	s.expected_revision = g->term_revision;
	s.record.kind = RECORD_TERM;
	g_strlcpy(s.record.term.group, g->name, NAME_BYTES);
	g_strlcpy(s.record.term.promoter, w->opts.instance, NAME_BYTES);
	s.record.term.term = p->term;
	s.record.term.change_id = p->change_id;
	action_queue_push(w->actions, &a);
	enter(w, group, PROMOTION_ALLOCATING, "allocating the term", now_us);
}

static void read_back(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);
	struct platform_start s = { .operation = PLATFORM_READ_TERM };
	struct action a = { .type = ACTION_PLATFORM, .platform = &s };

	p->operation = ++w->last_operation;
	s.operation_id = p->operation;
	s.record.kind = RECORD_TERM;
	g_strlcpy(s.record.term.group, world_group(w, group)->name, NAME_BYTES);
	action_queue_push(w->actions, &a);
	enter(w, group, PROMOTION_READING, "reading the term back", now_us);
}

static void start_raising(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);

	p->sent = 0;
	p->raised = 0;
	enter(w, group, PROMOTION_RAISING, "raising the term", now_us);
}

/* Stores the outcome for operators; nothing depends on it. */
static void record_primary(struct world *w, uint32_t group)
{
	struct promotion *p = promotion_at(w, group);
	struct group *g = world_group(w, group);
	struct platform_start s = { .operation = PLATFORM_CAS_TERM };
	struct action a = { .type = ACTION_PLATFORM, .platform = &s };
	const struct endpoint *e = world_endpoint(w, g->endpoints[p->chosen]);

	s.operation_id = ++w->last_operation;
	s.expected_revision = g->term_revision;
	s.record.kind = RECORD_TERM;
	s.record.term = g->term_record;
	g_strlcpy(s.record.term.primary, e->record.name, NAME_BYTES);
	action_queue_push(w->actions, &a);
}

/* The latest log wins; a leaving endpoint only if there is no other. */
static uint32_t choose(const struct world *w, const struct group *g,
		       const struct promotion *p)
{
	uint32_t best = NO_INDEX;
	bool best_leaving = false;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		bool leaving;

		if (!(p->raised & 1u << i))
			continue;
		leaving = endpoint_leaving(world_endpoint(w, g->endpoints[i]));
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

/* Endpoints that must have answered before the latest log is known. */
static bool raised_enough(const struct world *w, const struct group *g,
			  const struct promotion *p)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		const struct endpoint *e = world_endpoint(w, g->endpoints[i]);

		/* A leaving endpoint is not chosen, so it does not count. */
		if (p->raised & 1u << i && !endpoint_leaving(e))
			n++;
	}
	return n >= group_majority(g);
}

static bool raised_all(const struct group *g, const struct promotion *p)
{
	return p->raised == (1u << g->endpoint_count) - 1;
}

static void raise_on_endpoints(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);
	struct group *g = world_group(w, group);

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		if (p->sent & 1u << i)
			continue;
		if (probe_send(w, g->endpoints[i], PLAN_RAISE_TERM, p->term,
			       now_us))
			p->sent |= 1u << i;
	}
}

static void advance_raising(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);
	struct group *g = world_group(w, group);
	int64_t spent = now_us - p->since_us;

	raise_on_endpoints(w, group, now_us);
	if (raised_enough(w, g, p) &&
	    (raised_all(g, p) || spent >= RAISE_LINGER_US)) {
		p->chosen = choose(w, g, p);
		p->sent = 0;
		enter(w, group, PROMOTION_PROMOTING,
		      world_endpoint(w, g->endpoints[p->chosen])->record.name,
		      now_us);
	} else if (spent >= RAISE_TIMEOUT_US) {
		give_up(w, group, "no majority took the term", now_us);
	}
}

static void advance_promoting(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);
	uint32_t endpoint = world_group(w, group)->endpoints[p->chosen];

	if (!p->sent && probe_send(w, endpoint, PLAN_PROMOTE, p->term, now_us))
		p->sent = 1;
	if (now_us - p->since_us >= PROMOTE_TIMEOUT_US)
		give_up(w, group, "the chosen endpoint did not answer", now_us);
}

static void start_asking(struct world *w, uint32_t group, int64_t now_us)
{
	promotion_view_ask(w, group);
	enter(w, group, PROMOTION_ASKING, "asking members", now_us);
}

static void advance_asking(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);

	if (promotion_view_agrees(w, p))
		allocate(w, group, now_us);
	else if (now_us - p->since_us >= VIEW_TIMEOUT_US)
		give_up(w, group, "members disagree", now_us);
}

static void maybe_start(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);
	struct group *g = world_group(w, group);
	const char *why = g->endpoint_count ? fault_of(w, g) : NULL;
	int64_t wait;
	bool down;

	if (!why) {
		p->fault_since_us = 0;
		return;
	}
	/* The rank scans all members: only groups with a fault pay for it. */
	wait = (int64_t)RANK_DELAY_US * member_self_rank(w->members);
	down = g->primary != NO_INDEX && world_endpoint(w, g->primary)->down;
	if (!p->fault_since_us)
		p->fault_since_us = now_us;
	/* A primary that is down was watched for suspect_us already. */
	if (!down)
		wait += FAULT_SETTLE_US;
	if (now_us - p->fault_since_us < wait || now_us < p->next_try_us ||
	    !majority_reachable(w, g, now_us))
		return;
	action_queue_log(w->actions, LOG_PROMOTION_STARTED, 0, g->name,
			 (int64_t)g->term, "%s", why);
	if (down)
		start_asking(w, group, now_us);
	else
		allocate(w, group, now_us);
}

static void advance(struct world *w, uint32_t group, int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);

	switch (p->state) {
	case PROMOTION_IDLE:
		maybe_start(w, group, now_us);
		break;
	case PROMOTION_ASKING:
		advance_asking(w, group, now_us);
		break;
	case PROMOTION_ALLOCATING:
	case PROMOTION_READING:
		if (now_us - p->since_us >= PLATFORM_TIMEOUT_US)
			give_up(w, group, "the platform does not answer",
				now_us);
		break;
	case PROMOTION_RAISING:
		advance_raising(w, group, now_us);
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
		advance(w, i, now_us);
}

static void raise_answered(struct world *w, uint32_t group, uint32_t place,
			   const struct endpoint_status *s, int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);

	if (s->current_term > p->term) {
		give_up(w, group, "a later term is in use", now_us);
		return;
	}
	if (s->current_term != p->term)
		return;
	p->raised |= 1u << place;
	p->positions[place] = s->position;
	advance_raising(w, group, now_us);
}

static void promote_answered(struct world *w, uint32_t group,
			     const struct exchange_result *x, int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);

	if (x->status != RESULT_OK || x->after.role != ROLE_PRIMARY ||
	    x->after.current_term != p->term) {
		give_up(w, group, "the chosen endpoint refused", now_us);
		return;
	}
	p->state = PROMOTION_IDLE;
	p->fault_since_us = 0;
	p->completed++;
	action_queue_log(w->actions, LOG_PROMOTION_DONE, 0,
			 world_group(w, group)->name, (int64_t)p->term,
			 "completed");
	record_primary(w, group);
}

void promotion_answer(struct world *w, uint32_t endpoint,
		      enum exchange_plan plan, const struct exchange_result *x,
		      int64_t now_us)
{
	uint32_t group = world_endpoint(w, endpoint)->group;
	struct promotion *p = promotion_at(w, group);
	uint32_t place = group_place_of(world_group(w, group), endpoint);

	if (place == NO_INDEX)
		return;
	if (p->state == PROMOTION_RAISING && plan == PLAN_RAISE_TERM)
		raise_answered(w, group, place, &x->after, now_us);
	else if (p->state == PROMOTION_PROMOTING && plan == PLAN_PROMOTE &&
		 place == p->chosen)
		promote_answered(w, group, x, now_us);
}

void promotion_record(struct world *w, const struct record *r, int64_t now_us)
{
	uint32_t row = world_find_group(w, r->term.group);
	struct group *g;
	struct promotion *p;

	if (row == NO_INDEX)
		return;
	g = world_group(w, row);
	p = promotion_at(w, row);
	if (r->revision <= g->term_revision)
		return;
	g->term_record = r->term;
	g->term_revision = r->revision;
	if (!r->term.primary[0] &&
	    strcmp(r->term.promoter, w->opts.instance) != 0)
		p->next_try_us = MAX(p->next_try_us, now_us + OTHERS_TURN_US);
}

static void allocated(struct world *w, uint32_t group,
		      const struct platform_result *r, int64_t now_us)
{
	if (r->record.revision > 0)
		promotion_record(w, &r->record, now_us);
	if (r->outcome == PLATFORM_UNKNOWN)
		read_back(w, group, now_us);
	else if (r->outcome == PLATFORM_APPLIED)
		start_raising(w, group, now_us);
	else
		give_up(w, group, "another instance took the term", now_us);
}

static void was_read(struct world *w, uint32_t group,
		     const struct platform_result *r, int64_t now_us)
{
	struct promotion *p = promotion_at(w, group);

	if (r->outcome == PLATFORM_UNKNOWN) {
		give_up(w, group, "the platform does not answer", now_us);
		return;
	}
	if (r->found)
		promotion_record(w, &r->record, now_us);
	if (r->found && r->record.term.change_id == p->change_id &&
	    r->record.term.term == p->term)
		start_raising(w, group, now_us);
	else
		give_up(w, group, "the term was not allocated", now_us);
}

bool promotion_platform(struct world *w, const struct platform_result *r,
			int64_t now_us)
{
	for (uint32_t i = 0; i < w->promotions->len; i++) {
		struct promotion *p = promotion_at(w, i);

		if (!p->operation || p->operation != r->operation_id)
			continue;
		p->operation = 0;
		if (p->state == PROMOTION_ALLOCATING)
			allocated(w, i, r, now_us);
		else if (p->state == PROMOTION_READING)
			was_read(w, i, r, now_us);
		return true;
	}
	if (r->record.revision > 0 && r->record.kind == RECORD_TERM)
		promotion_record(w, &r->record, now_us);
	return false;
}

bool promotion_peer(struct world *w, const struct peer_message *m,
		    int64_t now_us)
{
	uint32_t group;

	switch (m->type) {
	case PEER_VIEW_ASK:
		promotion_view_answer(w, m, now_us);
		return true;
	case PEER_VIEW:
		group = promotion_view_count(w, m);
		if (group != NO_INDEX)
			advance_asking(w, group, now_us);
		return true;
	default:
		return false;
	}
}
