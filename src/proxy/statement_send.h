/*
 * statement_send.h - puts a session's statement, and what must precede it, on a
 * connection.
 */
#ifndef PROXY_STATEMENT_SEND_H
#define PROXY_STATEMENT_SEND_H

#include "proxy/upstream_conn.h"

#include <stdint.h>

/*
 * Sends what must precede the statement on the connection: session values, the
 * prepared statement, BEGIN. Sends the statement itself if nothing must.
 */
void statement_send_setup(struct upstream_conn *c, int64_t now_us);

/* Sends the statement, once the answers to its setup and BEGIN have arrived. */
void statement_send(struct upstream_conn *c, int64_t now_us);

#endif
