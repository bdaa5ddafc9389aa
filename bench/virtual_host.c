#include "virtual_host.h"

#include "peer/peer_codec.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum { CONN_ROW_MASK = 0xffff, CONN_ROWS = CONN_ROW_MASK + 1 };

static const int64_t CONFIRM_INTERVAL_US = US_PER_S;
static const int64_t LEASE_US = 3600 * US_PER_S;

struct virtual_host {
	struct world *world;
	int64_t now_us;
	int64_t synced_us; /* last confirmation of the configuration */
	int64_t revision;
	uint64_t last_caller_id;
	struct virtual_host_counts counts;
	uint32_t conn_endpoint[CONN_ROWS]; /* endpoint number */
};

struct world *virtual_host_world(struct virtual_host *h)
{
	return h->world;
}

int64_t virtual_host_now_us(const struct virtual_host *h)
{
	return h->now_us;
}

struct virtual_host_counts virtual_host_counts(const struct virtual_host *h)
{
	return h->counts;
}

static void deliver_event(struct virtual_host *h, const struct event *e)
{
	world_handle_event(h->world, e, h->now_us);
}

static void open_conn(struct virtual_host *h, const struct conn_open *o)
{
	struct event e = { .type = EVENT_CONN_OPENED, .conn_id = o->conn_id };
	const char *number = strrchr(o->endpoint, '-');

	h->conn_endpoint[o->conn_id & CONN_ROW_MASK] =
		(uint32_t)strtoul(number + 1, NULL, 10);
	deliver_event(h, &e);
}

static void answer_exchange(struct virtual_host *h,
			    const struct exchange_start *x)
{
	uint32_t endpoint = h->conn_endpoint[x->conn_id & CONN_ROW_MASK];
	bool primary = endpoint % VIRTUAL_ENDPOINTS_PER_GROUP == 0;
	struct endpoint_status s = { .current_term = 1, .position = { 1, 1 } };
	struct event e = { .type = EVENT_EXCHANGE_RESULT };

	h->counts.exchanges++;
	/* Callers' reads of the first group stay in progress. */
	if (x->caller_id && endpoint < VIRTUAL_ENDPOINTS_PER_GROUP)
		return;
	s.role = primary ? ROLE_PRIMARY : ROLE_REPLICA;
	e.result = (struct exchange_result){ .conn_id = x->conn_id,
					     .exchange = x->exchange,
					     .before = s,
					     .after = s };
	deliver_event(h, &e);
}

static void answer_platform(struct virtual_host *h,
			    const struct platform_start *p)
{
	struct platform_result r = { .operation_id = p->operation_id,
				     .outcome = PLATFORM_APPLIED,
				     .record = p->record };
	struct event e = { .type = EVENT_PLATFORM_RESULT, .platform = &r };
	bool writes = p->operation == PLATFORM_CAS_TERM ||
		      p->operation == PLATFORM_CAS_SHARE;

	h->counts.platform_operations++;
	if (writes)
		r.record.revision = ++h->revision;
	r.found = writes;
	deliver_event(h, &e);
}

/* A peer answers each ping and sends a ping of its own after it. */
static void answer_peer(struct virtual_host *h, const struct peer_message *sent)
{
	uint8_t bytes[PEER_MESSAGE_MAX_BYTES];
	int size = peer_encode(sent, "node-self", bytes, sizeof(bytes));
	struct peer_message m = { .type = PEER_PONG, .incarnation = 7 };
	struct event e = { .type = EVENT_PEER_MESSAGE, .peer = &m };

	h->counts.peer_messages++;
	h->counts.peer_bytes += size > 0 ? (uint64_t)size : 0;
	if (sent->type != PEER_PING)
		return;
	memcpy(m.peer, sent->peer, sizeof(m.peer));
	m.pong.sequence = sent->ping.sequence;
	m.pong.config_revision = h->revision;
	deliver_event(h, &e);
	m.type = PEER_PING;
	m.ping.sequence = sent->ping.sequence;
	deliver_event(h, &e);
}

static void handle_action(struct virtual_host *h, const struct action *a)
{
	h->counts.actions++;
	switch (a->type) {
	case ACTION_CONN_OPEN:
		open_conn(h, &a->open);
		break;
	case ACTION_EXCHANGE:
		answer_exchange(h, &a->exchange);
		break;
	case ACTION_PLATFORM:
		answer_platform(h, a->platform);
		break;
	case ACTION_PEER_SEND:
		answer_peer(h, a->peer);
		break;
	case ACTION_REPLY:
		h->counts.replies++;
		break;
	default:
		break;
	}
}

static void handle_actions(struct virtual_host *h)
{
	struct action a;

	while (world_next_action(h->world, &a))
		handle_action(h, &a);
}

/* Confirms the configuration to the core once a second. */
static void confirm_config(struct virtual_host *h)
{
	struct event e = { .type = EVENT_CONFIG_SYNCED };

	if (h->now_us - h->synced_us < CONFIRM_INTERVAL_US)
		return;
	h->synced_us = h->now_us;
	e.synced.revision = h->revision;
	e.synced.requested_us = h->now_us;
	deliver_event(h, &e);
}

