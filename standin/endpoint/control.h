/*
 * control.h - the control port, through which tests inject faults into the
 * endpoint and query its state.
 *
 * Each command is one line of text. Each answer starts with "ok" or "error";
 * the answers to `dump` and `log` have further lines, the last being ".".
 */
#ifndef ENDPOINT_CONTROL_H
#define ENDPOINT_CONTROL_H

#include "endpoint.h"

/*
 * Listens on the control address of the options. Returns the listener, which
 * belongs to ep->control_net, or NULL when the address cannot be used.
 */
struct listener *control_listen(struct endpoint *ep);

#endif
