/*
 * steer_store.h - the entries of the platform's store that `zinnialine steer`
 * reads and writes. Every call waits for its answer.
 */
#ifndef CLI_STEER_STORE_H
#define CLI_STEER_STORE_H

#include "proxy/store.h"
#include "settings/proxy_settings.h"

#include <apr_pools.h>
#include <glib.h>

/* A request as stored. */
struct steer_entry {
	struct steer_request request; /* .kind may be STEER_KINDS: unknown */
	bool readable; /* false: only kind and subject are set */
	int64_t revision;
};

struct steer_store;

/* Freed with steer_store_free(). Returns 0 or a negative errno. */
int steer_store_open(struct steer_store **out, const struct proxy_settings *s,
		     apr_pool_t *pool);
void steer_store_free(struct steer_store *s);

/* Reads all entries; anything but STORE_DONE: they are not known. */
enum store_outcome steer_store_load(struct steer_store *s);

/* Returns true if a request of that kind can have that subject. */
bool steer_store_has_subject(const struct steer_store *s, enum steer_kind kind,
			     const char *subject);

/* Returns the stored requests, struct steer_entry, by key. */
const GPtrArray *steer_store_entries(const struct steer_store *s);

/* Returns the stored request, or NULL. */
const struct steer_entry *steer_store_find(const struct steer_store *s,
					   enum steer_kind kind,
					   const char *subject);

/* On success, *revision is that of the change. */
enum store_outcome steer_store_change(struct steer_store *s,
				      const struct store_change *c,
				      int64_t *revision);

#endif
