/* outcome.h - what the end of an exchange means for its request. */
#ifndef CORE_OUTCOME_H
#define CORE_OUTCOME_H

#include "core/event.h"
#include "core/world.h"

#include <stdint.h>

/* The exchange of a NEW request ended with `x` on connection `conn`. */
void outcome_result(struct world *w, uint32_t request, uint32_t conn,
		    const struct exchange_result *x, int64_t now_us);

/* The connection was lost before the exchange of a RUNNING request ended. */
void outcome_lost(struct world *w, uint32_t request, int64_t now_us);

/* A later term is known before the request's write was confirmed. */
void outcome_replaced(struct world *w, uint32_t request, int64_t now_us);

#endif
