#include "core/observe.h"

#include "core/confirm.h"
#include "core/route.h"
#include "core/world_state.h"

void observe_update_primary(struct world *w, uint32_t row, int64_t now_us)
{
	struct group *g = world_group(w, row);

	if (group_choose_primary(g, world_endpoints(w)))
		action_queue_log(
			w->actions, LOG_PRIMARY_CHANGED, 0, g->name,
			(int64_t)g->term, "%s",
			g->primary == NO_INDEX ?
				"none" :
				world_endpoint(w, g->primary)->record.name);
	if (world_find_primary(w, g) == NO_INDEX) {
		if (!g->no_primary_since_us)
			g->no_primary_since_us = now_us;
		return;
	}
	g->no_primary_since_us = 0;
	if (g->waiting.count)
		route_waiting_requests(w, row, now_us);
}

static void record_endpoint_answer(struct world *w, struct endpoint *e)
{
	if (e->down)
		action_queue_log(w->actions, LOG_ENDPOINT_UP, 0, e->record.name,
				 0, "endpoint answers again; marked up");
	e->silent_since_us = 0;
	e->down = false;
}

void observe_status(struct world *w, uint32_t row,
		    const struct endpoint_status *s, int64_t requested_us,
		    int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, row);
	struct group *g = world_group(w, e->group);

	record_endpoint_answer(w, e);
	if (e->has_status && requested_us < e->requested_us)
		return;
	e->has_status = true;
	e->status = *s;
	e->requested_us = requested_us;
	e->latest_term = MAX(e->latest_term, s->current_term);
	e->latest_position = position_max(e->latest_position, s->position);
	if (s->role == ROLE_PRIMARY && s->current_term >= g->term) {
		struct group_mark m = { requested_us, s->current_term,
					s->position };

		group_add_mark(g, &m);
	}
	observe_update_primary(w, e->group, now_us);
	confirm_group_requests(w, e->group, now_us);
}
