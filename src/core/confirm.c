#include "core/confirm.h"

#include "core/answer.h"
#include "core/outcome.h"
#include "core/probe.h"
#include "core/route.h"
#include "core/world_state.h"

static void wait_for_confirmation(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	struct group *g = world_group(w, r->group);

	r->state = REQUEST_UNCONFIRMED;
	list_append(&g->unconfirmed, w->requests.links, row);
	probe_group_now(w, r->group, now_us);
	confirm_group_requests(w, r->group, now_us);
}

void confirm_write(struct world *w, uint32_t row, struct position p,
		   enum verdict verdict, int32_t error, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	r->position = p;
	r->confirm_term = 0;
	r->confirmed_verdict = verdict;
	r->confirmed_error = error;
	wait_for_confirmation(w, row, now_us);
}

void confirm_read(struct world *w, uint32_t row, uint64_t term,
		  int64_t after_us, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	r->confirm_term = term;
	r->confirm_since_us = after_us;
	wait_for_confirmation(w, row, now_us);
}

static void try_confirm_write(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	const struct group *g = world_group(w, r->group);

	if (group_majority_holds(g, world_endpoints(w), r->position)) {
		r->seen_position = r->position;
		if (r->confirmed_verdict == VERDICT_RAN) {
			answer_completed(w, row, r->confirmed_error, now_us);
			return;
		}
		r->may_have_run = false;
		answer_error(w, row, r->confirmed_error, 0, now_us);
	} else if (group_max_term(g, world_endpoints(w)) > r->position.term) {
		outcome_handle_primary_replaced(w, row, now_us);
	}
}

static void try_confirm_read(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	const struct group *g = world_group(w, r->group);

	if (group_term_confirmed_at_us(g, world_endpoints(w),
				       r->confirm_term) >=
	    r->confirm_since_us) {
		r->age_us = r->max_age_us ? now_us - r->confirm_since_us : 0;
		if (r->age_us > r->max_age_us)
			route_retry(w, row, ERR_TOO_STALE, now_us);
		else
			answer_completed(w, row, ERR_NONE, now_us);
	} else if (group_max_term(g, world_endpoints(w)) > r->confirm_term) {
		route_retry(w, row, ERR_PRIMARY_REPLACED, now_us);
	}
}

void confirm_group_requests(struct world *w, uint32_t group, int64_t now_us)
{
	uint32_t row = world_group(w, group)->unconfirmed.head;

	while (row != NO_INDEX) {
		uint32_t next = w->requests.links[row].next;

		if (w->requests.rows[row].confirm_term)
			try_confirm_read(w, row, now_us);
		else
			try_confirm_write(w, row, now_us);
		row = next;
	}
}
