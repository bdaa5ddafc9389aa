/* world_report.h - state of the core, for operators and metrics. */
#ifndef CORE_WORLD_REPORT_H
#define CORE_WORLD_REPORT_H

#include "core/limit.h"
#include "core/member.h"
#include "core/world.h"

#include <stdbool.h>
#include <stdint.h>

struct endpoint_report {
	const char *name;
	const char *group;
	const char *zone;
	bool usable;
	bool leaving;
	bool down;
	struct endpoint_status status;
	int64_t status_age_us; /* -1: the endpoint never answered */
	uint32_t connections; /* for requests, in any state */
	uint32_t queued; /* requests that wait for a connection */
};

struct group_report {
	const char *name;
	const char *primary; /* "" if none */
	uint64_t term;
	uint32_t waiting; /* requests that wait for a primary */
	uint32_t unconfirmed; /* requests that wait for a quorum */
	uint64_t promotions; /* completed by this instance */
};

struct world_report {
	int64_t config_revision; /* latest one applied; -1: none yet */
	bool keys_confirmed; /* requests with a key are served */
	bool draining;
	uint32_t requests; /* in progress */
	uint32_t transactions; /* open */
	uint32_t groups;
	uint32_t endpoints;
	uint32_t members;
};

/*
 * The functions below report the core or row `i` of one of its tables, with i
 * less than the count in struct world_report. Strings in the results are
 * valid until the next event is handled.
 */
struct world_report world_report(const struct world *w, int64_t now_us);
struct group_report world_report_group(const struct world *w, uint32_t i);
struct endpoint_report world_report_endpoint(const struct world *w, uint32_t i,
					     int64_t now_us);
struct member_status world_report_member(const struct world *w, uint32_t i,
					 int64_t now_us);
struct limit_status world_report_limit(struct world *w, const char *workspace,
				       int64_t now_us);

/* Returns true when configuration changes may be accepted now. */
bool world_may_accept_changes(const struct world *w, int64_t now_us);

/*
 * Returns true when the endpoint's record may be put, or deleted, now; see
 * endpoint_set.h.
 */
bool world_may_change_endpoint(const struct world *w,
			       const struct endpoint_record *r, bool deleted);

/*
 * Sets *out to what a change of the group's endpoints rests on here. The caller
 * frees out->members with g_free().
 */
void world_get_endpoint_guard(const struct world *w, const char *group,
			      struct endpoint_guard *out);

/*
 * Records the revision of a configuration change that was stored through this
 * instance. To be called before the operator gets the answer.
 */
void world_record_accepted_change(struct world *w, int64_t revision);

/*
 * Sets `workspace` to the one that a request is charged to: that of the
 * profile if it is open, else that of the key. key_digest is NULL if no key
 * was given. Returns 0 or the ERR_ number to answer with.
 */
int32_t world_find_workspace(const struct world *w, const uint8_t *key_digest,
			     const char *profile, char workspace[NAME_BYTES]);

#endif
