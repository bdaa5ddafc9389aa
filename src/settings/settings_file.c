#include "settings/settings_file.h"

#include <cyaml/cyaml.h>
#include <errno.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum {
	FILE_BYTES_MAX = 1 << 20,
	TEXT_BYTES_MAX = 4096,
	LIST_ITEMS_MAX = 16,
};

/* Filled by libcyaml; texts are indexed like the fields. */
struct raw_settings {
	char *texts[SETTINGS_FIELDS_MAX];
	char **list;
	unsigned list_count;
};

/* libcyaml's schema, built from the fields; rows without a key end lists. */
struct schema {
	cyaml_schema_field_t top[SETTINGS_FIELDS_MAX + 1];
	cyaml_schema_field_t nested[2 * SETTINGS_FIELDS_MAX + 1];
	cyaml_schema_value_t root;
};

struct settings_file {
	struct settings_file_opts opts;
	char *text; /* of the whole file */
	struct schema schema;
	cyaml_config_t config;
	struct raw_settings *raw;
	char *reason; /* libcyaml's first message */
	char *field; /* path of the field in that message */
	int line; /* in that message; 0: unknown */
};

static const cyaml_schema_value_t item_schema = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 0, TEXT_BYTES_MAX)
};

static void add_schema_field(cyaml_schema_field_t *out,
			     const struct settings_file_field *field,
			     uint32_t i)
{
	out->key = field->name;
	out->value.flags = CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL;
	if (field->is_list) {
		out->value.type = CYAML_SEQUENCE;
		out->value.data_size = sizeof(char *);
		out->value.sequence.entry = &item_schema;
		out->value.sequence.max = LIST_ITEMS_MAX;
		out->data_offset = offsetof(struct raw_settings, list);
		out->count_offset = offsetof(struct raw_settings, list_count);
		out->count_size = sizeof(unsigned);
		return;
	}
	out->value.type = CYAML_STRING;
	out->value.data_size = sizeof(char);
	out->value.string.max = TEXT_BYTES_MAX;
	out->data_offset =
		offsetof(struct raw_settings, texts) + i * sizeof(char *);
}

static void add_schema_section(cyaml_schema_field_t *out, const char *section,
			       const cyaml_schema_field_t *nested)
{
	out->key = section;
	out->value.type = CYAML_MAPPING;
	out->value.flags = CYAML_FLAG_OPTIONAL;
	out->value.data_size = sizeof(struct raw_settings);
	out->value.mapping.fields = nested;
}

static void build_schema(struct schema *s,
			 const struct settings_file_field *fields,
			 uint32_t count)
{
	const char *section = "";
	size_t top = 0;
	size_t nested = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct settings_file_field *f = &fields[i];

		if (!f->section[0]) {
			add_schema_field(&s->top[top++], f, i);
			continue;
		}
		if (strcmp(section, f->section) != 0) {
			section = f->section;
			nested += nested > 0;
			add_schema_section(&s->top[top++], section,
					   &s->nested[nested]);
		}
		add_schema_field(&s->nested[nested++], f, i);
	}
	s->root.type = CYAML_MAPPING;
	s->root.flags = CYAML_FLAG_POINTER;
	s->root.data_size = sizeof(struct raw_settings);
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

/*
 * Returns the line number of a field written in block style, else that of its
 * section, else 0.
 */
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

static int set_error_at(const struct settings_file *f, int line,
			const char *field, const char *reason)
{
	const struct settings_file_opts *o = &f->opts;

	if (line > 0)
		snprintf(o->errbuf, o->errbuf_size, "%s:%d: %s: %s", o->path,
			 line, field, reason);
	else
		snprintf(o->errbuf, o->errbuf_size, "%s: %s: %s", o->path,
			 field, reason);
	return -EINVAL;
}

int settings_file_set_error(const struct settings_file *f, const char *section,
			    const char *name, const char *reason)
{
	const char *dot = section[0] ? "." : "";
	g_autofree char *path = g_strconcat(section, dot, name, NULL);

	return set_error_at(f, find_line(f->text, section, name), path, reason);
}

