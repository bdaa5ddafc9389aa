/*
 * catalog.h - profiles, workspaces and keys in force.
 *
 * A record is applied only if its revision is later than that of the record
 * or deletion it replaces, so a stale answer of the platform changes
 * nothing.
 */
#ifndef CORE_CATALOG_H
#define CORE_CATALOG_H

#include "core/record.h"

#include <glib.h>

/* A workspace keeps its row number while the process lives. */
struct catalog_workspace {
	struct workspace_record record;
	bool exists; /* false after deletion */
};

struct catalog {
	GHashTable *profiles; /* name to struct profile_record */
	GHashTable *keys; /* digest to struct key_record */
	GHashTable *workspace_rows; /* name to row + 1 */
	GArray *workspaces; /* of struct catalog_workspace */
	GHashTable *revisions; /* kind and name to revision */
};

void catalog_init(struct catalog *c);
void catalog_clear(struct catalog *c);

/*
 * Returns true and remembers the revision if the record is news; false if
 * something as late or later was seen for the same key.
 */
bool catalog_accept(struct catalog *c, const struct record *r);

/* Writes "GROUP/NAME", the hex digest or the name of a record. */
void catalog_record_name(const struct record *r, char *out, size_t size);

/* Apply an accepted record or its deletion. */
void catalog_put(struct catalog *c, const struct record *r);
void catalog_delete(struct catalog *c, const struct record *r);

/* Return the record in force, or NULL. */
const struct profile_record *catalog_profile(const struct catalog *c,
					     const char *name);
const struct key_record *catalog_key(const struct catalog *c,
				     const uint8_t digest[DIGEST_BYTES]);

/* Returns the row of a workspace in force, or NO_INDEX. */
uint32_t catalog_workspace_row(const struct catalog *c, const char *name);
const struct workspace_record *catalog_workspace(const struct catalog *c,
						 uint32_t row);

#endif
