#include "proxy/fleet.h"

#include "proxy/caller.h"
#include "proxy/dispatch.h"
#include "proxy/engine_state.h"
#include "proxy/exchange.h"

#include <string.h>

enum {
	/*
	 * Entries that expired while the store was unavailable come back within
	 * two seconds of its return if the endpoint is alive.
	 */
	ENTRY_RETURN_US = 2500 * 1000,
};

struct service *fleet_get_or_create_service(struct engine *e, const char *name)
{
	struct service *svc = engine_find_service(e, name);

	if (svc)
		return svc;
	svc = service_new(name);
	svc->primary_lost_us = engine_now(e);
	g_hash_table_insert(e->services, svc->name, svc);
	return svc;
}

static void configure_services(struct engine *e)
{
	const struct fleet_config *c = e->config;

	for (guint i = 0; i < c->services->len; i++) {
		const struct service_config *s =
			g_ptr_array_index(c->services, i);
		struct service *svc = fleet_get_or_create_service(e, s->name);

		svc->conns_max = MAX(s->conns_max, 1);
		svc->confirms_writes = s->confirms_writes;
		svc->smallest_max_age_us = 0;
	}
	for (guint i = 0; i < c->routes->len; i++) {
		const struct route *r = g_ptr_array_index(c->routes, i);
		struct service *svc = engine_find_service(e, r->service);

		if (!svc || r->freshness == FRESH_STRICT)
			continue;
		if (!svc->smallest_max_age_us ||
		    r->max_age_us < svc->smallest_max_age_us)
			svc->smallest_max_age_us = r->max_age_us;
	}
}

static void mark_routes_changed(struct engine *e)
{
	GHashTableIter it;
	gpointer svc;

	g_hash_table_iter_init(&it, e->services);
	while (g_hash_table_iter_next(&it, NULL, &svc))
		((struct service *)svc)->routes_changed = true;
}

static void apply_config(struct engine *e, struct store_item *item,
			 int64_t now_us)
{
	if (item->removed || !item->readable) {
		engine_log(e, LOG_CONFIG_STALE, 0, "config", item->revision,
			   "configuration is missing or malformed; "
			   "the previous one stays in force");
		return;
	}
	/* Versions may arrive in any order; an older one is never applied. */
	if (e->config && (item->revision <= e->config_revision ||
			  item->config->version < e->config->version))
		return;
	fleet_config_free(e->config);
	e->config = g_steal_pointer(&item->config);
	e->config_revision = item->revision;
	configure_services(e);
	mark_routes_changed(e);
	e->homes_changed = true;
	quota_configure(e->quota, e->config, now_us);
	engine_log(e, LOG_CONFIG_APPLIED, 0, "config", e->config->version,
		   "revision %lld, %u routes", (long long)item->revision,
		   e->config->routes->len);
	if (e->config->left_out_count)
		engine_log(e, LOG_CONFIG_ENTRY_LEFT_OUT, 0,
			   e->config->left_out_name, e->config->left_out_count,
			   "version %lld; this one is a %s",
			   (long long)e->config->version,
			   e->config->left_out_kind);
}

static void close_conns(struct upstream *u, const char *reason, int64_t now_us)
{
	while (u->conns->len)
		exchange_handle_loss(g_ptr_array_index(u->conns, 0), reason,
				     now_us);
}

void fleet_remove_upstream(struct engine *e, struct upstream *u,
			   const char *reason, int64_t now_us)
{
	engine_log(e, LOG_ENDPOINT_RELEASED, 0, u->entry.id,
		   u->missing_since_us ? now_us - u->missing_since_us : 0,
		   "%s: %s", u->entry.service, reason);
	g_hash_table_remove(e->upstreams_by_id, u->entry.id);
	failover_remove_upstream(e->failovers, u);
	close_conns(u, reason, now_us);
	engine_update_primary(e, u, PRIMARY_CLAIM_DENIED, "removed");
	upstream_free(u);
}

/*
 * Returns what a newly read entry claims about its endpoint's role. `before`
 * is the entry that it replaces, or NULL if the store had none.
 */
