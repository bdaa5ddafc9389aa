/*
 * confirm.h - requests that ran and wait for a quorum.
 *
 * A write is acknowledged once a majority of endpoints holds it under the
 * primary's term: a promotion asks a majority and keeps the latest log, so
 * every later primary has it. A strict read is answered once a majority
 * knew of no later term after the read arrived.
 */
#ifndef CORE_CONFIRM_H
#define CORE_CONFIRM_H

#include "core/position.h"
#include "core/world.h"

#include <stdint.h>

/* Holds a write back until a majority holds `p`, then answers as said. */
void confirm_write(struct world *w, uint32_t request, struct position p,
		   enum verdict verdict, int32_t error, int64_t now_us);

/* Holds a read back until `term` was the latest after `after_us`. */
void confirm_read(struct world *w, uint32_t request, uint64_t term,
		  int64_t after_us, int64_t now_us);

/* Answers what is confirmed by now and sends again what cannot be. */
void confirm_group(struct world *w, uint32_t group, int64_t now_us);

#endif
