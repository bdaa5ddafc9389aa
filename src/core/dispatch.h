/* dispatch.h - starts queued requests on connections and opens connections. */
#ifndef CORE_DISPATCH_H
#define CORE_DISPATCH_H

#include "core/world.h"

#include <stdint.h>

/* Starts queued requests as far as the endpoint's limits allow. */
void dispatch_endpoint(struct world *w, uint32_t endpoint, int64_t now_us);

/* Starts a request on the connection of its transaction. */
void dispatch_transaction(struct world *w, uint32_t request, int64_t now_us);

/*
 * Closes the connections of an endpoint that does not answer. Requests that
 * may be repeated are retried; the connections of all others stay open until
 * they answer or end.
 */
void dispatch_close_conns(struct world *w, uint32_t endpoint, int64_t now_us);

/*
 * Called each tick: starts queued requests, opens connections whose backoff
 * has ended, checks idle connections and closes those that timed out.
 */
void dispatch_run(struct world *w, int64_t now_us);

#endif
