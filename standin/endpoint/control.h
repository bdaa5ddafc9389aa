/*
 * control.h - faults and questions of tests, one text command a line.
 *
 * Each answer starts with "ok" or "error"; `dump` and `log` give further
 * lines, ended by ".".
 */
#ifndef ENDPOINT_CONTROL_H
#define ENDPOINT_CONTROL_H

#include "endpoint.h"

/* Returns the listener, or NULL when the address cannot be used. */
struct listener *control_new(struct endpoint *ep);

#endif
