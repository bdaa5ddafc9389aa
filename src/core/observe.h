/* observe.h - takes in what endpoints say about themselves. */
#ifndef CORE_OBSERVE_H
#define CORE_OBSERVE_H

#include "core/event.h"
#include "core/world.h"

#include <stdint.h>

/*
 * An endpoint answered with `s` a question that was sent at asked_us. May
 * change the group's primary and confirm requests.
 */
void observe_status(struct world *w, uint32_t endpoint,
		    const struct endpoint_status *s, int64_t asked_us,
		    int64_t now_us);

/* Chooses the group's primary anew and routes what waits for it. */
void observe_primary(struct world *w, uint32_t group, int64_t now_us);

#endif
