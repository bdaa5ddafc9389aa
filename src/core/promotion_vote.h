/*
 * promotion_vote.h - the vote that precedes a promotion.
 *
 * An instance that has merely lost its own connection to the primary must not
 * replace it. So it asks other members, and a majority of them and itself must
 * find the primary silent.
 */
#ifndef CORE_PROMOTION_VOTE_H
#define CORE_PROMOTION_VOTE_H

#include "core/promotion.h"

#include <stdbool.h>
#include <stdint.h>

/* Starts a vote of at most PROMOTION_VOTES_MAX of the members alive. */
void promotion_vote_start(struct world *w, uint32_t group);

/* Answers a PEER_VOTE_REQUEST with this instance's vote, a PEER_VOTE. */
void promotion_vote_handle_request(struct world *w,
				   const struct peer_message *m,
				   int64_t now_us);

/*
 * Counts a PEER_VOTE. Returns the row of the group, or NO_INDEX when the member
 * has voted before or the message belongs to no vote in progress.
 */
uint32_t promotion_vote_handle_vote(struct world *w,
				    const struct peer_message *m);

/*
 * Returns true when a majority of the members asked and this instance, whose
 * own vote is always counted, finds the primary silent.
 */
bool promotion_vote_passed(const struct world *w, const struct promotion *p);

#endif
