/*
 * group.h - a database group: its primary, its quorum and the age of its
 * data.
 *
 * A mark is a log position that the primary reported, with the time at which
 * the status request was sent. It is valid only once a majority of the
 * endpoints, queried at that time or later, knew of no later term: then no
 * other primary can have confirmed a write before the mark was taken. Data
 * that covers a valid mark is at most as old as the mark.
 */
#ifndef CORE_GROUP_H
#define CORE_GROUP_H

#include "core/endpoint.h"
#include "core/list.h"
#include "core/position.h"
#include "core/record.h"

#include <stdbool.h>
#include <stdint.h>

enum { GROUP_MARKS_MAX = 128 };

struct group_mark {
	int64_t requested_us; /* when the status request was sent */
	uint64_t term; /* current term of the primary that answered */
	struct position position;
};

struct group {
	char name[NAME_BYTES];
	uint32_t endpoints[GROUP_ENDPOINTS_MAX]; /* rows of world.endpoints */
	uint32_t endpoint_count;
	/* Endpoints beyond GROUP_ENDPOINTS_MAX; they count as silent ones. */
	uint32_t ignored_count;
	uint32_t primary; /* row of the endpoint, or NO_INDEX */
	uint64_t term; /* highest term in which a primary was seen */

	struct group_mark marks[GROUP_MARKS_MAX]; /* ring, oldest first */
	uint32_t mark_first;
	uint32_t mark_count;

	struct list waiting; /* requests that wait for a primary */
	struct list unconfirmed; /* requests that wait for a quorum */
	int64_t no_primary_since_us; /* 0: there is a primary */

	/* Changes of the set of endpoints; see endpoint_set.h. */
	bool set_settled;
	int64_t set_changed_us;
	int64_t set_known_us; /* since when all instances know it; 0: no */
	struct position set_position; /* of the primary, after set_known_us */

	struct term_record term_record; /* as stored in the platform */
	int64_t term_revision; /* of term_record; 0: none is stored */
};

/* Returns the index of an endpoint's row in g->endpoints, or NO_INDEX. */
uint32_t group_find_endpoint(const struct group *g, uint32_t endpoint);

/* Returns how many endpoints are a majority of the group. */
uint32_t group_majority_size(const struct group *g);

/*
 * Sets the primary to the endpoint that reports that role in the highest
 * term. Returns true if the primary or its term changed.
 */
bool group_choose_primary(struct group *g, const struct endpoint *endpoints);

/*
 * Adds a mark from the primary's status, unless the newest mark is nearly as
 * recent or has a later position.
 */
void group_add_mark(struct group *g, const struct group_mark *m);

/*
 * Returns the latest time at which a majority of the endpoints is known to
 * have had no term later than `term`, or INT64_MIN.
 */
int64_t group_term_confirmed_at_us(const struct group *g,
				   const struct endpoint *endpoints,
				   uint64_t term);

/*
 * Returns true when a majority of the endpoints has `p` in its log, written
 * in the term of `p`, and has that term as its current one.
 */
bool group_majority_holds(const struct group *g,
			  const struct endpoint *endpoints, struct position p);

/*
 * Returns the time at which data at `p` is known to have been current, which
 * is the time of the latest valid mark that `p` covers, or INT64_MIN.
 */
int64_t group_position_current_at_us(const struct group *g,
				     const struct endpoint *endpoints,
				     struct position p);

/* Returns the highest term that an endpoint of the group reported. */
uint64_t group_max_term(const struct group *g,
			const struct endpoint *endpoints);

#endif
