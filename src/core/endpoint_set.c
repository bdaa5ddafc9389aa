#include "core/endpoint_set.h"

#include "core/world_state.h"

#include <string.h>

void endpoint_set_note_changed(struct world *w, uint32_t group, int64_t now_us)
{
	struct group *g = world_group(w, group);

	g->set_settled = false;
	g->set_changed_us = now_us;
	g->set_known_us = 0;
	g->set_position = (struct position){ 0 };
}

/* Returns true when every known instance has applied what this one had. */
static bool members_synced_since(const struct world *w, int64_t since_us)
{
	for (uint32_t i = 0; i < member_count(w->members); i++) {
		const struct member_report *r =
			&member_at(w->members, i)->report;

		if (r->ping_sent_us < 0 || !r->was_synced ||
		    r->synced_us < since_us)
			return false;
	}
	return true;
}

/*
 * Returns true when a majority has the log that the primary had after the set
 * was known to all instances.
 */
static bool majority_has_log(const struct world *w, struct group *g)
{
	const struct endpoint *endpoints = world_endpoints(w);
	const struct endpoint *e;

	if (g->primary == NO_INDEX)
		return false;
	e = &endpoints[g->primary];
	if (!e->has_status || e->requested_us < g->set_known_us)
		return false;
	if (g->set_position.term != e->status.position.term)
		g->set_position = e->status.position;
	return group_term_confirmed_at_us(g, endpoints, g->set_position.term) >=
		       g->set_known_us &&
	       group_majority_holds(g, endpoints, g->set_position);
}

void endpoint_set_run(struct world *w, int64_t now_us)
{
	for (uint32_t i = 0; i < w->groups->len; i++) {
		struct group *g = world_group(w, i);

		if (g->set_settled)
			continue;
		if (!g->set_known_us &&
		    members_synced_since(w, g->set_changed_us))
			g->set_known_us = now_us;
		g->set_settled = g->set_known_us && majority_has_log(w, g);
	}
}

static const struct endpoint *
find_endpoint(const struct world *w, const struct group *g, const char *name)
{
	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		const struct endpoint *e = world_endpoint(w, g->endpoints[i]);

		if (!strcmp(e->record.name, name))
			return e;
	}
	return NULL;
}

bool endpoint_set_may_change(const struct world *w,
			     const struct endpoint_record *r, bool deleted)
{
	uint32_t row = world_find_group(w, r->group);
	const struct endpoint *e;

	if (row == NO_INDEX)
		return true;
	e = find_endpoint(w, world_group(w, row), r->name);
	if (deleted ? !e : e && !strcmp(e->record.address, r->address))
		return true;
	return world_group(w, row)->set_settled;
}

/* Returns the latest revision applied of an endpoint's record. */
static int64_t get_revision(const struct world *w,
			    const struct endpoint_record *e)
{
	struct record r = { .kind = RECORD_ENDPOINT, .endpoint = *e };

	return catalog_get_revision(&w->catalog, &r);
}

void endpoint_set_get_guard(const struct world *w, const char *group,
			    struct endpoint_guard *out)
{
	uint32_t row = world_find_group(w, group);
	const struct group *g = row == NO_INDEX ? NULL : world_group(w, row);

	memset(out, 0, sizeof(*out));
	g_strlcpy(out->group, group, sizeof(out->group));
	/* Every change up to the last synced revision was applied. */
	out->revision = w->revision;
	out->count = g ? g->endpoint_count : 0;
	out->members = g_new0(struct endpoint_version, out->count);
	for (uint32_t i = 0; i < out->count; i++) {
		const struct endpoint *e = world_endpoint(w, g->endpoints[i]);
		struct endpoint_version *m = &out->members[i];

		g_strlcpy(m->name, e->record.name, sizeof(m->name));
		m->revision = get_revision(w, &e->record);
		out->revision = MAX(out->revision, m->revision);
	}
}
