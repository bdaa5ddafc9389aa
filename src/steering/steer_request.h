/*
 * steer_request.h - what operators ask of the running fleet.
 *
 * A request is an entry of the store under a name of ours. It has an end, so
 * that a forgotten one does no harm for long. Every instance applies it from
 * its own watch of the store; no message passes between instances.
 */
#ifndef STEERING_STEER_REQUEST_H
#define STEERING_STEER_REQUEST_H

#include "core/sizes.h"

#include <stdbool.h>
#include <stdint.h>

enum steer_kind {
	STEER_AVOID_ENDPOINT, /* no new work but what only it can run */
	STEER_AVOID_INSTANCE, /* no home, not ready for new callers */
	STEER_AVOID_ZONE, /* its endpoints, and its instances as homes */
	STEER_MOVE_PRIMARY, /* away from an endpoint */
	STEER_PAUSE_WRITES, /* of a workspace */
	STEER_KINDS,
};

enum { STEER_MAX_S = 24 * 3600 }; /* longest life of a request */

struct steer_request {
	enum steer_kind kind;
	char subject[NAME_BYTES]; /* endpoint, instance, zone or workspace */
	char by[NAME_BYTES]; /* the operator, for logs */
	int64_t until_ms; /* end by the time of day, Unix milliseconds */
};

/* The name as operators write it, such as "avoid-zone". */
const char *steer_kind_name(enum steer_kind kind);
bool steer_kind_from_name(const char *name, enum steer_kind *out);

/*
 * Requests in force, as one instance knows them; at most one of each kind for a
 * subject. The time of day is read once, when a request is put: from then on
 * it ends by the steady clock, at the latest after STEER_MAX_S. So a clock
 * that jumps later changes nothing.
 */
struct steer_table;

struct steer_table *steer_table_new(void);
void steer_table_free(struct steer_table *t);

/*
 * Puts a request in place of the one of its kind for its subject. One that is
 * put again unchanged keeps its end, and one that has ended is not in force.
 * Returns false, and changes nothing, if the request is malformed.
 */
bool steer_table_put(struct steer_table *t, const struct steer_request *r,
		     int64_t now_us, int64_t now_ms);
void steer_table_remove(struct steer_table *t, enum steer_kind kind,
			const char *subject);

/*
 * Between the two, every request of the store is put. Those that were not are
 * removed at the end.
 */
void steer_table_begin_list(struct steer_table *t);
void steer_table_end_list(struct steer_table *t);

/* Returns how many requests have ended since the last call. */
uint32_t steer_table_expire(struct steer_table *t, int64_t now_us);

/* Returns true if a request of that kind for the subject is in force. */
bool steer_applies(const struct steer_table *t, enum steer_kind kind,
		   const char *subject, int64_t now_us);

/* Returns how long such a request remains in force; 0: there is none. */
int64_t steer_remaining_us(const struct steer_table *t, enum steer_kind kind,
			   const char *subject, int64_t now_us);

/* Returns the number of requests in force, as of that call. */
uint32_t steer_table_count(const struct steer_table *t);

#endif
