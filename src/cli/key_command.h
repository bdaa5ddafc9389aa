/* key_command.h - `zinnialine key`: keys of callers. */
#ifndef CLI_KEY_COMMAND_H
#define CLI_KEY_COMMAND_H

int key_command(int argc, char **argv);

#endif
