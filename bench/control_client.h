/* control_client.h - asks the control port of a stand-in. */
#ifndef BENCH_CONTROL_CLIENT_H
#define BENCH_CONTROL_CLIENT_H

#include <stdint.h>

/*
 * Returns the whole answer to one command, freed with g_free(); "" if the
 * stand-in does not answer.
 */
char *control_ask(uint16_t port, const char *command);

#endif
