/* group_command.h - `zinnialine group`: shows database groups. */
#ifndef CLI_GROUP_COMMAND_H
#define CLI_GROUP_COMMAND_H

/* Returns an exit code. */
int group_command(int argc, char **argv);

#endif
