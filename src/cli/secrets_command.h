/* secrets_command.h - `zinnialine secrets`. */
#ifndef CLI_SECRETS_COMMAND_H
#define CLI_SECRETS_COMMAND_H

/* Prints new secrets for the settings of a deployment, as YAML. */
int secrets_command(int argc, char **argv);

#endif
