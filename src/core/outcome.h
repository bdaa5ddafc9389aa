/* outcome.h - handles the result of an exchange for its request. */
#ifndef CORE_OUTCOME_H
#define CORE_OUTCOME_H

#include "core/event.h"
#include "core/world.h"

#include <stdint.h>

/*
 * Handles the result `x` of the exchange of a request on connection row `conn`.
 * The caller has already set the request to REQUEST_NEW.
 */
void outcome_handle_result(struct world *w, uint32_t request, uint32_t conn,
			   const struct exchange_result *x, int64_t now_us);

/* Handles the loss of a connection while a request had an exchange on it. */
void outcome_handle_conn_lost(struct world *w, uint32_t request,
			      int64_t now_us);

/* Handles that a later term became known before a write was confirmed. */
void outcome_handle_primary_replaced(struct world *w, uint32_t request,
				     int64_t now_us);

#endif
