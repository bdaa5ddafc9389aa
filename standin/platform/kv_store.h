/*
 * kv_store.h - the key-value store: keys with revisions, their history, and
 * leases. Keys and values are text.
 */
#ifndef PLATFORM_KV_STORE_H
#define PLATFORM_KV_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct kv_entry {
	char *key;
	char *value; /* "" in a deletion event */
	int64_t create_revision; /* of the change that created the key */
	int64_t mod_revision; /* of the last change */
	int64_t version; /* 1 on creation, one more with each put */
	int64_t lease; /* id; 0: none */
};

struct kv_event {
	struct kv_entry kv; /* after the change */
	bool deleted;
};

struct kv_lease {
	int64_t id;
	int64_t ttl_s;
	int64_t expires_us; /* time at which it is revoked */
};

struct kv_store {
	int64_t revision; /* of the last change */
	int64_t compacted_revision; /* events up to it are discarded */
	GTree *entries; /* current ones: key to struct kv_entry */
	/*
	 * struct kv_event by revision. A compaction replaces the discarded
	 * ones by a put of each current entry, in the order of the keys, from
	 * which the entries at later revisions are rebuilt.
	 */
	GPtrArray *events;
	GHashTable *leases; /* id to struct kv_lease */
};

/* Creates an empty store at revision 1, to be freed with kv_store_free(). */
struct kv_store *kv_store_new(void);
void kv_store_free(struct kv_store *s);

/* Returns the current entry, which the store owns, or NULL. */
const struct kv_entry *kv_get(const struct kv_store *s, const char *key);

/*
 * Returns copies of the entries in [key, end), or of `key` alone if `end` is
 * "", as they were at `revision` (0: the current one). Freed with
 * g_ptr_array_unref().
 */
GPtrArray *kv_range(const struct kv_store *s, const char *key, const char *end,
		    int64_t revision);

/* Returns true if the key is in [from, end), or is `from` if `end` is "". */
bool kv_in_range(const char *key, const char *from, const char *end);

/*
 * Change entries at `revision`: the store's next revision, or its last one for
 * a further change of the same transaction. kv_delete_range() returns the
 * number of deleted entries.
 */
void kv_put(struct kv_store *s, int64_t revision, const char *key,
	    const char *value, int64_t lease);
int64_t kv_delete_range(struct kv_store *s, int64_t revision, const char *key,
			const char *end);

/* Discards all events so far; the current entries remain. */
void kv_compact(struct kv_store *s);

/*
 * Returns a new lease, owned by the store. If `id` is 0 or in use, the lease
 * gets a random id. ttl_s is in seconds, at least 1.
 */
const struct kv_lease *kv_lease_grant(struct kv_store *s, int64_t id,
				      int64_t ttl_s, int64_t now_us);
const struct kv_lease *kv_lease_get(const struct kv_store *s, int64_t id);
/* Renews a lease; returns its time to live in s, 0 if the id is unknown. */
int64_t kv_lease_renew(struct kv_store *s, int64_t id, int64_t now_us);
/* Removes a lease and its keys; returns false if the id is unknown. */
bool kv_lease_revoke(struct kv_store *s, int64_t id);
/* Revokes all leases whose time to live has passed. */
void kv_lease_expire(struct kv_store *s, int64_t now_us);

#endif
