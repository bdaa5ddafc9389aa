/*
 * quota_division.h - divides the granted part of every limit among the
 * instances, by demand. Run by the holder of the singleton duty.
 *
 * A grant counts as in use until the instance has confirmed a smaller one or
 * the grant has expired. So the sum of all grants in use never exceeds the
 * granted part. A new holder of the duty grants nothing until every instance
 * has reported what it still uses of earlier grants, or those have expired.
 */
#ifndef PROXY_QUOTA_DIVISION_H
#define PROXY_QUOTA_DIVISION_H

#include "proxy/fleet_config.h"
#include "proxy/quota.h"

struct quota_division;

/* Returns the duration of a grant; see quota_division.c. */
int64_t quota_division_grant_duration_us(void);

/* Freed with quota_division_free(). */
struct quota_division *quota_division_new(void);
void quota_division_free(struct quota_division *d);

/*
 * Starts after this instance took the duty: grants of the previous holder may
 * still be in use.
 */
void quota_division_start(struct quota_division *d, int64_t now_us);

/* A report of an instance. */
struct quota_report {
	const char *instance;
	uint64_t confirmed; /* sequence number of the last grant it applied */
	const struct quota_need *needs;
	uint32_t need_count;
};

/* Records the instance's demand and the grants that it may be using. */
void quota_division_apply_report(struct quota_division *d,
				 const struct quota_report *r, int64_t now_us);

/*
 * Sets the tolerated overrun of the limits, in thousandths of a limit. A part
 * of it is granted beyond a limit's rate.
 */
void quota_division_set_overrun(struct quota_division *d,
				uint32_t overrun_milli);

/* The grants for one instance. */
struct quota_grants {
	const char *instance;
	const struct fleet_config *config;
	/* Number of instances that share the standing part. */
	uint32_t instances;
	struct quota_need *out; /* .demand_milli_per_s holds the granted rate */
	uint32_t max; /* size of out */
	uint32_t count; /* set: number of grants in out */
	uint64_t sequence; /* set: number that the instance will confirm */
};

/*
 * Fills g->out with the instance's current part of every limit and records it
 * as in use.
 */
void quota_division_fill_grants(struct quota_division *d,
				struct quota_grants *g, int64_t now_us);

#endif
