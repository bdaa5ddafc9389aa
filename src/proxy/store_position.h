/*
 * store_position.h - orders the revisions of the store over its eras.
 *
 * A store that comes back from an older copy begins a new era, in which it
 * gives revisions out again. A position holds both, the era in its upper bits,
 * so positions of all eras compare as integers, and two are equal only if they
 * name the same change. Position 0 means none, in every era.
 */
#ifndef PROXY_STORE_POSITION_H
#define PROXY_STORE_POSITION_H

#include <stdint.h>

/* Leaves room for a million changes per second for more than a week. */
#define STORE_REVISION_BITS 40

static inline int64_t store_position_make(uint32_t era, int64_t revision)
{
	return revision > 0 ? (int64_t)era << STORE_REVISION_BITS | revision :
			      0;
}

static inline uint32_t store_position_era(int64_t position)
{
	return (uint32_t)(position >> STORE_REVISION_BITS);
}

static inline int64_t store_position_revision(int64_t position)
{
	return position & (((int64_t)1 << STORE_REVISION_BITS) - 1);
}

#endif
