#include "proxy/engine.h"

#include "proxy/caller.h"
#include "proxy/dispatch.h"
#include "proxy/drain.h"
#include "proxy/engine_state.h"
#include "proxy/leave.h"
#include "proxy/relay.h"
#include "proxy/relay_load.h"
#include "proxy/exchange.h"
#include "proxy/hedging.h"
#include "proxy/service_health.h"
#include "proxy/fleet.h"
#include "proxy/primary_fence.h"
#include "proxy/mark_probe.h"
#include "proxy/quota_homes.h"
#include "proxy/report.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum {
	/* Maximum drift between two clocks within the limits. */
	LIMIT_CLOCK_MARGIN_US = 150 * 1000,
	/*
	 * A watch without changes is answered after this; the store allows
	 * three times as much.
	 */
	WATCH_TIMEOUT_US = 10 * 1000 * 1000,
	/*
	 * The store is probed when it was not confirmed for this fraction of
	 * the key limit. An answer confirms the time of its request, so when
	 * the store fails, up to twice this fraction has already passed.
	 */
	PROBES_PER_KEY_LIMIT = 7,
	/* Longer than the adapter's timeout of a call to the store. */
	STORE_CALL_MAX_US = 1500 * 1000,
	/*
	 * The store does not answer if nothing came for this long. The lease of
	 * the instance's entry is renewed more often.
	 */
	STORE_SILENT_US = 1500 * 1000,
	/*
	 * Lifetime of the lease of this instance's entry, in percent of the key
	 * limit.
	 */
	LEASE_PERCENT = 80,
	PERCENT = 100,
	/* Lifetime of the duty's lease, and so of a dead holder's duty. */
	DUTY_TTL_US = 1000 * 1000,
	/* A relayed transaction may stay idle for this much longer. */
	RELAYED_IDLE_MARGIN_US = 1000 * 1000,
	/* Time between ticks, with and without busy sessions. */
	BUSY_TICK_US = 10 * 1000,
	IDLE_TICK_US = 50 * 1000,
	/* Timeout for opening a connection, the handshake included. */
	CONN_START_TIMEOUT_US = 1500 * 1000,
	/* Longer than a statement runs whose caller has gone. */
	CLEANUP_TIMEOUT_US = 3000 * 1000,
	/*
	 * A statement times out this long before its deadline, so that the
	 * error still reaches the caller in time.
	 */
	ANSWER_MARGIN_US = 20 * 1000,
};

void engine_log(const struct engine *e, enum log_event number, uint64_t session,
		const char *subject, int64_t value, const char *format, ...)
{
	struct log_entry entry = { .number = number,
				   .caller_id = session,
				   .value = value };
	va_list ap;

	g_strlcpy(entry.subject, subject, sizeof(entry.subject));
	va_start(ap, format);
	vsnprintf(entry.text, sizeof(entry.text), format, ap);
	va_end(ap);
	e->opts.ops->log(e->opts.host, &entry);
}

struct service *engine_find_service(const struct engine *e, const char *name)
{
	return g_hash_table_lookup(e->services, name);
}

bool engine_avoids_endpoint(const struct engine *e, const struct upstream *u)
{
	int64_t now_us = engine_now(e);

	return steer_applies(e->steer, STEER_AVOID_ENDPOINT, u->entry.id,
			     now_us) ||
	       steer_applies(e->steer, STEER_AVOID_ZONE, u->entry.zone, now_us);
}

bool engine_avoids_instance(const struct engine *e, const char *name,
			    const char *zone)
{
	int64_t now_us = engine_now(e);

	return steer_applies(e->steer, STEER_AVOID_INSTANCE, name, now_us) ||
	       steer_applies(e->steer, STEER_AVOID_ZONE, zone, now_us);
}

bool engine_keys_are_fresh(const struct engine *e, int64_t now_us)
{
	return store_feed_age_us(e->feed, now_us) <
	       e->opts.key_limit_us - LIMIT_CLOCK_MARGIN_US;
}

bool engine_config_is_usable(const struct engine *e, int64_t now_us)
{
	return store_feed_age_us(e->feed, now_us) <
		       e->opts.config_limit_us - LIMIT_CLOCK_MARGIN_US ||
	       now_us - STORE_SILENT_US > store_feed_answered_us(e->feed);
}

