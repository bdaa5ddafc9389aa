/*
 * instance_command.h - commands about running instances: status, metrics,
 * drain and config. All return an exit code.
 */
#ifndef CLI_INSTANCE_COMMAND_H
#define CLI_INSTANCE_COMMAND_H

int status_command(int argc, char **argv);
int metrics_command(int argc, char **argv);
int drain_command(int argc, char **argv);
int config_command(int argc, char **argv);

#endif
