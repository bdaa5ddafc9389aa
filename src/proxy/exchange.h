/* exchange.h - handles the answers of endpoints and the loss of connections. */
#ifndef PROXY_EXCHANGE_H
#define PROXY_EXCHANGE_H

#include "proxy/upstream_conn.h"

/* Handles one line that an endpoint sent on the connection. */
void exchange_handle_line(struct upstream_conn *c, const char *line,
			  int64_t now_us);

/*
 * Handles a connection that ended, or closes it because of `why`. Its statement
 * is sent again, or answered by what is known about its outcome.
 */
void exchange_handle_loss(struct upstream_conn *c, const char *why,
			  int64_t now_us);

#endif
