/* key_table.h - the known keys with their modification revisions. */
#ifndef ETCD_KEY_TABLE_H
#define ETCD_KEY_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct key_table;

/* Returns an empty table; free it with key_table_free(). */
struct key_table *key_table_new(void);
void key_table_free(struct key_table *t);

/* Returns the key's modification revision, 0 if it is unknown. */
int64_t key_table_get_revision(const struct key_table *t, const char *key);

/*
 * Add or update a key, and remove a known key. Both return false and change
 * nothing if `revision` is not higher than the key's; key_table_delete() also
 * if the key is unknown.
 */
bool key_table_put(struct key_table *t, const char *key, int64_t revision);
bool key_table_delete(struct key_table *t, const char *key, int64_t revision);

uint32_t key_table_count(const struct key_table *t);

/*
 * Returns copies of the known keys that are not in the set `present`. Free the
 * array with g_ptr_array_unref().
 */
GPtrArray *key_table_list_missing(const struct key_table *t,
				  GHashTable *present);

#endif
