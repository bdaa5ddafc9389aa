/* exchange.h - what endpoints answer, and what that means. */
#ifndef PROXY_EXCHANGE_H
#define PROXY_EXCHANGE_H

#include "proxy/upstream_conn.h"

void exchange_line(struct upstream_conn *c, const char *line, int64_t now_us);

/*
 * The connection ended, or is given up for `why`. Its statement is sent
 * again, or answered by what is known of it.
 */
void exchange_lost(struct upstream_conn *c, const char *why, int64_t now_us);

#endif
