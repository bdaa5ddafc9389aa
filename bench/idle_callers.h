/* idle_callers.h - holds many idle TCP connections to one port. */
#ifndef BENCH_IDLE_CALLERS_H
#define BENCH_IDLE_CALLERS_H

#include <stdint.h>

/*
 * Opens `count` connections to a loopback port, prints "ready" and holds
 * them until end of file on standard input. Returns 0 or a negative errno.
 */
int idle_callers_hold(uint16_t port, uint32_t count);

#endif
