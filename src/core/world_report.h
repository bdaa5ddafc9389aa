/* world_report.h - figures of the core, for operators and metrics. */
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
	int64_t status_age_us; /* -1: never answered */
	uint32_t connections;
	uint32_t queued;
};

struct group_report {
	const char *name;
	const char *primary; /* "" if none */
	uint64_t term;
	uint32_t waiting; /* requests without a primary */
	uint32_t unconfirmed; /* requests that wait for a quorum */
	uint64_t promotions; /* that this instance completed */
};

struct world_report {
	int64_t config_revision; /* of the latest entry; -1: none */
	bool keys_confirmed;
	bool draining;
	uint32_t requests;
	uint32_t transactions;
	uint32_t groups;
	uint32_t endpoints;
	uint32_t members;
};

/* Strings are valid until the next event is handled. */
struct world_report world_report(const struct world *w, int64_t now_us);
struct group_report world_report_group(const struct world *w, uint32_t i);
struct endpoint_report world_report_endpoint(const struct world *w, uint32_t i,
					     int64_t now_us);
struct member_status world_report_member(const struct world *w, uint32_t i,
					 int64_t now_us);
struct limit_status world_report_limit(struct world *w, const char *workspace,
				       int64_t now_us);

/* Returns true when operators' changes may be accepted now. */
bool world_may_accept_changes(const struct world *w, int64_t now_us);

/* A change was stored through this instance; called before the answer. */
void world_change_accepted(struct world *w, int64_t revision);

/*
 * Returns the workspace of a key or an open profile: 0, or the error number
 * to answer with.
 */
int32_t world_find_workspace(const struct world *w, const uint8_t *key_digest,
			     const char *profile, char workspace[NAME_BYTES]);

#endif
