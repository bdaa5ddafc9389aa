/*
 * confirm.h - requests that were executed and wait for a quorum.
 *
 * A write is acknowledged once a majority of the endpoints has it in the
 * primary's term. A promotion queries a majority and keeps the latest log, so
 * every later primary has the write. A strict read is answered once a
 * majority, queried after the read arrived, knew of no later term.
 */
#ifndef CORE_CONFIRM_H
#define CORE_CONFIRM_H

#include "core/position.h"
#include "core/world.h"

#include <stdint.h>

/*
 * Delays the answer of a write until a majority has `p`, then answers with
 * `verdict` and `error`. If a later term is seen first, the request is routed
 * again; see outcome_handle_primary_replaced().
 */
void confirm_write(struct world *w, uint32_t request, struct position p,
		   enum verdict verdict, int32_t error, int64_t now_us);

/*
 * Delays the answer of a read until a majority, queried at after_us or later,
 * knew of no later term than `term`. The read is routed again if a later term
 * is seen first or its data has become older than its max_age_us.
 */
void confirm_read(struct world *w, uint32_t request, uint64_t term,
		  int64_t after_us, int64_t now_us);

/*
 * Answers the group's requests that are confirmed by now and routes those
 * again whose primary was replaced.
 */
void confirm_group_requests(struct world *w, uint32_t group, int64_t now_us);

#endif