int64_t engine_lease_ttl_us(const struct engine *e)
{
	return e->opts.key_limit_us * LEASE_PERCENT / PERCENT;
}

void engine_update_primary(struct engine *e, struct upstream *u,
			   enum primary_claim claim, const char *reason)
{
	struct service *svc = u->service;

	if (!service_update_primary(u, claim, engine_now(e)))
		return;
	engine_log(e, LOG_PRIMARY_CHANGED, 0, svc->name, 0, "%s; %s %s",
		   svc->primary ? svc->primary->entry.id : "none", u->entry.id,
		   reason);
}

void engine_conn_flush(struct upstream_conn *c)
{
	struct engine *e = c->engine;

	if (c->closed || c->state == CONN_STATE_STARTING || !c->out->len)
		return;
	e->opts.ops->conn_send(e->opts.host, c->stream, c->out->str,
			       c->out->len);
	g_string_truncate(c->out, 0);
}

/* Callbacks of the store feed and the duty. */

static void on_item(void *data, struct store_item *item)
{
	struct engine *e = data;

	fleet_handle_item(e, item, engine_now(e));
}

static void on_change(void *data, int64_t position, const char *text)
{
	struct engine *e = data;

	if (text && strlen(text) >= PEER_CHANGE_TEXT_BYTES)
		text = NULL;
	change_relay_append(e->change_relay, position, text);
}

static void send_change(void *data, const char *instance,
			const struct peer_change *c)
{
	struct engine *e = data;
	struct peer_message m = { .type = PEER_CHANGE, .change = *c };

	if (!strcmp(instance, e->opts.instance))
		return;
	g_strlcpy(m.peer, instance, sizeof(m.peer));
	e->opts.ops->peer_send(e->opts.host, &m);
	metrics_add(e->opts.metrics, "store_changes_relayed_total", "sent", 1);
}

static void on_list(void *data, bool ends)
{
	struct engine *e = data;

	if (ends)
		change_relay_reset(e->change_relay,
				   store_feed_revision(e->feed));
	fleet_handle_list(e, ends, engine_now(e));
}

static void on_confirmed(void *data, int64_t requested_us)
{
	struct engine *e = data;

	metrics_set(e->opts.metrics, "store_confirmed_age_ms", NULL,
		    (engine_now(e) - requested_us) / US_PER_MS);
}

static void on_watch_abandoned(void *data, int64_t pending_us)
{
	struct engine *e = data;

	engine_log(e, LOG_STORE_WATCH_ABANDONED, 0, "store", pending_us,
		   "a known change is missing after revision %lld; "
		   "watching anew",
		   (long long)store_feed_revision(e->feed));
	metrics_add(e->opts.metrics, "store_watches_abandoned_total", NULL, 1);
}

static void on_restored(void *data, uint32_t era)
{
	struct engine *e = data;

	engine_log(e, LOG_STORE_RESTORED, 0, "store", era,
		   "listing everything again, writing the own entry again");
	metrics_add(e->opts.metrics, "store_restored_total", NULL, 1);
}

static void on_reachable(void *data, bool reachable, const char *reason)
{
	struct engine *e = data;

	engine_log(e, reachable ? LOG_PLATFORM_BACK : LOG_PLATFORM_LOST, 0,
		   "store", 0, "%s", reason);
	metrics_set(e->opts.metrics, "platform_up", NULL, reachable);
	fleet_set_store_reachable(e, reachable, engine_now(e));
}

static int64_t read_clock(void *data)
{
	return engine_now(data);
}

static void on_duty_change(void *data, bool held)
{
	struct engine *e = data;

	engine_log(e, held ? LOG_DUTY_TAKEN : LOG_DUTY_LOST, 0, "duty",
		   (int64_t)duty_token(e->duty), "%s", e->opts.instance);
	metrics_set(e->opts.metrics, "duty_held", NULL, held);
	store_feed_set_duty_held(e->feed, held);
	if (!held && !e->stop.since_us)
		change_relay_stop(e->change_relay);
	if (!held)
		return;
	quota_division_start(e->division, engine_now(e));
	report_announce_duty(e);
}

static void on_token(void *data, uint64_t token)
{
	struct engine *e = data;

	failover_handle_token(e->failovers, token, engine_now(e));
}

