/* change.h - changes of the configuration by an operator. */
#ifndef CLI_CHANGE_H
#define CLI_CHANGE_H

#include "cli/verb.h"

#include <jansson.h>
#include <stdint.h>

/*
 * Reads an entry. Returns EXIT_OK with *out set (owned by the caller), or
 * with *out NULL when there is no such entry; else the exit code, with the
 * message printed.
 */
int change_read(struct cli *x, const char *path, json_t **out);

/*
 * Stores fields, compare-and-swap on the given revision, and waits until
 * they are in force. Consumes `fields`. Prints the entry that was stored;
 * on a conflict, the entry that is stored instead.
 */
int change_put(struct cli *x, const char *path, int64_t revision,
	       json_t *fields);

/* Deletes an entry of that revision and waits until that is in force. */
int change_delete(struct cli *x, const char *path, int64_t revision);

/*
 * Waits until every instance has applied a revision, with the progress on
 * standard error. Returns EXIT_OK or EXIT_NOT_IN_FORCE.
 */
int change_wait(struct cli *x, int64_t revision);

/* Returns --revision, or that of the entry read (NULL: 0). */
int64_t change_revision(const struct cli *x, const json_t *entry);

#endif
