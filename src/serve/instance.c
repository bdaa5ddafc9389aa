#include "serve/instance.h"

#include "admin/operator_api.h"
#include "admin/record_store.h"
#include "base/log.h"
#include "base/loop.h"
#include "base/metrics.h"
#include "core/world.h"
#include "core/world_report.h"
#include "etcd/platform_client.h"
#include "http/caller_listener.h"
#include "http/operator_listener.h"
#include "peer/peer_link.h"
#include "postgres/pg_link.h"
#include "serve/action_metrics.h"
#include "serve/caller_table.h"
#include "serve/status.h"

#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

enum {
	/* Answers that are being sent at the end get so long. */
	LINGER_MAX_US = 5000 * 1000,
	LINGER_STEP_US = 100 * 1000,
};

struct instance {
	const struct settings *settings; /* borrowed */
	apr_pool_t *pool;
	struct loop *loop;
	struct world *world;
	struct pg_link *endpoints;
	struct caller_listener *callers;
	struct operator_listener *operators;
	struct operator_api *api;
	struct platform_client *platform;
	struct peer_link *peers;
	struct caller_table *requests;
	struct record_store *records;
	struct metrics *metrics;
	struct loop_timer *tick;
	struct loop_timer *drain_limit;
	struct loop_timer *linger;
	int64_t linger_until_us;
	int64_t next_tick_us;
	bool platform_reachable;
	bool draining;
	bool left; /* the platform; the loop ends once answers are sent */
};

static void handle(struct instance *in, const struct event *e)
{
	world_handle(in->world, e, loop_now_us());
}

/* Callbacks of the adapters. */

static void on_event(void *data, const struct event *e)
{
	handle(data, e);
}

static void on_platform_event(void *data, const struct event *e)
{
	struct instance *in = data;
	const struct record *r;

	if (e->type == EVENT_RECORD_PUT) {
		r = e->record;
		record_store_put(in->records, r);
		if (r->kind == RECORD_MEMBER &&
		    strcmp(r->member.name, in->settings->instance.name) != 0)
			peer_link_set_peer(in->peers, r->member.name,
					   r->member.address);
	} else if (e->type == EVENT_RECORD_DELETED) {
		r = e->record;
		record_store_delete(in->records, r);
		if (r->kind == RECORD_MEMBER)
			peer_link_drop_peer(in->peers, r->member.name);
	}
	handle(in, e);
}

static void on_reachable(void *data, bool reachable)
{
	struct instance *in = data;

	if (in->platform_reachable == reachable)
		return;
	in->platform_reachable = reachable;
	metrics_set(in->metrics, "platform_up", NULL, reachable);
	log_event(reachable ? LOG_PLATFORM_BACK : LOG_PLATFORM_LOST, "", 0,
		  "%s", reachable ? "calls succeed" : "calls fail");
}

static void on_result(void *data, uint64_t caller_id, json_t *result)
{
	struct instance *in = data;

	caller_table_set_result(in->requests, caller_id, result);
}

static void on_request(void *data, const struct request_opts *r,
		       struct statement *s)
{
	struct instance *in = data;
	struct event e = { .type = EVENT_REQUEST, .request = *r };

	caller_table_add(in->requests, r->caller_id, s);
	handle(in, &e);
}

static void on_gone(void *data, uint64_t caller_id)
{
	struct event e = { .type = EVENT_CALLER_GONE, .caller_id = caller_id };

	handle(data, &e);
}

static int32_t find_workspace(void *data, const uint8_t *key_digest,
			      const char *profile, char workspace[NAME_BYTES])
{
	struct instance *in = data;

	return world_find_workspace(in->world, key_digest, profile, workspace);
}

static void on_peer_message(void *data, const struct peer_message *m)
{
	struct event e = { .type = EVENT_PEER_MESSAGE, .peer = m };
	struct instance *in = data;

	metrics_add(in->metrics, "peer_messages_received_total", m->peer, 1);
	handle(in, &e);
}

static void on_bad_message(void *data, const char *reason)
{
	log_event(LOG_PEER_MESSAGE_BAD, "", 0, "%s", reason);
}

