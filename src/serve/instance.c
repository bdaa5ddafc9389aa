#include "serve/instance.h"

#include "base/log.h"
#include "serve/action_metrics.h"
#include "serve/adapters.h"
#include "serve/instance_state.h"
#include "serve/operator_interface.h"

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

void instance_handle(struct instance *in, const struct event *e)
{
	world_handle(in->world, e, loop_now_us());
}

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
	rc = adapters_open_peers(in, w.incarnation);
	if (rc)
		return failed(in, s->listen.peers, rc, why, why_size);
	adapters_peer_address(in, address, sizeof(address));
	g_strlcpy(w.address, address, sizeof(w.address));
	in->world = world_new(&w, loop_now_us());
	rc = adapters_open_endpoints(in);
	if (rc)
		return failed(in, "endpoint driver", rc, why, why_size);
	rc = adapters_open_callers(in);
	if (rc)
		return failed(in, s->listen.callers, rc, why, why_size);
	rc = operator_side_open(in);
	if (rc)
		return failed(in, s->listen.operators, rc, why, why_size);
	rc = adapters_open_platform(in, &w);
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
	instance_handle(in, &e);
}

struct loop *instance_loop(const struct instance *in)
{
	return in->loop;
}
