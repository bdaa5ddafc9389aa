/* settings_field.h - loads a settings file as described by a field table. */
#ifndef SETTINGS_SETTINGS_FIELD_H
#define SETTINGS_SETTINGS_FIELD_H

#include "settings/settings_file.h"

#include <stddef.h>
#include <stdint.h>

enum settings_field_kind {
	FIELD_TEXT, /* char * */
	FIELD_NUMBER, /* uint32_t, a whole decimal number */
	FIELD_MILLI, /* uint32_t, a decimal number times 1000 */
	FIELD_LIST, /* char ** at offset, its unsigned length at count_offset */
};

/* A field of the file; the fields of a section are adjacent in the table. */
struct settings_field {
	const char *section; /* "" at the top level */
	const char *name;
	size_t offset; /* in the struct that is filled */
	size_t count_offset; /* FIELD_LIST */
	const char *text_default; /* NULL: the field is required */
	/* Returns NULL or why the text is invalid; NULL: no check. */
	const char *(*check)(const char *text);
	enum settings_field_kind kind;
	/* FIELD_NUMBER, and FIELD_MILLI in thousandths. */
	uint32_t number_default;
	uint32_t min;
	uint32_t max;
};

struct settings_table {
	const struct settings_field *fields;
	uint32_t count;
};

/*
 * Reads the file and fills the struct at `out`, which must be zeroed, as the
 * table says. Returns 0, or a negative errno with one line "file:line: field:
 * reason" in `errbuf`. In both cases the caller frees the texts and lists with
 * settings_fields_free(), and *file, if it is not NULL, with
 * settings_file_free().
 */
int settings_fields_load(const struct settings_table *table, const char *path,
			 void *out, struct settings_file **file, char *errbuf,
			 size_t errbuf_size);

/* Frees the texts and lists in the struct at `out`, but not the struct. */
void settings_fields_free(const struct settings_table *table, void *out);

#endif
