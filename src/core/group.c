#include "core/group.h"

#include <glib.h>
#include <string.h>

enum {
	/* Minimum time between two of the newest marks. */
	RECENT_MARK_INTERVAL_US = 10 * 1000,
	/* Minimum time between two older marks. */
	OLD_MARK_INTERVAL_US = 200 * 1000,
	/* Number of newest marks, kept at the shorter interval. */
	RECENT_MARKS = 32,
};

uint32_t group_find_endpoint(const struct group *g, uint32_t endpoint)
{
	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		if (g->endpoints[i] == endpoint)
			return i;
	}
	return NO_INDEX;
}

uint32_t group_majority_size(const struct group *g)
{
	return (g->endpoint_count + g->ignored_count) / 2 + 1;
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
	/* A primary of an earlier term was replaced and must not be used. */
	if (best != NO_INDEX && best_term < g->term)
		best = NO_INDEX;
	if (best == NO_INDEX && g->primary == NO_INDEX)
		return false;
	g->primary = best;
	if (best != NO_INDEX)
		g->term = best_term;
	return true;
}

static struct group_mark *get_mark(struct group *g, uint32_t i)
{
	return &g->marks[(g->mark_first + i) % GROUP_MARKS_MAX];
}

static const struct group_mark *get_const_mark(const struct group *g,
					       uint32_t i)
{
	return &g->marks[(g->mark_first + i) % GROUP_MARKS_MAX];
}

/*
 * Removes the newest of the older marks when it is closer than
 * OLD_MARK_INTERVAL_US to the one before.
 */
static void thin_marks(struct group *g)
{
	uint32_t i;

	if (g->mark_count <= RECENT_MARKS + 1)
		return;
	i = g->mark_count - RECENT_MARKS - 1;
	if (get_mark(g, i)->requested_us - get_mark(g, i - 1)->requested_us >=
	    OLD_MARK_INTERVAL_US)
		return;
	for (; i + 1 < g->mark_count; i++)
		*get_mark(g, i) = *get_mark(g, i + 1);
	g->mark_count--;
}

void group_add_mark(struct group *g, const struct group_mark *m)
{
	if (g->mark_count) {
		const struct group_mark *last = get_mark(g, g->mark_count - 1);

		if (m->requested_us <
			    last->requested_us + RECENT_MARK_INTERVAL_US ||
		    position_cmp(m->position, last->position) < 0)
			return;
	}
	if (g->mark_count == GROUP_MARKS_MAX) {
		g->mark_first = (g->mark_first + 1) % GROUP_MARKS_MAX;
		g->mark_count--;
	}
	*get_mark(g, g->mark_count) = *m;
	g->mark_count++;
	thin_marks(g);
}

int64_t group_term_confirmed_at_us(const struct group *g,
				   const struct endpoint *endpoints,
				   uint64_t term)
{
	int64_t requested[GROUP_ENDPOINTS_MAX] = { 0 };
	uint32_t size = group_majority_size(g);
	uint32_t n = 0;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		const struct endpoint *e = &endpoints[g->endpoints[i]];
		uint32_t at = n;

		if (!e->has_status || e->status.current_term > term ||
		    endpoint_has_lost_state(e, &e->status))
			continue;
		for (; at > 0 && requested[at - 1] < e->requested_us; at--)
			requested[at] = requested[at - 1];
		requested[at] = e->requested_us;
		n++;
	}
	if (n < size)
		return INT64_MIN;
	return requested[size - 1];
}

bool group_majority_holds(const struct group *g,
			  const struct endpoint *endpoints, struct position p)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		const struct endpoint *e = &endpoints[g->endpoints[i]];

		if (!e->has_status || e->status.current_term != p.term ||
		    e->status.position.term != p.term ||
		    endpoint_has_lost_state(e, &e->status))
			continue;
		if (e->status.position.offset >= p.offset)
			n++;
	}
	return n >= group_majority_size(g);
}

int64_t group_position_current_at_us(const struct group *g,
				     const struct endpoint *endpoints,
				     struct position p)
{
	for (uint32_t i = g->mark_count; i > 0; i--) {
		const struct group_mark *m = get_const_mark(g, i - 1);

		if (!position_covers(p, m->position))
			continue;
		if (m->requested_us <=
		    group_term_confirmed_at_us(g, endpoints, m->term))
			return m->requested_us;
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
