#include "core/expiry.h"

#include "core/answer.h"
#include "core/exchange.h"
#include "core/route.h"
#include "core/world_state.h"

enum {
	/* Waiting requests fail when there was no primary for this long. */
	NO_PRIMARY_WAIT_MAX_US = 6000 * 1000,
	NO_PRIMARY_RETRY_US = 1000 * 1000,
};

static void resume_delayed(struct world *w, int64_t now_us)
{
	uint32_t row = w->requests.delayed.head;

	while (row != NO_INDEX) {
		struct request *r = &w->requests.rows[row];
		uint32_t next = w->requests.links[row].next;

		if (r->resume_at_us <= now_us) {
			answer_detach_request(w, row, now_us);
			route_request(w, row, now_us);
		} else {
			request_schedule_check(&w->requests, r->resume_at_us);
		}
		row = next;
	}
}

static int32_t deadline_error(const struct request *r)
{
	if (r->state == REQUEST_UNCONFIRMED && !r->confirm_term)
		return ERR_NOT_CONFIRMED;
	return ERR_DEADLINE;
}

static void answer_expired_requests(struct world *w, int64_t now_us)
{
	for (uint32_t i = 0; i < w->requests.high_water; i++) {
		const struct request *r = &w->requests.rows[i];

		if (r->state == REQUEST_FREE)
			continue;
		if (r->opts.deadline_us <= now_us)
			answer_error(w, i, deadline_error(r), 0, now_us);
		else
			request_schedule_check(&w->requests,
					       r->opts.deadline_us);
	}
}

static void end_idle_transactions(struct world *w, int64_t now_us)
{
	uint32_t row = w->transactions.open.head;

	while (row != NO_INDEX) {
		const struct transaction *x = &w->transactions.rows[row];
		uint32_t next = w->transactions.links[row].next;

		if (x->request == NO_INDEX &&
		    now_us - x->last_used_us >= w->opts.transaction_idle_us)
			exchange_close_conn(w, x->conn, now_us);
		row = next;
	}
}

/* Fails the requests of groups whose primary is not expected back soon. */
static void reject_waiting_requests(struct world *w, int64_t now_us)
{
	for (uint32_t i = 0; i < w->groups->len; i++) {
		struct group *g = world_group(w, i);

		if (!g->no_primary_since_us ||
		    now_us - g->no_primary_since_us < NO_PRIMARY_WAIT_MAX_US)
			continue;
		while (g->waiting.head != NO_INDEX)
			answer_error(w, g->waiting.head, ERR_NO_PRIMARY,
				     NO_PRIMARY_RETRY_US, now_us);
	}
}

void expiry_run(struct world *w, int64_t now_us)
{
	if (now_us >= w->requests.next_check_us) {
		w->requests.next_check_us = INT64_MAX;
		resume_delayed(w, now_us);
		answer_expired_requests(w, now_us);
	}
	end_idle_transactions(w, now_us);
	reject_waiting_requests(w, now_us);
}
