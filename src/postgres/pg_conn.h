/* pg_conn.h - one connection to an endpoint, driven by the loop. */
#ifndef POSTGRES_PG_CONN_H
#define POSTGRES_PG_CONN_H

#include "postgres/pg_exchange.h"
#include "postgres/pg_link.h"

struct pg_conn;

/* What the owner of a connection is told; it may free the connection. */
struct pg_conn_ops {
	void (*on_opened)(void *data, struct pg_conn *c);
	/* The connection cannot be used any more; the callee frees it. */
	void (*on_lost)(void *data, struct pg_conn *c);
	/*
	 * An exchange has ended, and the next one may start. The callee owns
	 * `result`, which may be NULL.
	 */
	void (*on_result)(void *data, struct pg_conn *c,
			  const struct exchange_result *e, uint64_t caller_id,
			  json_t *result);
};

struct pg_conn_opts {
	const struct pg_link_opts *link; /* outlives the connection */
	const struct endpoint_driver *driver;
	struct conn_open open;
	int64_t deadline_us; /* of the attempt to connect */
	const struct pg_conn_ops *ops;
	void *data;
};

/* Starts to connect; freed with pg_conn_free(). No callback yet. */
struct pg_conn *pg_conn_new(const struct pg_conn_opts *opts);

/* Closes the connection; no callback follows. */
void pg_conn_free(struct pg_conn *c);

uint32_t pg_conn_id(const struct pg_conn *c);

/* Starts an exchange; no callback yet. */
void pg_conn_exchange(struct pg_conn *c, const struct exchange_start *x,
		      const struct statement *s);

/*
 * Returns when pg_conn_is_lost() is to be asked at the latest, or
 * INT64_MAX.
 */
int64_t pg_conn_check_at_us(const struct pg_conn *c);

/* Returns true when connecting took too long or sending has failed. */
bool pg_conn_is_lost(const struct pg_conn *c, int64_t now_us);

#endif
