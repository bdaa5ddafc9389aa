/*
 * promotion.h - replaces the primary of a group.
 *
 * The instance that allocates the next term by compare-and-swap in the
 * platform raises that term on a majority of the endpoints, which makes
 * them refuse every earlier primary, and promotes the one with the latest
 * log. Whatever a majority held before is in that log. A second instance
 * that allocates a later term takes over safely at any step.
 */
#ifndef CORE_PROMOTION_H
#define CORE_PROMOTION_H

#include "core/event.h"
#include "core/world.h"

#include <stdbool.h>
#include <stdint.h>

enum { PROMOTION_VIEWS_MAX = 16 }; /* members asked for their view */

enum promotion_state {
	PROMOTION_IDLE,
	PROMOTION_ASKING, /* members whether the primary answers them */
	PROMOTION_ALLOCATING, /* the term, in the platform */
	PROMOTION_READING, /* the term record, after a lost answer */
	PROMOTION_RAISING, /* the term on the endpoints */
	PROMOTION_PROMOTING, /* the chosen endpoint */
};

struct promotion {
	enum promotion_state state;
	uint64_t term; /* allocated or to be allocated */
	uint64_t change_id;
	uint64_t operation; /* of the platform, under way */
	int64_t since_us; /* of the present state */
	int64_t next_try_us;
	int64_t fault_since_us; /* the group needs a promotion; 0: no */

	/* Members' views. */
	uint64_t view_sequence;
	uint32_t view_silent;
	uint32_t view_count;
	char viewers[PROMOTION_VIEWS_MAX][NAME_BYTES]; /* that answered */

	/* Per place of the group's endpoints. */
	uint32_t sent; /* bit: the plan was sent */
	uint32_t raised; /* bit: answered with the new term */
	struct position positions[GROUP_ENDPOINTS_MAX];
	uint32_t chosen; /* place */

	uint64_t completed; /* promotions that this instance finished */
};

/* System: notices groups that need a primary and advances promotions. */
void promotion_run(struct world *w, int64_t now_us);

/* An endpoint answered PLAN_RAISE_TERM or PLAN_PROMOTE. */
void promotion_answer(struct world *w, uint32_t endpoint,
		      enum exchange_plan plan, const struct exchange_result *x,
		      int64_t now_us);

/* Takes PLATFORM_RESULT events; returns true if it was a promotion's. */
bool promotion_platform(struct world *w, const struct platform_result *p,
			int64_t now_us);

/* Takes PEER_VIEW_ASK and PEER_VIEW; returns true if it was one. */
bool promotion_peer(struct world *w, const struct peer_message *m,
		    int64_t now_us);

/* A term record was read from the platform. */
void promotion_record(struct world *w, const struct record *r, int64_t now_us);

#endif
