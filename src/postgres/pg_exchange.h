/* pg_exchange.h - executes one plan on an open connection. */
#ifndef POSTGRES_PG_EXCHANGE_H
#define POSTGRES_PG_EXCHANGE_H

#include "base/statement.h"
#include "core/event.h"
#include "postgres/endpoint_driver.h"
#include "postgres/pg_plan.h"
#include "postgres/result_builder.h"

/*
 * An exchange in progress, owned by its connection. The connection must be in
 * pipeline mode, without outstanding results, when an exchange starts.
 */
struct pg_exchange {
	const struct endpoint_driver *driver;
	PGconn *conn;
	struct exchange_start start;
	const enum plan_step *next_to_send; /* next step to send */
	const enum plan_step *next_result; /* next step to receive results of */
	/* *next_result has a result; libpq has not reported its end yet. */
	bool result_received;
	char workspace[NAME_BYTES];
	char request_id[REQUEST_ID_BYTES];
	char fingerprint[sizeof(((struct statement *)0)->fingerprint)];
	enum result_status status;
	bool failed; /* a step failed; nothing will be committed */
	struct result_builder builder;
	json_t *result; /* for the caller; NULL if none */
	/* State of the endpoint before and after the statement. */
	struct endpoint_status before;
	struct endpoint_status after;
};

struct pg_exchange_opts {
	const struct endpoint_driver *driver;
	PGconn *conn;
	const struct exchange_start *start;
	const struct statement *statement; /* may be NULL */
	uint32_t result_max_bytes;
	/* Reported if the endpoint's state is not or cannot be read. */
	struct endpoint_status last_known_status;
};

/*
 * Sends the steps of the first round trip. Returns 0, or -EIO if the
 * connection failed.
 */
int pg_exchange_start(struct pg_exchange *x,
		      const struct pg_exchange_opts *opts);

/* Frees the memory of an exchange, ended or still in progress. */
void pg_exchange_clear(struct pg_exchange *x);

/*
 * Processes the results that have arrived. Returns 1 if the exchange has
 * ended, 0 if it waits for more input, or -EPROTO if the connection must be
 * closed because its state or the statement's outcome is unknown.
 */
int pg_exchange_continue(struct pg_exchange *x);

#endif
