/* record_codec.h - converts configuration records to key paths and JSON. */
#ifndef ETCD_RECORD_CODEC_H
#define ETCD_RECORD_CODEC_H

#include "core/record.h"

#include <jansson.h>
#include <stddef.h>

enum { RECORD_PATH_BYTES = 256 };

/* Writes the record's key path below the prefix, such as "profile/NAME". */
void record_to_path(const struct record *r, char *out, size_t size);

/*
 * Sets the kind and name of `out` from a key path below the prefix and clears
 * the other fields. Returns 0, or -EINVAL if it is not the path of a record.
 */
int record_from_path(const char *path, struct record *out);

/* Returns a new JSON object with the record's fields. */
json_t *record_to_json(const struct record *r);

/*
 * Reads and checks the fields of a record of r->kind. Unknown fields, wrong
 * types and values out of range are rejected. Returns 0, or ERR_BAD_FIELD with
 * one line in `reason`.
 */
int32_t record_from_json(const json_t *j, struct record *r, char *reason,
			 size_t reason_size);

#endif
