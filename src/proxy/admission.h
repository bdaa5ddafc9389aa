/*
 * admission.h - decides whether a statement that cannot be sent now may wait.
 *
 * Statements queue up when there are more of them than connections, or while a
 * service's primary is being replaced. A statement waits only as long as the
 * caller can still use its answer. Otherwise it is refused at once with a retry
 * delay, so that the caller does not spend its time waiting.
 */
#ifndef PROXY_ADMISSION_H
#define PROXY_ADMISSION_H

#include "proxy/fleet_config.h"

#include <stdint.h>

/* Retry delay for callers if the expected wait is not known. */
#define ADMISSION_DEFAULT_RETRY_US (100 * US_PER_MS)

/* The load ahead of a statement. */
struct admission_load {
	uint32_t running; /* statements that run on connections */
	uint32_t waiting; /* statements queued ahead of it */
	int64_t latency_us; /* expected duration of one statement */
	/* Time without a primary, or ADMISSION_NO_OUTAGE. */
	int64_t outage_age_us;
	int64_t typical_outage_us; /* expected duration of an outage */
};

#define ADMISSION_NO_OUTAGE (-1)

/*
 * Returns the maximum time a statement of the route may wait, counted from its
 * arrival.
 */
int64_t admission_max_wait_us(const struct route *r,
			      const struct admission_load *l);

/* Returns the expected time until the statement can be sent. */
int64_t admission_expected_wait_us(const struct admission_load *l);

#endif
