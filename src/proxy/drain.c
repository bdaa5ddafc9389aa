#include "proxy/drain.h"

#include "proxy/caller.h"
#include "proxy/engine_state.h"
#include "proxy/exchange.h"

bool drain_should_close_session(const struct engine *e, const struct session *s,
				int64_t now_us)
{
	return !s->op.active && s->transaction == TRANSACTION_NONE &&
	       !s->reading && g_queue_is_empty((GQueue *)&s->backlog) &&
	       stop_plan_closes_idle(&e->stop, now_us);
}

enum stop_verdict drain_judge_statement(const struct session *s, int64_t now_us)
{
	enum query_kind kind = s->op.query.kind;
	const struct stop_statement statement = {
		.in_transaction = s->transaction != TRANSACTION_NONE,
		.begins = kind == QUERY_BEGIN || kind == QUERY_BEGIN_READ,
		.commits = kind == QUERY_COMMIT,
	};

	return stop_plan_judge(&s->engine->stop, &statement, now_us);
}

static bool is_left(const struct session *s, int64_t now_us)
{
	const struct engine *e = s->engine;

	if (s->closing || s->op.active)
		return false;
	if (s->transaction == TRANSACTION_NONE)
		return drain_should_close_session(e, s, now_us);
	return stop_plan_closes_transaction(&e->stop, now_us - s->idle_since_us,
					    now_us);
}

static void run_session(struct session *s, int64_t now_us)
{
	if (s->op.active && stop_plan_ends_statements(&s->engine->stop, now_us))
		exchange_give_up_statement(s, ANSWER_IN_DOUBT,
					   "the instance is stopping", now_us);
	if (is_left(s, now_us))
		caller_close(s, now_us);
}

void drain_run(struct engine *e, int64_t now_us)
{
	GList *sessions;

	if (!e->stop.since_us)
		return;
	sessions = g_hash_table_get_keys(e->sessions);
	for (GList *l = sessions; l; l = l->next)
		run_session(l->data, now_us);
	g_list_free(sessions);
}
