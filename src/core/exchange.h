/* exchange.h - what is sent on connections and what comes back. */
#ifndef CORE_EXCHANGE_H
#define CORE_EXCHANGE_H

#include "core/conn.h"
#include "core/event.h"
#include "core/world.h"

#include <stdint.h>

/* Asks the host for a connection; returns its row or NO_INDEX. */
uint32_t exchange_open_conn(struct world *w, uint32_t endpoint,
			    enum conn_purpose purpose, int64_t now_us);

/* Closes a connection of any state; a pinned one ends its transaction. */
void exchange_close_conn(struct world *w, uint32_t conn, int64_t now_us);

/* Starts an exchange on an idle or pinned connection. */
void exchange_start(struct world *w, uint32_t conn, enum exchange_plan plan,
		    uint64_t caller_id, uint64_t term, int64_t now_us);

/* Closes a connection that went silent; its request is sent again. */
void exchange_conn_silent(struct world *w, uint32_t conn, int64_t now_us);

/* Take in the host's events about connections. */
void exchange_conn_opened(struct world *w, uint32_t conn_id, int64_t now_us);
void exchange_conn_lost(struct world *w, uint32_t conn_id, int64_t now_us);
void exchange_result(struct world *w, const struct exchange_result *x,
		     int64_t now_us);

#endif
