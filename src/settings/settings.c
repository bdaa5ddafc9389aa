#include "settings/settings.h"
#include "settings/settings_check.h"

#include <cyaml/cyaml.h>
#include <errno.h>
#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum {
	FILE_BYTES_MAX = 1 << 20,
	TEXT_BYTES_MAX = 4096,
	ADDRESSES_MAX = 16,
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
	TEXT(listen, peers, REQUIRED, settings_check_address),
	{ .section = "platform", .name = "addresses",
	  .kind = FIELD_ADDRESSES, .check = settings_check_address },
	TEXT(platform, prefix, "/zinnialine/", settings_check_prefix),
	TEXT(platform, instances_prefix, "/instances/", settings_check_prefix),
	NUMBER(platform, call_timeout_ms, SECOND_MS, 50, 10 * SECOND_MS),
	NUMBER(platform, lease_s, 5, 2, 60),
	TEXT(endpoints, driver, "postgres", settings_check_name),
	TEXT(endpoints, user, REQUIRED, settings_check_not_empty),
	TEXT(endpoints, password, "", NULL),
	TEXT(endpoints, dbname, REQUIRED, settings_check_not_empty),
	NUMBER(endpoints, connect_timeout_ms, SECOND_MS, 10, MINUTE_MS),
	NUMBER(endpoints, probe_interval_ms, 200, 10, 5 * SECOND_MS),
	NUMBER(endpoints, silence_ms, 2 * SECOND_MS, 50, MINUTE_MS),
	NUMBER(endpoints, suspect_ms, SECOND_MS, 20, MINUTE_MS),
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
	NUMBER(security, key_grace_ms, 3 * SECOND_MS, 100, 4 * SECOND_MS),
	TEXT(log, format, "json", settings_check_log_format),
	TEXT(log, level, "info", settings_check_log_level),
	TOP_NUMBER(share_cells, 1, 1, 64),
	TOP_NUMBER(drain_timeout_ms, 30 * SECOND_MS, 100, 10 * MINUTE_MS),
};
/* clang-format on */

enum { FIELD_COUNT = G_N_ELEMENTS(fields) };

/*
 * What the file holds. Numbers are read as texts too: libcyaml accepts
 * "10s" as 10 and "010" as 8.
 */
struct raw {
	char *texts[FIELD_COUNT];
	char **addresses;
	unsigned addresses_count;
};

/* Schema of libcyaml, built from the table of fields. */
struct schema {
	cyaml_schema_field_t top[FIELD_COUNT + 1];
	cyaml_schema_field_t nested[2 * FIELD_COUNT + 1];
	cyaml_schema_value_t root;
};

struct loader {
	const char *path;
	char *text; /* of the file */
	struct schema schema;
	cyaml_config_t config;
	struct raw *raw;
	char *reason; /* libcyaml's first message */
	char *field; /* path of the field that it was about */
	int line; /* 0: not known */
	char *why;
	size_t why_size;
};

static const cyaml_schema_value_t address_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 0, TEXT_BYTES_MAX)
};

static void schema_add(cyaml_schema_field_t *out, size_t i)
{
	out->key = fields[i].name;
	out->value.flags = CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL;
	if (fields[i].kind == FIELD_ADDRESSES) {
		out->value.type = CYAML_SEQUENCE;
		out->value.data_size = sizeof(char *);
		out->value.sequence.entry = &address_schema;
		out->value.sequence.max = ADDRESSES_MAX;
		out->data_offset = offsetof(struct raw, addresses);
		out->count_offset = offsetof(struct raw, addresses_count);
		out->count_size = sizeof(unsigned);
		return;
	}
	out->value.type = CYAML_STRING;
	out->value.data_size = sizeof(char);
	out->value.string.max = TEXT_BYTES_MAX;
	out->data_offset = offsetof(struct raw, texts) + i * sizeof(char *);
}

