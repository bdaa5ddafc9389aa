/* settings_field.h - tables of fields, and how a file is read by them. */
#ifndef SETTINGS_SETTINGS_FIELD_H
#define SETTINGS_SETTINGS_FIELD_H

#include "settings/settings_file.h"

#include <stddef.h>
#include <stdint.h>

enum settings_field_kind {
	FIELD_TEXT, /* char * */
	FIELD_NUMBER, /* uint32_t, a whole decimal number */
	FIELD_MILLI, /* uint32_t, a decimal number times 1000 */
	FIELD_LIST, /* char ** and, at count_offset, unsigned */
};

/* A row for each field of the file, in the order of the sections. */
struct settings_field {
	const char *section; /* "" at the top level */
	const char *name;
	size_t offset; /* in the struct that is filled */
	size_t count_offset; /* FIELD_LIST */
	const char *text_default; /* NULL: the field is required */
	const char *(*check)(const char *text);
	enum settings_field_kind kind;
	uint32_t number_default;
	uint32_t min;
	uint32_t max;
};

struct settings_table {
	const struct settings_field *fields;
	uint32_t count;
};

/*
 * Opens the file and fills `out`, which is zeroed, by the table. Returns 0,
 * or a negative errno with one line "file:line: field: reason" in `why`;
 * settings_fields_free() is due in both cases. *file is freed by the caller
 * if it is set.
 */
int settings_fields_load(const struct settings_table *table, const char *path,
			 void *out, struct settings_file **file, char *why,
			 size_t why_size);

/* Frees the texts and lists in `out`. */
void settings_fields_free(const struct settings_table *table, void *out);

#endif
