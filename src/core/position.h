/* position.h - a log position of a database group. */
#ifndef CORE_POSITION_H
#define CORE_POSITION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The term of the last log entry and the offset of that entry. Positions
 * order by term first: a log of a later term contains every acknowledged
 * entry of the earlier ones.
 */
struct position {
	uint64_t term;
	uint64_t offset;
};

/* Returns a negative, zero or positive number as a is before, at, after b. */
int position_cmp(struct position a, struct position b);

/* Returns the later of two positions. */
struct position position_max(struct position a, struct position b);

/* Returns true when a log at `have` contains everything up to `want`. */
bool position_covers(struct position have, struct position want);

#endif
