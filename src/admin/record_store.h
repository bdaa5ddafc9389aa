/*
 * record_store.h - the configuration records that an instance has applied,
 * by kind and name.
 */
#ifndef ADMIN_RECORD_STORE_H
#define ADMIN_RECORD_STORE_H

#include "core/record.h"

#include <stdbool.h>
#include <stddef.h>

/*
 * Room for any record's name with the NUL: "GROUP/NAME" of an endpoint, or
 * the hex digits of a digest.
 */
enum { RECORD_NAME_BYTES = 2 * NAME_BYTES + 1 };

struct record_store;

/* Returns an empty store, freed by its owner with record_store_free(). */
struct record_store *record_store_new(void);
void record_store_free(struct record_store *s);

/*
 * Writes the name that is unique within the kind of a record: "GROUP/NAME"
 * of an endpoint, the hex digest of a key, the number of the cell of a share,
 * the group of a term, and the record's own name for all other kinds.
 */
void record_format_name(const struct record *r, char *out, size_t size);

/*
 * Stores a copy, unless a later revision of the record is stored. Returns
 * true if it was stored.
 */
bool record_store_put(struct record_store *s, const struct record *r);

/*
 * Deletes the record with the kind and name of `r`, unless a revision later
 * than that of `r` is stored. Returns true if a record was deleted.
 */
bool record_store_delete(struct record_store *s, const struct record *r);

/*
 * Returns the record, or NULL. It is owned by the store and valid until the
 * record is replaced or deleted.
 */
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
