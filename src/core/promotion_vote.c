#include "core/promotion_vote.h"

#include "core/world_state.h"

#include <string.h>

void promotion_vote_start(struct world *w, uint32_t group)
{
	struct promotion *p =
		&g_array_index(w->promotions, struct promotion, group);
	struct group *g = world_group(w, group);
	struct peer_message m = { .type = PEER_VOTE_REQUEST };
	struct action a = { .type = ACTION_PEER_SEND, .peer = &m };
	uint32_t sent = 0;

	p->vote_sequence++;
	p->silent_votes = 0;
	p->vote_count = 0;
	m.incarnation = w->opts.incarnation;
	m.vote_request.sequence = p->vote_sequence;
	m.vote_request.term = g->term;
	g_strlcpy(m.vote_request.group, g->name, sizeof(m.vote_request.group));
	for (uint32_t i = 0; i < member_count(w->members); i++) {
		const struct member *peer = member_at(w->members, i);

		if (!peer->alive || sent == PROMOTION_VOTES_MAX)
			continue;
		sent++;
		g_strlcpy(m.peer, peer->name, sizeof(m.peer));
		action_queue_push(w->actions, &a);
	}
}

void promotion_vote_handle_request(struct world *w,
				   const struct peer_message *m, int64_t now_us)
{
	uint32_t row = world_find_group(w, m->vote_request.group);
	struct peer_message out = { .type = PEER_VOTE };
	struct action a = { .type = ACTION_PEER_SEND, .peer = &out };
	const struct group *g;
	const struct endpoint *e;

	if (row == NO_INDEX || world_group(w, row)->primary == NO_INDEX)
		return;
	g = world_group(w, row);
	e = world_endpoint(w, g->primary);
	out.incarnation = w->opts.incarnation;
	g_strlcpy(out.peer, m->peer, sizeof(out.peer));
	g_strlcpy(out.vote.group, g->name, sizeof(out.vote.group));
	out.vote.sequence = m->vote_request.sequence;
	out.vote.term = g->term;
	out.vote.silent = g->term == m->vote_request.term &&
			  e->silent_since_us &&
			  now_us - e->silent_since_us >= w->opts.suspect_us / 2;
	action_queue_push(w->actions, &a);
}

/*
 * Adds a member to those that have voted. Returns false if it has voted before,
 * as a message may arrive twice, or if there are too many voters.
 */
static bool add_voter(struct promotion *p, const char *member)
{
	for (uint32_t i = 0; i < p->vote_count; i++) {
		if (!strcmp(p->voters[i], member))
			return false;
	}
	if (p->vote_count == PROMOTION_VOTES_MAX)
		return false;
	g_strlcpy(p->voters[p->vote_count++], member, NAME_BYTES);
	return true;
}

uint32_t promotion_vote_handle_vote(struct world *w,
				    const struct peer_message *m)
{
	uint32_t row = world_find_group(w, m->vote.group);
	struct promotion *p;

	if (row == NO_INDEX)
		return NO_INDEX;
	p = &g_array_index(w->promotions, struct promotion, row);
	if (p->state != PROMOTION_VOTING ||
	    p->vote_sequence != m->vote.sequence ||
	    m->vote.term != world_group(w, row)->term || !add_voter(p, m->peer))
		return NO_INDEX;
	if (m->vote.silent)
		p->silent_votes++;
	return row;
}

bool promotion_vote_passed(const struct world *w, const struct promotion *p)
{
	uint32_t all =
		MIN(member_count_alive(w->members), PROMOTION_VOTES_MAX) + 1;

	return p->silent_votes + 1 >= all / 2 + 1;
}
