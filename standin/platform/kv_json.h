/*
 * kv_json.h - the JSON of the gateway: bytes are base64, 64-bit integers
 * are strings, and fields with default values are left out.
 */
#ifndef PLATFORM_KV_JSON_H
#define PLATFORM_KV_JSON_H

#include "platform/kv_store.h"

#include <jansson.h>

/* Returns the field's bytes as text, "" if absent; freed with g_free(). */
char *kv_json_get_text(const json_t *o, const char *field);

/* Returns an integer given as number or string, 0 if absent. */
int64_t kv_json_get_int(const json_t *o, const char *field);

/* Set a field of `o`; zero and "" are left out. */
void kv_json_set_text(json_t *o, const char *field, const char *text);
void kv_json_set_int(json_t *o, const char *field, int64_t v);

/* Returns a new object with the header's fields. */
json_t *kv_json_make_header(const struct kv_store *s);

/* Returns a new object of an entry. */
json_t *kv_json_make_entry(const struct kv_entry *e);

#endif
