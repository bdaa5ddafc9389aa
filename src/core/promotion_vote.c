#include "core/promotion_vote.h"

#include "core/world_state.h"

#include <string.h>

void promotion_view_ask(struct world *w, uint32_t group)
{
	struct promotion *p =
		&g_array_index(w->promotions, struct promotion, group);
	struct group *g = world_group(w, group);
	struct peer_message m = { .type = PEER_VIEW_ASK };
	struct action a = { .type = ACTION_PEER_SEND, .peer = &m };
	uint32_t asked = 0;

	p->view_sequence++;
	p->view_silent = 0;
	p->view_count = 0;
	m.incarnation = w->opts.incarnation;
	m.view_ask.sequence = p->view_sequence;
	m.view_ask.term = g->term;
	g_strlcpy(m.view_ask.group, g->name, sizeof(m.view_ask.group));
	for (uint32_t i = 0; i < member_count(w->members); i++) {
		const struct member *peer = member_at(w->members, i);

		if (!peer->alive || asked == PROMOTION_VIEWS_MAX)
			continue;
		asked++;
		g_strlcpy(m.peer, peer->name, sizeof(m.peer));
		action_queue_push(w->actions, &a);
	}
}

void promotion_view_answer(struct world *w, const struct peer_message *m,
			   int64_t now_us)
{
	uint32_t row = world_find_group(w, m->view_ask.group);
	struct peer_message out = { .type = PEER_VIEW };
	struct action a = { .type = ACTION_PEER_SEND, .peer = &out };
	const struct group *g;
	const struct endpoint *e;

	if (row == NO_INDEX || world_group(w, row)->primary == NO_INDEX)
		return;
	g = world_group(w, row);
	e = world_endpoint(w, g->primary);
	out.incarnation = w->opts.incarnation;
	g_strlcpy(out.peer, m->peer, sizeof(out.peer));
	g_strlcpy(out.view.group, g->name, sizeof(out.view.group));
	out.view.sequence = m->view_ask.sequence;
	out.view.term = g->term;
	out.view.silent = g->term == m->view_ask.term && e->silent_since_us &&
			  now_us - e->silent_since_us >= w->opts.suspect_us / 2;
	action_queue_push(w->actions, &a);
}

/* A message may arrive twice; each member has one vote. */
static bool first_view_of(struct promotion *p, const char *member)
{
	for (uint32_t i = 0; i < p->view_count; i++) {
		if (!strcmp(p->viewers[i], member))
			return false;
	}
	if (p->view_count == PROMOTION_VIEWS_MAX)
		return false;
	g_strlcpy(p->viewers[p->view_count++], member, NAME_BYTES);
	return true;
}

uint32_t promotion_view_count(struct world *w, const struct peer_message *m)
{
	uint32_t row = world_find_group(w, m->view.group);
	struct promotion *p;

	if (row == NO_INDEX)
		return NO_INDEX;
	p = &g_array_index(w->promotions, struct promotion, row);
	if (p->state != PROMOTION_ASKING ||
	    p->view_sequence != m->view.sequence ||
	    m->view.term != world_group(w, row)->term ||
	    !first_view_of(p, m->peer))
		return NO_INDEX;
	if (m->view.silent)
		p->view_silent++;
	return row;
}

bool promotion_view_agrees(const struct world *w, const struct promotion *p)
{
	uint32_t all =
		MIN(member_alive_count(w->members), PROMOTION_VIEWS_MAX) + 1;

	return p->view_silent + 1 >= all / 2 + 1;
}
