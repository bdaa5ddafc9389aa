/* unit.h - one unit of work: a single request or a whole transaction. */
#ifndef BENCH_UNIT_H
#define BENCH_UNIT_H

#include "http_call.h"
#include "rate_check.h"
#include "record.h"
#include "session.h"

/* State shared by all units of a run. */
struct unit_context {
	const struct plan *plan;
	struct records *records;
	CURLM *multi;
	GRand *rand;
	struct session *sessions; /* plan->sessions for each workspace */
	struct rate_check limits[PLAN_WORKSPACES_MAX];
	uint64_t next_order;
	uint32_t nonce; /* makes order ids unique among runs */
	bool in_surge; /* a workspace is in its surge now */
};

struct unit;

/* Returns a reusable unit, freed with unit_free(). */
struct unit *unit_new(struct unit_context *ctx);
void unit_free(struct unit *u);

/* Draws the work that was due at scheduled_us; sends its first request. */
void unit_start(struct unit *u, uint32_t workspace, int64_t scheduled_us,
		int64_t now_us);

/*
 * Handles the end of the unit's current request. Returns true when the unit
 * is done and recorded, false when its next request was sent.
 */
bool unit_handle_answer(struct unit *u, CURLcode rc, int64_t now_us);

#endif