/* Callbacks of the operators' interface. */

/* An operator's change that waits for the platform's answer. */
struct change {
	struct instance *instance;
	platform_change_fn fn;
	void *data;
};

static void change_done(void *data, enum platform_outcome outcome,
			int64_t revision, const struct record *current)
{
	struct change *c = data;

	/*
	 * Peers may by now serve keys without a confirmation, so a change
	 * that was slow to be stored cannot be said to be in force.
	 */
	if (outcome == PLATFORM_APPLIED &&
	    !world_may_accept_changes(c->instance->world, loop_now_us()))
		outcome = PLATFORM_UNKNOWN;
	if (outcome == PLATFORM_APPLIED)
		world_change_accepted(c->instance->world, revision);
	c->fn(c->data, outcome, revision, current);
	g_free(c);
}

static void change(void *data, const struct record *r, bool deleted,
		   int64_t expected, platform_change_fn fn, void *fn_data)
{
	struct instance *in = data;
	struct change *c = g_new0(struct change, 1);

	c->instance = in;
	c->fn = fn;
	c->data = fn_data;
	platform_client_change(in->platform, r, deleted, expected, change_done,
			       c);
}

static void on_operator(void *data, uint64_t operator_id,
			enum operator_method method, const char *path,
			const json_t *body)
{
	struct instance *in = data;

	operator_api_request(in->api, operator_id, method, path, body);
}

static void reply_operator(void *data, uint64_t operator_id, int32_t error,
			   json_t *body)
{
	struct instance *in = data;

	operator_listener_reply(in->operators, operator_id, error, body);
}

static json_t *get_status(void *data)
{
	struct instance *in = data;

	return status_json(in->world, in->settings->instance.name,
			   loop_now_us());
}

static json_t *get_config_status(void *data)
{
	struct instance *in = data;

	return status_config_json(in->world, in->settings->instance.name,
				  loop_now_us());
}

static void drain(void *data)
{
	instance_drain(data);
}

static int32_t may_write(void *data)
{
	struct instance *in = data;

	if (!in->platform_reachable)
		return ERR_PLATFORM;
	if (!world_may_accept_changes(in->world, loop_now_us()))
		return ERR_NOT_YET;
	return ERR_NONE;
}

static void set_record_gauges(struct instance *in)
{
	static const struct {
		enum record_kind kind;
		const char *label;
	} kinds[] = { { RECORD_PROFILE, "profile" },
		      { RECORD_WORKSPACE, "workspace" },
		      { RECORD_KEY, "key" },
		      { RECORD_ENDPOINT, "endpoint" } };

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		metrics_set(in->metrics, "config_records", kinds[i].label,
			    record_store_count(in->records, kinds[i].kind));
}

static char *get_metrics(void *data)
{
	struct instance *in = data;
	struct peer_link_stats s = peer_link_stats(in->peers);

	status_set_gauges(in->world, in->metrics, loop_now_us());
	set_record_gauges(in);
	metrics_set(in->metrics, "platform_calls_total", NULL,
		    (int64_t)platform_client_calls(in->platform));
	metrics_set(in->metrics, "peer_bytes_sent_total", NULL,
		    (int64_t)s.sent_bytes);
	metrics_set(in->metrics, "peer_bytes_received_total", NULL,
		    (int64_t)s.received_bytes);
	return metrics_text(in->metrics);
}

static bool is_healthy(void *data)
{
	struct instance *in = data;

	return !in->draining;
}

/* Actions of the core. */

static void count_reply(struct instance *in, const struct reply *r)
{
	const struct statement *s;
	const struct record *term;

	s = caller_table_statement(in->requests, r->caller_id);
	term = record_store_find(in->records, RECORD_TERM, r->group);
	action_metrics_count_reply(in->metrics, r, s ? s->workspace : NULL,
				   term ? term->term.primary : NULL);
}

static void do_reply(struct instance *in, const struct reply *r)
{
	json_t *result;

	count_reply(in, r);
	result = caller_table_take(in->requests, r->caller_id);
	if (!r->with_result) {
		json_decref(result);
		result = NULL;
	}
	caller_listener_reply(in->callers, r, result);
}

