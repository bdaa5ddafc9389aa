#include "settings/settings.h"

#include "settings/settings_check.h"
#include "settings/settings_file.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum {
	NUMBER_DIGITS_MAX = 10,
	KIB = 1024,
	MIB = 1024 * 1024,
	SECOND_MS = 1000,
	MINUTE_MS = 60 * SECOND_MS,
	HOUR_MS = 60 * MINUTE_MS,
};

enum field_kind { FIELD_TEXT, FIELD_NUMBER, FIELD_ADDRESSES };

/* A row for each field of the file, in the order of the sections. */
struct field {
	const char *section; /* "" at the top level */
	const char *name;
	size_t offset; /* in struct settings */
	const char *text_default; /* NULL: the field is required */
	const char *(*check)(const char *text);
	enum field_kind kind;
	uint32_t number_default;
	uint32_t min;
	uint32_t max;
};

#define REQUIRED NULL
/* A member designator takes no parentheses. */
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
static const struct field fields[] = {
	TEXT(instance, name, REQUIRED, settings_check_name),
	TEXT(instance, zone, REQUIRED, settings_check_name),
	TEXT(listen, callers, REQUIRED, settings_check_listen),
	TEXT(listen, operators, REQUIRED, settings_check_listen),
	TEXT(listen, peers, REQUIRED, settings_check_peers),
	{ .section = "platform", .name = "addresses",
	  .kind = FIELD_ADDRESSES, .check = settings_check_address },
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

enum { FIELD_COUNT = G_N_ELEMENTS(fields) };

/*
 * Numbers are read as texts and parsed here: libcyaml accepts "10s" as 10
 * and "010" as 8. Decimal digits only; returns false for anything else.
 */
static bool parse_number(const char *text, uint64_t *out)
{
	size_t n = strspn(text, "0123456789");

	if (!n || n > NUMBER_DIGITS_MAX || text[n])
		return false;
	if (n > 1 && text[0] == '0')
		return false;
	*out = g_ascii_strtoull(text, NULL, 10);
	return true;
}

static int refuse(const struct settings_file *file, const struct field *f,
		  const char *reason)
{
	return settings_file_refuse(file, f->section, f->name, reason);
}

static int load_number(const struct settings_file *file, const struct field *f,
		       const char *text, uint32_t *out)
{
	uint64_t n = f->number_default;
	char reason[64];

	if (text && !parse_number(text, &n))
		return refuse(file, f, "not a whole decimal number");
	if (n < f->min || n > f->max) {
		snprintf(reason, sizeof(reason), "must be from %u to %u",
			 f->min, f->max);
		return refuse(file, f, reason);
	}
	*out = (uint32_t)n;
	return 0;
}

static int load_text(const struct settings_file *file, const struct field *f,
		     const char *text, char **out)
{
	const char *reason;

	if (!text)
		text = f->text_default;
	if (!text)
		return refuse(file, f, "required field is missing");
	reason = f->check ? f->check(text) : NULL;
	if (reason)
		return refuse(file, f, reason);
	*out = g_strdup(text);
	return 0;
}

static int load_addresses(const struct settings_file *file,
			  const struct field *f, struct settings_platform *out)
{
	uint32_t count;
	char *const *list = settings_file_list(file, &count);

	if (!count)
		return refuse(file, f, "at least one address is required");
	out->addresses = g_new0(char *, count);
	for (uint32_t i = 0; i < count; i++) {
		const char *reason = f->check(list[i]);

		if (reason)
			return refuse(file, f, reason);
		out->addresses[i] = g_strdup(list[i]);
		out->addresses_count++;
	}
	return 0;
}

static int load_fields(const struct settings_file *file, struct settings *s)
{
	int rc = 0;

	for (uint32_t i = 0; i < FIELD_COUNT && !rc; i++) {
		const struct field *f = &fields[i];
		const char *text = settings_file_text(file, i);
		void *out = (char *)s + f->offset;

		if (f->kind == FIELD_TEXT)
			rc = load_text(file, f, text, out);
		else if (f->kind == FIELD_NUMBER)
			rc = load_number(file, f, text, out);
		else
			rc = load_addresses(file, f, &s->platform);
	}
	return rc;
}

static int check_together(const struct settings_file *file,
			  const struct settings *s)
{
	const struct settings_conflict *c = settings_find_conflict(s);

	if (!c)
		return 0;
	return settings_file_refuse(file, c->section, c->field, c->reason);
}

static int open_file(struct settings_file **out, const char *path, char *why,
		     size_t why_size)
{
	struct settings_path paths[FIELD_COUNT];
	const struct settings_file_opts opts = { .path = path,
						 .fields = paths,
						 .field_count = FIELD_COUNT,
						 .why = why,
						 .why_size = why_size };

	for (size_t i = 0; i < FIELD_COUNT; i++) {
		paths[i].section = fields[i].section;
		paths[i].name = fields[i].name;
		paths[i].is_list = fields[i].kind == FIELD_ADDRESSES;
	}
	return settings_file_open(out, &opts);
}

int settings_load(const char *path, struct settings **out, char *why,
		  size_t why_size)
{
	struct settings_file *file;
	struct settings *s;
	int rc = open_file(&file, path, why, why_size);

	if (rc)
		return rc;
	s = g_new0(struct settings, 1);
	rc = load_fields(file, s);
	if (!rc)
		rc = check_together(file, s);
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
	for (size_t i = 0; i < FIELD_COUNT; i++) {
		if (fields[i].kind == FIELD_TEXT)
			g_free(*(char **)((char *)s + fields[i].offset));
	}
	for (unsigned i = 0; i < s->platform.addresses_count; i++)
		g_free(s->platform.addresses[i]);
	g_free(s->platform.addresses);
	g_free(s);
}
