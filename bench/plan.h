/* plan.h - the workload of a run, read from a JSON file. */
#ifndef BENCH_PLAN_H
#define BENCH_PLAN_H

#include <glib.h>
#include <stdint.h>

enum {
	PLAN_INSTANCES_MAX = 16,
	PLAN_GROUPS_MAX = 8,
	PLAN_ENDPOINTS_MAX = 32,
	PLAN_WORKSPACES_MAX = 16,
	PLAN_TEXT_BYTES = 96,
};

/* Kinds of work; a workspace's mix gives a weight for each. */
enum work_kind {
	WORK_READ, /* a read with the read profile, may be stale */
	WORK_STRICT, /* a read with the strict profile */
	WORK_BY_ID, /* a write with a request id */
	WORK_ONCE, /* a write that instances must not retry */
	WORK_TRANSACTION, /* begin, one write, commit */
	WORK_KIND_COUNT,
};

/* Returns the kind's name in plans and figures. */
const char *work_kind_name(enum work_kind kind);

struct plan_workspace {
	char name[PLAN_TEXT_BYTES];
	char key[PLAN_TEXT_BYTES];
	double rate_per_s; /* sent outside the surge */
	double surge_factor; /* multiplies the rate in the surge */
	int64_t surge_from_us; /* since the start of the run */
	int64_t surge_to_us;
	double limit_per_s; /* as configured for the workspace */
	double limit_burst; /* requests */
	uint32_t mix[WORK_KIND_COUNT]; /* weights */
};

struct plan_endpoint {
	char name[PLAN_TEXT_BYTES];
	char group[PLAN_TEXT_BYTES];
	uint16_t port; /* for database clients */
	uint16_t control_port; /* control commands of the stand-in */
};

struct plan {
	int64_t duration_us;
	int64_t deadline_ms;
	int64_t lag_us; /* replication lag of the stand-ins */
	uint32_t sessions; /* per workspace */
	uint32_t instance_count;
	uint32_t group_count;
	uint32_t endpoint_count;
	uint32_t workspace_count;
	char instances[PLAN_INSTANCES_MAX][PLAN_TEXT_BYTES];
	char groups[PLAN_GROUPS_MAX][PLAN_TEXT_BYTES];
	struct plan_endpoint endpoints[PLAN_ENDPOINTS_MAX];
	struct plan_workspace workspaces[PLAN_WORKSPACES_MAX];
	char read_profile[PLAN_TEXT_BYTES];
	char strict_profile[PLAN_TEXT_BYTES];
};

/*
 * Reads the plan. Returns 0, or -EINVAL after a message on standard error.
 * Longer lists than the maxima above are cut off.
 */
int plan_load(struct plan *p, const char *file);

/* Returns the requests per second that the workspace sends at that time. */
double plan_rate(const struct plan_workspace *w, int64_t since_start_us);

/* Draws a kind of work according to the workspace's mix. */
enum work_kind plan_draw_kind(const struct plan_workspace *w, GRand *rand);

#endif
