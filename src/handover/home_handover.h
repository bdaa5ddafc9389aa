/*
 * home_handover.h - what a home that is stopping tells its successors.
 *
 * Pure. A successor opens connections ahead of need, paced, before the leaver
 * sends it work. The message gives no right: the successor acts as a home
 * because the entries in the store say so. A lost, doubled or late message
 * costs or saves handshakes.
 */
#ifndef HANDOVER_HOME_HANDOVER_H
#define HANDOVER_HOME_HANDOVER_H

#include "core/sizes.h"

#include <stdbool.h>
#include <stdint.h>

enum {
	HANDOVER_NEEDS_MAX = 64, /* in one message */
	HANDOVER_LEAVERS_MAX = 256, /* messages that a plan remembers */
};

/* A message with a longer life is malformed. */
#define HANDOVER_VALID_MAX_US (30 * US_PER_S)

/* A workspace's connections to one endpoint. */
struct handover_need {
	uint64_t workspace; /* hash of its name */
	uint64_t endpoint; /* hash of its id */
	uint32_t rate_milli_per_s; /* of statements */
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
 * Takes a message. Returns false if it is malformed, or not newer than the last
 * one of that leaver for the service, and changes nothing then.
 */
bool handover_plan_put(struct handover_plan *p, const char *leaver,
		       const struct home_handover *h, int64_t now_us);

enum handover_verdict {
	HANDOVER_OPEN, /* open a connection now */
	HANDOVER_LATER,
	HANDOVER_NEVER, /* it is there, or not possible here */
};

typedef enum handover_verdict (*handover_judge_fn)(
	void *data, const struct handover_need *n);

/*
 * Asks `judge` about the needs of a service, the most used ones of a leaver
 * first, until it says HANDOVER_OPEN. Returns that need in *out, or false.
 * Needs to which it says HANDOVER_OPEN or HANDOVER_NEVER are done.
 */
bool handover_plan_next(struct handover_plan *p, const char *service,
			handover_judge_fn judge, void *data,
			struct handover_need *out, int64_t now_us);

#endif
