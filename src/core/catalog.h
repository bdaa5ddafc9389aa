/*
 * catalog.h - the profiles, workspaces and API keys currently in force.
 *
 * A record is applied only if its revision is later than that of the record
 * or deletion that it replaces, so outdated data from the platform is ignored.
 */
#ifndef CORE_CATALOG_H
#define CORE_CATALOG_H

#include "core/record.h"

#include <glib.h>

/* A workspace keeps its row for the lifetime of the process. */
struct catalog_workspace {
	struct workspace_record record;
	bool exists; /* false after deletion */
};

struct catalog {
	GHashTable *profiles; /* name to struct profile_record */
	GHashTable *keys; /* digest to struct key_record */
	GHashTable *workspace_rows; /* name to row + 1 */
	GArray *workspaces; /* of struct catalog_workspace */
	GHashTable *revisions; /* kind and name to latest revision */
};

/* Allocates an empty catalog; catalog_clear() frees it with its records. */
void catalog_init(struct catalog *c);
void catalog_clear(struct catalog *c);

/*
 * Stores the record's revision and returns true if it is later than the
 * latest one known for the same kind and name; otherwise returns false.
 */
bool catalog_accept_revision(struct catalog *c, const struct record *r);

/* Returns the latest revision known of a record's name; 0: none. */
int64_t catalog_get_revision(const struct catalog *c, const struct record *r);

/*
 * Writes a record's name to `out`, truncated to `size` bytes: "GROUP/NAME" of
 * an endpoint, the hex digest of a key, the number of a share's cell, the plain
 * name of all others.
 */
void catalog_format_record_name(const struct record *r, char *out, size_t size);

/* Apply a record or its deletion, after catalog_accept_revision(). */
void catalog_put(struct catalog *c, const struct record *r);
void catalog_delete(struct catalog *c, const struct record *r);

/* Return the record in force, or NULL. The catalog owns it. */
const struct profile_record *catalog_find_profile(const struct catalog *c,
						  const char *name);
const struct key_record *catalog_find_key(const struct catalog *c,
					  const uint8_t digest[DIGEST_BYTES]);

/* Returns the row of a workspace in force, or NO_INDEX. */
uint32_t catalog_find_workspace(const struct catalog *c, const char *name);

/* Returns the record of a row, also of a deleted workspace. */
const struct workspace_record *catalog_get_workspace(const struct catalog *c,
						     uint32_t row);

#endif
