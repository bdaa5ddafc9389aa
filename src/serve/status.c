#include "serve/status.h"

static json_t *build_endpoint_json(const struct world *w, uint32_t i,
				   int64_t now_us)
{
	struct endpoint_report e = world_report_endpoint(w, i, now_us);

	return json_pack("{s:s,s:s,s:s,s:b,s:b,s:b,s:s,s:I,s:I,s:I,s:I,s:i,"
			 "s:i}",
			 "name", e.name, "group", e.group, "zone", e.zone,
			 "usable", e.usable, "leaving", e.leaving, "down",
			 e.down, "role",
			 e.status.role == ROLE_PRIMARY ? "primary" : "replica",
			 "term", (json_int_t)e.status.current_term, "log_term",
			 (json_int_t)e.status.position.term, "log_offset",
			 (json_int_t)e.status.position.offset, "age_us",
			 (json_int_t)e.status_age_us, "connections",
			 (int)e.connections, "queued", (int)e.queued);
}

static json_t *build_group_json(const struct world *w, uint32_t i)
{
	struct group_report g = world_report_group(w, i);

	return json_pack("{s:s,s:s,s:I,s:i,s:i,s:I}", "name", g.name, "primary",
			 g.primary, "term", (json_int_t)g.term, "waiting",
			 (int)g.waiting, "unconfirmed", (int)g.unconfirmed,
			 "promotions", (json_int_t)g.promotions);
}

json_t *status_build_json(const struct world *w, const char *instance,
			  int64_t now_us)
{
	struct world_report r = world_report(w, now_us);
	json_t *groups = json_array();
	json_t *endpoints = json_array();

	for (uint32_t i = 0; i < r.groups; i++)
		json_array_append_new(groups, build_group_json(w, i));
	for (uint32_t i = 0; i < r.endpoints; i++)
		json_array_append_new(endpoints,
				      build_endpoint_json(w, i, now_us));
	return json_pack("{s:s,s:I,s:b,s:b,s:i,s:i,s:i,s:o,s:o}", "instance",
			 instance, "config_revision",
			 (json_int_t)r.config_revision, "keys_confirmed",
			 r.keys_confirmed, "draining", r.draining, "requests",
			 (int)r.requests, "transactions", (int)r.transactions,
			 "members", (int)r.members, "groups", groups,
			 "endpoints", endpoints);
}

json_t *status_build_config_json(const struct world *w, const char *instance,
				 int64_t now_us)
{
	struct world_report r = world_report(w, now_us);
	json_t *list = json_array();

	json_array_append_new(list, json_pack("{s:s,s:I,s:I}", "name", instance,
					      "revision",
					      (json_int_t)r.config_revision,
					      "age_us", (json_int_t)0));
	for (uint32_t i = 0; i < r.members; i++) {
		struct member_status m = world_report_member(w, i, now_us);

		json_array_append_new(list,
				      json_pack("{s:s,s:I,s:I}", "name", m.name,
						"revision",
						(json_int_t)m.config_revision,
						"age_us",
						(json_int_t)m.report_age_us));
	}
	return json_pack("{s:I,s:o}", "revision", (json_int_t)r.config_revision,
			 "instances", list);
}

static uint32_t count_alive_members(const struct world *w, uint32_t members,
				    int64_t now_us)
{
	uint32_t alive = 0;

	for (uint32_t i = 0; i < members; i++)
		alive += world_report_member(w, i, now_us).alive;
	return alive;
}

void status_set_gauges(struct world *w, struct metrics *m, int64_t now_us)
{
	struct world_report r = world_report(w, now_us);

	metrics_set(m, "config_revision", NULL, r.config_revision);
	metrics_set(m, "pending_requests", NULL, r.requests);
	metrics_set(m, "open_transactions", NULL, r.transactions);
	metrics_set(m, "draining", NULL, r.draining);
	metrics_set(m, "peers_up", NULL,
		    count_alive_members(w, r.members, now_us));
	for (uint32_t i = 0; i < r.endpoints; i++) {
		struct endpoint_report e = world_report_endpoint(w, i, now_us);

		metrics_set(m, "endpoint_connections", e.name, e.connections);
		metrics_set(m, "endpoint_up", e.name, !e.down);
	}
	for (uint32_t i = 0; i < r.groups; i++) {
		struct group_report g = world_report_group(w, i);

		metrics_set(m, "group_term", g.name, (int64_t)g.term);
	}
}
