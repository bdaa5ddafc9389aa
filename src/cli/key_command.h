/* key_command.h - `zinnialine key`: manages the keys of callers. */
#ifndef CLI_KEY_COMMAND_H
#define CLI_KEY_COMMAND_H

/* Returns an exit code. */
int key_command(int argc, char **argv);

#endif
