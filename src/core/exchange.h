/* exchange.h - exchanges on endpoint connections and their results. */
#ifndef CORE_EXCHANGE_H
#define CORE_EXCHANGE_H

#include "core/conn.h"
#include "core/event.h"
#include "core/world.h"

#include <stdint.h>

/*
 * Asks the host to open a connection. Returns its row, or NO_INDEX if the table
 * is full.
 */
uint32_t exchange_open_conn(struct world *w, uint32_t endpoint,
			    enum conn_purpose purpose, int64_t now_us);

/*
 * Closes a connection in any state and ends the transaction that pins it. No
 * request may have an exchange in progress on it.
 */
void exchange_close_conn(struct world *w, uint32_t conn, int64_t now_us);

/*
 * Starts an exchange on an idle or pinned connection. caller_id is 0 for an
 * exchange that belongs to no caller's request. Only PLAN_RAISE_TERM and
 * PLAN_PROMOTE use `term`.
 */
void exchange_start(struct world *w, uint32_t conn, enum exchange_plan plan,
		    uint64_t caller_id, uint64_t term, int64_t now_us);

/* Closes a connection that timed out; its request fails or is retried. */
void exchange_close_timed_out_conn(struct world *w, uint32_t conn,
				   int64_t now_us);

/* Handle the host's events about connections. */
void exchange_handle_conn_opened(struct world *w, uint32_t conn_id,
				 int64_t now_us);
void exchange_handle_conn_lost(struct world *w, uint32_t conn_id,
			       int64_t now_us);
void exchange_handle_result(struct world *w, const struct exchange_result *x,
			    int64_t now_us);

#endif
