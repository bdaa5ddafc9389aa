/* unit.h - one unit of work: a request, or a transaction of several. */
#ifndef BENCH_UNIT_H
#define BENCH_UNIT_H

#include "http_call.h"
#include "rate_check.h"
#include "record.h"
#include "session.h"

/* What units of one run share. */
struct unit_context {
	const struct plan *plan;
	struct records *records;
	CURLM *multi;
	GRand *rand;
	struct session *sessions; /* plan->sessions of each workspace */
	struct rate_check limits[PLAN_WORKSPACES_MAX];
	uint64_t next_order;
	uint32_t nonce; /* tells the orders of one run from another's */
	bool in_surge;
};

struct unit;

/* A reusable unit, freed with unit_free(). */
struct unit *unit_new(struct unit_context *ctx);
void unit_free(struct unit *u);

/* Sends the first request of work that was due at scheduled_us. */
void unit_start(struct unit *u, uint32_t workspace, int64_t scheduled_us,
		int64_t now_us);

/*
 * Takes the answer of its request in. Returns true when the unit is done
 * and recorded; else its next request was sent.
 */
bool unit_answered(struct unit *u, CURLcode rc, int64_t now_us);

#endif
