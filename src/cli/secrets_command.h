/* secrets_command.h - `zinnialine secrets`. */
#ifndef CLI_SECRETS_COMMAND_H
#define CLI_SECRETS_COMMAND_H

/*
 * Generates secrets for the settings of a deployment and prints them as YAML.
 * Returns an exit code.
 */
int secrets_command(int argc, char **argv);

#endif
