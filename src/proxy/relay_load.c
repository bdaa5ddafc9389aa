#include "proxy/relay_load.h"

#include "proxy/engine_state.h"
#include "proxy/hop.h"

#include <string.h>

/* Returns the expected wait of a new read. */
static int64_t measure_read_wait(const struct service *svc, int64_t now_us)
{
	uint32_t waiting = scheduler_count_reads(svc->queue);
	int64_t latency_us = 0;
	uint32_t running = 0;

	for (guint i = 0; waiting && i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		/* The primary serves reads only where nothing else can. */
		if (!upstream_is_usable(u) ||
		    (u == svc->primary && svc->upstreams->len > 1))
			continue;
		running += u->running;
		latency_us = MAX(latency_us,
				 upstream_expected_latency_us(u, now_us));
	}
	if (!waiting)
		return 0;
	return MIN(latency_us * (waiting + 1) / MAX(running, 1),
		   LOAD_WAIT_MAX_US);
}

static void put_load(GString *out, struct session *s, int64_t took_us,
		     int64_t now_us)
{
	const struct service *svc = engine_find_service(s->engine, s->service);
	struct hop_load l = { .took_us = took_us };

	if (svc)
		l.read_wait_us = svc->read_wait_us;
	hop_put_load(out, &l);
	s->load_told_us = now_us;
}

void relay_load_put(GString *out, struct session *s, int64_t now_us)
{
	put_load(out, s, now_us - s->op.arrived_us - s->relayed_elapsed_us,
		 now_us);
}

void relay_load_run(struct engine *e, int64_t now_us)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, e->busy_sessions);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct session *s = key;
		GString *out;

		if (!s->relayed || !s->op.active || !s->caller ||
		    now_us - MAX(s->op.arrived_us, s->load_told_us) <
			    LOAD_INTERVAL_US)
			continue;
		out = g_string_new(NULL);
		put_load(out, s, -1, now_us);
		e->opts.ops->caller_send(e->opts.host, s->caller, out->str,
					 out->len);
		g_string_free(out, TRUE);
	}
}

void relay_load_handle_line(struct upstream_conn *c, const char *line,
			    int64_t now_us)
{
	struct upstream *u = c->upstream;
	g_autofree char *copy = g_strdup(line);
	const struct conn_request *r = upstream_conn_oldest_request(c);
	struct hop_load l;

	if (hop_read_load(copy, &l)) {
		home_load_set(&u->load, l.read_wait_us, now_us);
		if (r && l.took_us >= 0)
			home_load_add_late(&u->load,
					   now_us - r->sent_us - l.took_us,
					   now_us);
		return;
	}
	metrics_add(c->engine->opts.metrics, "home_loads_dropped_total", NULL,
		    1);
	if (!u->load_was_bad)
		engine_log(c->engine, LOG_HOME_LOAD_BAD, 0, u->entry.id, 0,
			   "%s", u->service->name);
	u->load_was_bad = true;
}

/* Returns when the oldest request without an answer was sent, or 0. */
static int64_t find_oldest_request_us(const struct upstream *u)
{
	int64_t oldest_us = 0;

	for (guint i = 0; i < u->conns->len; i++) {
		const struct upstream_conn *c = g_ptr_array_index(u->conns, i);
		const struct conn_request *r = upstream_conn_oldest_request(c);

		if (r && c->state != CONN_STATE_STARTING &&
		    (!oldest_us || r->sent_us < oldest_us))
			oldest_us = r->sent_us;
	}
	return oldest_us;
}

/*
 * A stall may end without a word from the home, as its statements time out. It
 * is then on trial until it says something.
 */
static void update_stalled(struct engine *e, struct upstream *u, int64_t now_us)
{
	bool was_on_trial = u->on_trial;

	u->stalled = home_load_is_stalled(&u->load, find_oldest_request_us(u),
					  now_us);
	if (u->stalled && !was_on_trial)
		u->stalled_at_us = now_us;
	u->on_trial = u->stalled ||
		      (was_on_trial && u->load.heard_us < u->stalled_at_us);
	if (u->on_trial != was_on_trial)
		engine_log(e, u->on_trial ? LOG_HOME_STALLED : LOG_HOME_RESUMED,
			   0, u->entry.id, now_us - u->load.heard_us, "%s",
			   u->service->name);
}

void relay_load_update(struct engine *e, struct service *svc, int64_t now_us)
{
	svc->read_wait_us = measure_read_wait(svc, now_us);
	for (guint i = 0; i < svc->homes->len; i++) {
		struct upstream *u = g_ptr_array_index(svc->homes, i);

		update_stalled(e, u, now_us);
	}
}
