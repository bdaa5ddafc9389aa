/*
 * promotion_vote.h - the vote that precedes a promotion.
 *
 * An instance that lost only its own way to the primary must not replace
 * it, so most of the members that answer must find it silent too.
 */
#ifndef CORE_PROMOTION_VOTE_H
#define CORE_PROMOTION_VOTE_H

#include "core/promotion.h"

#include <stdbool.h>
#include <stdint.h>

/* Starts a vote: asks at most PROMOTION_VOTES_MAX of the live members. */
void promotion_vote_request(struct world *w, uint32_t group);

/* Answers PEER_VOTE_REQUEST with this instance's vote. */
void promotion_vote_answer(struct world *w, const struct peer_message *m,
			   int64_t now_us);

/*
 * Counts a PEER_VOTE, once for each member. Returns the row of the group, or
 * NO_INDEX when the message belongs to no vote in progress.
 */
uint32_t promotion_vote_count(struct world *w, const struct peer_message *m);

/* Returns true when a majority, this instance included, finds it silent. */
bool promotion_vote_passed(const struct world *w, const struct promotion *p);

#endif
