#include "core/group.h"

#include <glib.h>
#include <string.h>

enum {
	MARK_DENSE_US = 10 * 1000, /* least distance of the newest marks */
	MARK_SPARSE_US = 200 * 1000, /* least distance of older ones */
	MARK_DENSE_COUNT = 32, /* newest marks that are kept densely */
};

uint32_t group_place_of(const struct group *g, uint32_t endpoint)
{
	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		if (g->endpoints[i] == endpoint)
			return i;
	}
	return NO_INDEX;
}

uint32_t group_majority(const struct group *g)
{
	return g->endpoint_count / 2 + 1;
}

bool group_choose_primary(struct group *g, const struct endpoint *endpoints)
{
	uint32_t best = NO_INDEX;
	uint64_t best_term = 0;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		const struct endpoint *e = &endpoints[g->endpoints[i]];

		if (!e->exists || !e->has_status ||
		    e->status.role != ROLE_PRIMARY)
			continue;
		if (best != NO_INDEX && e->status.current_term <= best_term)
			continue;
		best = g->endpoints[i];
		best_term = e->status.current_term;
	}
	if (best == g->primary && best_term == g->term)
		return false;
	/* A primary of an earlier term never comes back. */
	if (best != NO_INDEX && best_term < g->term)
		best = NO_INDEX;
	if (best == NO_INDEX && g->primary == NO_INDEX)
		return false;
	g->primary = best;
	if (best != NO_INDEX)
		g->term = best_term;
	return true;
}

static struct group_mark *mark_at(struct group *g, uint32_t i)
{
	return &g->marks[(g->mark_first + i) % GROUP_MARKS];
}

static const struct group_mark *mark_get(const struct group *g, uint32_t i)
{
	return &g->marks[(g->mark_first + i) % GROUP_MARKS];
}

/* Removes the mark that leaves the dense part unless it is far enough. */
static void thin_marks(struct group *g)
{
	uint32_t i;

	if (g->mark_count <= MARK_DENSE_COUNT + 1)
		return;
	i = g->mark_count - MARK_DENSE_COUNT - 1;
	if (mark_at(g, i)->asked_us - mark_at(g, i - 1)->asked_us >=
	    MARK_SPARSE_US)
		return;
	for (; i + 1 < g->mark_count; i++)
		*mark_at(g, i) = *mark_at(g, i + 1);
	g->mark_count--;
}

void group_add_mark(struct group *g, const struct group_mark *m)
{
	if (g->mark_count) {
		const struct group_mark *last = mark_at(g, g->mark_count - 1);

		if (m->asked_us < last->asked_us + MARK_DENSE_US ||
		    position_cmp(m->position, last->position) < 0)
			return;
	}
	if (g->mark_count == GROUP_MARKS) {
		g->mark_first = (g->mark_first + 1) % GROUP_MARKS;
		g->mark_count--;
	}
	*mark_at(g, g->mark_count) = *m;
	g->mark_count++;
	thin_marks(g);
}

int64_t group_legitimate_until_us(const struct group *g,
				  const struct endpoint *endpoints,
				  uint64_t term)
{
	int64_t asked[GROUP_ENDPOINTS_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		const struct endpoint *e = &endpoints[g->endpoints[i]];
		uint32_t at = n;

		if (!e->has_status || e->status.current_term > term)
			continue;
		for (; at > 0 && asked[at - 1] < e->asked_us; at--)
			asked[at] = asked[at - 1];
		asked[at] = e->asked_us;
		n++;
	}
	if (n < group_majority(g))
		return INT64_MIN;
	return asked[group_majority(g) - 1];
}

bool group_holds(const struct group *g, const struct endpoint *endpoints,
		 struct position p)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		const struct endpoint *e = &endpoints[g->endpoints[i]];

		if (!e->has_status || e->status.current_term != p.term ||
		    e->status.position.term != p.term)
			continue;
		if (e->status.position.offset >= p.offset)
			n++;
	}
	return n >= group_majority(g);
}

int64_t group_current_at_us(const struct group *g,
			    const struct endpoint *endpoints, struct position p)
{
	for (uint32_t i = g->mark_count; i > 0; i--) {
		const struct group_mark *m = mark_get(g, i - 1);

		if (!position_covers(p, m->position))
			continue;
		if (m->asked_us <=
		    group_legitimate_until_us(g, endpoints, m->term))
			return m->asked_us;
	}
	return INT64_MIN;
}

uint64_t group_max_term(const struct group *g, const struct endpoint *endpoints)
{
	uint64_t max = 0;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		const struct endpoint *e = &endpoints[g->endpoints[i]];

		if (e->has_status)
			max = MAX(max, e->status.current_term);
	}
	return max;
}
