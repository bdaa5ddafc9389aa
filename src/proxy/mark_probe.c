#include "proxy/mark_probe.h"

#include "proxy/conn_pool.h"
#include "proxy/dispatch.h"
#include "proxy/engine_state.h"
#include "proxy/exchange.h"

enum {
	/*
	 * Probes per max_age_us of the routes: a read that any endpoint may
	 * serve needs a mark younger than its route's bound.
	 */
	MARKS_PER_AGE = 5,
	INTERVAL_MIN_US = 100 * 1000,
	INTERVAL_MAX_US = 500 * 1000,
	/*
	 * Far longer than a round trip with its delays: BEGIN does not wait for
	 * a slot.
	 */
	PROBE_TIMEOUT_US = 250 * 1000,
	/* Interval of probes while the primary is silent or unknown. */
	RETRY_INTERVAL_US = 150 * 1000,
	/* Far longer than the one round trip that connecting takes. */
	CONNECT_TIMEOUT_US = 250 * 1000,
};

static int64_t get_probe_interval_us(const struct service *svc)
{
	int64_t us = svc->smallest_max_age_us ?
			     svc->smallest_max_age_us / MARKS_PER_AGE :
			     INTERVAL_MAX_US;

	return CLAMP(us, INTERVAL_MIN_US, INTERVAL_MAX_US);
}

/* What a probe on the connection costs the statements that would use it. */
static uint32_t get_probe_cost(const struct upstream_conn *c)
{
	return !!*c->values_key + g_hash_table_size(c->prepared);
}

/*
 * Returns the idle connection that loses least by a probe, or NULL. A probe that
 * is probably refused goes where there were errors before, and any other one
 * where there were none that may come again.
 */
static struct upstream_conn *
find_probe_conn(const struct upstream *u, bool had_error_first, int64_t now_us)
{
	struct upstream_conn *found = NULL;
	bool found_fits = false;

	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);
		bool fits =
			upstream_conn_had_error(c, now_us) == had_error_first;

		if (c->state != CONN_STATE_IDLE || c->control)
			continue;
		if (!found || fits > found_fits ||
		    (fits == found_fits &&
		     get_probe_cost(c) < get_probe_cost(found))) {
			found = c;
			found_fits = fits;
		}
	}
	return found;
}

static bool has_starting_conn(const struct upstream *u)
{
	for (guint i = 0; i < u->conns->len; i++) {
		const struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (c->state == CONN_STATE_STARTING)
			return true;
	}
	return false;
}

static void send_probe(struct service *svc, struct upstream_conn *c,
		       int64_t now_us)
{
	const struct proxy_message begin = { .statement =
						     PROXY_STATEMENT_BEGIN };
	const struct proxy_message end = { .statement =
						   PROXY_STATEMENT_ROLLBACK };
	const struct wire_ops *wire = c->engine->opts.wire;

	c->state = CONN_STATE_PROBING;
	svc->probing = true;
	upstream_conn_put_message(c, wire, &begin, CONN_REQUEST_PROBE_BEGIN,
				  now_us);
	upstream_conn_put_message(c, wire, &end, CONN_REQUEST_ROLLBACK, now_us);
	engine_conn_flush(c);
}

/*
 * Opens a connection to probe with. It may belong to any workspace, so one is
 * chosen at random.
 */
static void open_probe_conn(struct engine *e, struct upstream *u,
			    int64_t now_us)
{
	const struct workspace_config *w;

	if (!e->config || !e->config->workspaces->len ||
	    now_us < u->open_after_us || has_starting_conn(u) ||
	    u->conns->len >= conn_pool_limit(e, u))
		return;
	w = g_ptr_array_index(
		e->config->workspaces,
		g_rand_int_range(e->rand, 0,
				 (gint32)e->config->workspaces->len));
	dispatch_open_conn(e, u, w->name, false, now_us);
}

/* Returns true if an endpoint answers the request at once, even under load. */
static bool takes_no_slot(enum conn_request_kind kind)
{
	return kind == CONN_REQUEST_SETUP || kind == CONN_REQUEST_BEGIN ||
	       kind == CONN_REQUEST_ROLLBACK || kind == CONN_REQUEST_SEAL ||
	       kind == CONN_REQUEST_PROBE_BEGIN;
}

static bool conn_is_silent(const struct upstream_conn *c, int64_t now_us)
{
	const struct conn_request *request = upstream_conn_oldest_request(c);

	/* While output is still buffered the connection is not established. */
	if (c->state == CONN_STATE_STARTING)
		return c->out->len &&
		       now_us - c->opened_us >= CONNECT_TIMEOUT_US;
	return request && takes_no_slot(request->kind) &&
	       now_us - MAX(request->sent_us, c->answered_us) >=
		       PROBE_TIMEOUT_US;
}

/* Closes connections whose connect or request has timed out. */
static void close_silent_conns(struct upstream *u, int64_t now_us)
{
	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (!conn_is_silent(c, now_us))
			continue;
		exchange_handle_loss(c, "silent", now_us);
		i = (guint)-1; /* start over: the list changed */
	}
}

/*
 * Probes all endpoints while no primary is known: the one that accepts BEGIN is
 * the primary.
 */
static void probe_for_primary(struct engine *e, struct service *svc,
			      int64_t now_us)
{
	if (now_us < svc->probe_due_us)
		return;
	svc->probe_due_us = now_us + RETRY_INTERVAL_US;
	for (guint i = 0; i < svc->upstreams->len; i++) {
		struct upstream *u = g_ptr_array_index(svc->upstreams, i);
		struct upstream_conn *c = find_probe_conn(u, true, now_us);

		if (u->expired)
			continue;
		if (c)
			send_probe(svc, c, now_us);
		else
			open_probe_conn(e, u, now_us);
	}
	svc->probing = false; /* probes of several endpoints may be pending */
}

void mark_probe_run(struct engine *e, struct service *svc, int64_t now_us)
{
	struct upstream *u = svc->primary;
	struct upstream_conn *c;

	for (guint i = 0; i < svc->upstreams->len; i++)
		close_silent_conns(g_ptr_array_index(svc->upstreams, i),
				   now_us);
	for (guint i = 0; i < svc->homes->len; i++)
		close_silent_conns(g_ptr_array_index(svc->homes, i), now_us);
	if (!svc->is_observed)
		return;
	if (!u) {
		probe_for_primary(e, svc, now_us);
		return;
	}
	if (svc->probing || now_us < svc->probe_due_us)
		return;
	if (!u->silent_since_us && svc->marks.count &&
	    now_us - mark_ring_newest_us(&svc->marks) <
		    get_probe_interval_us(svc) / 2)
		return;
	svc->probe_due_us =
		now_us + (u->silent_since_us ? RETRY_INTERVAL_US :
					       get_probe_interval_us(svc));
	c = find_probe_conn(u, false, now_us);
	if (c)
		send_probe(svc, c, now_us);
	else
		open_probe_conn(e, u, now_us);
}
