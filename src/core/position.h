/* position.h - a position in the replicated log of a database group. */
#ifndef CORE_POSITION_H
#define CORE_POSITION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The term and the offset of the last entry of a log. Positions are compared
 * by term first, because a log of a later term contains every acknowledged
 * entry of the earlier terms.
 */
struct position {
	uint64_t term;
	uint64_t offset;
};

/*
 * Compares like strcmp(): returns a negative number when a is before b, 0
 * when they are equal and a positive number when a is after b.
 */
int position_cmp(struct position a, struct position b);

/* Returns the later of two positions. */
struct position position_max(struct position a, struct position b);

/* Returns true when a log that ends at `end` contains everything up to `p`. */
bool position_covers(struct position end, struct position p);

#endif
