#include "core/answer.h"

#include "core/exchange.h"
#include "core/world_state.h"

#include <assert.h>

static void send_reply(struct world *w, const struct reply *r,
		       const char *subject)
{
	struct action a = { .type = ACTION_REPLY, .reply = *r };

	action_queue_log(w->actions,
			 r->error == ERR_NONE ? LOG_ANSWERED : LOG_REFUSED,
			 r->caller_id, subject, r->error, "%s %s",
			 verdict_name(r->verdict),
			 r->error ? error_info(r->error)->slug : "ok");
	action_queue_push(w->actions, &a);
}

void answer_refused(struct world *w, const struct request_opts *o,
		    int32_t error, int64_t retry_after_us)
{
	struct reply r = { .caller_id = o->caller_id,
			   .verdict = VERDICT_NOT_RUN,
			   .error = error,
			   .retry_after_us = retry_after_us,
			   .age_us = -1 };

	send_reply(w, &r, o->group);
}

void answer_detach_request(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	struct list_link *links = w->requests.links;
	uint32_t conn;

	switch (r->state) {
	case REQUEST_QUEUED:
		queue_remove(&world_endpoint(w, r->endpoint)->queue, links,
			     r->workspace, row);
		break;
	case REQUEST_AWAITING_PRIMARY:
		list_remove(&world_group(w, r->group)->waiting, links, row);
		break;
	case REQUEST_UNCONFIRMED:
		list_remove(&world_group(w, r->group)->unconfirmed, links, row);
		break;
	case REQUEST_AWAITING_TOKENS:
		list_remove(&w->requests.awaiting_tokens, links, row);
		break;
	case REQUEST_DELAYED:
		list_remove(&w->requests.delayed, links, row);
		break;
	case REQUEST_RUNNING:
		/* A late result could no longer be matched to a request. */
		conn = r->conn;
		r->conn = NO_INDEX;
		w->conns.rows[conn].request = NO_INDEX;
		exchange_close_conn(w, conn, now_us);
		break;
	case REQUEST_NEW:
		break;
	case REQUEST_FREE:
		assert(!"detaching a free request");
	}
	r->state = REQUEST_NEW;
}

static void fill_reply(const struct world *w, const struct request *r,
		       struct reply *out)
{
	out->caller_id = r->opts.caller_id;
	out->session = r->seen_position;
	out->age_us = r->age_us;
	g_strlcpy(out->group, r->opts.group, sizeof(out->group));
	if (r->endpoint != NO_INDEX && r->attempts)
		g_strlcpy(out->endpoint,
			  world_endpoint(w, r->endpoint)->record.name,
			  sizeof(out->endpoint));
	if (r->transaction != NO_INDEX)
		out->transaction_id = w->transactions.rows[r->transaction].id;
}

static void detach_from_transaction(struct world *w, struct request *r,
				    uint32_t row)
{
	struct transaction *x;

	if (r->transaction == NO_INDEX)
		return;
	x = &w->transactions.rows[r->transaction];
	if (x->request == row)
		x->request = NO_INDEX;
}

static void refund_unsent(struct world *w, const struct request *r,
			  int64_t now_us)
{
	if (r->attempts || !r->cost_milli)
		return;
	limit_refund(w->limits,
		     catalog_get_workspace(&w->catalog, r->workspace)->name,
		     r->cost_milli, now_us);
}

static void finish_request(struct world *w, uint32_t row, struct reply *reply,
			   int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	fill_reply(w, r, reply);
	detach_from_transaction(w, r, row);
	refund_unsent(w, r, now_us);
	send_reply(w, reply, r->opts.group);
	request_remove(&w->requests, row);
}

void answer_error(struct world *w, uint32_t row, int32_t error,
		  int64_t retry_after_us, int64_t now_us)
{
	struct reply reply = { .error = error,
			       .retry_after_us = retry_after_us };

	answer_detach_request(w, row, now_us);
	reply.verdict = request_verdict(&w->requests.rows[row]);
	finish_request(w, row, &reply, now_us);
}

void answer_completed(struct world *w, uint32_t row, int32_t error,
		      int64_t now_us)
{
	struct reply reply = { .error = error,
			       .verdict = VERDICT_RAN,
			       .with_result = true };

	answer_detach_request(w, row, now_us);
	finish_request(w, row, &reply, now_us);
}

void answer_disconnected_caller(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	struct action a = { .type = ACTION_REPLY };

	answer_detach_request(w, row, now_us);
	refund_unsent(w, r, now_us);
	detach_from_transaction(w, r, row);
	a.reply.caller_id = r->opts.caller_id;
	a.reply.verdict = request_verdict(r);
	a.reply.error = ERR_CONNECTION_LOST;
	action_queue_push(w->actions, &a);
	request_remove(&w->requests, row);
}