/* The rows of a section follow each other; a row without key ends it. */
static void schema_build(struct schema *s)
{
	size_t top = 0;
	size_t nested = 0;

	for (size_t i = 0; i < FIELD_COUNT; i++) {
		const char *section = fields[i].section;
		cyaml_schema_field_t *t;

		if (!section[0]) {
			schema_add(&s->top[top++], i);
			continue;
		}
		if (i == 0 || strcmp(section, fields[i - 1].section) != 0) {
			nested += i > 0;
			t = &s->top[top++];
			t->key = section;
			t->value.type = CYAML_MAPPING;
			t->value.flags = CYAML_FLAG_OPTIONAL;
			t->value.data_size = sizeof(struct raw);
			t->value.mapping.fields = &s->nested[nested];
		}
		schema_add(&s->nested[nested++], i);
	}
	s->root.type = CYAML_MAPPING;
	s->root.flags = CYAML_FLAG_POINTER;
	s->root.data_size = sizeof(struct raw);
	s->root.mapping.fields = s->top;
}

static bool line_has_key(const char *line, const char *key, bool indented)
{
	size_t blanks = strspn(line, " ");
	size_t n = strlen(key);

	if ((blanks > 0) != indented)
		return false;
	return !strncmp(line + blanks, key, n) && line[blanks + n] == ':';
}

/* Returns the line of a field in block style, of its section, or 0. */
static int find_line(const char *text, const char *section, const char *name)
{
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	bool inside = !section[0];
	int found = 0;

	for (int i = 0; lines[i]; i++) {
		const char *line = lines[i];

		if (section[0] && g_ascii_isalpha(line[0])) {
			inside = line_has_key(line, section, false);
			found = inside ? i + 1 : found;
		} else if (inside && line_has_key(line, name, section[0])) {
			return i + 1;
		}
	}
	return found;
}

static int refuse(struct loader *l, int line, const char *field,
		  const char *reason)
{
	if (line > 0)
		snprintf(l->why, l->why_size, "%s:%d: %s: %s", l->path, line,
			 field, reason);
	else
		snprintf(l->why, l->why_size, "%s: %s: %s", l->path, field,
			 reason);
	return -EINVAL;
}

static int refuse_field(struct loader *l, const char *section, const char *name,
			const char *reason)
{
	g_autofree char *path =
		section[0] ? g_strdup_printf("%s.%s", section, name) :
			     g_strdup(name);

	return refuse(l, find_line(l->text, section, name), path, reason);
}

/* The innermost mapping field of a backtrace comes first. */
static void read_backtrace(struct loader *l, const char *message)
{
	char name[64];
	int line;
	char *path;

	if (sscanf(message, "  in mapping field '%63[^']' (line: %d", name,
		   &line) != 2) {
		if (!l->line)
			sscanf(message, "  in %*[^(](line: %d", &l->line);
		return;
	}
	if (!l->line)
		l->line = line;
	path = l->field ? g_strdup_printf("%s.%s", name, l->field) :
			  g_strdup(name);
	g_free(l->field);
	l->field = path;
}

static void on_cyaml_log(cyaml_log_t level, void *data, const char *format,
			 va_list ap)
{
	struct loader *l = data;
	g_autofree char *message = g_strdup_vprintf(format, ap);

	g_strchomp(message);
	if (g_str_has_prefix(message, "  in "))
		read_backtrace(l, message);
	else if (!l->reason)
		l->reason = g_steal_pointer(&message);
}

/* Turns libcyaml's messages into one line. */
static int refuse_parse(struct loader *l, cyaml_err_t err)
{
	static const char unknown[] = "Load: Unexpected key: ";
	const char *section = l->field ? l->field : "";
	const char *reason = l->reason ? l->reason : cyaml_strerror(err);

	if (g_str_has_prefix(reason, unknown))
		return refuse_field(l, section, reason + strlen(unknown),
				    "unknown field");
	if (g_str_has_prefix(reason, "Load: "))
		reason += strlen("Load: ");
	return refuse(l, l->line, l->field ? l->field : "file", reason);
}

static int parse(struct loader *l)
{
	cyaml_err_t err;

	schema_build(&l->schema);
	l->config.log_fn = on_cyaml_log;
	l->config.log_ctx = l;
	l->config.log_level = CYAML_LOG_WARNING;
	l->config.mem_fn = cyaml_mem;
	l->config.flags = CYAML_CFG_NO_ALIAS;
	err = cyaml_load_data((const uint8_t *)l->text, strlen(l->text),
			      &l->config, &l->schema.root,
			      (cyaml_data_t **)&l->raw, NULL);
	if (err != CYAML_OK)
		return refuse_parse(l, err);
	if (!l->raw)
		return refuse(l, 1, "file", "no settings");
	return 0;
}

