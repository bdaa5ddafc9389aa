#include "proxy/quota_requests.h"

#include "proxy/caller.h"
#include "proxy/engine_state.h"

#include <errno.h>
#include <string.h>

struct quota_request {
	uint64_t sequence;
	struct session *session;
	char home[NAME_BYTES]; /* instance that got the last request */
	int64_t started_us;
	int64_t sent_us;
	uint32_t tried; /* bit i: part i has been requested */
	/* The most informative answer so far. */
	int rc;
	int64_t retry_us;
};

struct quota_requests {
	struct engine *engine;
	uint64_t last_sequence;
	GHashTable *pending; /* &sequence to struct quota_request */
	GHashTable *silent; /* home to int64_t: earliest next request */
};

struct quota_requests *quota_requests_new(struct engine *e)
{
	struct quota_requests *reqs = g_new0(struct quota_requests, 1);

	reqs->engine = e;
	reqs->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	reqs->silent =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return reqs;
}

void quota_requests_free(struct quota_requests *reqs)
{
	g_hash_table_destroy(reqs->pending);
	g_hash_table_destroy(reqs->silent);
	g_free(reqs);
}

/* Returns true if the home must not be asked now. */
static bool home_is_silent(const struct quota_requests *reqs, const char *home,
			   int64_t now_us)
{
	const int64_t *until_us = g_hash_table_lookup(reqs->silent, home);

	return until_us && now_us < *until_us;
}

static void set_silent_until(struct quota_requests *reqs, const char *home,
			     int64_t until_us)
{
	g_hash_table_replace(reqs->silent, g_strdup(home),
			     g_memdup2(&until_us, sizeof(until_us)));
}

static void send_request(struct quota_requests *reqs, struct quota_request *r,
			 const struct quota_source *src, int64_t now_us)
{
	struct engine *e = reqs->engine;
	struct peer_message m = { .type = PEER_QUOTA_REQUEST };

	r->sequence = ++reqs->last_sequence;
	r->sent_us = now_us;
	g_strlcpy(r->home, src->home, sizeof(r->home));
	g_hash_table_insert(reqs->pending, &r->sequence, r);
	/* Only one request tries whether a silent home answers again. */
	if (g_hash_table_contains(reqs->silent, src->home))
		set_silent_until(reqs, src->home,
				 now_us + QUOTA_REQUEST_TIMEOUT_US);
	g_strlcpy(m.peer, src->home, sizeof(m.peer));
	m.quota_request.sequence = r->sequence;
	m.quota_request.part = src->part;
	e->opts.ops->peer_send(e->opts.host, &m);
}

/*
 * Returns the part to ask next, or NULL: first the one of this zone, then the
 * others, of which each is the first in turn.
 */
static const struct quota_source *
choose_source(const struct quota_requests *reqs, const struct quota_request *r,
	      const struct quota_source *sources, uint32_t count,
	      int64_t now_us)
{
	const struct quota_source *found = NULL;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t at = (uint32_t)((reqs->last_sequence + i) % count);
		const struct quota_source *src = &sources[at];

		if (src->after_founder && r->rc != -ESTALE)
			continue;
		if (r->tried & 1U << at ||
		    !strcmp(src->home, reqs->engine->opts.instance) ||
		    home_is_silent(reqs, src->home, now_us))
			continue;
		if (!found || src->near)
			found = src;
	}
	return found;
}

/* Sends a request for a part that was not tried yet. */
static bool request_next_part(struct quota_requests *reqs,
			      struct quota_request *r, int64_t now_us)
{
	struct quota_source sources[QUOTA_SOURCES_MAX];
	uint32_t count =
		quota_get_sources(reqs->engine->quota, r->session->workspace,
				  now_us, sources);
	const struct quota_source *src =
		choose_source(reqs, r, sources, count, now_us);

	if (!src || now_us - r->started_us >= QUOTA_ASK_MAX_US)
		return false;
	r->tried |= 1U << (src - sources);
	send_request(reqs, r, src, now_us);
	return true;
}

bool quota_requests_start(struct quota_requests *reqs, struct session *s,
			  int rc, int64_t retry_us, int64_t now_us)
{
	struct quota_request *r = g_new0(struct quota_request, 1);

	r->session = s;
	r->started_us = now_us;
	r->rc = rc;
	r->retry_us = retry_us;
	if (!request_next_part(reqs, r, now_us)) {
		g_free(r);
		return false;
	}
	s->op.awaiting_quota = true;
	return true;
}

static const char *get_result_label(int rc)
{
	switch (rc) {
	case 0:
		return "taken";
	case -EAGAIN:
		return "over";
	case -ESTALE:
		return "not-home";
	default:
		return "no-answer";
	}
}

/*
 * Keeps the more informative of two refusals: that a part is used up, rather
 * than that it cannot be counted.
 */
