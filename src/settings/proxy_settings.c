#include "settings/proxy_settings.h"

#include "settings/settings_check.h"
#include "settings/settings_field.h"

#include <glib.h>

#define REQUIRED NULL
/* A member designator must not be put in parentheses. */
/* NOLINTBEGIN(bugprone-macro-parentheses) */
#define ROW(sec, field)                  \
	.section = #sec, .name = #field, \
	.offset = offsetof(struct proxy_settings, sec.field)
#define TEXT(sec, field, def, check_fn)                                     \
	{                                                                   \
		ROW(sec, field), .kind = FIELD_TEXT, .text_default = (def), \
				 .check = (check_fn)                        \
	}
#define NUMBER(sec, field, def, lo, hi)                                \
	{                                                              \
		ROW(sec, field), .kind = FIELD_NUMBER,                 \
				 .number_default = (def), .min = (lo), \
				 .max = (hi)                           \
	}
/*
 * A decimal number in the file, stored as an integer in thousandths: "0.25"
 * is stored as 250. The field's name in the file has no "milli".
 */
#define MILLI(sec, file_name, field, def, lo, hi)                          \
	{                                                                  \
		.section = #sec, .name = (file_name),                      \
		.offset = offsetof(struct proxy_settings, sec.field),      \
		.kind = FIELD_MILLI, .number_default = (def), .min = (lo), \
		.max = (hi)                                                \
	}
/* NOLINTEND(bugprone-macro-parentheses) */

enum { SECOND_MS = 1000, MINUTE_MS = 60 * SECOND_MS, KIB = 1024 };

/* clang-format off */
static const struct settings_field fields[] = {
	TEXT(instance, name, REQUIRED, settings_check_name),
	TEXT(instance, zone, REQUIRED, settings_check_name),
	TEXT(listen, callers, REQUIRED, settings_check_listen),
	TEXT(listen, ready, REQUIRED, settings_check_listen),
	TEXT(listen, metrics, REQUIRED, settings_check_listen),
	TEXT(listen, peers, REQUIRED, settings_check_peers),
	TEXT(listen, relay, "", settings_check_relay),
	TEXT(platform, store, REQUIRED, settings_check_address),
	TEXT(platform, promotions, REQUIRED, settings_check_address),
	NUMBER(platform, call_timeout_ms, 600, 50, 10 * SECOND_MS),
	MILLI(platform, "link_mbps", link_milli_mbps, 0, 0, UINT32_MAX),
	NUMBER(keys, withdrawn_after_ms, 5 * SECOND_MS, 2 * SECOND_MS, MINUTE_MS),
	NUMBER(config, applied_within_ms, 3 * SECOND_MS, SECOND_MS, MINUTE_MS),
	MILLI(limits, "window_s", window_milli_s, 5 * SECOND_MS, 100, MINUTE_MS),
	MILLI(limits, "overrun", overrun_milli, 0, 0, 1000),
	NUMBER(limits, slack, 0, 0, 1000000),
	MILLI(failover, "replica_wait_s", replica_wait_milli_s, 12 * SECOND_MS, SECOND_MS, 10 * MINUTE_MS),
	NUMBER(sessions, max, 3500, 1, 100000),
	NUMBER(sessions, line_max_bytes, 1024 * KIB, 256, 16 * 1024 * KIB),
	MILLI(shutdown, "grace_s", grace_milli_s, 30 * SECOND_MS, 1, 10 * MINUTE_MS),
	TEXT(log, format, "json", settings_check_log_format),
	TEXT(log, level, "info", settings_check_log_level),
	NUMBER(log, lines_per_s, 200, 1, 100000),
};
/* clang-format on */

static const struct settings_table table = { fields, G_N_ELEMENTS(fields) };

int proxy_settings_load(const char *path, struct proxy_settings **out,
			char *errbuf, size_t errbuf_size)
{
	struct proxy_settings *s = g_new0(struct proxy_settings, 1);
	struct settings_file *file;
	int rc = settings_fields_load(&table, path, s, &file, errbuf,
				      errbuf_size);

	if (file)
		settings_file_free(file);
	if (rc) {
		proxy_settings_free(s);
		return rc;
	}
	*out = s;
	return 0;
}

void proxy_settings_free(struct proxy_settings *s)
{
	settings_fields_free(&table, s);
	g_free(s);
}
