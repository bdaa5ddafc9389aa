/*
 * kv_json.h - the JSON encoding of the gateway: bytes are base64, 64-bit
 * integers are strings, and fields with default values are omitted.
 */
#ifndef PLATFORM_KV_JSON_H
#define PLATFORM_KV_JSON_H

#include "platform/kv_store.h"

#include <jansson.h>

/*
 * Returns the decoded bytes of a field as text, "" if it is absent. Freed with
 * g_free().
 */
char *kv_json_get_text(const json_t *o, const char *field);

/* Returns an integer field, given as number or string; 0 if it is absent. */
int64_t kv_json_get_int(const json_t *o, const char *field);

/* Set a field of `o`, unless the value is 0 or "". */
void kv_json_set_text(json_t *o, const char *field, const char *text);
void kv_json_set_int(json_t *o, const char *field, int64_t v);

/* Returns a new response header. */
json_t *kv_json_make_header(const struct kv_store *s);

/* Returns a new object with the entry's fields. */
json_t *kv_json_make_entry(const struct kv_entry *e);

#endif
