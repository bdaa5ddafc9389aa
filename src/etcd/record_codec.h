/* record_codec.h - configuration records as keys and JSON values. */
#ifndef ETCD_RECORD_CODEC_H
#define ETCD_RECORD_CODEC_H

#include "core/record.h"

#include <jansson.h>
#include <stddef.h>

enum { RECORD_PATH_BYTES = 256 };

/* Writes the key path below the prefix, such as "profile/NAME". */
void record_path(const struct record *r, char *out, size_t size);

/*
 * Fills kind and name from a key path below the prefix.
 * Returns 0 or -EINVAL.
 */
int record_from_path(const char *path, struct record *out);

/* Returns a new JSON object of the record's fields. */
json_t *record_to_json(const struct record *r);

/*
 * Checks and reads the fields of r->kind from JSON. Unknown fields, wrong
 * types and values out of range are refused. Returns 0, or ERR_BAD_FIELD
 * with one line in `why`.
 */
int32_t record_from_json(const json_t *j, struct record *r, char *why,
			 size_t why_size);

#endif
