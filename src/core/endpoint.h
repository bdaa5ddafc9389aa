/* endpoint.h - the endpoints that this instance talks to. */
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
	bool listed_leaving; /* by the platform's list of machines */
	bool local; /* in the availability zone of this instance */
	uint32_t group;

	/* What it last said, and when it was asked. */
	bool has_status;
	struct endpoint_status status;
	int64_t asked_us;

	/* Liveness, judged by probes on fresh connections. */
	uint32_t probe_conn; /* row, or NO_INDEX */
	int64_t probe_due_us;
	int64_t silent_since_us; /* first unanswered question; 0: answers */
	bool down;

	/* Work. */
	struct list idle; /* connections */
	uint32_t opening;
	uint32_t work_conns; /* in any state */
	uint32_t running; /* exchanges under way */
	uint32_t pinned; /* connections held by transactions */
	uint32_t conn_limit; /* this instance's part of connections_max */
	uint32_t running_limit; /* this instance's part of the slots */
	int64_t open_after_us; /* no new connection before */
	uint32_t open_failures; /* in a row */
	int64_t service_us; /* moving average of an exchange */
	struct queue queue;
};

/* Returns true when new work may be sent to it. */
bool endpoint_usable(const struct endpoint *e);

/* Returns true when its record or the platform's list says so. */
bool endpoint_leaving(const struct endpoint *e);

/* Divides slots and connections over `instances`, at least 1 each. */
void endpoint_set_part(struct endpoint *e, uint32_t instances);

/* Takes the duration of one exchange into the average. */
void endpoint_add_service(struct endpoint *e, int64_t duration_us);

/* Returns when a request with `ahead` others before it would be served. */
int64_t endpoint_wait_us(const struct endpoint *e, uint32_t ahead);

#endif
