#include "proxy/reply_match.h"

#include "proxy/engine_state.h"

static const enum reply_due request_dues[CONN_REQUEST_KIND_COUNT] = {
	[CONN_REQUEST_START] = REPLY_DUE_START,
	[CONN_REQUEST_SETUP] = REPLY_DUE_PLAIN,
	[CONN_REQUEST_BEGIN] = REPLY_DUE_PLAIN,
	[CONN_REQUEST_STATEMENT] = REPLY_DUE_STATEMENT,
	[CONN_REQUEST_ROLLBACK] = REPLY_DUE_PLAIN,
	[CONN_REQUEST_PROBE_BEGIN] = REPLY_DUE_PLAIN,
	[CONN_REQUEST_REPORT] = REPLY_DUE_REPORT,
	[CONN_REQUEST_SEAL] = REPLY_DUE_PLAIN,
};

static const enum reply_part reply_parts[] = {
	[REPLY_ROW] = REPLY_PART_ROW,
	[REPLY_DONE] = REPLY_PART_RESULT,
	[REPLY_ERROR] = REPLY_PART_ERROR,
	[REPLY_READY] = REPLY_PART_READY,
};

enum reply_fate reply_match_check(struct upstream_conn *c,
				  const struct wire_reply *r, int64_t now_us)
{
	const struct conn_request *request = upstream_conn_oldest_request(c);
	enum reply_due due =
		request ? request_dues[request->kind] : REPLY_DUE_NONE;
	enum reply_fate fate =
		reply_check_part(c->replies, due, reply_parts[r->kind],
				 r->ran_statement ? r->text : NULL,
				 r->text_bytes, now_us);

	if (!c->upstream->is_home)
		return fate;
	/* Its endpoints may have started again, with the same signatures. */
	if (fate == REPLY_IS_COPY && due == REPLY_DUE_STATEMENT)
		return REPLY_FITS;
	return fate == REPLY_FITS ? fate : REPLY_MISFITS;
}

void reply_match_drop_copy(struct upstream_conn *c, const struct wire_reply *r,
			   int64_t now_us)
{
	struct upstream *u = c->upstream;

	upstream_conn_clear_answer(c);
	/* The answer that was taken in its place may have been the copy. */
	c->unsealed.has_mark = false;
	if (r->kind != REPLY_READY)
		return;
	if (!upstream_repeats_answers(u, now_us))
		engine_log(c->engine, LOG_ANSWER_REPEATED, 0, u->entry.id,
			   c->request_count, "%s", u->service->name);
	upstream_note_repetition(u, now_us);
	metrics_add(c->engine->opts.metrics, "endpoint_repeated_answers_total",
		    u->entry.id, 1);
}

void reply_match_drop_stray(struct upstream_conn *c, const struct wire_reply *r,
			    int64_t now_us)
{
	const struct conn_request *request = upstream_conn_oldest_request(c);

	reply_match_drop_copy(c, r, now_us);
	if (r->kind == REPLY_READY && request &&
	    request->kind == CONN_REQUEST_STATEMENT)
		c->stray_us = now_us;
}
