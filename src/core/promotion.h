/*
 * promotion.h - failover: replaces the primary of a group.
 *
 * An instance allocates the next term by compare-and-swap in the platform.
 * It raises that term on a majority of the endpoints, which then refuse the
 * primaries of earlier terms, and promotes the endpoint with the latest log.
 * That log contains every entry that a majority had before. Another instance
 * that allocates a later term can safely take over at any step.
 */
#ifndef CORE_PROMOTION_H
#define CORE_PROMOTION_H

#include "core/event.h"
#include "core/world.h"

#include <stdbool.h>
#include <stdint.h>

enum { PROMOTION_VOTES_MAX = 16 }; /* members asked in one vote */

enum promotion_state {
	PROMOTION_IDLE,
	PROMOTION_VOTING, /* members vote on whether the primary is silent */
	PROMOTION_ALLOCATING_TERM, /* compare-and-swap sent to the platform */
	PROMOTION_READING_TERM, /* that answer was lost; reads the record */
	PROMOTION_RAISING_TERM, /* PLAN_RAISE_TERM sent to the endpoints */
	PROMOTION_PROMOTING, /* PLAN_PROMOTE sent to the chosen endpoint */
};

struct promotion {
	enum promotion_state state;
	uint64_t term; /* allocated or to be allocated */
	uint64_t change_id; /* identifies this allocation in the term record */
	uint64_t operation_id; /* platform operation in progress; 0: none */
	int64_t since_us; /* start of the present state */
	int64_t next_try_us; /* no attempt starts earlier */
	int64_t fault_since_us; /* when it became necessary; 0: it is not */

	/* Votes of the other members. */
	uint64_t vote_sequence; /* of the present vote */
	uint32_t silent_votes; /* votes that the primary is silent */
	uint32_t vote_count;
	char voters[PROMOTION_VOTES_MAX][NAME_BYTES]; /* that have voted */

	/*
	 * Progress on the endpoints, by index in the group's endpoints; bit i
	 * of a mask stands for index i. In PROMOTION_PROMOTING, sent_mask is 1
	 * once PLAN_PROMOTE was sent.
	 */
	uint32_t sent_mask; /* PLAN_RAISE_TERM sent */
	uint32_t raised_mask; /* answered with the new term */
	struct position positions[GROUP_ENDPOINTS_MAX]; /* if raised */
	uint32_t chosen_index; /* of the endpoint to promote */

	uint64_t completed; /* promotions that this instance finished */
};

/* System: detects groups that need a promotion and advances promotions. */
void promotion_run(struct world *w, int64_t now_us);

/* Handles an endpoint's result of PLAN_RAISE_TERM or PLAN_PROMOTE. */
void promotion_handle_answer(struct world *w, uint32_t endpoint,
			     enum exchange_plan plan,
			     const struct exchange_result *x, int64_t now_us);

/*
 * Handles an EVENT_PLATFORM_RESULT. Returns true if the operation is one that
 * a promotion waits for. Otherwise applies the term record in the result, if
 * there is one, and returns false.
 */
bool promotion_handle_platform(struct world *w, const struct platform_result *p,
			       int64_t now_us);

/*
 * Handles PEER_VOTE_REQUEST and PEER_VOTE. Returns false for other messages,
 * which are ignored.
 */
bool promotion_handle_peer(struct world *w, const struct peer_message *m,
			   int64_t now_us);

/*
 * Applies a term record of the platform, unless it is older than the known
 * one. Delays this instance's own attempt while another instance promotes.
 */
void promotion_handle_record(struct world *w, const struct record *r,
			     int64_t now_us);

/*
 * To be called when an endpoint was removed from the group. Ends a promotion
 * whose progress is kept by index in the group's endpoints.
 */
void promotion_handle_endpoint_removed(struct world *w, uint32_t group,
				       int64_t now_us);

#endif
