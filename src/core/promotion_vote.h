/*
 * promotion_vote.h - what the members say about a group's primary.
 *
 * An instance that lost only its own way to the primary must not replace
 * it, so most of the members that answer must find it silent too.
 */
#ifndef CORE_PROMOTION_VOTE_H
#define CORE_PROMOTION_VOTE_H

#include "core/promotion.h"

#include <stdbool.h>
#include <stdint.h>

/* Asks the members that answer, PROMOTION_VIEWS_MAX at most. */
void promotion_view_ask(struct world *w, uint32_t group);

/* Answers PEER_VIEW_ASK. */
void promotion_view_answer(struct world *w, const struct peer_message *m,
			   int64_t now_us);

/*
 * Counts PEER_VIEW, once for each member. Returns the row of the group, or
 * NO_INDEX when it belongs to no question that is open.
 */
uint32_t promotion_view_count(struct world *w, const struct peer_message *m);

/* Returns true when most members, this one included, find it silent. */
bool promotion_view_agrees(const struct world *w, const struct promotion *p);

#endif
