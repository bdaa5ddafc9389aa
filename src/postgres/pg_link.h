/* pg_link.h - all connections of this instance to endpoints, over libpq. */
#ifndef POSTGRES_PG_LINK_H
#define POSTGRES_PG_LINK_H

#include "base/loop.h"
#include "base/statement.h"
#include "core/action.h"
#include "core/event.h"

#include <jansson.h>

struct pg_link;

struct pg_link_opts {
	struct loop *loop;
	const char *driver; /* name for endpoint_driver_find() */
	const char *user;
	const char *password;
	const char *dbname;
	uint32_t result_max_bytes;
	int64_t connect_timeout_us; /* after it, EVENT_CONN_LOST is emitted */
	/*
	 * Called with EVENT_CONN_OPENED, EVENT_CONN_LOST and
	 * EVENT_EXCHANGE_RESULT events, which are meant for the core.
	 */
	void (*on_event)(void *data, const struct event *e);
	/*
	 * Called with the result of a caller's statement, before its
	 * EVENT_EXCHANGE_RESULT. The callee owns `result`: {"command",
	 * "rows_affected", "columns", "rows"}, or {"sqlstate", "message"}
	 * of an SQL error.
	 */
	void (*on_result)(void *data, uint64_t caller_id, json_t *result);
	void *data;
};

/*
 * Creates a link without connections. It is freed with its parent pool, which
 * closes every connection. Returns 0, or -ENOENT if there is no such driver.
 */
int pg_link_new(struct pg_link **out, const struct pg_link_opts *opts,
		apr_pool_t *parent);

/*
 * Starts connecting, after closing an older connection with the same id.
 * EVENT_CONN_OPENED or EVENT_CONN_LOST follows.
 */
void pg_link_open(struct pg_link *l, const struct conn_open *open);

/* Closes a connection at once, if there is one; no event follows. */
void pg_link_close(struct pg_link *l, uint32_t conn_id);

/*
 * Starts an exchange, which ends with EVENT_EXCHANGE_RESULT or EVENT_CONN_LOST.
 * Does nothing if the connection does not exist any more. `s` may be NULL for
 * the core's own plans; it is not used after the call.
 */
void pg_link_start_exchange(struct pg_link *l, const struct exchange_start *x,
			    const struct statement *s);

#endif
