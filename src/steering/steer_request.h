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
	STEER_AVOID_ZONE, /* both, for all in it */
	STEER_MOVE_PRIMARY, /* away from an endpoint */
	STEER_PAUSE_WRITES, /* of a workspace */
	STEER_KINDS,
};

enum { STEER_MAX_S = 24 * 3600 }; /* longest life of a request */

struct steer_request {
	enum steer_kind kind;
	char subject[NAME_BYTES]; /* endpoint, instance, zone or workspace */
	char by[NAME_BYTES]; /* the operator, for logs */
	/*
	 * End by the time of day, Unix milliseconds. Clocks may jump, so an
	 * instance also drops it by its steady clock, STEER_MAX_S after it
	 * first saw it.
	 */
	int64_t until_ms;
};

/* Requests in force, as one instance knows them. */
struct steer_table;

struct steer_table *steer_table_new(void);
void steer_table_free(struct steer_table *t);

/* Returns false, and changes nothing, if the request is malformed. */
bool steer_table_put(struct steer_table *t, const char *name,
		     const struct steer_request *r, int64_t now_us,
		     int64_t now_ms);
void steer_table_remove(struct steer_table *t, const char *name);

/* Returns true if a request of that kind for the subject is in force. */
bool steer_applies(const struct steer_table *t, enum steer_kind kind,
		   const char *subject, int64_t now_us, int64_t now_ms);

#endif
