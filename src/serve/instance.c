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
	/* After a drain, pending replies are sent for at most this long. */
	LINGER_MAX_US = 5000 * 1000,
	/* Of it, time to send the last ones. */
	FLUSH_US = 500 * 1000,
	/* Interval of the checks whether replies are still pending. */
	LINGER_CHECK_US = 100 * 1000,
};

void instance_handle(struct instance *in, const struct event *e)
{
	world_handle_event(in->world, e, loop_now_us());
}

static void count_reply(struct instance *in, const struct reply *r)
{
	const struct statement *s;
	const struct record *term;

	s = statement_table_find(in->statements, r->caller_id);
	term = record_store_find(in->records, RECORD_TERM, r->group);
	action_metrics_count_reply(in->metrics, r, s ? s->workspace : NULL,
				   term ? term->term.primary : NULL);
}

static void send_reply(struct instance *in, const struct reply *r)
{
	json_t *result;

	count_reply(in, r);
	result = statement_table_remove(in->statements, r->caller_id);
	if (!r->with_result) {
		json_decref(result);
		result = NULL;
	}
	caller_listener_reply(in->callers, r, result);
}

static void on_linger_timer(void *data, int64_t now_us)
{
	struct instance *in = data;

	/* Wait until the replies being sent are complete. */
	if (caller_listener_count_pending(in->callers) > 0 &&
	    now_us < in->linger_until_us) {
		loop_timer_set(in->linger_timer, now_us + LINGER_CHECK_US);
		return;
	}
	log_event(LOG_STOPPED, in->settings->instance.name, 0,
		  "pending replies sent or abandoned; event loop ends");
	loop_stop(in->loop);
}

static void start_linger(void *data)
{
	struct instance *in = data;

	if (in->lingering)
		return;
	in->lingering = true;
	in->linger_until_us = loop_now_us() + LINGER_MAX_US;
	in->linger_timer = loop_timer_add(in->loop, on_linger_timer, in);
	loop_timer_set(in->linger_timer, loop_now_us() + LINGER_CHECK_US);
}

/*
 * Stops accepting callers. Leaves the platform, which revokes the lease, only
 * if `lease_revocable`: otherwise peers may still use parts of limits that this
 * instance has lent to them.
 */
static void finish_drain(struct instance *in, bool lease_revocable)
{
	caller_listener_stop_accepting(in->callers);
	if (lease_revocable)
		platform_client_leave(in->platform, start_linger, in);
	else
		start_linger(in);
}

static void start_exchange(struct instance *in, const struct exchange_start *x)
{
	pg_link_start_exchange(in->endpoints, x,
			       statement_table_find(in->statements,
						    x->caller_id));
}

static void execute_action(struct instance *in, const struct action *a)
{
	action_metrics_count(in->metrics, a);
	switch (a->type) {
	case ACTION_REPLY:
		send_reply(in, &a->reply);
		break;
	case ACTION_CONN_OPEN:
		pg_link_open(in->endpoints, &a->open);
		break;
	case ACTION_CONN_CLOSE:
		pg_link_close(in->endpoints, a->conn_id);
		break;
	case ACTION_EXCHANGE:
		start_exchange(in, &a->exchange);
		break;
	case ACTION_PLATFORM:
		platform_client_start_operation(in->platform, a->platform);
		break;
	case ACTION_PEER_SEND:
		peer_link_send(in->peers, a->peer);
		break;
	case ACTION_LOG:
		log_entry_write(&a->log);
		break;
	case ACTION_DRAINED:
		finish_drain(in, a->drained.lease_revocable);
		break;
	}
}

static void run_tick(void *data, int64_t now_us)
{
	struct instance *in = data;

	world_tick(in->world, now_us);
}

static void before_wait(void *data, int64_t now_us)
{
	struct instance *in = data;
	struct action a;

	if (now_us >= in->next_tick_us)
		run_tick(in, now_us);
	while (world_next_action(in->world, &a))
		execute_action(in, &a);
	in->next_tick_us = world_next_tick_us(in->world, now_us);
	loop_timer_set(in->tick_timer, in->next_tick_us);
}

static void on_tick_timer(void *data, int64_t now_us)
{
	/* Only wakes the loop: before_wait() runs the tick. */
}

static uint64_t random_u64(void)
{
	uint64_t v = 0;

	while (!v)
		randombytes_buf(&v, sizeof(v));
	return v;
}

static struct world_opts make_world_opts(const struct settings *s,
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
	statement_table_free(in->statements);
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
	in->statements = statement_table_new();
	in->records = record_store_new();
	in->metrics = metrics_new();
	apr_pool_create(&in->pool, parent);
	/* Runs after the subpools of the adapters have been destroyed. */
	apr_pool_cleanup_register(in->pool, in, instance_cleanup,
				  apr_pool_cleanup_null);
	return in;
}

static int fail_startup(struct instance *in, const char *subject, int rc,
			char *errbuf, size_t errbuf_size)
{
	snprintf(errbuf, errbuf_size, "%s: %s", subject, strerror(-rc));
	apr_pool_destroy(in->pool);
	return rc;
}

static void report_ready(const struct instance *in)
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
		 apr_pool_t *parent, char *errbuf, size_t errbuf_size)
{
	struct instance *in = instance_alloc(s, parent);
	struct world_opts w;
	char address[ADDRESS_BYTES];
	int rc;

	rc = loop_new(&in->loop, in->pool);
	if (rc)
		return fail_startup(in, "event loop", rc, errbuf, errbuf_size);
	w = make_world_opts(s, "");
	rc = adapters_open_peers(in, w.incarnation);
	if (rc)
		return fail_startup(in, s->listen.peers, rc, errbuf,
				    errbuf_size);
	adapters_format_peer_address(in, address, sizeof(address));
	g_strlcpy(w.address, address, sizeof(w.address));
	in->world = world_new(&w, loop_now_us());
	rc = adapters_open_endpoints(in);
	if (rc)
		return fail_startup(in, "endpoint driver", rc, errbuf,
				    errbuf_size);
	rc = adapters_open_callers(in);
	if (rc)
		return fail_startup(in, s->listen.callers, rc, errbuf,
				    errbuf_size);
	rc = operator_interface_open(in);
	if (rc)
		return fail_startup(in, s->listen.operators, rc, errbuf,
				    errbuf_size);
	rc = adapters_open_platform(in, &w);
	if (rc)
		return fail_startup(in, "key-value service", rc, errbuf,
				    errbuf_size);
	in->tick_timer = loop_timer_add(in->loop, on_tick_timer, in);
	loop_set_before_wait(in->loop, before_wait, in);
	report_ready(in);
	*out = in;
	return 0;
}

int instance_run(struct instance *in)
{
	return loop_run(in->loop);
}

static void on_drain_timeout(void *data, int64_t now_us)
{
	struct instance *in = data;

	if (!in->lingering)
		finish_drain(in, false);
}

void instance_drain(struct instance *in)
{
	struct event e = { .type = EVENT_DRAIN };
	int64_t due_us;

	if (in->draining)
		return;
	in->draining = true;
	due_us = loop_now_us() + in->settings->drain_timeout_ms * US_PER_MS;
	in->drain_timer = loop_timer_add(in->loop, on_drain_timeout, in);
	loop_timer_set(in->drain_timer, due_us);
	e.drain.transactions_until_us = due_us;
	e.drain.answers_until_us = due_us + LINGER_MAX_US - FLUSH_US;
	instance_handle(in, &e);
}

struct loop *instance_loop(const struct instance *in)
{
	return in->loop;
}
