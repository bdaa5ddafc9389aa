#include "proxy/replica_set.h"

#include "proxy/dispatch.h"
#include "proxy/engine_state.h"
#include "proxy/fleet.h"

#include <string.h>

enum {
	/* Interval of the checks of an endpoint without an entry. */
	CHECK_INTERVAL_US = 1000 * 1000,
	/* Endpoints that start together are written together. */
	WRITE_DELAY_US = 1000 * 1000,
	WRITE_RETRY_US = 200 * 1000,
	/* A leaving endpoint that is silent for this long has shut down. */
	SHUTDOWN_SILENCE_US = 1000 * 1000,
	/*
	 * Instances of the lowest ranks check as well: one of them takes the
	 * duty next, and knows then since when an endpoint has not answered.
	 */
	SUCCESSORS = 2,
};

/* The set of one service: its upstreams, and what the store has of them. */
struct replica_set {
	struct engine *engine;
	struct service *service;
	int64_t revision; /* of the stored set; 0: none was read */
	uint32_t stored_count;
	char stored_primary[NAME_BYTES]; /* "": none */
	int64_t outdated_since_us; /* the stored set; 0: it is current */
	int64_t write_not_before_us;
	bool write_pending;
};

struct replica_sets {
	struct engine *engine;
	GHashTable *by_service; /* struct service to struct replica_set */
};

struct replica_sets *replica_sets_new(struct engine *e)
{
	struct replica_sets *rs = g_new0(struct replica_sets, 1);

	rs->engine = e;
	rs->by_service = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return rs;
}

void replica_sets_free(struct replica_sets *rs)
{
	g_hash_table_destroy(rs->by_service);
	g_free(rs);
}

static struct replica_set *get_or_create_set(struct replica_sets *rs,
					     struct service *svc)
{
	struct replica_set *set = g_hash_table_lookup(rs->by_service, svc);

	if (set)
		return set;
	set = g_new0(struct replica_set, 1);
	set->engine = rs->engine;
	set->service = svc;
	g_hash_table_insert(rs->by_service, svc, set);
	return set;
}

/* The stored set. */

static bool names_process(const struct replica_set_entry *entry,
			  const struct upstream *u)
{
	for (uint32_t i = 0; i < entry->count; i++) {
		const struct upstream_entry *m = &entry->members[i];

		if (!strcmp(m->id, u->entry.id))
			return m->started_ms == u->entry.started_ms;
	}
	return false;
}

/*
 * Records which upstreams the stored set names. One that it no longer names
 * was released by the holder of the duty.
 */
static void compare_with_stored(struct replica_set *set,
				const struct replica_set_entry *entry,
				int64_t now_us)
{
	GPtrArray *upstreams = set->service->upstreams;

	for (guint i = upstreams->len; i-- > 0;) {
		struct upstream *u = g_ptr_array_index(upstreams, i);
		bool was_stored = u->stored;

		u->stored = names_process(entry, u);
		if (was_stored && !u->stored && u->expired)
			fleet_remove_upstream(set->engine, u,
					      "released from the replica set",
					      now_us);
	}
}

void replica_sets_handle_item(struct replica_sets *rs,
			      const struct store_item *item, int64_t now_us)
{
	static const struct replica_set_entry none;
	struct service *svc =
		fleet_get_or_create_service(rs->engine, item->name);
	struct replica_set *set = get_or_create_set(rs, svc);
	const struct replica_set_entry *entry = &item->replica_set;

	if (item->revision <= set->revision)
		return;
	set->revision = item->revision;
	if (item->removed || !item->readable) {
		engine_log(rs->engine, LOG_CONFIG_STALE, 0, item->name,
			   item->revision,
			   "replica set is missing or malformed; "
			   "it is written again");
		entry = &none;
	}
	set->stored_count = entry->count;
	set->stored_primary[0] = '\0';
	for (uint32_t i = 0; i < entry->count; i++) {
		const struct upstream_entry *m = &entry->members[i];

		fleet_add_unlisted_upstream(rs->engine, m, now_us);
		if (m->role == ROLE_PRIMARY)
			g_strlcpy(set->stored_primary, m->id,
				  sizeof(set->stored_primary));
	}
	if (entry != &none)
		compare_with_stored(set, entry, now_us);
}

static uint32_t count_storable(const struct service *svc)
{
	return MIN(svc->upstreams->len, REPLICA_SET_MAX);
}

static bool stored_set_is_current(const struct replica_set *set)
{
	const struct service *svc = set->service;
	const struct upstream *primary = service_last_primary(svc);
	uint32_t stored = 0;

	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		stored += u->stored;
	}
	return stored == count_storable(svc) && stored == set->stored_count &&
	       (!primary || !strcmp(set->stored_primary, primary->entry.id));
}

static void on_set_written(void *data, const struct store_answer *a)
{
	struct replica_set *set = data;

	set->write_pending = false;
	/* The set counts as stored once the store feed delivers it. */
	set->write_not_before_us =
		engine_now(set->engine) +
		(a->outcome == STORE_DONE ? WRITE_DELAY_US : WRITE_RETRY_US);
}