static enum primary_claim
classify_entry_role(const struct engine *e, const struct upstream_entry *entry,
		    const struct upstream_entry *before)
{
	const char *last;

	if (entry->role != ROLE_PRIMARY)
		return PRIMARY_CLAIM_DENIED;
	if (before)
		return before->role == ROLE_REPLICA ? PRIMARY_CLAIM_CONFIRMED :
						      PRIMARY_CLAIM_ENTRY;
	last = failovers_get_last_choice(e->failovers, entry->service);
	return !g_strcmp0(last, entry->id) ? PRIMARY_CLAIM_CONFIRMED :
					     PRIMARY_CLAIM_ENTRY;
}

static void close_idle_conns(struct upstream *u)
{
	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (c->state != CONN_STATE_IDLE || c->control)
			continue;
		dispatch_close_conn(c);
		i = (guint)-1; /* start over: the list changed */
	}
}

static void mark_upstream_missing(struct engine *e, struct upstream *u,
				  int64_t now_us)
{
	/* Restarts the period: the entry may have been back in between. */
	u->missing_since_us = now_us;
	if (!u->listed)
		return;
	u->listed = false;
	engine_log(e, LOG_ENDPOINT_LEAVING, 0, u->entry.id, 0,
		   "%s: its entry is missing from the store", u->entry.service);
	close_idle_conns(u);
}

static bool is_same_process(const struct upstream *u,
			    const struct upstream_entry *entry)
{
	return !strcmp(u->entry.address, entry->address) &&
	       !strcmp(u->entry.service, entry->service) &&
	       u->entry.started_ms == entry->started_ms;
}

/* Marks endpoints that ended before this one started at their address. */
static void mark_predecessors(const struct upstream *u)
{
	const GPtrArray *upstreams = u->service->upstreams;

	for (guint i = 0; i < upstreams->len; i++) {
		struct upstream *other = g_ptr_array_index(upstreams, i);

		if (upstream_started_before(other, u))
			other->replaced = true;
	}
}

static void put_upstream(struct engine *e, const struct upstream_entry *entry,
			 int64_t now_us)
{
	struct upstream *u = g_hash_table_lookup(e->upstreams_by_id, entry->id);
	enum primary_claim claim;
	bool same_role;
	bool known;
	bool begins_leaving;

	if (u && !is_same_process(u, entry)) {
		fleet_remove_upstream(e, u, "it was started again", now_us);
		u = NULL;
	}
	known = u && u->listed;
	if (!u) {
		u = upstream_new(fleet_get_or_create_service(e, entry->service),
				 entry);
		g_hash_table_insert(e->upstreams_by_id, u->entry.id, u);
		mark_predecessors(u);
	}
	e->homes_changed |= !known;
	if (!known)
		engine_log(e, LOG_ENDPOINT_UP, 0, entry->id, entry->slots,
			   "%s %s", entry->service, entry->address);
	begins_leaving = entry->leaving && !u->entry.leaving;
	/*
	 * An unchanged role is not counted again: the endpoint may have denied
	 * it since the entry was written.
	 */
	same_role = known && u->entry.role == entry->role;
	claim = classify_entry_role(e, entry, known ? &u->entry : NULL);
	u->entry = *entry;
	upstream_set_listed(u);
	if (begins_leaving) {
		engine_log(e, LOG_ENDPOINT_LEAVING, 0, entry->id, 0,
			   "%s: it announced its shutdown", entry->service);
		close_idle_conns(u);
	}
	if (!same_role)
		engine_update_primary(e, u, claim, "reported its role");
}

static void update_quota(struct engine *e, int64_t now_us)
{
	const struct quota_fleet f = {
		.instances =
			store_feed_revision(e->feed) ? e->instance_count : 0,
		.lease_ttl_us = engine_lease_ttl_us(e),
		.lease_until_us = store_feed_lease_end_us(e->feed),
		.settled = store_feed_is_settled(e->feed, now_us),
		.entry_asked_us = store_feed_entry_asked_us(e->feed, now_us),
		.entry_written_us = store_feed_entry_written_us(e->feed),
		.confirmed_us = store_feed_confirmed_us(e->feed),
	};

	quota_set_fleet(e->quota, &f, now_us);
}

