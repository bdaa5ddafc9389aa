#include "proxy/quota_requests.h"

#include "proxy/caller.h"
#include "proxy/engine_state.h"

#include <errno.h>
#include <string.h>

struct quota_ask {
	uint64_t sequence;
	struct session *session;
	char home[NAME_BYTES]; /* that was asked last */
	int64_t began_us;
	int64_t asked_us;
	uint32_t tried; /* a bit for each half */
	/* The best of the answers so far. */
	int rc;
	int64_t retry_us;
};

struct quota_asks {
	struct engine *engine;
	uint64_t last_sequence;
	GHashTable *open; /* &sequence to struct quota_ask */
	GHashTable *silent; /* home to int64_t: not asked until then */
};

struct quota_asks *quota_asks_new(struct engine *e)
{
	struct quota_asks *a = g_new0(struct quota_asks, 1);

	a->engine = e;
	a->open = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					g_free);
	a->silent =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return a;
}

void quota_asks_free(struct quota_asks *a)
{
	g_hash_table_destroy(a->open);
	g_hash_table_destroy(a->silent);
	g_free(a);
}

static bool is_silent(const struct quota_asks *a, const char *home,
		      int64_t now_us)
{
	const int64_t *until_us = g_hash_table_lookup(a->silent, home);

	return until_us && now_us < *until_us;
}

static void send_ask(struct quota_asks *a, struct quota_ask *q, uint64_t half,
		     const char *home, int64_t now_us)
{
	struct engine *e = a->engine;
	struct peer_message m = { .type = PEER_QUOTA_ASK };

	q->sequence = ++a->last_sequence;
	q->asked_us = now_us;
	g_strlcpy(q->home, home, sizeof(q->home));
	g_hash_table_insert(a->open, &q->sequence, q);
	g_strlcpy(m.peer, home, sizeof(m.peer));
	m.quota_ask.sequence = q->sequence;
	m.quota_ask.half = half;
	e->opts.ops->peer_send(e->opts.host, &m);
}

/* Asks for a half that was not tried; half of the operations begin with each. */
static bool ask_next(struct quota_asks *a, struct quota_ask *q, int64_t now_us)
{
	struct engine *e = a->engine;

	for (uint32_t i = 0; i < QUOTA_HALVES; i++) {
		uint32_t half =
			(uint32_t)((a->last_sequence + i) % QUOTA_HALVES);
		uint64_t number =
			quota_half_number(q->session->workspace, half);
		const char *home = quota_home(e->quota, number);

		if (q->tried & 1U << half || !strcmp(home, e->opts.instance) ||
		    is_silent(a, home, now_us))
			continue;
		q->tried |= 1U << half;
		send_ask(a, q, number, home, now_us);
		return true;
	}
	return false;
}

bool quota_asks_start(struct quota_asks *a, struct session *s, int64_t now_us)
{
	struct quota_ask *q = g_new0(struct quota_ask, 1);

	q->session = s;
	q->began_us = now_us;
	q->rc = -ETIMEDOUT;
	if (!ask_next(a, q, now_us)) {
		g_free(q);
		return false;
	}
	s->op.asking = true;
	return true;
}

static const char *answer_name(int rc)
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

/* A half that is used up says more than one that is not counted now. */
static void note_answer(struct quota_ask *q, int rc, int64_t retry_us)
{
	if (rc && q->rc == -EAGAIN)
		return;
	q->rc = rc;
	q->retry_us = retry_us;
}

/* One half's word; another one may be left. */
static void end(struct quota_asks *a, struct quota_ask *q, int rc,
		int64_t retry_us, int64_t now_us)
{
	struct session *s = q->session;
	struct metrics *m = a->engine->opts.metrics;

	g_hash_table_steal(a->open, &q->sequence);
	metrics_add(m, "quota_asks_total", answer_name(rc), 1);
	note_answer(q, rc, retry_us);
	if (rc && ask_next(a, q, now_us))
		return;
	metrics_observe(m, "quota_ask_seconds", NULL, now_us - q->began_us);
	rc = q->rc;
	retry_us = q->retry_us;
	g_free(q);
	s->op.asking = false;
	caller_quota_answer(s, rc, retry_us, now_us);
}

static void take_answer(struct quota_asks *a,
			const struct peer_quota_answer *answer, int64_t now_us)
{
	struct quota_ask *q = g_hash_table_lookup(a->open, &answer->sequence);

	/* Later than QUOTA_ASK_US: what was taken is wasted. */
	if (!q)
		return;
	g_hash_table_remove(a->silent, q->home);
	switch (answer->verdict) {
	case PEER_QUOTA_TAKEN:
		end(a, q, 0, 0, now_us);
		break;
	case PEER_QUOTA_OVER:
		end(a, q, -EAGAIN, answer->retry_us, now_us);
		break;
	default:
		end(a, q, -ESTALE, 0, now_us);
		break;
	}
}

static void take_ask(struct quota_asks *a, const struct peer_message *m,
		     int64_t now_us)
{
	struct engine *e = a->engine;
	struct peer_message out = { .type = PEER_QUOTA_ANSWER };
	struct peer_quota_answer *answer = &out.quota_answer;

	switch (quota_take_for(e->quota, m->quota_ask.half, now_us,
			       &answer->retry_us)) {
	case 0:
		answer->verdict = PEER_QUOTA_TAKEN;
		break;
	case -EAGAIN:
		answer->verdict = PEER_QUOTA_OVER;
		break;
	default:
		answer->verdict = PEER_QUOTA_NOT_HOME;
		break;
	}
	g_strlcpy(out.peer, m->peer, sizeof(out.peer));
	answer->sequence = m->quota_ask.sequence;
	e->opts.ops->peer_send(e->opts.host, &out);
}

void quota_asks_message(struct quota_asks *a, const struct peer_message *m,
			int64_t now_us)
{
	if (m->type == PEER_QUOTA_ASK)
		take_ask(a, m, now_us);
	else
		take_answer(a, &m->quota_answer, now_us);
}

void quota_asks_forget(struct quota_asks *a, struct session *s)
{
	GHashTableIter it;
	gpointer value;

	if (!s->op.asking)
		return;
	s->op.asking = false;
	g_hash_table_iter_init(&it, a->open);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((struct quota_ask *)value)->session == s)
			g_hash_table_iter_remove(&it);
	}
}

static void note_silent(struct quota_asks *a, const char *home, int64_t now_us)
{
	int64_t until_us = now_us + QUOTA_SILENT_US;

	if (!g_hash_table_contains(a->silent, home))
		engine_log(a->engine, LOG_LIMIT_HOME_SILENT, 0, home,
			   QUOTA_ASK_US, "no answer to an ask");
	g_hash_table_replace(a->silent, g_strdup(home),
			     g_memdup2(&until_us, sizeof(until_us)));
}

void quota_asks_run(struct quota_asks *a, int64_t now_us)
{
	GList *all = g_hash_table_get_values(a->open);

	for (GList *l = all; l; l = l->next) {
		struct quota_ask *q = l->data;

		if (now_us - q->asked_us < QUOTA_ASK_US)
			continue;
		note_silent(a, q->home, now_us);
		end(a, q, -ETIMEDOUT, 0, now_us);
	}
	g_list_free(all);
}
