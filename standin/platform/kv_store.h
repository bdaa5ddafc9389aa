/*
 * kv_store.h - the stand-in's store: keys with revisions, their history,
 * and leases. Keys and values are text.
 */
#ifndef PLATFORM_KV_STORE_H
#define PLATFORM_KV_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct kv_entry {
	char *key;
	char *value; /* "" in the event of a deletion */
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version;
	int64_t lease; /* 0: none */
};

struct kv_event {
	struct kv_entry kv;
	bool deleted;
};

struct kv_lease {
	int64_t id;
	int64_t ttl_s;
	int64_t expires_us;
};

struct kv_store {
	int64_t revision; /* of the last change */
	int64_t compacted_revision; /* history up to here is gone */
	GTree *entries; /* key to struct kv_entry */
	GPtrArray *events; /* struct kv_event, by revision */
	GHashTable *leases; /* id to struct kv_lease */
};

/* Freed with kv_store_free(). */
struct kv_store *kv_store_new(void);
void kv_store_free(struct kv_store *s);

/* Returns the entry, which the store owns, or NULL. */
const struct kv_entry *kv_get(const struct kv_store *s, const char *key);

/*
 * Returns copies of the entries of [key, end) as they were at `revision`
 * (0: now); of `key` alone if end is "". Freed with g_ptr_array_unref().
 */
GPtrArray *kv_range(const struct kv_store *s, const char *key, const char *end,
		    int64_t revision);

/* Tells whether a key lies in [from, end), or is `from` if end is "". */
bool kv_in_range(const char *key, const char *from, const char *end);

/* Changes belong to `revision`, which is the store's next or its last. */
void kv_put(struct kv_store *s, int64_t revision, const char *key,
	    const char *value, int64_t lease);
int64_t kv_delete_range(struct kv_store *s, int64_t revision, const char *key,
			const char *end);

/* Forgets the history up to now. */
void kv_compact(struct kv_store *s);

/* Returns a new lease, owned by the store; id 0 picks one. */
const struct kv_lease *kv_lease_grant(struct kv_store *s, int64_t id,
				      int64_t ttl_s, int64_t now_us);
const struct kv_lease *kv_lease_get(const struct kv_store *s, int64_t id);
/* Returns the renewed time to live in seconds, 0 if it is unknown. */
int64_t kv_lease_renew(struct kv_store *s, int64_t id, int64_t now_us);
/* Removes a lease with its keys; returns false if it is unknown. */
bool kv_lease_revoke(struct kv_store *s, int64_t id);
void kv_lease_expire(struct kv_store *s, int64_t now_us);

#endif