static struct store_feed *create_feed(struct engine *e)
{
	const struct engine_opts *o = &e->opts;
	struct store_feed_opts f = {
		.store = o->store,
		.lease_ttl_us = engine_lease_ttl_us(e),
		.settle_us = quota_home_settle_us(engine_lease_ttl_us(e)),
		.watch_us = WATCH_TIMEOUT_US,
		.probe_us = o->key_limit_us / PROBES_PER_KEY_LIMIT,
		.report_us = REPORT_INTERVAL_US,
		.call_us = STORE_CALL_MAX_US,
		.on_item = on_item,
		.on_change = on_change,
		.on_list = on_list,
		.on_confirmed = on_confirmed,
		.on_watch_abandoned = on_watch_abandoned,
		.on_restored = on_restored,
		.on_reachable = on_reachable,
		.now_us = read_clock,
		.data = e,
	};

	g_strlcpy(f.self.name, o->instance, sizeof(f.self.name));
	g_strlcpy(f.self.zone, o->zone, sizeof(f.self.zone));
	g_strlcpy(f.self.address, o->peer_address, sizeof(f.self.address));
	g_strlcpy(f.self.relay, o->relay_address, sizeof(f.self.relay));
	f.self.incarnation = o->incarnation;
	return store_feed_new(&f);
}

static struct duty *create_duty(struct engine *e)
{
	struct duty_opts d = { .store = e->opts.store,
			       .incarnation = e->opts.incarnation,
			       .ttl_us = DUTY_TTL_US,
			       .on_change = on_duty_change,
			       .on_token = on_token,
			       .now_us = read_clock,
			       .data = e };

	g_strlcpy(d.instance, e->opts.instance, sizeof(d.instance));
	return duty_new(&d);
}

struct engine *engine_new(const struct engine_opts *opts, int64_t now_us)
{
	struct engine *e = g_new0(struct engine, 1);

	e->opts = *opts;
	e->rand = g_rand_new_with_seed((guint32)opts->seed);
	e->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	e->upstreams_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	e->sessions = g_hash_table_new(NULL, NULL);
	e->busy_sessions = g_hash_table_new(NULL, NULL);
	e->instances =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->listed_upstreams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->listed_instances =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->instance_count = 1;
	e->closed_conns = g_ptr_array_new();
	e->closed_sessions = g_ptr_array_new();
	e->quota = quota_new(&opts->tolerance, opts->instance, opts->zone);
	e->quota_requests = quota_requests_new(e);
	e->limit_record = limit_record_new(e);
	e->division = quota_division_new();
	quota_division_set_overrun(e->division, opts->tolerance.overrun_milli);
	e->failovers = failovers_new(e);
	e->replica_sets = replica_sets_new(e);
	e->steer = steer_table_new();
	e->handover = handover_plan_new();
	e->change_relay = change_relay_new(
		&(struct change_relay_opts){ .send = send_change, .data = e });
	e->feed = create_feed(e);
	e->duty = create_duty(e);
	e->keys_were_fresh = true;
	e->config_was_usable = true;
	return e;
}

static void free_closed(struct engine *e)
{
	for (guint i = 0; i < e->closed_conns->len; i++)
		upstream_conn_free(g_ptr_array_index(e->closed_conns, i));
	g_ptr_array_set_size(e->closed_conns, 0);
	for (guint i = 0; i < e->closed_sessions->len; i++)
		session_free(g_ptr_array_index(e->closed_sessions, i));
	g_ptr_array_set_size(e->closed_sessions, 0);
}

static void close_all_conns(const GPtrArray *upstreams)
{
	for (guint i = 0; i < upstreams->len; i++) {
		struct upstream *u = g_ptr_array_index(upstreams, i);

		while (u->conns->len) {
			struct upstream_conn *c =
				g_ptr_array_index(u->conns, 0);

			c->control = false;
			dispatch_close_conn(c);
		}
	}
}

static void free_service(struct service *svc)
{
	close_all_conns(svc->upstreams);
	close_all_conns(svc->homes);
	service_free(svc);
}