/* Collects the field path; libcyaml reports the innermost field first. */
static void parse_backtrace(struct settings_file *f, const char *message)
{
	char name[64];
	int line;
	char *path;

	if (sscanf(message, "  in mapping field '%63[^']' (line: %d", name,
		   &line) != 2) {
		if (!f->line)
			sscanf(message, "  in %*[^(](line: %d", &f->line);
		return;
	}
	if (!f->line)
		f->line = line;
	path = f->field ? g_strdup_printf("%s.%s", name, f->field) :
			  g_strdup(name);
	g_free(f->field);
	f->field = path;
}

static void on_cyaml_log(cyaml_log_t level, void *data, const char *format,
			 va_list ap)
{
	struct settings_file *f = data;
	g_autofree char *message = g_strdup_vprintf(format, ap);

	g_strchomp(message);
	if (g_str_has_prefix(message, "  in "))
		parse_backtrace(f, message);
	else if (!f->reason)
		f->reason = g_steal_pointer(&message);
}

/* Writes an error line made from libcyaml's messages. */
static int set_parse_error(struct settings_file *f, cyaml_err_t err)
{
	static const char unknown[] = "Load: Unexpected key: ";
	const char *section = f->field ? f->field : "";
	const char *reason = f->reason ? f->reason : cyaml_strerror(err);

	if (g_str_has_prefix(reason, unknown))
		return settings_file_set_error(f, section,
					       reason + strlen(unknown),
					       "unknown field");
	if (g_str_has_prefix(reason, "Load: "))
		reason += strlen("Load: ");
	return set_error_at(f, f->line, f->field ? f->field : "file", reason);
}

static int parse_yaml(struct settings_file *f)
{
	cyaml_err_t err;

	build_schema(&f->schema, f->opts.fields, f->opts.field_count);
	f->config.log_fn = on_cyaml_log;
	f->config.log_ctx = f;
	f->config.log_level = CYAML_LOG_WARNING;
	f->config.mem_fn = cyaml_mem;
	f->config.flags = CYAML_CFG_NO_ALIAS;
	err = cyaml_load_data((const uint8_t *)f->text, strlen(f->text),
			      &f->config, &f->schema.root,
			      (cyaml_data_t **)&f->raw, NULL);
	if (err != CYAML_OK)
		return set_parse_error(f, err);
	if (!f->raw)
		return set_error_at(f, 1, "file", "no settings");
	return 0;
}

static int read_file(struct settings_file *f)
{
	g_autoptr(GError) error = NULL;
	gsize size = 0;

	if (!g_file_get_contents(f->opts.path, &f->text, &size, &error)) {
		set_error_at(f, 0, "file", error->message);
		return -ENOENT;
	}
	if (size > FILE_BYTES_MAX)
		return set_error_at(f, 0, "file", "larger than 1 MiB");
	if (strlen(f->text) != size)
		return set_error_at(f, 0, "file", "contains a NUL byte");
	return 0;
}

int settings_file_open(struct settings_file **out,
		       const struct settings_file_opts *opts)
{
	struct settings_file *f = g_new0(struct settings_file, 1);
	int rc;

	f->opts = *opts;
	rc = read_file(f);
	if (!rc)
		rc = parse_yaml(f);
	if (rc) {
		settings_file_free(f);
		return rc;
	}
	*out = f;
	return 0;
}

void settings_file_free(struct settings_file *f)
{
	if (f->raw)
		cyaml_free(&f->config, &f->schema.root, f->raw, 0);
	g_free(f->text);
	g_free(f->reason);
	g_free(f->field);
	g_free(f);
}

const char *settings_file_get_text(const struct settings_file *f,
				   uint32_t field)
{
	return f->raw->texts[field];
}

char *const *settings_file_get_list(const struct settings_file *f,
				    uint32_t *count)
{
	*count = f->raw->list_count;
	return f->raw->list;
}
