/* check_command.h - `zinnialine check --settings FILE`. */
#ifndef CLI_CHECK_COMMAND_H
#define CLI_CHECK_COMMAND_H

/*
 * Checks a settings file without starting an instance. Returns an exit code.
 */
int check_command(int argc, char **argv);

#endif