static void write_set(struct replica_set *set)
{
	struct engine *e = set->engine;
	const struct service *svc = set->service;
	const struct upstream *primary = service_last_primary(svc);
	struct replica_set_entry entry = { .count = count_storable(svc) };
	const struct store_change c = { .put_replica_set = &entry,
					.service = svc->name,
					.if_duty = true,
					.duty_revision =
						(int64_t)duty_token(e->duty) };

	entry.members = g_new(struct upstream_entry, entry.count);
	for (guint i = 0; i < entry.count; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		entry.members[i] = u->entry;
		entry.members[i].role =
			u == primary ? ROLE_PRIMARY : ROLE_REPLICA;
	}
	set->write_pending = true;
	engine_log(e, LOG_REPLICA_SET_WRITTEN, 0, svc->name, entry.count,
		   "primary %s", primary ? primary->entry.id : "unknown");
	e->opts.store->ops->change(e->opts.store, &c, on_set_written, set);
	g_free(entry.members);
}

static void write_set_if_outdated(struct replica_set *set, int64_t now_us)
{
	if (stored_set_is_current(set)) {
		set->outdated_since_us = 0;
		return;
	}
	if (!set->outdated_since_us)
		set->outdated_since_us = now_us;
	if (set->write_pending || now_us < set->write_not_before_us ||
	    now_us - set->outdated_since_us < WRITE_DELAY_US)
		return;
	write_set(set);
}

/* Endpoints without an entry. */

/* Returns true if an endpoint that stays has as much of the log. */
static bool log_is_covered(const struct upstream *u)
{
	const GPtrArray *upstreams = u->service->upstreams;

	for (guint i = 0; i < upstreams->len; i++) {
		const struct upstream *other = g_ptr_array_index(upstreams, i);

		if (other != u && upstream_is_usable(other) &&
		    position_covers(other->received, u->received))
			return true;
	}
	return false;
}

/*
 * Returns true if a leaving endpoint has probably shut down. If it is only cut
 * off, it receives nothing, as replication to it is paused.
 */
static bool has_shut_down(const struct upstream *u, int64_t silence_us)
{
	return u->entry.leaving && u->paused_below_term > u->service->term &&
	       (u->connection_refused || silence_us >= SHUTDOWN_SILENCE_US);
}

const char *replica_set_find_release_reason(const struct upstream *u,
					    int64_t wait_us, int64_t now_us)
{
	int64_t silence_us =
		u->unanswered_since_us ? now_us - u->unanswered_since_us : 0;

	if (silence_us >= wait_us)
		return "it has not answered for too long";
	if (!log_is_covered(u))
		return NULL;
	/* Its successor may have received more than is known. */
	if (upstream_has_unknown_successor(u) && !u->foreign)
		return NULL;
	if (u->replaced)
		return "another process runs at its address";
	return has_shut_down(u, silence_us) ? "it has shut down" : NULL;
}

/* Opens a connection; its handshake shows that the endpoint lives. */
static void check_endpoint(struct engine *e, struct upstream *u, int64_t now_us)
{
	if (now_us - u->checked_us < CHECK_INTERVAL_US)
		return;
	if (u->check_conn)
		dispatch_close_conn(u->check_conn);
	u->checked_us = now_us;
	if (!u->unanswered_since_us)
		u->unanswered_since_us = now_us;
	u->check_conn =
		dispatch_open_conn(e, u, e->opts.instance, true, now_us);
}

static void stop_checks(struct upstream *u)
{
	u->unanswered_since_us = 0;
	if (u->check_conn)
		dispatch_close_conn(u->check_conn);
}

/*
 * Returns why an instance without the duty drops the endpoint, or NULL. If the
 * stored set does not name it, the holder of the duty does not know it.
 */
static const char *find_drop_reason(const struct upstream *u, int64_t wait_us,
				    int64_t now_us)
{
	if (u->stored || now_us - u->missing_since_us < wait_us)
		return NULL;
	return "its entry did not come back";
}

static void check_unlisted(struct replica_set *set, bool has_duty,
			   int64_t now_us)
{
	struct engine *e = set->engine;
	int64_t wait_us = e->opts.replica_wait_us;
	GPtrArray *upstreams = set->service->upstreams;

	for (guint i = upstreams->len; i-- > 0;) {
		struct upstream *u = g_ptr_array_index(upstreams, i);
		const char *reason;

		if ((has_duty || e->instance_rank < SUCCESSORS) && !u->listed)
			check_endpoint(e, u, now_us);
		else
			stop_checks(u);
		if (!u->expired)
			continue;
		reason = has_duty ? replica_set_find_release_reason(u, wait_us,
								    now_us) :
				    find_drop_reason(u, wait_us, now_us);
		if (reason)
			fleet_remove_upstream(e, u, reason, now_us);
	}
}

void replica_sets_run(struct replica_sets *rs, int64_t now_us)
{
	struct engine *e = rs->engine;
	bool has_duty = duty_is_held(e->duty, now_us);
	GHashTableIter it;
	gpointer svc;

	g_hash_table_iter_init(&it, e->services);
	while (g_hash_table_iter_next(&it, NULL, &svc)) {
		struct replica_set *set = get_or_create_set(rs, svc);

		check_unlisted(set, has_duty, now_us);
		if (has_duty)
			write_set_if_outdated(set, now_us);
	}
}
