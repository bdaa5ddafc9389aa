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

/*
 * Fills at most `max` grants for an instance and returns how many, with
 * *sequence set to the number that it confirms. `instances` divide the
 * standing part.
 */
uint32_t quota_division_grants(struct quota_division *d, const char *instance,
			       const struct fleet_config *c,
			       uint32_t instances, struct quota_need *out,
			       uint32_t max, uint64_t *sequence,
			       int64_t now_us);

#endif
