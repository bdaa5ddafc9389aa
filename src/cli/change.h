/* change.h - configuration changes that an operator makes. */
#ifndef CLI_CHANGE_H
#define CLI_CHANGE_H

#include "cli/verb.h"

#include <jansson.h>
#include <stdint.h>

/*
 * Reads an entry. Returns EXIT_OK with *out set (owned by the caller), or
 * with *out NULL if there is no such entry; otherwise prints the error and
 * returns its exit code.
 */
int change_read_entry(struct cli *x, const char *path, json_t **out);

/*
 * Stores fields if the entry still has the given revision (compare-and-swap;
 * 0: if it does not exist), and waits until they are in force, unless
 * --no-wait is given. Consumes `fields`. Prints the stored entry; on a
 * conflict, the entry that is stored instead. Returns an exit code.
 */
int change_put(struct cli *x, const char *path, int64_t revision,
	       json_t *fields);

/*
 * Deletes the entry if it still has the given revision, and waits as
 * change_put() does. Returns an exit code.
 */
int change_delete(struct cli *x, const char *path, int64_t revision);

/*
 * Waits until every instance has applied a revision, at most --wait-ms.
 * Prints the progress to standard error. Returns EXIT_OK or
 * EXIT_NOT_IN_FORCE.
 */
int change_wait_applied(struct cli *x, int64_t revision);

/*
 * Returns the revision that a change must replace: that of --revision, or
 * else that of `entry` (0 if `entry` is NULL).
 */
int64_t change_expected_revision(const struct cli *x, const json_t *entry);

#endif
