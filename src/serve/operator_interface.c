#include "serve/operator_interface.h"

#include "core/world_report.h"
#include "serve/instance_state.h"
#include "serve/status.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

/* An operator's configuration change that waits for the platform's answer. */
struct pending_change {
	struct instance *instance;
	platform_change_fn fn;
	void *data;
};

static void on_change_done(void *data, enum platform_outcome outcome,
			   int64_t revision, const struct record *current)
{
	struct pending_change *c = data;

	/*
	 * If the change took too long to be stored, peers may already accept
	 * keys without confirmation, so it cannot be reported as in force.
	 */
	if (outcome == PLATFORM_APPLIED &&
	    !world_may_accept_changes(c->instance->world, loop_now_us()))
		outcome = PLATFORM_UNKNOWN;
	if (outcome == PLATFORM_APPLIED)
		world_record_accepted_change(c->instance->world, revision);
	c->fn(c->data, outcome, revision, current);
	g_free(c);
}

static void submit_change(void *data, const struct record *r, bool deleted,
			  int64_t expected, platform_change_fn fn,
			  void *fn_data)
{
	struct instance *in = data;
	struct pending_change *c = g_new0(struct pending_change, 1);
	struct endpoint_guard guard = { .members = NULL };

	c->instance = in;
	c->fn = fn;
	c->data = fn_data;
	if (r->kind == RECORD_ENDPOINT)
		world_get_endpoint_guard(in->world, r->endpoint.group, &guard);
	platform_client_change_record(in->platform, r, deleted, expected,
				      r->kind == RECORD_ENDPOINT ? &guard :
								   NULL,
				      on_change_done, c);
	g_free(guard.members);
}

static void on_operator_request(void *data, uint64_t operator_id,
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

	return status_build_json(in->world, in->settings->instance.name,
				 loop_now_us());
}

static json_t *get_config_status(void *data)
{
	struct instance *in = data;

	return status_build_config_json(in->world, in->settings->instance.name,
					loop_now_us());
}

static void start_drain(void *data)
{
	instance_drain(data);
}

static int32_t check_write_allowed(void *data)
{
	struct instance *in = data;

	if (!in->platform_reachable)
		return ERR_PLATFORM;
	if (!world_may_accept_changes(in->world, loop_now_us()))
		return ERR_NOT_YET;
	return ERR_NONE;
}

static int32_t
check_endpoint_change(void *data, const struct endpoint_record *r, bool deleted)
{
	const struct instance *in = data;

	return world_may_change_endpoint(in->world, r, deleted) ? ERR_NONE :
								  ERR_NOT_YET;
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
		    (int64_t)platform_client_call_count(in->platform));
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

int operator_interface_open(struct instance *in)
{
	const struct settings *s = in->settings;
	struct operator_api_opts api = {
		.records = in->records,
		.change = submit_change,
		.reply = reply_operator,
		.status = get_status,
		.config_status = get_config_status,
		.drain = start_drain,
		.check_writable = check_write_allowed,
		.check_endpoint = check_endpoint_change,
		.data = in,
	};
	struct operator_listener_opts o = {
		.loop = in->loop,
		.address = s->listen.operators,
		.body_max_bytes = s->callers.body_max_bytes,
		.on_request = on_operator_request,
		.get_metrics = get_metrics,
		.is_healthy = is_healthy,
		.data = in,
	};

	in->api = operator_api_new(&api);
	crypto_generichash(o.key_digest, sizeof(o.key_digest),
			   (const unsigned char *)s->security.operator_key,
			   strlen(s->security.operator_key), NULL, 0);
	return operator_listener_new(&in->operators, &o, in->pool);
}
