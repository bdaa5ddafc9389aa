#include "proxy/report.h"

#include "proxy/engine_state.h"
#include "proxy/failure_reports.h"

#include <string.h>

enum {
	/* Workspaces that reached their limit are logged once a second. */
	REPORTS_PER_LOG_LINE = 4,
	/* Maximum difference in rate between two clocks. */
	CLOCK_MARGIN_PERCENT = 2,
	PERCENT = 100,
};

static uint32_t list_silent_primaries(const struct engine *e, uint64_t *out,
				      uint32_t max, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, e->services);
	while (n < max && g_hash_table_iter_next(&it, NULL, &value)) {
		const struct service *svc = value;

		if (svc->is_observed && svc->primary &&
		    upstream_is_silent(svc->primary, now_us))
			out[n++] = upstream_id_hash(svc->primary);
	}
	return n;
}

static void fill_report(struct engine *e, struct peer_report *r, int64_t now_us)
{
	struct quota_need needs[PEER_RATES_MAX];

	r->sequence = ++e->report_sequence;
	r->store_revision = store_feed_revision(e->feed);
	r->confirmed = e->grant_confirmed;
	r->rate_count = quota_collect_needs(e->quota, needs,
					    G_N_ELEMENTS(needs), now_us);
	for (uint32_t i = 0; i < r->rate_count; i++) {
		r->rates[i].workspace = needs[i].workspace;
		r->rates[i].rate_milli_per_s = needs[i].demand_milli_per_s;
		r->rates[i].in_use_milli_per_s = needs[i].in_use_milli_per_s;
	}
	r->silent_count =
		list_silent_primaries(e, r->silent, PEER_SILENT_MAX, now_us);
	e->report_sent_us = now_us;
}

/* Handles a report as the duty's holder and fills in the grant for it. */
static void handle_report(struct engine *e, const char *instance,
			  const struct peer_report *r, struct peer_grant *g,
			  int64_t now_us)
{
	struct quota_need needs[PEER_RATES_MAX];
	const struct quota_report in = { .instance = instance,
					 .confirmed = r->confirmed,
					 .needs = needs,
					 .need_count = r->rate_count };
	struct quota_grants grants = { .instance = instance,
				       .config = e->config,
				       .instances = e->instance_count,
				       .out = needs,
				       .max = G_N_ELEMENTS(needs) };

	for (uint32_t i = 0; i < r->rate_count; i++) {
		needs[i].workspace = r->rates[i].workspace;
		needs[i].demand_milli_per_s = r->rates[i].rate_milli_per_s;
		needs[i].in_use_milli_per_s = r->rates[i].in_use_milli_per_s;
	}
	quota_division_apply_report(e->division, &in, now_us);
	if (strcmp(instance, e->opts.instance) != 0)
		failure_reports_update(failovers_get_reports(e->failovers),
				       instance, r->silent, r->silent_count,
				       now_us);
	g->report = r->sequence;
	g->duration_us = quota_division_grant_duration_us();
	g->store_revision = store_feed_revision(e->feed);
	g->store_age_us = store_feed_age_us(e->feed, now_us);
	if (g->store_age_us == INT64_MAX)
		g->store_age_us = -1;
	quota_division_fill_grants(e->division, &grants, now_us);
	g->sequence = grants.sequence;
	g->rate_count = grants.count;
	for (uint32_t i = 0; i < g->rate_count; i++) {
		g->rates[i].workspace = needs[i].workspace;
		g->rates[i].rate_milli_per_s = needs[i].demand_milli_per_s;
	}
}

/*
 * Applies a grant. Its duration counts from when the report was sent, by the
 * clock of this instance.
 */
static void apply_grant(struct engine *e, const char *grantor,
			const struct peer_grant *g, int64_t now_us)
{
	int64_t until_us = e->report_sent_us + g->duration_us -
			   g->duration_us * CLOCK_MARGIN_PERCENT / PERCENT;

	if (g->report != e->report_sequence)
		return;
	/*
	 * The age is as of the grantor's answer, which came after the report
	 * was sent. So the time computed here is never too late.
	 */
	if (g->store_age_us >= 0)
		store_feed_observe_revision(e->feed, g->store_revision,
					    e->report_sent_us - g->store_age_us,
					    now_us);
	g_strlcpy(e->grantor, grantor, sizeof(e->grantor));
	e->grant_confirmed = g->sequence;
	for (uint32_t i = 0; i < g->rate_count; i++)
		quota_apply_grant(e->quota, g->rates[i].workspace,
				  g->rates[i].rate_milli_per_s, until_us,
				  now_us);
}

