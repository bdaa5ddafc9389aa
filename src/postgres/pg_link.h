/* pg_link.h - connections to endpoints, over libpq. */
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
	const char *driver; /* row of the driver registry */
	const char *user;
	const char *password;
	const char *dbname;
	uint32_t result_max_bytes;
	int64_t connect_timeout_us; /* then CONN_LOST */
	/* Gives CONN_OPENED, CONN_LOST and RESULT events to the core. */
	void (*on_event)(void *data, const struct event *e);
	/*
	 * The result of a caller's statement, called before its RESULT
	 * event; the callee owns `result`: {"command", "rows_affected",
	 * "columns", "rows"}, or {"sqlstate", "message"} of an SQL error.
	 */
	void (*on_result)(void *data, uint64_t caller_id, json_t *result);
	void *data;
};

/* Freed with its parent pool, which closes every connection. */
int pg_link_new(struct pg_link **out, const struct pg_link_opts *opts,
		apr_pool_t *parent);

/* Starts to connect. The result comes as CONN_OPENED or CONN_LOST. */
void pg_link_open(struct pg_link *l, const struct conn_open *open);

/* Closes at once; no event follows. */
void pg_link_close(struct pg_link *l, uint32_t conn_id);

/*
 * Starts an exchange; `s` may be NULL for the core's own plans and is only
 * read during the call or copied.
 */
void pg_link_exchange(struct pg_link *l, const struct exchange_start *x,
		      const struct statement *s);

#endif
