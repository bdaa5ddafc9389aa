/* endpoint.h - state of a database endpoint as this instance sees it. */
#ifndef CORE_ENDPOINT_H
#define CORE_ENDPOINT_H

#include "core/event.h"
#include "core/list.h"
#include "core/queue.h"
#include "core/record.h"

#include <stdbool.h>
#include <stdint.h>

struct endpoint {
	struct endpoint_record record;
	bool exists; /* false after its record was deleted */
	bool platform_leaving; /* as marked in the platform's instance list */
	bool local; /* in the availability zone of this instance */
	uint32_t group; /* row */

	/* Last reported state, and when it was requested. */
	bool has_status;
	struct endpoint_status status;
	int64_t requested_us;
	/* Latest that it reported since its record was put. */
	struct position latest_position;
	uint64_t latest_term;

	/* Liveness, checked by probes on their own connection. */
	uint32_t probe_conn; /* row, or NO_INDEX */
	int64_t probe_due_us; /* when to send the next probe */
	int64_t silent_since_us; /* first unanswered probe; 0: all answered */
	bool down; /* unanswered for suspect_us */

	/* Connections and exchanges for callers' requests. */
	struct list idle; /* idle connections */
	uint32_t opening; /* connections being opened */
	uint32_t work_conns; /* connections in any state */
	uint32_t running; /* exchanges in progress */
	uint32_t pinned; /* connections held by transactions */
	uint32_t conn_limit; /* this instance's fraction of connections_max */
	uint32_t running_limit; /* this instance's limit for .running */
	int64_t open_after_us; /* open no connection earlier */
	uint32_t open_failures; /* consecutive, capped */
	int64_t mean_service_us; /* moving average of exchange durations */
	struct queue queue;
};

/* Returns true when new requests may be sent to the endpoint. */
bool endpoint_is_usable(const struct endpoint *e);

/*
 * Returns true when the endpoint is marked as leaving in its record or in the
 * platform's instance list.
 */
bool endpoint_is_leaving(const struct endpoint *e);

/*
 * Returns true when the endpoint has reported a later log or term than `s`: it
 * was started again without them, or replaced. What it confirmed before may be
 * missing, so it counts in no majority until it has them again.
 */
bool endpoint_has_lost_state(const struct endpoint *e,
			     const struct endpoint_status *s);

/*
 * Sets conn_limit and running_limit to this instance's fraction of the
 * endpoint's connections and slots, which `instances` instances share evenly.
 */
void endpoint_set_limits(struct endpoint *e, uint32_t instances);

/* Adds the duration of an exchange to the moving average. */
void endpoint_add_service_time(struct endpoint *e, int64_t duration_us);

/* Estimates how long a request waits that has `ahead` others before it. */
int64_t endpoint_estimate_wait_us(const struct endpoint *e, uint32_t ahead);

#endif
