#include "proxy/relay.h"

#include "proxy/conn_pool.h"
#include "proxy/dispatch.h"
#include "proxy/engine_state.h"
#include "proxy/homes.h"
#include "proxy/hop.h"
#include "proxy/relay_load.h"

#include <string.h>

/*
 * Idle connections to endpoints of an instance that is no home are closed after
 * this time.
 */
static const int64_t IDLE_MAX_US = 2 * US_PER_S;

/* At most this often: a fleet that starts changes with every entry. */
static const int64_t UPDATE_INTERVAL_US = 100 * US_PER_MS;

/* Lists the instances that may be a home, this one included. */
static GArray *list_instances(const struct engine *e, bool with_avoided)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct home_candidate));
	struct home_candidate self = { .name = e->opts.instance,
				       .zone = e->opts.zone };
	GHashTableIter it;
	gpointer value;

	if (e->opts.relay_address[0] && !e->leaving &&
	    (with_avoided || !engine_avoids_instance(e, self.name, self.zone)))
		g_array_append_val(all, self);
	g_hash_table_iter_init(&it, e->instances);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct instance_entry *i = value;
		struct home_candidate c = { .name = i->name, .zone = i->zone };

		if (i->relay[0] && strcmp(i->name, self.name) != 0 &&
		    (with_avoided ||
		     !engine_avoids_instance(e, i->name, i->zone)))
			g_array_append_val(all, c);
	}
	return all;
}

/* Operators can't ask for a fleet without homes. */
static GArray *list_candidates(const struct engine *e)
{
	GArray *c = list_instances(e, false);

	if (c->len)
		return c;
	g_array_free(c, TRUE);
	return list_instances(e, true);
}

static struct upstream *find_home(const struct service *svc,
				  const struct instance_entry *i)
{
	for (guint n = 0; n < svc->homes->len; n++) {
		struct upstream *u = g_ptr_array_index(svc->homes, n);

		if (!strcmp(u->entry.id, i->name) &&
		    !strcmp(u->entry.address, i->relay) &&
		    u->entry.started_ms == (int64_t)i->incarnation)
			return u;
	}
	return NULL;
}

static void add_home(struct engine *e, struct service *svc,
		     const struct instance_entry *i)
{
	struct upstream_entry entry = { .slots = UINT32_MAX,
					.role = ROLE_REPLICA,
					.started_ms = (int64_t)i->incarnation };

	g_strlcpy(entry.id, i->name, sizeof(entry.id));
	g_strlcpy(entry.service, svc->name, sizeof(entry.service));
	g_strlcpy(entry.address, i->relay, sizeof(entry.address));
	g_strlcpy(entry.zone, i->zone, sizeof(entry.zone));
	upstream_new_home(svc, &entry);
	engine_log(e, LOG_HOME_ADDED, 0, i->name, svc->home_count, "%s: %s",
		   svc->name, i->relay);
}

/*
 * Removes a home that gets no more work, with its idle connections. What runs
 * there ends first.
 */
static void try_remove_home(struct engine *e, struct upstream *u)
{
	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (c->state != CONN_STATE_IDLE)
			continue;
		dispatch_close_conn(c);
		i = (guint)-1; /* start over: the list changed */
	}
	if (u->conns->len)
		return;
	engine_log(e, LOG_HOME_REMOVED, 0, u->entry.id, 0, "%s",
		   u->service->name);
	upstream_free_home(u);
}

static void remove_former_homes(struct engine *e, struct service *svc)
{
	for (guint i = svc->homes->len; i-- > 0;) {
		struct upstream *u = g_ptr_array_index(svc->homes, i);

		if (u->former_home)
			try_remove_home(e, u);
	}
}

static void set_observers(struct service *svc, const struct engine *e,
			  const struct home_candidate *c, uint32_t count)
{
	uint32_t most = MIN(svc->conns_max / CONNS_PER_OBSERVER, OBSERVERS);

	for (uint32_t i = 0; i < MIN(count, most); i++)
		g_hash_table_add(svc->observers, g_strdup(c[i].name));
}

static void update_service(struct engine *e, struct service *svc,
			   GArray *candidates)
{
	struct home_candidate *c =
		(struct home_candidate *)(void *)candidates->data;
	uint32_t homes[HOMES_MAX];
	uint32_t usable = conn_pool_usable(svc);

	svc->has_homes =
		homes_are_needed(usable, e->instance_count) && candidates->len;
	svc->is_home = false;
	svc->home_count = 0;
	for (guint i = 0; i < svc->homes->len; i++)
		((struct upstream *)g_ptr_array_index(svc->homes, i))
			->former_home = true;
	g_hash_table_remove_all(svc->observers);
	if (!svc->has_homes)
		return;
	svc->home_count = homes_choose(svc, c, candidates->len, homes);
	set_observers(svc, e, c, candidates->len);
	for (uint32_t i = 0; i < svc->home_count; i++) {
		const struct instance_entry *entry =
			g_hash_table_lookup(e->instances, c[homes[i]].name);
		struct upstream *u;

		g_hash_table_add(svc->observers, g_strdup(c[homes[i]].name));
		if (!strcmp(c[homes[i]].name, e->opts.instance)) {
			svc->is_home = true;
			continue;
		}
		u = find_home(svc, entry);
		if (u)
			u->former_home = false;
		else
			add_home(e, svc, entry);
	}
}

/* Closes idle connections that a home would use better. */
static void close_idle_conns(struct upstream *u, uint32_t kept, int64_t now_us)
{
	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (c->state != CONN_STATE_IDLE || c->control ||
		    now_us - c->idle_since_us < IDLE_MAX_US ||
		    u->conns->len <= kept)
			continue;
		dispatch_close_conn(c);
		i = (guint)-1; /* start over: the list changed */
	}
}

static void run_service(struct engine *e, struct service *svc, int64_t now_us)
{
	remove_former_homes(e, svc);
	relay_load_update(e, svc, now_us);
	svc->is_observed =
		!svc->has_homes || duty_is_held(e->duty, now_us) ||
		g_hash_table_contains(svc->observers, e->opts.instance);
	if (!svc->has_homes || svc->is_home)
		return;
	for (guint i = 0; i < svc->upstreams->len; i++) {
		struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		close_idle_conns(u, svc->is_observed && u == svc->primary,
				 now_us);
	}
}

void relay_run(struct engine *e, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	GArray *candidates = NULL;

	if (e->homes_changed && now_us >= e->homes_update_us) {
		candidates = list_candidates(e);
		e->homes_changed = false;
		e->homes_update_us = now_us + UPDATE_INTERVAL_US;
	}
	g_hash_table_iter_init(&it, e->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct service *svc = value;

		if (candidates)
			update_service(e, svc, candidates);
		run_service(e, svc, now_us);
	}
	if (candidates)
		g_array_free(candidates, TRUE);
}

void relay_announce_leaving(struct engine *e)
{
	GString *out = g_string_new(NULL);
	GHashTableIter it;
	gpointer key;

	hop_put_leaving(out);
	g_hash_table_iter_init(&it, e->sessions);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct session *s = key;

		if (s->relayed && s->caller)
			e->opts.ops->caller_send(e->opts.host, s->caller,
						 out->str, out->len);
	}
	g_string_free(out, TRUE);
}
