#include "plan.h"

#include "core/sizes.h"

#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

static const char *const kind_names[WORK_KIND_COUNT] = {
	[WORK_READ] = "read",
	[WORK_STRICT] = "strict",
	[WORK_BY_ID] = "by_id",
	[WORK_ONCE] = "once",
	[WORK_TRANSACTION] = "transaction",
};

const char *work_kind_name(enum work_kind kind)
{
	return kind_names[kind];
}

static void copy_text(char out[PLAN_TEXT_BYTES], const json_t *text)
{
	g_strlcpy(out, json_is_string(text) ? json_string_value(text) : "",
		  PLAN_TEXT_BYTES);
}

static double get_number(const json_t *o, const char *name, double fallback)
{
	const json_t *n = json_object_get(o, name);

	return json_is_number(n) ? json_number_value(n) : fallback;
}

static uint32_t read_texts(const json_t *array, char out[][PLAN_TEXT_BYTES],
			   uint32_t max)
{
	uint32_t n = MIN((uint32_t)json_array_size(array), max);

	for (uint32_t i = 0; i < n; i++)
		copy_text(out[i], json_array_get(array, i));
	return n;
}

static void read_endpoint(const json_t *o, struct plan_endpoint *e)
{
	copy_text(e->name, json_object_get(o, "name"));
	copy_text(e->group, json_object_get(o, "group"));
	e->port = (uint16_t)get_number(o, "port", 0);
	e->control_port = (uint16_t)get_number(o, "control", 0);
}

static void read_workspace(const json_t *o, struct plan_workspace *w)
{
	const json_t *mix = json_object_get(o, "mix");

	copy_text(w->name, json_object_get(o, "name"));
	copy_text(w->key, json_object_get(o, "key"));
	w->rate_per_s = get_number(o, "rate", 0);
	w->surge_factor = get_number(o, "surge_factor", 1);
	w->surge_from_us =
		(int64_t)(get_number(o, "surge_from_s", 0) * US_PER_S);
	w->surge_to_us = (int64_t)(get_number(o, "surge_to_s", 0) * US_PER_S);
	w->limit_per_s = get_number(o, "limit_rate", 0);
	w->limit_burst = get_number(o, "limit_burst", 0);
	for (int k = 0; k < WORK_KIND_COUNT; k++)
		w->mix[k] = (uint32_t)get_number(mix, kind_names[k], 0);
}

static void read_arrays(const json_t *o, struct plan *p)
{
	const json_t *endpoints = json_object_get(o, "endpoints");
	const json_t *workspaces = json_object_get(o, "workspaces");

	p->instance_count = read_texts(json_object_get(o, "instances"),
				       p->instances, PLAN_INSTANCES_MAX);
	p->group_count = read_texts(json_object_get(o, "groups"), p->groups,
				    PLAN_GROUPS_MAX);
	p->endpoint_count =
		MIN((uint32_t)json_array_size(endpoints), PLAN_ENDPOINTS_MAX);
	for (uint32_t i = 0; i < p->endpoint_count; i++)
		read_endpoint(json_array_get(endpoints, i), &p->endpoints[i]);
	p->workspace_count =
		MIN((uint32_t)json_array_size(workspaces), PLAN_WORKSPACES_MAX);
	for (uint32_t i = 0; i < p->workspace_count; i++)
		read_workspace(json_array_get(workspaces, i),
			       &p->workspaces[i]);
}

static int check_plan(const struct plan *p, const char *file)
{
	if (p->instance_count && p->group_count && p->workspace_count &&
	    p->duration_us > 0)
		return 0;
	fprintf(stderr,
		"%s: instances, groups and workspaces must not be empty, "
		"duration_s must be greater than 0\n",
		file);
	return -EINVAL;
}

int plan_load(struct plan *p, const char *file)
{
	json_error_t e;
	json_t *o = json_load_file(file, 0, &e);

	*p = (struct plan){ 0 };
	if (!o) {
		fprintf(stderr, "%s:%d: %s\n", file, e.line, e.text);
		return -EINVAL;
	}
	p->duration_us = (int64_t)(get_number(o, "duration_s", 0) * US_PER_S);
	p->deadline_ms = (int64_t)get_number(o, "deadline_ms", 2000);
	p->lag_us = (int64_t)(get_number(o, "lag_ms", 0) * US_PER_MS);
	p->sessions = (uint32_t)MAX(get_number(o, "sessions", 8), 1);
	copy_text(p->read_profile, json_object_get(o, "read_profile"));
	copy_text(p->strict_profile, json_object_get(o, "strict_profile"));
	read_arrays(o, p);
	json_decref(o);
	return check_plan(p, file);
}

double plan_rate(const struct plan_workspace *w, int64_t since_start_us)
{
	bool surge = since_start_us >= w->surge_from_us &&
		     since_start_us < w->surge_to_us;

	return w->rate_per_s * (surge ? w->surge_factor : 1);
}

enum work_kind plan_draw_kind(const struct plan_workspace *w, GRand *rand)
{
	uint32_t sum = 0;
	uint32_t pick;

	for (int k = 0; k < WORK_KIND_COUNT; k++)
		sum += w->mix[k];
	if (!sum)
		return WORK_READ;
	pick = (uint32_t)g_rand_int_range(rand, 0, (gint32)sum);
	for (int k = 0; k < WORK_KIND_COUNT; k++) {
		if (pick < w->mix[k])
			return (enum work_kind)k;
		pick -= w->mix[k];
	}
	return WORK_READ;
}
