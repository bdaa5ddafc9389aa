/*
 * admission.h - whether a statement that cannot be sent now may wait.
 *
 * The load that this answers: more statements than connections, and a
 * service whose primary is being replaced. A statement waits only as long as
 * its answer is still worth the caller's while; otherwise the caller is told
 * at once when to come back, so that it can use the time elsewhere.
 */
#ifndef PROXY_ADMISSION_H
#define PROXY_ADMISSION_H

#include "proxy/fleet_config.h"

#include <stdint.h>

/* Told when nothing is known of what the statement waits for. */
#define ADMISSION_UNKNOWN_RETRY_US (100 * US_PER_MS)

/* What is ahead of a statement. */
struct admission_load {
	uint32_t running; /* statements that hold connections */
	uint32_t waiting; /* statements ahead of it */
	int64_t latency_us; /* of one statement */
	int64_t lost_us; /* no primary for so long, or ADMISSION_NOT_LOST */
	int64_t outage_us; /* how long such losses last */
};

#define ADMISSION_NOT_LOST (-1)

/* Returns how long a statement of the route may wait from its arrival. */
int64_t admission_hold_us(const struct route *r,
			  const struct admission_load *l);

/* Returns the expected wait. */
int64_t admission_wait_us(const struct admission_load *l);

#endif