static void end_linger(void *data, int64_t now_us)
{
	struct instance *in = data;

	/* An answer that is being sent is not cut off. */
	if (caller_listener_pending(in->callers) > 0 &&
	    now_us < in->linger_until_us) {
		loop_timer_set(in->linger, now_us + LINGER_STEP_US);
		return;
	}
	log_event(LOG_STOPPED, in->settings->instance.name, 0, "bye");
	loop_stop(in->loop);
}

static void has_left(void *data)
{
	struct instance *in = data;

	if (in->left)
		return;
	in->left = true;
	in->linger_until_us = loop_now_us() + LINGER_MAX_US;
	in->linger = loop_timer_add(in->loop, end_linger, in);
	loop_timer_set(in->linger, loop_now_us() + LINGER_STEP_US);
}

/* The lease is kept where parts of it are still lent to peers. */
static void leave(struct instance *in, bool lease_free)
{
	caller_listener_stop_accepting(in->callers);
	if (lease_free)
		platform_client_leave(in->platform, has_left, in);
	else
		has_left(in);
}

static void do_exchange(struct instance *in, const struct exchange_start *x)
{
	pg_link_exchange(in->endpoints, x,
			 caller_table_statement(in->requests, x->caller_id));
}

static void do_action(struct instance *in, const struct action *a)
{
	action_metrics_count(in->metrics, a);
	switch (a->type) {
	case ACTION_REPLY:
		do_reply(in, &a->reply);
		break;
	case ACTION_CONN_OPEN:
		pg_link_open(in->endpoints, &a->open);
		break;
	case ACTION_CONN_CLOSE:
		pg_link_close(in->endpoints, a->conn_id);
		break;
	case ACTION_EXCHANGE:
		do_exchange(in, &a->exchange);
		break;
	case ACTION_PLATFORM:
		platform_client_start(in->platform, a->platform);
		break;
	case ACTION_PEER_SEND:
		peer_link_send(in->peers, a->peer);
		break;
	case ACTION_LOG:
		log_entry_write(&a->log);
		break;
	case ACTION_DRAINED:
		leave(in, a->drained.lease_free);
		break;
	}
}

static void tick(void *data, int64_t now_us)
{
	struct instance *in = data;

	world_tick(in->world, now_us);
}

static void before_wait(void *data, int64_t now_us)
{
	struct instance *in = data;
	struct action a;

	if (now_us >= in->next_tick_us)
		tick(in, now_us);
	while (world_next_action(in->world, &a))
		do_action(in, &a);
	in->next_tick_us = world_next_tick_us(in->world, now_us);
	loop_timer_set(in->tick, in->next_tick_us);
}

static void tick_due(void *data, int64_t now_us)
{
	/* The tick itself runs before the next wait. */
}

/* Construction. */

static uint64_t random_u64(void)
{
	uint64_t v = 0;

	while (!v)
		randombytes_buf(&v, sizeof(v));
	return v;
}

static struct world_opts world_opts(const struct settings *s,
				    const char *peer_address)
{
	struct world_opts o = world_opts_default();

	g_strlcpy(o.instance, s->instance.name, sizeof(o.instance));
	g_strlcpy(o.zone, s->instance.zone, sizeof(o.zone));
	g_strlcpy(o.address, peer_address, sizeof(o.address));
	o.incarnation = random_u64();
	o.seed = random_u64();
	o.requests_max = s->callers.requests_max;
	o.share_cells = s->share_cells;
	o.probe_interval_us = s->endpoints.probe_interval_ms * US_PER_MS;
	o.silence_us = s->endpoints.silence_ms * US_PER_MS;
	o.suspect_us = s->endpoints.suspect_ms * US_PER_MS;
	o.key_grace_us = s->security.key_grace_ms * US_PER_MS;
	o.transaction_idle_us = s->callers.transaction_idle_ms * US_PER_MS;
	return o;
}

