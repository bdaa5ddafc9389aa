/*
 * quota_division.h - how the holder of the duty divides the granted part of
 * every limit among the instances, by what they need.
 *
 * What an instance was granted counts as in use until it has confirmed a
 * smaller grant or the larger one has ended, so the sum of all grants in
 * use never exceeds the part that is granted. A new holder grants nothing
 * until every instance has told what it still uses of earlier grants, or
 * those have ended.
 */
#ifndef PROXY_QUOTA_DIVISION_H
#define PROXY_QUOTA_DIVISION_H

#include "proxy/fleet_config.h"
#include "proxy/quota.h"

struct quota_division;

/* A grant ends by itself after this; see quota_division.c. */
int64_t quota_division_grant_us(void);

/* Freed with quota_division_free(). */
struct quota_division *quota_division_new(void);
void quota_division_free(struct quota_division *d);

/* The duty was taken: earlier grants may be in use. */
void quota_division_start(struct quota_division *d, int64_t now_us);

/* What an instance reported; `confirmed` is the last grant it applied. */
struct quota_report {
	const char *instance;
	uint64_t confirmed;
	const struct quota_need *needs;
	uint32_t need_count;
};
void quota_division_report(struct quota_division *d,
			   const struct quota_report *r, int64_t now_us);

/* What may be granted beyond a limit's rate, in thousandths of it. */
void quota_division_set_overrun(struct quota_division *d,
				uint32_t overrun_milli);

/* Who is granted what, and by which limits. */
struct quota_grants {
	const char *instance;
	const struct fleet_config *config;
	uint32_t instances; /* that divide the standing part */
	struct quota_need *out; /* .demand_milli_per_s is what is granted */
	uint32_t max; /* of out */
	uint32_t count; /* set: of out */
	uint64_t sequence; /* set: what the instance confirms */
};

/* Divides anew for one instance. */
void quota_division_grant(struct quota_division *d, struct quota_grants *g,
			  int64_t now_us);

#endif
