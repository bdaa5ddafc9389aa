/*
 * home_handover.h - what a home that is stopping tells its successor.
 *
 * Pure. The successor opens connections ahead of need, paced, while the leaver
 * closes its own, so that both together stay within the endpoint's limit. The
 * message gives no right: the successor acts as a home because the entries in
 * the store say so. A lost, doubled or late message costs or saves handshakes.
 */
#ifndef HANDOVER_HOME_HANDOVER_H
#define HANDOVER_HOME_HANDOVER_H

#include "core/sizes.h"

#include <stdbool.h>
#include <stdint.h>

enum { HANDOVER_NEEDS_MAX = 64 }; /* in one message */

/* A workspace's connections to one endpoint. */
struct handover_need {
	uint64_t workspace; /* hash of its name */
	uint64_t endpoint; /* hash of its id */
	uint32_t rate_milli_per_s; /* of operations */
};

struct home_handover {
	char service[NAME_BYTES];
	uint64_t incarnation; /* of the leaver */
	int64_t valid_us; /* counted from receipt */
	uint32_t need_count;
	struct handover_need needs[HANDOVER_NEEDS_MAX]; /* most used first */
};

/* Connections that a successor still has to open. */
struct handover_plan;

struct handover_plan *handover_plan_new(void);
void handover_plan_free(struct handover_plan *p);

/*
 * Takes a message. Returns false if it is malformed, or not newer than one of
 * that leaver, and changes nothing then.
 */
bool handover_plan_put(struct handover_plan *p, const char *leaver,
		       const struct home_handover *h, int64_t now_us);

/*
 * Returns the next connection to open now, or false: none is left, or the pace
 * does not allow one yet.
 */
bool handover_plan_next(struct handover_plan *p, char *service,
			struct handover_need *out, int64_t now_us);

#endif
