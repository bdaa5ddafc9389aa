/* route.h - chooses the endpoint of a request. */
#ifndef CORE_ROUTE_H
#define CORE_ROUTE_H

#include "core/world.h"

#include <stdint.h>

/*
 * Sends a NEW request on its way: into the queue of an endpoint, onto its
 * transaction's connection, or into the list of those that wait for a
 * primary. Answers it when it cannot be served in time.
 */
void route_request(struct world *w, uint32_t request, int64_t now_us);

/*
 * Sends a request again after a delay, if its policy, the retry budget and
 * its deadline allow; else answers it with `error`.
 */
void route_again(struct world *w, uint32_t request, int32_t error,
		 int64_t now_us);

/* Routes the requests that wait for this group's primary. */
void route_waiting(struct world *w, uint32_t group, int64_t now_us);

/* Routes anew what is queued for an endpoint that is no longer usable. */
void route_away(struct world *w, uint32_t endpoint, int64_t now_us);

#endif
