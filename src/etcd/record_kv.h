/* record_kv.h - records as the service's keys and values. */
#ifndef ETCD_RECORD_KV_H
#define ETCD_RECORD_KV_H

#include "core/record.h"
#include "etcd/etcd_json.h"

#include <stddef.h>

enum { RECORD_WHY_BYTES = 128 };

/*
 * Reads a record of the path below the prefix and the key's value.
 * Returns 0 or -EINVAL with one line in `why`.
 */
int record_from_kv(const char *path, const struct etcd_kv *kv,
		   struct record *out, char *why, size_t why_size);

/* Returns the value of a record, always the same text; g_free() it. */
char *record_value(const struct record *r);

/* Returns the record's key; g_free() it. */
char *record_key(const char *prefix, const struct record *r);

#endif
