/*
 * steer_command.h - `zinnialine steer`: writes operators' requests to the
 * platform's store, from where every instance applies them.
 */
#ifndef CLI_STEER_COMMAND_H
#define CLI_STEER_COMMAND_H

int steer_command(int argc, char **argv);

#endif
