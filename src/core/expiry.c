#include "core/expiry.h"

#include "core/answer.h"
#include "core/exchange.h"
#include "core/route.h"
#include "core/world_state.h"

enum {
	/* A group without a primary for so long will not be waited for. */
	NO_PRIMARY_GIVE_UP_US = 6000 * 1000,
	NO_PRIMARY_RETRY_US = 1000 * 1000,
};

static void resume_delayed(struct world *w, int64_t now_us)
{
	uint32_t row = w->requests.delayed.head;

	while (row != NO_INDEX) {
		struct request *r = &w->requests.rows[row];
		uint32_t next = w->requests.links[row].next;

		if (r->resume_us <= now_us) {
			answer_detach(w, row, now_us);
			route_request(w, row, now_us);
		} else {
			request_due(&w->requests, r->resume_us);
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

static void end_requests(struct world *w, int64_t now_us)
{
	for (uint32_t i = 0; i < w->requests.high; i++) {
		const struct request *r = &w->requests.rows[i];

		if (r->state == REQUEST_FREE)
			continue;
		if (r->opts.deadline_us <= now_us)
			answer_error(w, i, deadline_error(r), 0, now_us);
		else
			request_due(&w->requests, r->opts.deadline_us);
	}
}

static void end_idle_transactions(struct world *w, int64_t now_us)
{
	uint32_t row = w->transactions.open.head;

	while (row != NO_INDEX) {
		const struct transaction *x = &w->transactions.rows[row];
		uint32_t next = w->transactions.links[row].next;

		if (x->request == NO_INDEX &&
		    now_us - x->used_us >= w->opts.transaction_idle_us)
			exchange_close_conn(w, x->conn, now_us);
		row = next;
	}
}

/* A request that cannot be served is told so at once. */
static void give_up_waiting(struct world *w, int64_t now_us)
{
	for (uint32_t i = 0; i < w->groups->len; i++) {
		struct group *g = world_group(w, i);

		if (!g->no_primary_since_us ||
		    now_us - g->no_primary_since_us < NO_PRIMARY_GIVE_UP_US)
			continue;
		while (g->waiting.head != NO_INDEX)
			answer_error(w, g->waiting.head, ERR_NO_PRIMARY,
				     NO_PRIMARY_RETRY_US, now_us);
	}
}

void expiry_run(struct world *w, int64_t now_us)
{
	if (now_us >= w->requests.due_us) {
		w->requests.due_us = INT64_MAX;
		resume_delayed(w, now_us);
		end_requests(w, now_us);
	}
	end_idle_transactions(w, now_us);
	give_up_waiting(w, now_us);
}
