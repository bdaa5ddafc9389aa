/*
 * group.h - a database group: its primary, its quorum and how old its data
 * may be.
 *
 * A mark is a log position that the primary had when it was asked. It counts
 * only once a majority of endpoints, asked later, knew of no later term: no
 * other primary can have confirmed a write before the mark was taken. Data
 * that covers a mark is at most as old as the mark.
 */
#ifndef CORE_GROUP_H
#define CORE_GROUP_H

#include "core/endpoint.h"
#include "core/list.h"
#include "core/position.h"
#include "core/record.h"

#include <stdbool.h>
#include <stdint.h>

enum { GROUP_MARKS = 128 };

struct group_mark {
	int64_t asked_us;
	uint64_t term; /* in which the primary was one */
	struct position position;
};

struct group {
	char name[NAME_BYTES];
	uint32_t endpoints[GROUP_ENDPOINTS_MAX]; /* rows */
	uint32_t endpoint_count;
	uint32_t primary; /* endpoint row, or NO_INDEX */
	uint64_t term; /* of the primary; highest seen */

	struct group_mark marks[GROUP_MARKS]; /* oldest first, a ring */
	uint32_t mark_first;
	uint32_t mark_count;

	struct list waiting; /* requests without a primary */
	struct list unconfirmed; /* requests that wait for a quorum */
	int64_t no_primary_since_us; /* 0: there is one */

	struct term_record term_record; /* as stored in the platform */
	int64_t term_revision; /* 0: not stored */
};

/* Returns the place of an endpoint's row in the group, or NO_INDEX. */
uint32_t group_place_of(const struct group *g, uint32_t endpoint);

/* Returns the majority of the group's endpoints. */
uint32_t group_majority(const struct group *g);

/*
 * Chooses the primary anew: the endpoint that says it is one, in the
 * highest term. Returns true if it changed.
 */
bool group_choose_primary(struct group *g, const struct endpoint *endpoints);

/* Adds a mark of the primary's answer, unless one is as recent. */
void group_add_mark(struct group *g, const struct group_mark *m);

/*
 * Returns the latest time at which no later term than `term` was known to a
 * majority, or INT64_MIN.
 */
int64_t group_legitimate_until_us(const struct group *g,
				  const struct endpoint *endpoints,
				  uint64_t term);

/* Returns true when a majority holds `p` under the term of `p`. */
bool group_holds(const struct group *g, const struct endpoint *endpoints,
		 struct position p);

/*
 * Returns the time of the latest mark that counts and that `p` covers, or
 * INT64_MIN: data at `p` was current at that time.
 */
int64_t group_current_at_us(const struct group *g,
			    const struct endpoint *endpoints,
			    struct position p);

/* Returns the highest term that an endpoint of the group was told of. */
uint64_t group_max_term(const struct group *g,
			const struct endpoint *endpoints);

#endif
