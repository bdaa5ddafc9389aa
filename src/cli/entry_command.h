/*
 * entry_command.h - commands that list, show, set and delete entries of the
 * configuration. All functions return an exit code.
 */
#ifndef CLI_ENTRY_COMMAND_H
#define CLI_ENTRY_COMMAND_H

#include "cli/verb.h"

#include <jansson.h>

int profile_command(int argc, char **argv);
int workspace_command(int argc, char **argv);
int endpoint_command(int argc, char **argv);

/* Prints the entries of the collection at a path of the operator API. */
int entry_list(struct cli *x, const char *path);

/* Prints the entry at a path. */
int entry_show(struct cli *x, const char *path);

/*
 * Merges `count` FIELD=VALUE arguments into the fields of the stored entry,
 * if there is one, and stores the result.
 */
int entry_set(struct cli *x, const char *path, char *const *assignments,
	      int count);

/*
 * Deletes the entry if it has the revision of --revision, or else whichever
 * is stored now.
 */
int entry_delete(struct cli *x, const char *path);

#endif
