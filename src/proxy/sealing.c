#include "proxy/sealing.h"

#include "proxy/engine_state.h"

#include <string.h>

void sealing_record_mark(struct upstream_conn *c, int64_t requested_us,
			 struct position position)
{
	struct service *svc = c->upstream->service;

	if (svc->primary == c->upstream)
		mark_ring_add(&svc->marks, requested_us, position);
}

void sealing_keep_mark(struct upstream_conn *c,
		       const struct conn_request *request,
		       const struct wire_reply *ready)
{
	c->unsealed.has_mark = ready->has_position;
	c->unsealed.requested_us = request->sent_us;
	c->unsealed.position = ready->position;
}

void sealing_apply_mark(struct upstream_conn *c)
{
	if (c->unsealed.has_mark)
		sealing_record_mark(c, c->unsealed.requested_us,
				    c->unsealed.position);
	c->unsealed.has_mark = false;
}

void sealing_note_error(struct upstream_conn *c, int64_t now_us)
{
	struct upstream *u = c->upstream;
	bool had_error = upstream_conn_had_error(c, now_us);

	memset(&c->unsealed, 0, sizeof(c->unsealed));
	if (u->is_home)
		return; /* it gives each answer once */
	if (upstream_repeats_answers(u, now_us))
		/* It may also be due to a BEGIN that a copy has answered. */
		c->retired |= had_error || c->took_unsigned;
	else if (had_error)
		c->unused_until_us =
			now_us +
			OWN_ANSWER_TIMES *
				upstream_expected_latency_us(u, now_us);
	c->error_us = now_us;
}

void sealing_apply(struct upstream_conn *c, int64_t now_us)
{
	struct unsealed_answers sealed = c->unsealed;
	bool repeats = upstream_repeats_answers(c->upstream, now_us);

	memset(&c->unsealed, 0, sizeof(c->unsealed));
	if (sealed.has_mark) {
		/* Only a primary begins a transaction that may write. */
		if (c->upstream->service->primary != c->upstream)
			engine_update_primary(c->engine, c->upstream,
					      PRIMARY_CLAIM_CONFIRMED,
					      "accepted a BEGIN");
		if (!repeats)
			sealing_record_mark(c, sealed.requested_us,
					    sealed.position);
	}
	if (sealed.has_report)
		failover_handle_report(c->engine->failovers, c, &sealed.report,
				       now_us);
}
