/* group_command.h - `zinnialine group`: database groups. */
#ifndef CLI_GROUP_COMMAND_H
#define CLI_GROUP_COMMAND_H

int group_command(int argc, char **argv);

#endif
