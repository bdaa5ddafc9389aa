#include <gtest/gtest.h>

#include <cstdio>

extern "C" {
#include "serve/action_metrics.h"
}

namespace
{

/* A log event about subject "x" with value 250000, and what it adds. */
struct EventCase {
	enum log_event number;
	const char *metric;
	const char *label;
	int64_t value;
};

const EventCase events[] = {
	{ LOG_RETRIED, "retries_total", "x", 1 },
	{ LOG_CONN_SILENT, "endpoint_connections_lost_total", "x", 1 },
	{ LOG_PROMOTION_DONE, "promotions_total", "done", 1 },
	{ LOG_PROMOTION_FAILED, "promotions_total", "failed", 1 },
	{ LOG_LOAN_TAKEN, "loans_total", "borrowed", 1 },
	{ LOG_SHARE_GRANTED, "share_ppm", "x", 250000 },
};

TEST(ActionMetrics, EventsAreCounted)
{
	for (const EventCase &c : events) {
		struct metrics *m = metrics_new();
		struct action a = {};

		SCOPED_TRACE(c.metric);
		a.type = ACTION_LOG;
		a.log.number = c.number;
		a.log.value = 250000;
		snprintf(a.log.subject, sizeof(a.log.subject), "x");
		action_metrics_count(m, &a);
		EXPECT_EQ(c.value, metrics_get(m, c.metric, c.label));
		metrics_free(m);
	}
}

/* A reply, and by how much it increments the counters. */
struct ReplyCase {
	const char *name;
	enum verdict verdict;
	int32_t error;
	const char *endpoint;
	int64_t age_us;
	int64_t replica_reads;
	int64_t primary_reads;
	int64_t admitted;
	int64_t refused;
};

const ReplyCase replies[] = {
	{ "replica read", VERDICT_RAN, ERR_NONE, "n2", 5, 1, 0, 1, 0 },
	{ "primary read", VERDICT_RAN, ERR_NONE, "n1", 0, 0, 1, 1, 0 },
	{ "write", VERDICT_RAN, ERR_NONE, "n1", -1, 0, 0, 1, 0 },
	{ "over the rate", VERDICT_NOT_RUN, ERR_RATE_LIMITED, "", -1, 0, 0, 0,
	  1 },
	{ "no endpoint", VERDICT_NOT_RUN, ERR_NO_ENDPOINT, "", -1, 0, 0, 0, 0 },
	{ "lost", VERDICT_MAY_HAVE_RUN, ERR_CONNECTION_LOST, "n1", -1, 0, 0, 1,
	  0 },
};

TEST(ActionMetrics, RepliesAreCounted)
{
	for (const ReplyCase &c : replies) {
		struct metrics *m = metrics_new();
		struct reply r = {};

		SCOPED_TRACE(c.name);
		r.verdict = c.verdict;
		r.error = c.error;
		r.age_us = c.age_us;
		snprintf(r.endpoint, sizeof(r.endpoint), "%s", c.endpoint);
		action_metrics_count_reply(m, &r, "mill", "n1");
		EXPECT_EQ(1, metrics_get(m, "requests_total",
					 verdict_name(c.verdict)));
		EXPECT_EQ(c.replica_reads,
			  metrics_get(m, "reads_total", "replica"));
		EXPECT_EQ(c.primary_reads,
			  metrics_get(m, "reads_total", "primary"));
		EXPECT_EQ(c.admitted,
			  metrics_get(m, "workspace_admitted_total", "mill"));
		EXPECT_EQ(c.refused,
			  metrics_get(m, "workspace_refused_total", "mill"));
		metrics_free(m);
	}
}

} // namespace
