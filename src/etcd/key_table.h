/* key_table.h - the keys that are known, with their revisions. */
#ifndef ETCD_KEY_TABLE_H
#define ETCD_KEY_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct key_table;

/* Freed with key_table_free(). */
struct key_table *key_table_new(void);
void key_table_free(struct key_table *t);

/* Returns the key's modification revision, 0 if it is unknown. */
int64_t key_table_get(const struct key_table *t, const char *key);

/* Both return false, and change nothing, if `revision` isn't newer. */
bool key_table_put(struct key_table *t, const char *key, int64_t revision);
bool key_table_delete(struct key_table *t, const char *key, int64_t revision);

uint32_t key_table_count(const struct key_table *t);

/* Returns copies of the keys not in `kept`, which maps keys; g_free all. */
GPtrArray *key_table_missing(const struct key_table *t, GHashTable *kept);

#endif
