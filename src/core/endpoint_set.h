/*
 * endpoint_set.h - decides when the set of a group's endpoints may change.
 *
 * A write is acknowledged by a majority of a set, and a promotion counts a
 * majority of a set. Majorities of sets that differ by one endpoint intersect,
 * others may not. So the set may change only when it is settled:
 *  - every known instance was synced after this one applied the set, so none
 *    acknowledges writes by an earlier set. An instance that is cut off from
 *    the platform is known until its lease ends; then it serves nothing;
 *  - after that, a majority of the set had received the primary's log of that
 *    time, which has all that was acknowledged by an earlier set.
 *
 * Two changes at the same time through two instances are not prevented.
 */
#ifndef CORE_ENDPOINT_SET_H
#define CORE_ENDPOINT_SET_H

#include "core/world.h"

#include <stdbool.h>
#include <stdint.h>

/* System: finds out which groups' sets are settled. */
void endpoint_set_run(struct world *w, int64_t now_us);

/* To be called when an endpoint was added, removed or got a new address. */
void endpoint_set_note_changed(struct world *w, uint32_t group, int64_t now_us);

/*
 * Returns true when the record may be put, or deleted, without a loss of
 * acknowledged writes.
 */
bool endpoint_set_may_change(const struct world *w,
			     const struct endpoint_record *r, bool deleted);

/* See world_get_endpoint_guard(). */
void endpoint_set_get_guard(const struct world *w, const char *group,
			    struct endpoint_guard *out);

#endif
