#include "core/apply.h"

#include "core/admission.h"
#include "core/endpoint_set.h"
#include "core/exchange.h"
#include "core/observe.h"
#include "core/promotion.h"
#include "core/route.h"
#include "core/world_state.h"

#include <string.h>

static uint32_t add_group(struct world *w, const char *name)
{
	struct group g = { .primary = NO_INDEX };
	struct promotion p = { .state = PROMOTION_IDLE };

	g_strlcpy(g.name, name, sizeof(g.name));
	list_init(&g.waiting);
	list_init(&g.unconfirmed);
	g_array_append_val(w->groups, g);
	g_array_append_val(w->promotions, p);
	g_hash_table_insert(w->group_rows, g_strdup(name),
			    GUINT_TO_POINTER(w->groups->len));
	return w->groups->len - 1;
}

static uint32_t find_or_add_group(struct world *w, const char *name)
{
	gpointer row = g_hash_table_lookup(w->group_rows, name);

	return row ? GPOINTER_TO_UINT(row) - 1 : add_group(w, name);
}

static uint32_t find_endpoint(const struct world *w,
			      const struct endpoint_record *r)
{
	for (uint32_t i = 0; i < w->endpoints->len; i++) {
		const struct endpoint *e = world_endpoint(w, i);

		if (!strcmp(e->record.name, r->name) &&
		    !strcmp(e->record.group, r->group))
			return i;
	}
	return NO_INDEX;
}

static void add_to_group(struct group *g, uint32_t endpoint)
{
	if (g->endpoint_count < GROUP_ENDPOINTS_MAX)
		g->endpoints[g->endpoint_count++] = endpoint;
	else
		g->ignored_count++;
}

static void remove_from_group(struct group *g, uint32_t endpoint)
{
	for (uint32_t i = 0; i < g->endpoint_count; i++) {
		if (g->endpoints[i] != endpoint)
			continue;
		g->endpoint_count--;
		memmove(&g->endpoints[i], &g->endpoints[i + 1],
			(g->endpoint_count - i) * sizeof(g->endpoints[0]));
		return;
	}
	g->ignored_count--;
}

/* Uses an endpoint that was ignored, if there is one and room for it. */
static void use_ignored_endpoint(struct world *w, uint32_t group)
{
	struct group *g = world_group(w, group);

	for (uint32_t i = 0; i < w->endpoints->len && g->ignored_count; i++) {
		const struct endpoint *e = world_endpoint(w, i);

		if (g->endpoint_count == GROUP_ENDPOINTS_MAX)
			return;
		if (!e->exists || e->group != group ||
		    group_find_endpoint(g, i) != NO_INDEX)
			continue;
		g->ignored_count--;
		add_to_group(g, i);
	}
}

static uint32_t add_endpoint(struct world *w, const struct endpoint_record *r)
{
	struct endpoint e = { .record = *r, .probe_conn = NO_INDEX };

	e.group = find_or_add_group(w, r->group);
	list_init(&e.idle);
	queue_init(&e.queue);
	g_array_append_val(w->endpoints, e);
	return w->endpoints->len - 1;
}

static void close_conns(struct world *w, uint32_t endpoint, int64_t now_us)
{
	for (uint32_t i = 0; i < w->conns.high_water; i++) {
		const struct conn *c = &w->conns.rows[i];

		if (c->state != CONN_FREE && c->endpoint == endpoint &&
		    c->request == NO_INDEX)
			exchange_close_conn(w, i, now_us);
	}
}

static void handle_endpoint_change(struct world *w, uint32_t row,
				   bool was_leaving, int64_t now_us)
{
	struct endpoint *e = world_endpoint(w, row);

	if (endpoint_is_leaving(e) && !was_leaving)
		action_queue_log(w->actions, LOG_ENDPOINT_LEAVING, 0,
				 e->record.name, 0,
				 "no new requests are sent to it");
	observe_update_primary(w, e->group, now_us);
	if (!endpoint_is_usable(e))
		route_requeue(w, row, now_us);
}

static void put_endpoint(struct world *w, const struct endpoint_record *r,
			 int64_t now_us)
{
	uint32_t row = find_endpoint(w, r);
	struct endpoint *e;
	bool was_leaving;

	if (row == NO_INDEX)
		row = add_endpoint(w, r);
	e = world_endpoint(w, row);
	was_leaving = endpoint_is_leaving(e);
	if (e->exists && strcmp(e->record.address, r->address) != 0) {
		close_conns(w, row, now_us);
		e->has_status = false;
		promotion_handle_endpoint_removed(w, e->group, now_us);
		endpoint_set_note_changed(w, e->group, now_us);
	}
	e->record = *r;
	e->local = !strcmp(r->zone, w->opts.zone);
	if (!e->exists) {
		e->latest_term = 0;
		e->latest_position = (struct position){ 0 };
		add_to_group(world_group(w, e->group), row);
		endpoint_set_note_changed(w, e->group, now_us);
	}
	e->exists = true;
	endpoint_set_limits(e, w->instances);
	handle_endpoint_change(w, row, was_leaving, now_us);
}

