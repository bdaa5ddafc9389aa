#include "http/problem.h"

#include "core/sizes.h"

#define TYPE_URI_PREFIX "urn:zinnialine:error:"

int64_t round_up_to_unit(int64_t duration_us, int64_t unit_us)
{
	return duration_us / unit_us + (duration_us % unit_us > 0);
}

static json_t *build_problem(const struct problem *p, json_t *extra)
{
	const struct error_info *info = error_info(p->error);
	json_t *doc = json_object();

	json_object_set_new(doc, "type",
			    json_sprintf(TYPE_URI_PREFIX "%s", info->slug));
	json_object_set_new(doc, "title", json_string(info->title));
	json_object_set_new(doc, "status", json_integer(info->http_status));
	json_object_set_new(doc, "error", json_integer(info->number));
	json_object_set_new(doc, "verdict",
			    json_string(verdict_name(p->verdict)));
	if (p->detail)
		json_object_set_new(doc, "detail", json_string(p->detail));
	if (p->retry_after_us > 0)
		json_object_set_new(doc, "retry_after_ms",
				    json_integer(
					    round_up_to_unit(p->retry_after_us,
							     US_PER_MS)));
	if (extra)
		json_object_update_missing(doc, extra);
	return doc;
}

char *format_problem(const struct problem *p, json_t *extra)
{
	json_t *doc = build_problem(p, extra);
	char *text = json_dumps(doc, JSON_COMPACT);

	json_decref(doc);
	if (text)
		return text;
	doc = build_problem(p, NULL);
	json_object_del(doc, "detail");
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}
