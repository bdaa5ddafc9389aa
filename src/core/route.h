/* route.h - chooses the endpoint that serves a request. */
#ifndef CORE_ROUTE_H
#define CORE_ROUTE_H

#include "core/world.h"

#include <stdint.h>

/*
 * Routes a request in REQUEST_NEW: to the queue of an endpoint, to the
 * connection of its transaction, or to the list of requests that wait for a
 * primary. Replies with an error if it cannot be served before its deadline.
 */
void route_request(struct world *w, uint32_t request, int64_t now_us);

/*
 * Schedules a retry of a request after a delay. Replies with `error` instead if
 * its profile, the retry budget or its deadline does not allow a retry.
 */
void route_retry(struct world *w, uint32_t request, int32_t error,
		 int64_t now_us);

/* Routes the requests that wait for the group's primary. */
void route_waiting_requests(struct world *w, uint32_t group, int64_t now_us);

/* Routes anew the requests queued for an endpoint that became unusable. */
void route_requeue(struct world *w, uint32_t endpoint, int64_t now_us);

#endif
