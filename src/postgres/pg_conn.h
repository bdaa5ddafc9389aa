/* pg_conn.h - one libpq connection to an endpoint, driven by the event loop. */
#ifndef POSTGRES_PG_CONN_H
#define POSTGRES_PG_CONN_H

#include "postgres/pg_exchange.h"
#include "postgres/pg_link.h"

struct pg_conn;

/*
 * Callbacks to the owner of a connection. Each of them may free the
 * connection.
 */
struct pg_conn_ops {
	void (*on_opened)(void *data, struct pg_conn *c);
	/* The connection failed. The callee must free it. */
	void (*on_lost)(void *data, struct pg_conn *c);
	/*
	 * An exchange has ended and the next one may be started. The callee
	 * owns `result`, which may be NULL.
	 */
	void (*on_result)(void *data, struct pg_conn *c,
			  const struct exchange_result *e, uint64_t caller_id,
			  json_t *result);
};

struct pg_conn_opts {
	const struct pg_link_opts *link; /* must outlive the connection */
	const struct endpoint_driver *driver;
	struct conn_open open;
	int64_t deadline_us; /* for connecting, by loop_now_us() */
	const struct pg_conn_ops *ops;
	void *data;
};

/*
 * Starts connecting and returns the connection, freed with pg_conn_free().
 * Makes no callback before it returns, also when it fails.
 */
struct pg_conn *pg_conn_new(const struct pg_conn_opts *opts);

/* Closes and frees the connection; no callback follows. */
void pg_conn_free(struct pg_conn *c);

uint32_t pg_conn_id(const struct pg_conn *c);

/*
 * Starts an exchange; `s` may be NULL and is only read during the call. Makes
 * no callback before it returns, also when it fails.
 */
void pg_conn_start_exchange(struct pg_conn *c, const struct exchange_start *x,
			    const struct statement *s);

/*
 * Returns the time by loop_now_us() at which pg_conn_is_lost() must be called
 * next, or INT64_MAX if it need not be.
 */
int64_t pg_conn_next_check_us(const struct pg_conn *c);

/*
 * Returns true if connecting timed out, or if a call failed that could not
 * report the loss itself.
 */
bool pg_conn_is_lost(const struct pg_conn *c, int64_t now_us);

#endif