/* Decimal digits only. Returns false for anything else. */
static bool parse_number(const char *text, uint64_t *out)
{
	size_t n = strspn(text, "0123456789");

	if (!n || n > 10 || text[n] || (n > 1 && text[0] == '0'))
		return false;
	*out = g_ascii_strtoull(text, NULL, 10);
	return true;
}

static int load_number(struct loader *l, const struct field *f,
		       const char *text, uint32_t *out)
{
	uint64_t n = f->number_default;
	char reason[96];

	if (text && !parse_number(text, &n))
		return refuse_field(l, f->section, f->name,
				    "not a whole decimal number");
	if (n < f->min || n > f->max) {
		snprintf(reason, sizeof(reason), "must be from %u to %u",
			 f->min, f->max);
		return refuse_field(l, f->section, f->name, reason);
	}
	*out = (uint32_t)n;
	return 0;
}

static int load_text(struct loader *l, const struct field *f, const char *text,
		     char **out)
{
	const char *reason;

	if (!text)
		text = f->text_default;
	if (!text)
		return refuse_field(l, f->section, f->name,
				    "required field is missing");
	reason = f->check ? f->check(text) : NULL;
	if (reason)
		return refuse_field(l, f->section, f->name, reason);
	*out = g_strdup(text);
	return 0;
}

static int load_addresses(struct loader *l, const struct field *f,
			  struct settings *s)
{
	const struct raw *raw = l->raw;

	if (!raw->addresses_count)
		return refuse_field(l, f->section, f->name,
				    "at least one address is required");
	s->platform.addresses = g_new0(char *, raw->addresses_count);
	for (unsigned i = 0; i < raw->addresses_count; i++) {
		const char *reason = f->check(raw->addresses[i]);

		if (reason)
			return refuse_field(l, f->section, f->name, reason);
		s->platform.addresses[i] = g_strdup(raw->addresses[i]);
		s->platform.addresses_count++;
	}
	return 0;
}

static int load_fields(struct loader *l, struct settings *s)
{
	int rc = 0;

	for (size_t i = 0; i < FIELD_COUNT && !rc; i++) {
		const struct field *f = &fields[i];
		void *out = (char *)s + f->offset;

		if (f->kind == FIELD_TEXT)
			rc = load_text(l, f, l->raw->texts[i], out);
		else if (f->kind == FIELD_NUMBER)
			rc = load_number(l, f, l->raw->texts[i], out);
		else
			rc = load_addresses(l, f, s);
	}
	return rc;
}

static int check_together(struct loader *l, const struct settings *s)
{
	const struct settings_conflict *c = settings_find_conflict(s);

	if (!c)
		return 0;
	return refuse_field(l, c->section, c->field, c->reason);
}

static int read_file(struct loader *l)
{
	g_autoptr(GError) error = NULL;
	gsize size = 0;

	if (!g_file_get_contents(l->path, &l->text, &size, &error)) {
		refuse(l, 0, "file", error->message);
		return -ENOENT;
	}
	if (size > FILE_BYTES_MAX)
		return refuse(l, 0, "file", "larger than 1 MiB");
	if (strlen(l->text) != size)
		return refuse(l, 0, "file", "contains a NUL byte");
	return 0;
}

static void loader_clean(struct loader *l)
{
	if (l->raw)
		cyaml_free(&l->config, &l->schema.root, l->raw, 0);
	g_free(l->text);
	g_free(l->reason);
	g_free(l->field);
	g_free(l);
}

int settings_load(const char *path, struct settings **out, char *why,
		  size_t why_size)
{
	struct loader *l = g_new0(struct loader, 1);
	struct settings *s = g_new0(struct settings, 1);
	int rc;

	l->path = path;
	l->why = why;
	l->why_size = why_size;
	rc = read_file(l);
	if (!rc)
		rc = parse(l);
	if (!rc)
		rc = load_fields(l, s);
	if (!rc)
		rc = check_together(l, s);
	loader_clean(l);
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