void engine_free(struct engine *e)
{
	GList *sessions = g_hash_table_get_keys(e->sessions);
	GHashTableIter it;
	gpointer svc;

	for (GList *l = sessions; l; l = l->next)
		caller_close(l->data, engine_now(e));
	g_list_free(sessions);
	g_hash_table_iter_init(&it, e->services);
	while (g_hash_table_iter_next(&it, NULL, &svc))
		free_service(svc);
	free_closed(e);
	failovers_free(e->failovers);
	replica_sets_free(e->replica_sets);
	steer_table_free(e->steer);
	handover_plan_free(e->handover);
	quota_division_free(e->division);
	quota_requests_free(e->quota_requests);
	limit_record_free(e->limit_record);
	quota_free(e->quota);
	store_feed_free(e->feed);
	change_relay_free(e->change_relay);
	duty_free(e->duty);
	fleet_config_free(e->config);
	g_hash_table_destroy(e->services);
	g_hash_table_destroy(e->upstreams_by_id);
	g_hash_table_destroy(e->sessions);
	g_hash_table_destroy(e->busy_sessions);
	g_hash_table_destroy(e->instances);
	g_hash_table_destroy(e->listed_upstreams);
	g_hash_table_destroy(e->listed_instances);
	g_ptr_array_free(e->closed_conns, TRUE);
	g_ptr_array_free(e->closed_sessions, TRUE);
	g_rand_free(e->rand);
	g_free(e);
}

void engine_reload(struct engine *e, const struct engine_opts *opts)
{
	e->opts.key_limit_us = opts->key_limit_us;
	e->opts.config_limit_us = opts->config_limit_us;
	e->opts.grace_us = opts->grace_us;
	e->opts.replica_wait_us = opts->replica_wait_us;
	e->opts.tolerance = opts->tolerance;
	quota_set_tolerance(e->quota, &opts->tolerance);
	quota_division_set_overrun(e->division, opts->tolerance.overrun_milli);
	engine_log(e, LOG_SETTINGS_RELOADED, 0, e->opts.instance,
		   opts->key_limit_us / US_PER_MS,
		   "the value is the new key limit in ms");
}

struct session *engine_caller_opened(struct engine *e, void *caller)
{
	struct session *s;

	if (g_hash_table_size(e->sessions) >= e->opts.sessions_max) {
		engine_log(e, LOG_SESSION_REFUSED, 0, "", e->opts.sessions_max,
			   "the maximum number of sessions is open; "
			   "the connection is closed");
		return NULL;
	}
	s = session_new(e, caller, engine_now(e));
	s->number = ++e->last_session_number;
	g_hash_table_add(e->sessions, s);
	return s;
}

struct session *engine_relay_opened(struct engine *e, void *caller)
{
	struct session *s = engine_caller_opened(e, caller);

	if (s)
		s->relayed = true;
	return s;
}

void engine_caller_line(struct session *s, const char *line, size_t bytes)
{
	s->reading = true;
	caller_handle_line(s, line, bytes, engine_now(s->engine));
	s->reading = false;
}

void engine_caller_closed(struct session *s)
{
	s->caller = NULL;
	caller_close(s, engine_now(s->engine));
}

void engine_conn_opened(struct upstream_conn *c)
{
	struct engine *e = c->engine;

	if (c->closed)
		return;
	/* Only the TCP connection is established; the handshake comes next. */
	upstream_record_answer(c->upstream);
	e->opts.ops->conn_send(e->opts.host, c->stream, c->out->str,
			       c->out->len);
	g_string_truncate(c->out, 0);
}

void engine_conn_line(struct upstream_conn *c, const char *line, size_t bytes)
{
	int64_t now_us = engine_now(c->engine);
	struct service *svc = c->upstream->service;

	exchange_handle_line(c, line, bytes, now_us);
	dispatch_run_queue(svc, now_us);
}

void engine_conn_closed(struct upstream_conn *c, int error)
{
	int64_t now_us = engine_now(c->engine);
	struct service *svc = c->upstream->service;

	if (error == -ECONNREFUSED)
		c->upstream->connection_refused = true;
	exchange_handle_loss(c,
			     error ? g_strerror(-error) :
				     "closed by the endpoint",
			     now_us);
	dispatch_run_queue(svc, now_us);
}

void engine_peer_message(struct engine *e, const struct peer_message *m)
{
	if (m->type == PEER_QUOTA_REQUEST || m->type == PEER_QUOTA_REPLY)
		quota_requests_handle_message(e->quota_requests, m,
					      engine_now(e));
	else if (m->type == PEER_HANDOVER)
		leave_handle_message(e, m, engine_now(e));
	else if (m->type == PEER_CHANGE)
		store_feed_apply_change(e->feed, &m->change, engine_now(e));
	else if (m->type == PEER_CHOICE)
		primary_fence_handle_choice(e, &m->choice, engine_now(e));
	else
		report_handle_message(e, m, engine_now(e));
}

