/* observe.h - processes status reports of endpoints. */
#ifndef CORE_OBSERVE_H
#define CORE_OBSERVE_H

#include "core/event.h"
#include "core/world.h"

#include <stdint.h>

/*
 * Processes the status `s` that an endpoint returned to a request sent at
 * requested_us. May change the group's primary and answer requests that wait
 * for confirmation.
 */
void observe_status(struct world *w, uint32_t endpoint,
		    const struct endpoint_status *s, int64_t requested_us,
		    int64_t now_us);

/*
 * Determines the group's primary again from the known statuses and, when it
 * is usable, routes the requests that wait for a primary.
 */
void observe_update_primary(struct world *w, uint32_t group, int64_t now_us);

#endif