static void handle_own_report(struct engine *e, const struct peer_report *r,
			      int64_t now_us)
{
	struct peer_grant g = { 0 };

	handle_report(e, e->opts.instance, r, &g, now_us);
	apply_grant(e, e->opts.instance, &g, now_us);
}

static void record_quota_state(void *data, const struct quota_state *s)
{
	const struct engine *e = data;

	metrics_add(e->opts.metrics, "workspace_admitted_total", s->workspace,
		    s->admitted);
	metrics_add(e->opts.metrics, "workspace_refused_total", s->workspace,
		    s->refused);
	if (!s->refused)
		return;
	engine_log(e, LOG_LIMIT_REACHED, 0, s->workspace, s->refused,
		   "admitted %u; rate %u grant %u limit %u level %u milli",
		   s->admitted, s->rate_milli_per_s, s->granted_milli_per_s,
		   s->limit_milli_per_s, s->level_milli);
}

void report_announce_duty(struct engine *e)
{
	struct peer_message m = { .type = PEER_DUTY_TAKEN };
	GHashTableIter it;
	gpointer name;

	m.duty_taken.position = duty_position(e->duty);
	g_hash_table_iter_init(&it, e->instances);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		if (!strcmp(name, e->opts.instance))
			continue;
		g_strlcpy(m.peer, name, sizeof(m.peer));
		e->opts.ops->peer_send(e->opts.host, &m);
	}
}

/* Returns the instance that gets the reports; "": nobody holds the duty. */
static const char *find_report_receiver(const struct engine *e)
{
	return e->duty_taken_position > store_feed_revision(e->feed) ?
		       e->duty_taken_by :
		       duty_holder(e->duty);
}

static void handle_duty_taken(struct engine *e, const char *instance,
			      const struct peer_duty_taken *t)
{
	if (t->position <= MAX(duty_position(e->duty), e->duty_taken_position))
		return;
	e->duty_taken_position = t->position;
	g_strlcpy(e->duty_taken_by, instance, sizeof(e->duty_taken_by));
	e->next_report_us = 0;
}

void report_run(struct engine *e, int64_t now_us)
{
	const char *holder = find_report_receiver(e);
	struct peer_message m = { .type = PEER_REPORT };
	uint64_t silent[PEER_SILENT_MAX];
	uint32_t count =
		list_silent_primaries(e, silent, G_N_ELEMENTS(silent), now_us);
	/* A primary that stopped answering is reported without delay. */
	bool newly_silent = count > e->silent_primary_count;

	e->silent_primary_count = count;
	if ((now_us < e->next_report_us && !newly_silent) || !e->config)
		return;
	e->next_report_us = now_us + REPORT_INTERVAL_US;
	if (e->report_sequence % REPORTS_PER_LOG_LINE == 0)
		quota_for_each(e->quota, now_us, record_quota_state, e);
	if (strcmp(holder, e->grantor) != 0)
		e->grant_confirmed = 0;
	fill_report(e, &m.report, now_us);
	if (!strcmp(holder, e->opts.instance)) {
		if (duty_is_held(e->duty, now_us))
			handle_own_report(e, &m.report, now_us);
		return;
	}
	if (!*holder)
		return;
	g_strlcpy(m.peer, holder, sizeof(m.peer));
	e->opts.ops->peer_send(e->opts.host, &m);
}

void report_handle_message(struct engine *e, const struct peer_message *m,
			   int64_t now_us)
{
	struct peer_message out = { .type = PEER_GRANT };

	if (m->type == PEER_GRANT) {
		apply_grant(e, m->peer, &m->grant, now_us);
		return;
	}
	if (m->type == PEER_DUTY_TAKEN) {
		handle_duty_taken(e, m->peer, &m->duty_taken);
		return;
	}
	if (m->type != PEER_REPORT || !e->config ||
	    (!duty_is_held(e->duty, now_us) && !e->stop.since_us))
		return;
	/*
	 * An instance that is stopping has given up the duty: that change of
	 * the store is what the others wait for.
	 */
	change_relay_handle_report(e->change_relay, m->peer,
				   m->report.store_revision, now_us);
	if (!duty_is_held(e->duty, now_us))
		return;
	g_strlcpy(out.peer, m->peer, sizeof(out.peer));
	handle_report(e, m->peer, &m->report, &out.grant, now_us);
	e->opts.ops->peer_send(e->opts.host, &out);
}
