#include "serve/operator_interface.h"

#include "core/world_report.h"
#include "serve/instance_state.h"
#include "serve/status.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

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

int operator_side_open(struct instance *in)
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
