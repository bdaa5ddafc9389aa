#include "serve/adapters.h"

#include "base/log.h"
#include "core/world_report.h"
#include "serve/instance_state.h"

#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

static void on_endpoint_event(void *data, const struct event *e)
{
	instance_handle(data, e);
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
			peer_link_remove_peer(in->peers, r->member.name);
	}
	instance_handle(in, e);
}

static void on_platform_reachable(void *data, bool reachable)
{
	struct instance *in = data;

	if (in->platform_reachable == reachable)
		return;
	in->platform_reachable = reachable;
	metrics_set(in->metrics, "platform_up", NULL, reachable);
	log_event(reachable ? LOG_PLATFORM_BACK : LOG_PLATFORM_LOST, "", 0,
		  "%s",
		  reachable ? "calls to the key-value service succeed" :
			      "calls to the key-value service fail");
}

static void on_endpoint_result(void *data, uint64_t caller_id, json_t *result)
{
	struct instance *in = data;

	statement_table_set_result(in->statements, caller_id, result);
}

static void on_caller_request(void *data, const struct request_opts *r,
			      struct statement *s)
{
	struct instance *in = data;
	struct event e = { .type = EVENT_REQUEST, .request = *r };

	statement_table_add(in->statements, r->caller_id, s);
	instance_handle(in, &e);
}

static void on_caller_disconnect(void *data, uint64_t caller_id)
{
	struct event e = { .type = EVENT_CALLER_DISCONNECTED,
			   .caller_id = caller_id };

	instance_handle(data, &e);
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
	instance_handle(in, &e);
}

static void on_bad_peer_message(void *data, const char *reason)
{
	log_event(LOG_PEER_MESSAGE_BAD, "", 0, "%s", reason);
}

int adapters_open_peers(struct instance *in, uint64_t incarnation)
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
		.on_dropped = on_bad_peer_message,
		.data = in,
	};

	return peer_link_new(&in->peers, &o, in->pool);
}

int adapters_open_endpoints(struct instance *in)
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
		.on_event = on_endpoint_event,
		.on_result = on_endpoint_result,
		.data = in,
	};

	return pg_link_new(&in->endpoints, &o, in->pool);
}

int adapters_open_callers(struct instance *in)
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
		.on_request = on_caller_request,
		.on_disconnect = on_caller_disconnect,
		.find_workspace = find_workspace,
		.data = in,
	};

	if (sodium_hex2bin(o.token_key, sizeof(o.token_key),
			   s->callers.token_key_hex,
			   strlen(s->callers.token_key_hex), NULL, NULL, NULL))
		return -EINVAL;
	return caller_listener_new(&in->callers, &o, in->pool);
}

void adapters_format_peer_address(const struct instance *in, char *out,
				  size_t size)
{
	const char *colon = strrchr(in->settings->listen.peers, ':');
	int ip_len = (int)(colon - in->settings->listen.peers);

	snprintf(out, size, "%.*s:%u", ip_len, in->settings->listen.peers,
		 peer_link_port(in->peers));
}

int adapters_open_platform(struct instance *in, const struct world_opts *w)
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
		.on_reachable = on_platform_reachable,
		.data = in,
	};

	g_strlcpy(o.member.name, w->instance, sizeof(o.member.name));
	g_strlcpy(o.member.zone, w->zone, sizeof(o.member.zone));
	g_strlcpy(o.member.address, w->address, sizeof(o.member.address));
	o.member.incarnation = w->incarnation;
	return platform_client_new(&in->platform, &o, in->pool);
}
