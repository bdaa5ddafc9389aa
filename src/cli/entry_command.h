/* entry_command.h - commands that list, show, set and delete entries. */
#ifndef CLI_ENTRY_COMMAND_H
#define CLI_ENTRY_COMMAND_H

#include "cli/verb.h"

#include <jansson.h>

int profile_command(int argc, char **argv);
int workspace_command(int argc, char **argv);
int endpoint_command(int argc, char **argv);

/* Prints the entries at a path. */
int entry_list(struct cli *x, const char *path);

/* Prints one entry. */
int entry_show(struct cli *x, const char *path);

/*
 * Merges FIELD=VALUE arguments into the fields of the stored entry and
 * stores them.
 */
int entry_set(struct cli *x, const char *path, char *const *assignments,
	      int count);

/* Deletes the entry that is stored, or that of --revision. */
int entry_delete(struct cli *x, const char *path);

#endif