static void enforce_session_timeouts(struct engine *e, struct session *s,
				     int64_t now_us)
{
	struct upstream_conn *c = s->pinned;

	if (s->op.active && !operation_is_waiting(&s->op) &&
	    !s->op.awaiting_quota &&
	    now_us >= s->op.deadline_us - ANSWER_MARGIN_US) {
		exchange_give_up_statement(s, ANSWER_TIMEOUT,
					   "no answer in time", now_us);
		return;
	}
	if (exchange_retry_unanswered(s, now_us) || hedging_try(s, now_us))
		return;
	if (s->op.active || s->transaction != TRANSACTION_OPEN || !c ||
	    !e->config)
		return;
	/* The caller's own instance ends the transaction first. */
	if (now_us - s->transaction_idle_us <
	    e->config->transaction_idle_us +
		    (s->relayed ? RELAYED_IDLE_MARGIN_US : 0))
		return;
	caller_abort_transaction(s, "idle for too long", now_us);
	dispatch_release_conn(c, now_us);
}

static void enforce_timeouts(struct engine *e, int64_t now_us)
{
	GList *busy = g_hash_table_get_keys(e->busy_sessions);

	for (GList *l = busy; l; l = l->next)
		enforce_session_timeouts(e, l->data, now_us);
	g_list_free(busy);
}

/*
 * Returns why a connection that no session waits for is given up, or NULL. The
 * deadline of a session's statement ends the others.
 */
static const char *find_timeout(const struct upstream_conn *c, int64_t now_us)
{
	const struct conn_request *request = upstream_conn_oldest_request(c);

	if (c->state == CONN_STATE_STARTING)
		return now_us - c->opened_us >= CONN_START_TIMEOUT_US ?
			       "it does not start" :
			       NULL;
	return c->state == CONN_STATE_CLEANUP && request &&
			       now_us - request->sent_us >= CLEANUP_TIMEOUT_US ?
		       "no answer in time" :
		       NULL;
}

static void time_out_conns(struct upstream *u, int64_t now_us)
{
	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		const char *reason = find_timeout(c, now_us);

		if (!reason || c->control)
			continue;
		exchange_handle_loss(c, reason, now_us);
		i = (guint)-1; /* start over: the list changed */
	}
}

static void run_service(struct engine *e, struct service *svc, int64_t now_us)
{
	for (guint i = 0; i < svc->upstreams->len; i++)
		time_out_conns(g_ptr_array_index(svc->upstreams, i), now_us);
	for (guint i = 0; i < svc->homes->len; i++)
		time_out_conns(g_ptr_array_index(svc->homes, i), now_us);
	service_health_run(e, svc, now_us);
	mark_probe_run(e, svc, now_us);
	leave_open_conns(e, svc, now_us);
	dispatch_run_queue(svc, now_us);
}

static void log_changes(struct engine *e, int64_t now_us)
{
	bool fresh = engine_keys_are_fresh(e, now_us);
	bool usable = engine_config_is_usable(e, now_us);
	bool ready = engine_is_ready(e);

	if (usable != e->config_was_usable)
		engine_log(e,
			   usable ? LOG_CONFIG_CONFIRMED :
				    LOG_CONFIG_UNCONFIRMED,
			   0, "config",
			   store_feed_age_us(e->feed, now_us) / US_PER_MS,
			   "the store answers; version %lld",
			   (long long)(e->config ? e->config->version : 0));
	if (fresh != e->keys_were_fresh)
		engine_log(
			e, fresh ? LOG_KEYS_CONFIRMED : LOG_KEYS_UNCONFIRMED, 0,
			"store", store_feed_age_us(e->feed, now_us) / US_PER_MS,
			"the value is the age of the last confirmation in ms");
	if (ready != e->was_ready)
		engine_log(e, LOG_READY_CHANGED, 0, e->opts.instance, ready,
			   "ready");
	e->keys_were_fresh = fresh;
	e->config_was_usable = usable;
	e->was_ready = ready;
}

