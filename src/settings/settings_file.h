/* settings_file.h - a YAML file as texts, each with its place. */
#ifndef SETTINGS_SETTINGS_FILE_H
#define SETTINGS_SETTINGS_FILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { SETTINGS_PATHS_MAX = 64 };

struct settings_file;

/* A field that the file may have; the fields of a section are adjacent. */
struct settings_path {
	const char *section; /* "" at the top level */
	const char *name;
	bool is_list; /* a sequence of texts; at most one field of a file */
};

struct settings_file_opts {
	const char *path; /* borrowed */
	const struct settings_path *fields; /* borrowed */
	uint32_t field_count; /* up to SETTINGS_PATHS_MAX */
	char *why; /* one line on the first refusal; borrowed */
	size_t why_size;
};

/*
 * Reads a file. Unknown fields, fields given twice and values of another
 * shape are refused. Returns 0, or a negative errno with the reason in
 * `why`. Freed with settings_file_free().
 */
int settings_file_open(struct settings_file **out,
		       const struct settings_file_opts *opts);
void settings_file_free(struct settings_file *f);

/* Returns the text of a field, owned by the file; NULL if it is absent. */
const char *settings_file_text(const struct settings_file *f, uint32_t field);

/* Returns the list, owned by the file, and sets its length. */
char *const *settings_file_list(const struct settings_file *f, uint32_t *count);

/* Writes "file:line: section.name: reason" to `why`. Returns -EINVAL. */
int settings_file_refuse(const struct settings_file *f, const char *section,
			 const char *name, const char *reason);

#endif
