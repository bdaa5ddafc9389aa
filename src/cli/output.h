/* output.h - output of the commands for operators. */
#ifndef CLI_OUTPUT_H
#define CLI_OUTPUT_H

#include "cli/client.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

/* Prints JSON, indented, with a newline. */
void output_json(FILE *f, const json_t *j);

/* Prints an entry as one line "NAME revision=N FIELD=VALUE ...". */
void output_entry(FILE *f, const json_t *entry);

/* Prints an array of entries, one per line. */
void output_entries(FILE *f, const json_t *entries);

/* Prints the scalars of any JSON, one per line as "path.to.field: value". */
void output_flat(FILE *f, const json_t *j);

/* Prints the message of a failed request to standard error. */
void output_failure(const struct client_response *resp);

#endif
