#include "serve/action_metrics.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

/* A counter that is incremented by each log event with this number. */
struct event_counter {
	enum log_event number;
	const char *metric;
	const char *label; /* NULL: the event's subject is the label */
};

static const struct event_counter event_counters[] = {
	{ LOG_RETRIED, "retries_total", NULL },
	{ LOG_CONN_LOST, "endpoint_connections_lost_total", NULL },
	{ LOG_CONN_SILENT, "endpoint_connections_lost_total", NULL },
	{ LOG_PROMOTION_DONE, "promotions_total", "done" },
	{ LOG_PROMOTION_FAILED, "promotions_total", "failed" },
	{ LOG_LOAN_GIVEN, "loans_total", "lent" },
	{ LOG_LOAN_TAKEN, "loans_total", "borrowed" },
};

static void count_event(struct metrics *m, const struct log_entry *e)
{
	for (size_t i = 0; i < G_N_ELEMENTS(event_counters); i++) {
		const struct event_counter *c = &event_counters[i];

		if ((int32_t)c->number == e->number)
			metrics_add(m, c->metric,
				    c->label ? c->label : e->subject, 1);
	}
	if (e->number == LOG_SHARE_GRANTED)
		metrics_set(m, "share_ppm", e->subject, e->value);
}

void action_metrics_count(struct metrics *m, const struct action *a)
{
	if (a->type == ACTION_LOG)
		count_event(m, &a->log);
	else if (a->type == ACTION_PEER_SEND)
		metrics_add(m, "peer_messages_sent_total", a->peer->peer, 1);
}

/*
 * Only reads have an age. The endpoint is set if the request was sent to
 * one.
 */
static bool is_served_read(const struct reply *r)
{
	return r->error == ERR_NONE && r->age_us >= 0 && r->endpoint[0];
}

void action_metrics_count_reply(struct metrics *m, const struct reply *r,
				const char *workspace, const char *primary)
{
	bool is_primary = primary && !strcmp(primary, r->endpoint);

	metrics_add(m, "requests_total", verdict_name(r->verdict), 1);
	if (r->error)
		metrics_add(m, "refusals_total", error_info(r->error)->slug, 1);
	if (is_served_read(r))
		metrics_add(m, "reads_total",
			    is_primary ? "primary" : "replica", 1);
	if (!workspace)
		return;
	if (r->error == ERR_RATE_LIMITED)
		metrics_add(m, "workspace_refused_total", workspace, 1);
	else if (r->error == ERR_NONE || r->verdict != VERDICT_NOT_RUN)
		metrics_add(m, "workspace_admitted_total", workspace, 1);
}