static void count_instances(struct engine *e, int64_t now_us)
{
	GHashTableIter it;
	gpointer name;
	uint32_t rank = 0;
	uint32_t count = 1;

	g_hash_table_iter_init(&it, e->instances);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		int order = strcmp(name, e->opts.instance);

		count += order != 0;
		rank += order < 0;
	}
	e->instance_count = count;
	e->instance_rank = rank;
	e->homes_changed = true;
	store_feed_set_instances(e->feed, count);
	update_quota(e, now_us);
}

static void handle_instance_item(struct engine *e,
				 const struct store_item *item, int64_t now_us)
{
	if (!item->removed && !item->readable)
		engine_log(e, LOG_CONFIG_STALE, 0, item->name, item->revision,
			   "instance entry is malformed; it is ignored");
	if (item->removed || !item->readable) {
		g_hash_table_remove(e->instances, item->name);
		quota_remove_instance(e->quota, item->name);
	} else {
		g_hash_table_replace(e->instances, g_strdup(item->name),
				     g_memdup2(&item->instance,
					       sizeof(item->instance)));
		quota_put_instance(e->quota, &item->instance, item->revision,
				   store_feed_confirmed_us(e->feed), now_us);
	}
	e->opts.ops->peer_changed(e->opts.host, item->name,
				  item->removed || !item->readable ?
					  NULL :
					  item->instance.address);
	count_instances(e, now_us);
}

static void handle_upstream_item(struct engine *e, struct store_item *item,
				 int64_t now_us)
{
	struct upstream *u =
		g_hash_table_lookup(e->upstreams_by_id, item->name);

	if (!item->removed && item->readable)
		put_upstream(e, &item->upstream, now_us);
	else if (u && item->removed)
		mark_upstream_missing(e, u, now_us);
	else if (!item->removed)
		engine_log(e, LOG_CONFIG_STALE, 0, item->name, item->revision,
			   "endpoint entry is malformed; it is ignored");
}

static void remove_steer(struct engine *e, const struct store_item *item)
{
	steer_table_remove(e->steer, item->steer_kind, item->name);
	if (item->removed && item->steer_kind != STEER_KINDS)
		engine_log(e, LOG_STEER_CHANGED, 0, item->name, item->revision,
			   "%s: withdrawn", steer_kind_name(item->steer_kind));
}

static void handle_steer_item(struct engine *e, const struct store_item *item,
			      int64_t now_us)
{
	const struct steer_request *r = &item->steer;
	int64_t time_ms = e->opts.ops->time_ms(e->opts.host);

	e->homes_changed = true;
	if (item->removed) {
		remove_steer(e, item);
		return;
	}
	if (!item->readable || !steer_table_put(e->steer, r, now_us, time_ms)) {
		/* What it asked for before is not what it asks for now. */
		remove_steer(e, item);
		engine_log(e, LOG_STEER_MALFORMED, 0, item->name,
			   item->revision,
			   "an operator's request is malformed; not in force");
		return;
	}
	engine_log(e, LOG_STEER_CHANGED, 0, r->subject,
		   steer_remaining_us(e->steer, r->kind, r->subject, now_us) /
			   US_PER_MS,
		   "%s: requested by %s", steer_kind_name(r->kind), r->by);
}

static void expire_steer_requests(struct engine *e, int64_t now_us)
{
	uint32_t count = steer_table_expire(e->steer, now_us);

	if (!count)
		return;
	e->homes_changed = true;
	engine_log(e, LOG_STEER_CHANGED, 0, e->opts.instance, count,
		   "requests have ended; the value is their number");
}

void fleet_handle_item(struct engine *e, struct store_item *item,
		       int64_t now_us)
{
	if (e->listing && !item->removed && item->kind == ITEM_UPSTREAM)
		g_hash_table_add(e->listed_upstreams, g_strdup(item->name));
	if (e->listing && !item->removed && item->kind == ITEM_INSTANCE)
		g_hash_table_add(e->listed_instances, g_strdup(item->name));
	switch (item->kind) {
	case ITEM_CONFIG:
		apply_config(e, item, now_us);
		break;
	case ITEM_UPSTREAM:
		handle_upstream_item(e, item, now_us);
		break;
	case ITEM_INSTANCE:
		handle_instance_item(e, item, now_us);
		break;
	case ITEM_DUTY:
		duty_handle_entry(e->duty, item);
		break;
	case ITEM_CHOICE:
		failover_handle_choice(e->failovers, item, now_us);
		break;
	case ITEM_REPLICA_SET:
		replica_sets_handle_item(e->replica_sets, item, now_us);
		break;
	case ITEM_LIMITS:
		limit_record_handle_item(e->limit_record, item, now_us);
		break;
	case ITEM_STEER:
		handle_steer_item(e, item, now_us);
		break;
	default:
		break;
	}
}

