/* control_client.h - client of a stand-in's control port. */
#ifndef BENCH_CONTROL_CLIENT_H
#define BENCH_CONTROL_CLIENT_H

#include <stdint.h>

/*
 * Sends one command to a loopback port and returns the answer, freed with
 * g_free(). It is "" if the connection failed, and cut short if the stand-in
 * closed the connection or sent nothing for 5 s.
 */
char *control_send_command(uint16_t port, const char *command);

#endif