static int open_peers(struct instance *in, uint64_t incarnation)
{
	const struct settings *s = in->settings;
	struct peer_link_opts o = {
		.loop = in->loop,
		.instance = s->instance.name,
		.incarnation = incarnation,
		.address = s->listen.peers,
		.curve_public = s->security.curve_public,
		.curve_secret = s->security.curve_secret,
		.on_message = on_peer_message,
		.on_bad = on_bad_message,
		.data = in,
	};

	return peer_link_new(&in->peers, &o, in->pool);
}

static int open_endpoints(struct instance *in)
{
	const struct settings *s = in->settings;
	struct pg_link_opts o = {
		.loop = in->loop,
		.driver = s->endpoints.driver,
		.user = s->endpoints.user,
		.password = s->endpoints.password,
		.dbname = s->endpoints.dbname,
		.result_max_bytes = s->callers.result_max_bytes,
		.connect_timeout_us =
			s->endpoints.connect_timeout_ms * US_PER_MS,
		.on_event = on_event,
		.on_result = on_result,
		.data = in,
	};

	return pg_link_new(&in->endpoints, &o, in->pool);
}

static int open_callers(struct instance *in)
{
	const struct settings *s = in->settings;
	struct caller_listener_opts o = {
		.loop = in->loop,
		.address = s->listen.callers,
		.body_max_bytes = s->callers.body_max_bytes,
		.header_max_bytes = s->callers.header_max_bytes,
		.statement_max_bytes = s->callers.statement_max_bytes,
		.connections_max = s->callers.connections_max,
		.deadline_default_us =
			s->callers.deadline_default_ms * US_PER_MS,
		.deadline_max_us = s->callers.deadline_max_ms * US_PER_MS,
		.idle_timeout_us = s->callers.idle_timeout_ms * US_PER_MS,
		.on_request = on_request,
		.on_gone = on_gone,
		.find_workspace = find_workspace,
		.data = in,
	};

	if (sodium_hex2bin(o.token_key, sizeof(o.token_key),
			   s->callers.token_key_hex,
			   strlen(s->callers.token_key_hex), NULL, NULL, NULL))
		return -EINVAL;
	return caller_listener_new(&in->callers, &o, in->pool);
}

static int open_operators(struct instance *in)
{
	const struct settings *s = in->settings;
	struct operator_api_opts api = {
		.records = in->records,
		.change = change,
		.reply = reply_operator,
		.status = get_status,
		.config_status = get_config_status,
		.drain = drain,
		.may_write = may_write,
		.data = in,
	};
	struct operator_listener_opts o = {
		.loop = in->loop,
		.address = s->listen.operators,
		.body_max_bytes = s->callers.body_max_bytes,
		.on_request = on_operator,
		.metrics = get_metrics,
		.healthy = is_healthy,
		.data = in,
	};

	in->api = operator_api_new(&api);
	crypto_generichash(o.key_digest, sizeof(o.key_digest),
			   (const unsigned char *)s->security.operator_key,
			   strlen(s->security.operator_key), NULL, 0);
	return operator_listener_new(&in->operators, &o, in->pool);
}

/* The peers' address with the port that was taken. */
static void peer_address(const struct instance *in, char *out, size_t size)
{
	const char *colon = strrchr(in->settings->listen.peers, ':');
	int ip = (int)(colon - in->settings->listen.peers);

	snprintf(out, size, "%.*s:%u", ip, in->settings->listen.peers,
		 peer_link_port(in->peers));
}

static int open_platform(struct instance *in, const struct world_opts *w)
{
	const struct settings *s = in->settings;
	struct platform_client_opts o = {
		.loop = in->loop,
		.addresses = (const char *const *)s->platform.addresses,
		.address_count = s->platform.addresses_count,
		.prefix = s->platform.prefix,
		.instances_prefix = s->platform.instances_prefix,
		.call_timeout_us = s->platform.call_timeout_ms * US_PER_MS,
		.lease_ttl_us = s->platform.lease_s * US_PER_S,
		.on_event = on_platform_event,
		.on_reachable = on_reachable,
		.data = in,
	};

	g_strlcpy(o.member.name, w->instance, sizeof(o.member.name));
	g_strlcpy(o.member.zone, w->zone, sizeof(o.member.zone));
	g_strlcpy(o.member.address, w->address, sizeof(o.member.address));
	o.member.incarnation = w->incarnation;
	return platform_client_new(&in->platform, &o, in->pool);
}

