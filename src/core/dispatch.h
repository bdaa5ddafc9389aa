/* dispatch.h - gives waiting requests to connections, and opens these. */
#ifndef CORE_DISPATCH_H
#define CORE_DISPATCH_H

#include "core/world.h"

#include <stdint.h>

/* Starts what the endpoint's queue, connections and slots allow. */
void dispatch_endpoint(struct world *w, uint32_t endpoint, int64_t now_us);

/* Starts a request on the connection of its transaction. */
void dispatch_transaction(struct world *w, uint32_t request, int64_t now_us);

/*
 * The endpoint does not answer: gives up its connections. What may be
 * repeated on them is sent elsewhere; the rest waits for its answer.
 */
void dispatch_give_up(struct world *w, uint32_t endpoint, int64_t now_us);

/*
 * System: opens connections whose delay has ended, checks idle ones and
 * retires those that went silent.
 */
void dispatch_run(struct world *w, int64_t now_us);

#endif