/*
 * Removes instances that a list does not hold. This needs no delay: the entry
 * of an instance exists for as long as its lease.
 */
static void remove_unlisted_instances(struct engine *e, int64_t now_us)
{
	GHashTableIter it;
	gpointer name;

	g_hash_table_iter_init(&it, e->instances);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		if (g_hash_table_contains(e->listed_instances, name))
			continue;
		quota_remove_instance(e->quota, name);
		e->opts.ops->peer_changed(e->opts.host, name, NULL);
		g_hash_table_iter_remove(&it);
	}
	count_instances(e, now_us);
}

static void mark_unlisted_upstreams(struct engine *e, int64_t now_us)
{
	GList *all = g_hash_table_get_values(e->upstreams_by_id);

	for (GList *l = all; l; l = l->next) {
		struct upstream *u = l->data;

		if (!g_hash_table_contains(e->listed_upstreams, u->entry.id))
			mark_upstream_missing(e, u, now_us);
	}
	g_list_free(all);
}

void fleet_handle_list(struct engine *e, bool ends, int64_t now_us)
{
	duty_handle_list(e->duty, ends);
	limit_record_handle_list(e->limit_record, ends);
	if (!ends) {
		g_hash_table_remove_all(e->listed_upstreams);
		g_hash_table_remove_all(e->listed_instances);
		steer_table_begin_list(e->steer);
		e->listing = true;
		return;
	}
	e->listing = false;
	steer_table_end_list(e->steer);
	remove_unlisted_instances(e, now_us);
	mark_unlisted_upstreams(e, now_us);
}

void fleet_set_store_reachable(struct engine *e, bool reachable, int64_t now_us)
{
	e->entries_settle_us = reachable ? now_us + ENTRY_RETURN_US : INT64_MAX;
}

static void expire_upstream(struct engine *e, struct upstream *u,
			    int64_t now_us)
{
	engine_log(e, LOG_ENDPOINT_DOWN, 0, u->entry.id,
		   now_us - u->missing_since_us,
		   "%s: its entry did not come back", u->entry.service);
	upstream_expire(u, now_us);
	close_conns(u, "its entry did not come back", now_us);
}

void fleet_run(struct engine *e, int64_t now_us)
{
	int64_t confirmed_us = store_feed_confirmed_us(e->feed);
	GHashTableIter it;
	gpointer value;

	update_quota(e, now_us);
	expire_steer_requests(e, now_us);
	if (now_us < e->entries_settle_us)
		return;
	/*
	 * An endpoint without an entry is used for ENTRY_RETURN_US: its entry
	 * may come back, and statements that run there may end.
	 */
	g_hash_table_iter_init(&it, e->upstreams_by_id);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct upstream *u = value;

		/* The store has confirmed this after the end of the period. */
		if (!u->listed && !u->expired &&
		    confirmed_us >= u->missing_since_us + ENTRY_RETURN_US)
			expire_upstream(e, u, now_us);
	}
}

void fleet_add_unlisted_upstream(struct engine *e,
				 const struct upstream_entry *entry,
				 int64_t now_us)
{
	struct service *svc = fleet_get_or_create_service(e, entry->service);
	struct upstream *u;

	if (g_hash_table_contains(e->upstreams_by_id, entry->id))
		return;
	u = upstream_new(svc, entry);
	g_hash_table_insert(e->upstreams_by_id, u->entry.id, u);
	u->listed = false;
	u->expired = true;
	u->missing_since_us = now_us;
	if (entry->role == ROLE_PRIMARY && !svc->primary)
		svc->expired_primary = u;
	engine_log(e, LOG_ENDPOINT_DOWN, 0, entry->id, 0,
		   "%s: in the replica set, but without an entry",
		   entry->service);
}