static apr_status_t instance_cleanup(void *data)
{
	struct instance *in = data;

	if (in->api)
		operator_api_free(in->api);
	if (in->world)
		world_free(in->world);
	caller_table_free(in->requests);
	record_store_free(in->records);
	metrics_free(in->metrics);
	g_free(in);
	return APR_SUCCESS;
}

static struct instance *instance_alloc(const struct settings *s,
				       apr_pool_t *parent)
{
	struct instance *in = g_new0(struct instance, 1);

	in->settings = s;
	in->requests = caller_table_new();
	in->records = record_store_new();
	in->metrics = metrics_new();
	apr_pool_create(&in->pool, parent);
	/* Runs after the subpools of the adapters are destroyed. */
	apr_pool_cleanup_register(in->pool, in, instance_cleanup,
				  apr_pool_cleanup_null);
	return in;
}

static int failed(struct instance *in, const char *what, int rc, char *why,
		  size_t why_size)
{
	snprintf(why, why_size, "%s: %s", what, strerror(-rc));
	apr_pool_destroy(in->pool);
	return rc;
}

static void say_ready(const struct instance *in)
{
	const char *name = in->settings->instance.name;

	log_event(LOG_LISTENING, "callers", caller_listener_port(in->callers),
		  "port");
	log_event(LOG_LISTENING, "operators",
		  operator_listener_port(in->operators), "port");
	log_event(LOG_LISTENING, "peers", peer_link_port(in->peers), "port");
	log_event(LOG_STARTED, name, 0, "zone %s", in->settings->instance.zone);
	printf("ready callers=%u operators=%u peers=%u\n",
	       caller_listener_port(in->callers),
	       operator_listener_port(in->operators),
	       peer_link_port(in->peers));
	fflush(stdout);
}

int instance_new(struct instance **out, const struct settings *s,
		 apr_pool_t *parent, char *why, size_t why_size)
{
	struct instance *in = instance_alloc(s, parent);
	struct world_opts w;
	char address[ADDRESS_BYTES];
	int rc;

	rc = loop_new(&in->loop, in->pool);
	if (rc)
		return failed(in, "event loop", rc, why, why_size);
	w = world_opts(s, "");
	rc = open_peers(in, w.incarnation);
	if (rc)
		return failed(in, s->listen.peers, rc, why, why_size);
	peer_address(in, address, sizeof(address));
	g_strlcpy(w.address, address, sizeof(w.address));
	in->world = world_new(&w, loop_now_us());
	rc = open_endpoints(in);
	if (rc)
		return failed(in, "endpoint driver", rc, why, why_size);
	rc = open_callers(in);
	if (rc)
		return failed(in, s->listen.callers, rc, why, why_size);
	rc = open_operators(in);
	if (rc)
		return failed(in, s->listen.operators, rc, why, why_size);
	rc = open_platform(in, &w);
	if (rc)
		return failed(in, "key-value service", rc, why, why_size);
	in->tick = loop_timer_add(in->loop, tick_due, in);
	loop_set_before_wait(in->loop, before_wait, in);
	say_ready(in);
	*out = in;
	return 0;
}

int instance_run(struct instance *in)
{
	return loop_run(in->loop);
}

static void drain_timed_out(void *data, int64_t now_us)
{
	struct instance *in = data;

	if (!in->left)
		leave(in, false);
}

void instance_drain(struct instance *in)
{
	struct event e = { .type = EVENT_DRAIN };

	if (in->draining)
		return;
	in->draining = true;
	in->drain_limit = loop_timer_add(in->loop, drain_timed_out, in);
	loop_timer_set(in->drain_limit,
		       loop_now_us() +
			       in->settings->drain_timeout_ms * US_PER_MS);
	handle(in, &e);
}

struct loop *instance_loop(const struct instance *in)
{
	return in->loop;
}
