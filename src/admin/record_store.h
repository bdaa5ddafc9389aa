/* record_store.h - the configuration records that an instance applied. */
#ifndef ADMIN_RECORD_STORE_H
#define ADMIN_RECORD_STORE_H

#include "core/record.h"

#include <stdbool.h>
#include <stddef.h>

/* "GROUP/NAME", or the hex digits of a digest; with the NUL. */
enum { RECORD_NAME_BYTES = 2 * NAME_BYTES + 1 };

struct record_store;

/* Returns an empty store, freed by its owner with record_store_free(). */
struct record_store *record_store_new(void);
void record_store_free(struct record_store *s);

/*
 * Writes the name of a record within its kind: "GROUP/NAME" of an endpoint,
 * the hex digest of a key, the cell's number of a share.
 */
void record_name(const struct record *r, char *out, size_t size);

/* Keeps a copy, unless a later revision is held. Returns true if kept. */
bool record_store_put(struct record_store *s, const struct record *r);

/*
 * Drops the record of that kind and name, unless a later revision is held.
 * Returns true if one was dropped.
 */
bool record_store_delete(struct record_store *s, const struct record *r);

/* Returns the record, owned by the store, or NULL. */
const struct record *record_store_find(const struct record_store *s,
				       enum record_kind kind, const char *name);

typedef void (*record_store_fn)(void *data, const char *name,
				const struct record *r);

/* Calls fn for every record of a kind, ordered by name. */
void record_store_iterate(const struct record_store *s, enum record_kind kind,
			  record_store_fn fn, void *data);

/* Returns the number of records of a kind. */
uint32_t record_store_count(const struct record_store *s,
			    enum record_kind kind);

#endif
