/* check_command.h - `zinnialine check --settings FILE`. */
#ifndef CLI_CHECK_COMMAND_H
#define CLI_CHECK_COMMAND_H

/* Reads and checks a settings file without starting an instance. */
int check_command(int argc, char **argv);

#endif
