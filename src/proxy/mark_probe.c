#include "proxy/mark_probe.h"

#include "proxy/dispatch.h"
#include "proxy/engine_state.h"
#include "proxy/exchange.h"

enum {
	/* A read that any copy may serve needs a mark younger than its bound. */
	MARKS_PER_AGE = 5,
	INTERVAL_MIN_US = 100 * 1000,
	INTERVAL_MAX_US = 500 * 1000,
	/* BEGIN waits for no slot: round trips and delays are far below. */
	PATIENCE_US = 250 * 1000,
	/* A primary that did not answer is tried so often. */
	SILENT_INTERVAL_US = 150 * 1000,
	/* Connecting needs one round trip. */
	CONNECT_US = 250 * 1000,
};

static int64_t interval_us(const struct service *svc)
{
	int64_t us = svc->least_age_us ? svc->least_age_us / MARKS_PER_AGE :
					 INTERVAL_MAX_US;

	return CLAMP(us, INTERVAL_MIN_US, INTERVAL_MAX_US);
}

static struct upstream_conn *free_conn(const struct upstream *u)
{
	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (c->state == CONN_FREE_TO_USE && !c->control)
			return c;
	}
	return NULL;
}

static bool is_starting(const struct upstream *u)
{
	for (guint i = 0; i < u->conns->len; i++) {
		const struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (c->state == CONN_STARTING)
			return true;
	}
	return false;
}

static void send_probe(struct service *svc, struct upstream_conn *c,
		       int64_t now_us)
{
	const struct own_message begin = { .statement = OWN_BEGIN };
	const struct own_message end = { .statement = OWN_ROLLBACK };
	const struct wire_ops *wire = c->engine->opts.wire;

	c->state = CONN_PROBING;
	svc->probing = true;
	upstream_conn_put(c, wire, &begin, STEP_PROBE_BEGIN, now_us);
	upstream_conn_put(c, wire, &end, STEP_ROLLBACK, now_us);
	engine_conn_flush(c);
}

/* Any workspace will do for a connection that is opened to look. */
static void open_to_look(struct engine *e, struct upstream *u, int64_t now_us)
{
	const struct workspace_config *w;

	if (!e->config || !e->config->workspaces->len ||
	    now_us < u->open_after_us || is_starting(u) ||
	    u->conns->len >= engine_conns_limit(e, u))
		return;
	w = g_ptr_array_index(
		e->config->workspaces,
		g_rand_int_range(e->rand, 0,
				 (gint32)e->config->workspaces->len));
	dispatch_open(e, u, w->name, false, now_us);
}

/* What takes no slot is answered at once, whatever the load. */
static bool takes_no_slot(enum step_kind kind)
{
	return kind == STEP_SETUP || kind == STEP_BEGIN ||
	       kind == STEP_ROLLBACK || kind == STEP_PROBE_BEGIN;
}

static bool is_silent(const struct upstream_conn *c, int64_t now_us)
{
	const struct step *step = upstream_conn_step(c);

	/* Nothing was sent yet: it is not even connected. */
	if (c->state == CONN_STARTING)
		return c->out->len && now_us - c->opened_us >= CONNECT_US;
	return step && takes_no_slot(step->kind) &&
	       now_us - MAX(step->sent_us, c->answered_us) >= PATIENCE_US;
}

/* Gives up what is silent: questions, and connects that take too long. */
static void check_silence(struct upstream *u, int64_t now_us)
{
	for (guint i = 0; i < u->conns->len; i++) {
		struct upstream_conn *c = g_ptr_array_index(u->conns, i);

		if (!is_silent(c, now_us))
			continue;
		exchange_lost(c, "silent", now_us);
		i = (guint)-1; /* the list changed */
	}
}

/* Nobody is known to lead: whoever begins a transaction does. */
static void look_for_leader(struct engine *e, struct service *svc,
			    int64_t now_us)
{
	if (now_us < svc->probe_due_us)
		return;
	svc->probe_due_us = now_us + SILENT_INTERVAL_US;
	for (guint i = 0; i < svc->upstreams->len; i++) {
		struct upstream *u = g_ptr_array_index(svc->upstreams, i);
		struct upstream_conn *c = free_conn(u);

		if (c)
			send_probe(svc, c, now_us);
		else
			open_to_look(e, u, now_us);
	}
	svc->probing = false; /* several at once */
}

void mark_probe_run(struct engine *e, struct service *svc, int64_t now_us)
{
	struct upstream *u = svc->primary;
	struct upstream_conn *c;

	for (guint i = 0; i < svc->upstreams->len; i++)
		check_silence(g_ptr_array_index(svc->upstreams, i), now_us);
	if (!u) {
		look_for_leader(e, svc, now_us);
		return;
	}
	if (svc->probing || now_us < svc->probe_due_us)
		return;
	if (!u->silent_since_us && svc->marks.count &&
	    now_us - mark_ring_newest_us(&svc->marks) < interval_us(svc) / 2)
		return;
	svc->probe_due_us = now_us + (u->silent_since_us ? SILENT_INTERVAL_US :
							   interval_us(svc));
	c = free_conn(u);
	if (c)
		send_probe(svc, c, now_us);
	else
		open_to_look(e, u, now_us);
}