void engine_tick(struct engine *e)
{
	int64_t now_us = engine_now(e);
	GHashTableIter it;
	gpointer svc;

	e->last_tick_us = now_us;
	store_feed_run(e->feed, now_us);
	duty_run(e->duty, e->instance_rank, now_us);
	change_relay_run(e->change_relay, now_us);
	fleet_run(e, now_us);
	leave_run(e, now_us);
	relay_run(e, now_us);
	replica_sets_run(e->replica_sets, now_us);
	limit_record_run(e->limit_record, now_us);
	quota_requests_check_timeouts(e->quota_requests, now_us);
	enforce_timeouts(e, now_us);
	relay_load_run(e, now_us);
	g_hash_table_iter_init(&it, e->services);
	while (g_hash_table_iter_next(&it, NULL, &svc))
		run_service(e, svc, now_us);
	failovers_run(e->failovers, now_us);
	report_run(e, now_us);
	drain_run(e, now_us);
	log_changes(e, now_us);
	free_closed(e);
}

int64_t engine_next_due_us(const struct engine *e)
{
	int64_t due = e->last_tick_us + (g_hash_table_size(e->busy_sessions) ?
						 BUSY_TICK_US :
						 IDLE_TICK_US);

	due = MIN(due, store_feed_due_us(e->feed));
	due = MIN(due, duty_due_us(e->duty));
	return MAX(due, engine_now(e));
}

void engine_drain(struct engine *e)
{
	int64_t now_us = engine_now(e);

	if (e->stop.since_us)
		return;
	stop_plan_start(&e->stop, e->opts.grace_us, now_us);
	duty_release(e->duty);
	leave_start(e, now_us);
	engine_log(e, LOG_STOPPING, 0, e->opts.instance,
		   g_hash_table_size(e->sessions), "sessions");
}

void engine_remove_own_entry(struct engine *e)
{
	store_feed_remove_entry(e->feed);
}

bool engine_is_drained(const struct engine *e)
{
	return !g_hash_table_size(e->sessions) &&
	       stop_plan_allows_end(&e->stop, engine_now(e));
}

int64_t engine_end_due_us(const struct engine *e)
{
	return e->stop.since_us ? e->stop.end_us : INT64_MAX;
}

/* Returns true if operators ask so, and others remain that they don't name. */
static bool is_avoided_itself(const struct engine *e)
{
	int64_t now_us = engine_now(e);
	GHashTableIter it;
	gpointer name;

	if (!steer_applies(e->steer, STEER_AVOID_INSTANCE, e->opts.instance,
			   now_us))
		return false;
	g_hash_table_iter_init(&it, e->instances);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		if (!steer_applies(e->steer, STEER_AVOID_INSTANCE, name,
				   now_us))
			return true;
	}
	return false;
}

bool engine_is_ready(const struct engine *e)
{
	int64_t now_us = engine_now(e);

	return e->config && !e->stop.since_us && !is_avoided_itself(e) &&
	       engine_config_is_usable(e, now_us) &&
	       engine_keys_are_fresh(e, now_us) &&
	       now_us < store_feed_lease_end_us(e->feed) &&
	       g_hash_table_size(e->upstreams_by_id);
}

void engine_update_metrics(struct engine *e)
{
	struct metrics *m = e->opts.metrics;
	GHashTableIter it;
	gpointer value;

	metrics_set(m, "sessions", NULL, g_hash_table_size(e->sessions));
	metrics_set(m, "instances", NULL, e->instance_count);
	metrics_set(m, "draining", NULL, e->stop.since_us != 0);
	metrics_set(m, "steer_requests", NULL, steer_table_count(e->steer));
	metrics_set(m, "store_confirmed_age_ms", NULL,
		    store_feed_age_us(e->feed, engine_now(e)) / US_PER_MS);
	if (e->config)
		metrics_set(m, "config_version", NULL, e->config->version);
	g_hash_table_iter_init(&it, e->upstreams_by_id);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct upstream *u = value;

		metrics_set(m, "endpoint_connections", u->entry.id,
			    u->conns->len);
	}
	g_hash_table_iter_init(&it, e->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct service *svc = value;

		metrics_set(m, "homes", svc->name, svc->home_count);
		metrics_set(m, "waiting_statements", svc->name,
			    scheduler_count(svc->queue));
		metrics_set(m, "mark_age_ms", svc->name,
			    svc->marks.count ?
				    (engine_now(e) -
				     mark_ring_newest_us(&svc->marks)) /
					    US_PER_MS :
				    -1);
	}
}
