/* settings_file.h - reads a YAML file as texts and reports errors by line. */
#ifndef SETTINGS_SETTINGS_FILE_H
#define SETTINGS_SETTINGS_FILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { SETTINGS_FIELDS_MAX = 64 };

struct settings_file;

/* A field that the file may have; the fields of a section are adjacent. */
struct settings_file_field {
	const char *section; /* "" at the top level */
	const char *name;
	bool is_list; /* a sequence of texts; at most one such field in a file */
};

struct settings_file_opts {
	const char *path; /* borrowed */
	const struct settings_file_field *fields; /* borrowed */
	uint32_t field_count; /* up to SETTINGS_FIELDS_MAX */
	char *errbuf; /* gets one line about the first error; borrowed */
	size_t errbuf_size;
};

/*
 * Reads a file. Unknown fields, duplicate fields and values of the wrong type
 * are errors. Sets *out, freed with settings_file_free(). Returns 0, or a
 * negative errno with the reason in `errbuf` of the options.
 */
int settings_file_open(struct settings_file **out,
		       const struct settings_file_opts *opts);
void settings_file_free(struct settings_file *f);

/*
 * Returns the text of the field with this index in the options, owned by the
 * file; NULL if it is absent.
 */
const char *settings_file_get_text(const struct settings_file *f,
				   uint32_t field);

/* Returns the texts of the list field, owned by the file; sets *count. */
char *const *settings_file_get_list(const struct settings_file *f,
				    uint32_t *count);

/* Writes "file:line: section.name: reason" to `errbuf`. Returns -EINVAL. */
int settings_file_set_error(const struct settings_file *f, const char *section,
			    const char *name, const char *reason);

#endif
