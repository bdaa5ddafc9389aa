/*
 * admission.h - how long a statement that cannot be sent now may wait.
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

/* The outage of the primary, for a statement that needs it. */
struct admission_outage {
	/* Time without a primary, or ADMISSION_NO_OUTAGE. */
	int64_t age_us;
	int64_t typical_us; /* expected duration of an outage */
};

#define ADMISSION_NO_OUTAGE (-1)

/*
 * Returns the maximum time a statement of the route may wait, counted from its
 * arrival.
 */
int64_t admission_max_wait_us(const struct route *r,
			      const struct admission_outage *o);

/* Returns the expected time until the outage ends; 0: there is none. */
int64_t admission_expected_outage_us(const struct admission_outage *o);

#endif
