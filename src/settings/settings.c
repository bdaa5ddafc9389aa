#include "settings/settings.h"

#include "settings/settings_check.h"
#include "settings/settings_field.h"

#include <glib.h>

enum {
	KIB = 1024,
	MIB = 1024 * 1024,
	SECOND_MS = 1000,
	MINUTE_MS = 60 * SECOND_MS,
	HOUR_MS = 60 * MINUTE_MS,
};

#define REQUIRED NULL
/* A member designator must not be put in parentheses. */
/* NOLINTBEGIN(bugprone-macro-parentheses) */
#define TEXT(sec, field, def, check_fn)                              \
	{                                                            \
		.section = #sec, .name = #field, .kind = FIELD_TEXT, \
		.offset = offsetof(struct settings, sec.field),      \
		.text_default = (def), .check = (check_fn)           \
	}
#define NUMBER(sec, field, def, lo, hi)                                \
	{                                                              \
		.section = #sec, .name = #field, .kind = FIELD_NUMBER, \
		.offset = offsetof(struct settings, sec.field),        \
		.number_default = (def), .min = (lo), .max = (hi)      \
	}
#define TOP_NUMBER(field, def, lo, hi)                               \
	{                                                            \
		.section = "", .name = #field, .kind = FIELD_NUMBER, \
		.offset = offsetof(struct settings, field),          \
		.number_default = (def), .min = (lo), .max = (hi)    \
	}
/* NOLINTEND(bugprone-macro-parentheses) */

/* clang-format off */
static const struct settings_field fields[] = {
	TEXT(instance, name, REQUIRED, settings_check_name),
	TEXT(instance, zone, REQUIRED, settings_check_name),
	TEXT(listen, callers, REQUIRED, settings_check_listen),
	TEXT(listen, operators, REQUIRED, settings_check_listen),
	TEXT(listen, peers, REQUIRED, settings_check_peers),
	{ .section = "platform", .name = "addresses",
	  .kind = FIELD_LIST, .check = settings_check_address,
	  .offset = offsetof(struct settings, platform.addresses),
	  .count_offset = offsetof(struct settings, platform.addresses_count) },
	TEXT(platform, prefix, "/zinnialine/", settings_check_prefix),
	TEXT(platform, instances_prefix, "/platform/instances/", settings_check_prefix),
	NUMBER(platform, call_timeout_ms, SECOND_MS, 50, 10 * SECOND_MS),
	NUMBER(platform, lease_s, 3600, 2, 86400),
	TEXT(endpoints, driver, "group", settings_check_name),
	TEXT(endpoints, user, REQUIRED, settings_check_not_empty),
	TEXT(endpoints, password, "", NULL),
	TEXT(endpoints, dbname, REQUIRED, settings_check_not_empty),
	NUMBER(endpoints, connect_timeout_ms, SECOND_MS, 10, MINUTE_MS),
	NUMBER(endpoints, probe_interval_ms, 100, 10, 5 * SECOND_MS),
	NUMBER(endpoints, silence_ms, SECOND_MS, 50, MINUTE_MS),
	NUMBER(endpoints, suspect_ms, 400, 20, MINUTE_MS),
	NUMBER(callers, body_max_bytes, MIB, KIB, 16 * MIB),
	NUMBER(callers, header_max_bytes, 16 * KIB, KIB, 256 * KIB),
	NUMBER(callers, statement_max_bytes, 256 * KIB, 64, 16 * MIB),
	NUMBER(callers, result_max_bytes, 4 * MIB, KIB, 64 * MIB),
	NUMBER(callers, connections_max, 4096, 1, 100000),
	NUMBER(callers, requests_max, 2048, 1, 100000),
	NUMBER(callers, deadline_default_ms, 2 * SECOND_MS, 10, 10 * MINUTE_MS),
	NUMBER(callers, deadline_max_ms, 30 * SECOND_MS, 10, 10 * MINUTE_MS),
	NUMBER(callers, idle_timeout_ms, MINUTE_MS, 100, HOUR_MS),
	NUMBER(callers, transaction_idle_ms, 10 * SECOND_MS, 100,
	       10 * MINUTE_MS),
	TEXT(callers, token_key_hex, REQUIRED, settings_check_token_key),
	TEXT(security, operator_key, REQUIRED, settings_check_operator_key),
	TEXT(security, curve_public, REQUIRED, settings_check_curve_key),
	TEXT(security, curve_secret, REQUIRED, settings_check_curve_key),
	NUMBER(security, key_grace_ms, 2500, 100, 4 * SECOND_MS),
	TEXT(log, format, "json", settings_check_log_format),
	TEXT(log, level, "info", settings_check_log_level),
	TOP_NUMBER(share_cells, 1, 1, 64),
	TOP_NUMBER(drain_timeout_ms, 30 * SECOND_MS, 100, 10 * MINUTE_MS),
};
/* clang-format on */

static const struct settings_table table = { fields, G_N_ELEMENTS(fields) };

static int check_conflicts(const struct settings_file *file,
			   const struct settings *s)
{
	const struct settings_conflict *c = settings_find_conflict(s);

	if (!c)
		return 0;
	return settings_file_set_error(file, c->section, c->field, c->reason);
}

int settings_load(const char *path, struct settings **out, char *errbuf,
		  size_t errbuf_size)
{
	struct settings_file *file;
	struct settings *s = g_new0(struct settings, 1);
	int rc = settings_fields_load(&table, path, s, &file, errbuf,
				      errbuf_size);

	if (!rc)
		rc = check_conflicts(file, s);
	if (file)
		settings_file_free(file);
	if (rc) {
		settings_free(s);
		return rc;
	}
	*out = s;
	return 0;
}

void settings_free(struct settings *s)
{
	settings_fields_free(&table, s);
	g_free(s);
}
