/* record_kv.h - converts records to and from keys and values of the service. */
#ifndef ETCD_RECORD_KV_H
#define ETCD_RECORD_KV_H

#include "core/record.h"
#include "etcd/etcd_json.h"

#include <stddef.h>

enum { RECORD_REASON_BYTES = 128 };

/*
 * Reads a record from its key path below the prefix and the value and revision
 * in `kv`. Returns 0, or -EINVAL with one line in `reason`.
 */
int record_from_kv(const char *path, const struct etcd_kv *kv,
		   struct record *out, char *reason, size_t reason_size);

/*
 * Returns a record's value as JSON text; free it with g_free(). Equal records
 * give equal text, so that values can be compared.
 */
char *record_to_value(const struct record *r);

/* Returns a record's key with the prefix; free it with g_free(). */
char *record_to_key(const char *prefix, const struct record *r);

#endif