static void delete_endpoint(struct world *w, const struct endpoint_record *r,
			    int64_t now_us)
{
	uint32_t row = find_endpoint(w, r);
	struct endpoint *e;

	if (row == NO_INDEX)
		return;
	e = world_endpoint(w, row);
	if (e->exists) {
		e->exists = false;
		remove_from_group(world_group(w, e->group), row);
		use_ignored_endpoint(w, e->group);
		promotion_handle_endpoint_removed(w, e->group, now_us);
		endpoint_set_note_changed(w, e->group, now_us);
	}
	e->has_status = false;
	close_conns(w, row, now_us);
	handle_endpoint_change(w, row, true, now_us);
}

static void put_instance(struct world *w, const struct instance_record *r,
			 bool deleted, int64_t now_us)
{
	for (uint32_t i = 0; i < w->endpoints->len; i++) {
		struct endpoint *e = world_endpoint(w, i);
		bool was_leaving = endpoint_is_leaving(e);

		if (strcmp(e->record.name, r->name) != 0)
			continue;
		e->platform_leaving = r->leaving && !deleted;
		handle_endpoint_change(w, i, was_leaving, now_us);
	}
}

void apply_instance_count(struct world *w)
{
	uint32_t n = member_count(w->members) + 1;

	if (n == w->instances)
		return;
	w->instances = n;
	for (uint32_t i = 0; i < w->endpoints->len; i++)
		endpoint_set_limits(world_endpoint(w, i), n);
}

static void put_member(struct world *w, const struct record *r, bool deleted,
		       int64_t now_us)
{
	if (!strcmp(r->member.name, w->opts.instance)) {
		limits_handle_own_member(w->limits, &r->member, deleted,
					 now_us);
		return;
	}
	if (deleted)
		member_delete(w->members, r->member.name);
	else
		member_put(w->members, &r->member);
	apply_instance_count(w);
}

static void put_workspace(struct world *w, const struct record *r, bool deleted,
			  int64_t now_us)
{
	if (deleted)
		limits_delete_workspace(w->limits, r->workspace.name,
					r->revision, now_us);
	else
		limits_put_workspace(w->limits, r, now_us);
}

static void dispatch_record(struct world *w, const struct record *r,
			    bool deleted, int64_t now_us)
{
	switch (r->kind) {
	case RECORD_PROFILE:
		break;
	case RECORD_KEY:
		if (deleted)
			admission_handle_key_withdrawn(w, r->key.digest,
						       now_us);
		break;
	case RECORD_WORKSPACE:
		put_workspace(w, r, deleted, now_us);
		break;
	case RECORD_ENDPOINT:
		if (deleted)
			delete_endpoint(w, &r->endpoint, now_us);
		else
			put_endpoint(w, &r->endpoint, now_us);
		break;
	case RECORD_TERM:
		if (!deleted)
			promotion_handle_record(w, r, now_us);
		break;
	case RECORD_SHARE:
		if (!deleted)
			limits_put_share(w->limits, r, now_us);
		break;
	case RECORD_MEMBER:
		put_member(w, r, deleted, now_us);
		break;
	case RECORD_INSTANCE:
		put_instance(w, &r->instance, deleted, now_us);
		break;
	case RECORD_KIND_COUNT:
		break;
	}
}

/* True for kinds written by operators, which arrive in revision order. */
static bool is_operator_record(enum record_kind kind)
{
	return kind == RECORD_KEY || kind == RECORD_PROFILE ||
	       kind == RECORD_WORKSPACE || kind == RECORD_ENDPOINT;
}

void apply_record(struct world *w, const struct record *r, bool deleted,
		  int64_t now_us)
{
	char name[2 * NAME_BYTES];

	catalog_format_record_name(r, name, sizeof(name));
	if (!catalog_accept_revision(&w->catalog, r)) {
		action_queue_log(w->actions, LOG_CONFIG_STALE, 0, name,
				 r->revision, "record kind %d", r->kind);
		return;
	}
	if (deleted)
		catalog_delete(&w->catalog, r);
	else
		catalog_put(&w->catalog, r);
	action_queue_log(w->actions, LOG_CONFIG_APPLIED, 0, name, r->revision,
			 "record kind %d%s", r->kind,
			 deleted ? " deleted" : "");
	dispatch_record(w, r, deleted, now_us);
	if (w->config_known && is_operator_record(r->kind))
		key_guard_note_applied(w->keys, r->revision);
}

void apply_config_synced(struct world *w, const struct config_synced *s,
			 int64_t now_us)
{
	if (s->revision < w->revision)
		return;
	w->revision = s->revision;
	w->config_known = true;
	key_guard_note_synced(w->keys, s->revision, s->requested_us, now_us);
}