uint64_t virtual_host_run(struct virtual_host *h, int64_t duration_us)
{
	int64_t end_us = h->now_us + duration_us;
	uint64_t ticks = 0;

	while (h->now_us < end_us) {
		h->now_us = world_next_tick_us(h->world, h->now_us);
		confirm_config(h);
		world_tick(h->world, h->now_us);
		handle_actions(h);
		ticks++;
	}
	return ticks;
}

void virtual_host_put(struct virtual_host *h, struct record *r)
{
	struct event e = { .type = EVENT_RECORD_PUT, .record = r };

	r->revision = ++h->revision;
	deliver_event(h, &e);
	handle_actions(h);
}

void virtual_host_put_workspace(struct virtual_host *h, uint32_t i)
{
	struct record r = { .kind = RECORD_WORKSPACE };

	g_snprintf(r.workspace.name, NAME_BYTES, "workspace-%u", i);
	r.workspace.rate_milli_per_s = 1000 * 1000 * 1000;
	r.workspace.burst_milli = 1000 * 1000 * 1000;
	r.workspace.weight = 1;
	virtual_host_put(h, &r);
}

void virtual_host_put_key(struct virtual_host *h, uint32_t i)
{
	struct record r = { .kind = RECORD_KEY };

	memcpy(r.key.digest, &i, sizeof(i));
	g_snprintf(r.key.workspace, NAME_BYTES, "workspace-0");
	virtual_host_put(h, &r);
}

void virtual_host_put_endpoint(struct virtual_host *h, uint32_t i)
{
	struct record r = { .kind = RECORD_ENDPOINT };
	uint32_t group = i / VIRTUAL_ENDPOINTS_PER_GROUP;

	g_snprintf(r.endpoint.name, NAME_BYTES, "endpoint-%u", i);
	g_snprintf(r.endpoint.group, NAME_BYTES, "group-%u", group);
	g_snprintf(r.endpoint.zone, NAME_BYTES, "zone-0");
	g_snprintf(r.endpoint.address, ADDRESS_BYTES, "127.0.0.1:%u", i + 1);
	r.endpoint.slots = 5;
	r.endpoint.connections_max = 35;
	virtual_host_put(h, &r);
}

static void add_member(struct virtual_host *h, uint32_t i)
{
	struct record r = { .kind = RECORD_MEMBER };

	g_snprintf(r.member.name, NAME_BYTES, "node-%05u", i);
	g_snprintf(r.member.zone, NAME_BYTES, "zone-%u", i % 11);
	g_snprintf(r.member.address, ADDRESS_BYTES, "127.0.0.1:%u", i + 1);
	r.member.incarnation = 7;
	virtual_host_put(h, &r);
}

static void add_profile(struct virtual_host *h)
{
	struct record r = { .kind = RECORD_PROFILE };

	g_snprintf(r.profile.name, NAME_BYTES, "stock");
	r.profile.max_age_us = 5 * US_PER_S;
	r.profile.repeat = REPEAT_READS;
	r.profile.cost_milli = 1;
	virtual_host_put(h, &r);
}

static void start_lease(struct virtual_host *h)
{
	struct event e = { .type = EVENT_LEASE_RENEWED };

	e.lease.requested_us = h->now_us;
	e.lease.ttl_us = LEASE_US;
	deliver_event(h, &e);
	handle_actions(h);
}

static void configure(struct virtual_host *h,
		      const struct virtual_host_opts *opts)
{
	add_profile(h);
	for (uint32_t i = 0; i < opts->workspaces; i++)
		virtual_host_put_workspace(h, i);
	virtual_host_put_key(h, 0);
	for (uint32_t i = 0; i < opts->members; i++)
		add_member(h, i);
	for (uint32_t i = 0; i < opts->endpoints; i++)
		virtual_host_put_endpoint(h, i);
	start_lease(h);
}

struct virtual_host *virtual_host_new(const struct virtual_host_opts *opts)
{
	struct virtual_host *h = g_new0(struct virtual_host, 1);
	struct world_opts o = world_opts_default();

	g_strlcpy(o.instance, "node-self", sizeof(o.instance));
	g_strlcpy(o.zone, "zone-0", sizeof(o.zone));
	o.incarnation = 1;
	o.requests_max = opts->requests_max;
	/* Connections of held reads must not be closed as silent. */
	o.silence_us = LEASE_US;
	h->now_us = 1000 * US_PER_S;
	h->world = world_new(&o, h->now_us);
	configure(h, opts);
	return h;
}

void virtual_host_free(struct virtual_host *h)
{
	world_free(h->world);
	g_free(h);
}

static void send_read(struct virtual_host *h, const char *group)
{
	struct event e = { .type = EVENT_REQUEST };
	struct request_opts *o = &e.request;

	o->caller_id = ++h->last_caller_id;
	o->kind = REQUEST_READ;
	o->has_key = true;
	o->repeatable = true;
	o->deadline_us = h->now_us + LEASE_US;
	g_strlcpy(o->profile, "stock", sizeof(o->profile));
	g_strlcpy(o->group, group, sizeof(o->group));
	deliver_event(h, &e);
	handle_actions(h);
}

void virtual_host_hold_reads(struct virtual_host *h, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		send_read(h, "group-0");
}

void virtual_host_serve_reads(struct virtual_host *h, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		send_read(h, "group-1");
}
