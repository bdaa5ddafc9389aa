#include "settings/settings_field.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum { NUMBER_DIGITS_MAX = 10, MILLI = 1000 };

/*
 * Numbers are read as texts and parsed here, as libcyaml accepts "10s" as 10
 * and "010" as 8. Returns false unless the text is a decimal number without
 * leading zeros.
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

/* Accepts decimal digits with at most one point. */
static bool parse_milli(const char *text, uint64_t *out)
{
	size_t n = strspn(text, "0123456789.");
	char *end;
	double v = g_ascii_strtod(text, &end);

	if (!n || n > NUMBER_DIGITS_MAX || text[n] || *end)
		return false;
	*out = (uint64_t)(v * MILLI + 0.5);
	return true;
}

static int set_field_error(const struct settings_file *file,
			   const struct settings_field *f, const char *reason)
{
	return settings_file_set_error(file, f->section, f->name, reason);
}

static int load_number(const struct settings_file *file,
		       const struct settings_field *f, const char *text,
		       uint32_t *out)
{
	bool milli = f->kind == FIELD_MILLI;
	uint64_t n = f->number_default;
	char reason[64];

	if (text && !(milli ? parse_milli : parse_number)(text, &n))
		return set_field_error(file, f,
				       milli ? "not a decimal number" :
					       "not a whole decimal number");
	if (n < f->min || n > f->max) {
		uint32_t unit = milli ? MILLI : 1;

		snprintf(reason, sizeof(reason), "must be from %u to %u",
			 f->min / unit, f->max / unit);
		return set_field_error(file, f, reason);
	}
	*out = (uint32_t)n;
	return 0;
}

static int load_text(const struct settings_file *file,
		     const struct settings_field *f, const char *text,
		     char **out)
{
	const char *reason;

	if (!text)
		text = f->text_default;
	if (!text)
		return set_field_error(file, f, "required field is missing");
	reason = f->check ? f->check(text) : NULL;
	if (reason)
		return set_field_error(file, f, reason);
	*out = g_strdup(text);
	return 0;
}

static int load_list(const struct settings_file *file,
		     const struct settings_field *f, char ***out,
		     unsigned *out_count)
{
	uint32_t count;
	char *const *list = settings_file_get_list(file, &count);

	if (!count)
		return set_field_error(file, f,
				       "at least one address is required");
	*out = g_new0(char *, count);
	for (uint32_t i = 0; i < count; i++) {
		const char *reason = f->check(list[i]);

		if (reason)
			return set_field_error(file, f, reason);
		(*out)[i] = g_strdup(list[i]);
		(*out_count)++;
	}
	return 0;
}

static int load_field(const struct settings_file *file,
		      const struct settings_field *f, uint32_t i, char *base)
{
	const char *text = settings_file_get_text(file, i);
	void *out = base + f->offset;

	switch (f->kind) {
	case FIELD_TEXT:
		return load_text(file, f, text, out);
	case FIELD_LIST:
		return load_list(file, f, out,
				 (unsigned *)(void *)(base + f->count_offset));
	default:
		return load_number(file, f, text, out);
	}
}

static int open_file(const struct settings_table *t, struct settings_file **out,
		     const char *path, char *errbuf, size_t errbuf_size)
{
	struct settings_file_field file_fields[SETTINGS_FIELDS_MAX];
	const struct settings_file_opts opts = { .path = path,
						 .fields = file_fields,
						 .field_count = t->count,
						 .errbuf = errbuf,
						 .errbuf_size = errbuf_size };

	g_assert(t->count <= SETTINGS_FIELDS_MAX);
	for (uint32_t i = 0; i < t->count; i++) {
		file_fields[i].section = t->fields[i].section;
		file_fields[i].name = t->fields[i].name;
		file_fields[i].is_list = t->fields[i].kind == FIELD_LIST;
	}
	return settings_file_open(out, &opts);
}

int settings_fields_load(const struct settings_table *t, const char *path,
			 void *out, struct settings_file **file, char *errbuf,
			 size_t errbuf_size)
{
	int rc;

	*file = NULL;
	rc = open_file(t, file, path, errbuf, errbuf_size);
	for (uint32_t i = 0; !rc && i < t->count; i++)
		rc = load_field(*file, &t->fields[i], i, out);
	return rc;
}

void settings_fields_free(const struct settings_table *t, void *out)
{
	for (uint32_t i = 0; i < t->count; i++) {
		const struct settings_field *f = &t->fields[i];
		char *base = out;

		if (f->kind == FIELD_TEXT) {
			g_free(*(char **)(void *)(base + f->offset));
		} else if (f->kind == FIELD_LIST) {
			char **list = *(char ***)(void *)(base + f->offset);
			unsigned n =
				*(unsigned *)(void *)(base + f->count_offset);

			for (unsigned k = 0; k < n; k++)
				g_free(list[k]);
			g_free(list);
		}
	}
}
