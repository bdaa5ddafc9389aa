#include "proxy/service_health.h"

#include "proxy/engine_state.h"

/* Less often than endpoints answer, so that each judgement has new results. */
static const int64_t JUDGE_INTERVAL_US = 250 * US_PER_MS;

static const char *const step_names[] = {
	[HEALTH_STEP_FULL] = "full",
	[HEALTH_STEP_REDUCED] = "reduced",
	[HEALTH_STEP_TRIALS] = "trials",
};

static const char *const work_names[HEALTH_WORKS] = {
	[HEALTH_READ] = "reads",
	[HEALTH_WRITE] = "writes",
	[HEALTH_HANDSHAKE] = "handshakes",
};

/* Returns false for an answer that says nothing of the endpoint's health. */
static bool classify_answer(const struct incoming_answer *a,
			    enum health_result *out)
{
	*out = HEALTH_OK;
	if (!a->failed)
		return true;
	switch (a->code) {
	case ANSWER_OVERLOADED:
	case ANSWER_LIMIT:
		*out = HEALTH_REFUSED;
		return true;
	case ANSWER_ABORTED:
	case ANSWER_FAILED:
	case ANSWER_TIMEOUT:
	case ANSWER_IN_DOUBT:
		*out = HEALTH_ERROR;
		return true;
	default:
		return false;
	}
}

void service_health_record_answer(struct upstream_conn *c, int64_t took_us,
				  int64_t now_us)
{
	struct upstream *u = c->upstream;
	enum health_result r;

	if (u->is_home || !classify_answer(&c->answer, &r))
		return;
	endpoint_health_record(u->health,
			       c->writes ? HEALTH_WRITE : HEALTH_READ, r,
			       took_us, now_us);
	if (r == HEALTH_OK && !c->writes)
		hedge_times_add(&u->service->read_times, took_us);
}

void service_health_record_start(struct upstream_conn *c, int64_t took_us,
				 int64_t now_us)
{
	struct upstream *u = c->upstream;

	if (u->is_home || c->control)
		return;
	endpoint_health_record(u->health, HEALTH_HANDSHAKE, HEALTH_OK, took_us,
			       now_us);
	hedge_times_add(&u->service->handshake_times, took_us);
}

void service_health_record_loss(struct upstream_conn *c, int64_t now_us)
{
	const struct conn_request *request = upstream_conn_oldest_request(c);
	enum health_work w = c->writes ? HEALTH_WRITE : HEALTH_READ;

	if (c->upstream->is_home || c->control || !request)
		return;
	if (request->kind == CONN_REQUEST_START) {
		/* An endpoint without room for it has denied it. */
		if (c->answer.failed)
			return;
		w = HEALTH_HANDSHAKE;
	} else if (c->state != CONN_STATE_RUNNING &&
		   c->state != CONN_STATE_CLEANUP) {
		return;
	}
	endpoint_health_record(c->upstream->health, w, HEALTH_NO_ANSWER, 0,
			       now_us);
	metrics_add(c->engine->opts.metrics, "endpoint_no_answers_total",
		    c->upstream->entry.id, 1);
}

void service_health_count_read(struct service *svc)
{
	hedge_earn(&svc->hedge_budget);
	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		endpoint_health_count_read(u->health);
	}
}

static int64_t mean_us(const struct health_counts *c)
{
	return c->done ? c->took_us / c->done : 0;
}

static void log_step(const struct engine *e, const struct upstream *u,
		     enum health_step before)
{
	const struct health_finding *f = endpoint_health_finding(u->health);
	enum health_step now = endpoint_health_step(u->health);

	engine_log(e, LOG_ENDPOINT_STEP, 0, u->entry.id,
		   endpoint_health_weight_milli(u->health),
		   "%s: %s to %s; %s %u ok %u failed %u refused %lld us; "
		   "others %u %u %u %lld us",
		   u->service->name, step_names[before], step_names[now],
		   work_names[f->work], f->own.done, f->own.failed,
		   f->own.refused, (long long)mean_us(&f->own), f->others.done,
		   f->others.failed, f->others.refused,
		   (long long)mean_us(&f->others));
}

struct judged {
	struct upstream *upstream;
	enum health_step before;
};

static void report(const struct engine *e, const struct judged *j)
{
	const struct upstream *u = j->upstream;

	if (endpoint_health_step(u->health) != j->before)
		log_step(e, u, j->before);
	metrics_set(e->opts.metrics, "endpoint_weight_milli", u->entry.id,
		    endpoint_health_weight_milli(u->health));
}

void service_health_run(struct engine *e, struct service *svc, int64_t now_us)
{
	struct endpoint_health **all;
	struct judged *judged;
	uint32_t count = 0;

	if (now_us < svc->judge_due_us)
		return;
	svc->judge_due_us = now_us + JUDGE_INTERVAL_US;
	all = g_new(struct endpoint_health *, svc->upstreams->len);
	judged = g_new(struct judged, svc->upstreams->len);
	for (guint i = 0; i < svc->upstreams->len; i++) {
		struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		if (!upstream_is_usable(u))
			continue;
		judged[count].upstream = u;
		judged[count].before = endpoint_health_step(u->health);
		all[count++] = u->health;
	}
	endpoint_health_judge(all, count, now_us);
	for (uint32_t i = 0; i < count; i++)
		report(e, &judged[i]);
	g_free(judged);
	g_free(all);
}