static void merge_answer(struct quota_request *r, int rc, int64_t retry_us)
{
	if (rc && r->rc == -EAGAIN) {
		if (rc == -EAGAIN)
			r->retry_us = MIN(r->retry_us, retry_us);
		return;
	}
	r->rc = rc;
	r->retry_us = retry_us;
}

/* Handles the answer for one part; others may be left to try. */
static void handle_part_answer(struct quota_requests *reqs,
			       struct quota_request *r, int rc,
			       int64_t retry_us, int64_t now_us)
{
	struct session *s = r->session;
	struct metrics *m = reqs->engine->opts.metrics;

	g_hash_table_steal(reqs->pending, &r->sequence);
	metrics_add(m, "quota_asks_total", get_result_label(rc), 1);
	merge_answer(r, rc, retry_us);
	if (rc && request_next_part(reqs, r, now_us))
		return;
	metrics_observe(m, "quota_ask_seconds", NULL, now_us - r->started_us);
	rc = r->rc;
	retry_us = r->retry_us;
	g_free(r);
	if (rc == -EAGAIN)
		quota_note_no_lender(reqs->engine->quota, s->workspace, now_us,
				     retry_us);
	s->op.awaiting_quota = false;
	caller_handle_quota_result(s, rc, retry_us, now_us);
}

static void handle_answer(struct quota_requests *reqs,
			  const struct peer_quota_reply *answer, int64_t now_us)
{
	struct quota_request *r =
		g_hash_table_lookup(reqs->pending, &answer->sequence);

	/*
	 * The request has timed out or was cancelled; an operation that the
	 * home has taken for it is lost.
	 */
	if (!r)
		return;
	g_hash_table_remove(reqs->silent, r->home);
	switch (answer->verdict) {
	case PEER_QUOTA_GRANTED:
		handle_part_answer(reqs, r, 0, 0, now_us);
		break;
	case PEER_QUOTA_EXHAUSTED:
		handle_part_answer(reqs, r, -EAGAIN, answer->retry_us, now_us);
		break;
	default:
		handle_part_answer(reqs, r, -ESTALE, 0, now_us);
		break;
	}
}

static void handle_request(struct quota_requests *reqs,
			   const struct peer_message *m, int64_t now_us)
{
	struct engine *e = reqs->engine;
	struct peer_message out = { .type = PEER_QUOTA_REPLY };
	struct peer_quota_reply *answer = &out.quota_reply;

	switch (quota_take_for_peer(e->quota, m->quota_request.part, now_us,
				    &answer->retry_us)) {
	case 0:
		answer->verdict = PEER_QUOTA_GRANTED;
		break;
	case -EAGAIN:
		answer->verdict = PEER_QUOTA_EXHAUSTED;
		break;
	default:
		answer->verdict = PEER_QUOTA_NOT_HOME;
		break;
	}
	g_strlcpy(out.peer, m->peer, sizeof(out.peer));
	answer->sequence = m->quota_request.sequence;
	e->opts.ops->peer_send(e->opts.host, &out);
}

void quota_requests_handle_message(struct quota_requests *reqs,
				   const struct peer_message *m, int64_t now_us)
{
	if (m->type == PEER_QUOTA_REQUEST)
		handle_request(reqs, m, now_us);
	else
		handle_answer(reqs, &m->quota_reply, now_us);
}

void quota_requests_cancel(struct quota_requests *reqs, struct session *s)
{
	GHashTableIter it;
	gpointer value;

	if (!s->op.awaiting_quota)
		return;
	s->op.awaiting_quota = false;
	g_hash_table_iter_init(&it, reqs->pending);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((struct quota_request *)value)->session == s)
			g_hash_table_iter_remove(&it);
	}
}

static void mark_home_silent(struct quota_requests *reqs, const char *home,
			     int64_t now_us)
{
	if (!g_hash_table_contains(reqs->silent, home))
		engine_log(reqs->engine, LOG_LIMIT_HOME_SILENT, 0, home,
			   QUOTA_REQUEST_TIMEOUT_US,
			   "no answer to a quota request; "
			   "pausing requests to this home");
	set_silent_until(reqs, home, now_us + QUOTA_HOME_RETRY_US);
}

void quota_requests_check_timeouts(struct quota_requests *reqs, int64_t now_us)
{
	GList *all = g_hash_table_get_values(reqs->pending);

	for (GList *l = all; l; l = l->next) {
		struct quota_request *r = l->data;

		if (now_us - r->sent_us < QUOTA_REQUEST_TIMEOUT_US)
			continue;
		mark_home_silent(reqs, r->home, now_us);
		handle_part_answer(reqs, r, -ETIMEDOUT, 0, now_us);
	}
	g_list_free(all);
}
