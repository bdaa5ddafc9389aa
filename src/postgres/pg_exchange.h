/* pg_exchange.h - carries out one plan on an open connection. */
#ifndef POSTGRES_PG_EXCHANGE_H
#define POSTGRES_PG_EXCHANGE_H

#include "base/statement.h"
#include "core/event.h"
#include "postgres/endpoint_driver.h"
#include "postgres/pg_plan.h"
#include "postgres/result_builder.h"

/*
 * Owned by its connection. The connection is in pipeline mode and has no
 * answers outstanding when an exchange starts.
 */
struct pg_exchange {
	const struct endpoint_driver *driver;
	PGconn *conn;
	struct exchange_start start;
	const enum plan_step *sent; /* next step to send */
	const enum plan_step *answered; /* next step to be answered */
	bool step_answered; /* its result came, the end not yet */
	char workspace[NAME_BYTES];
	char request_id[REQUEST_KEY_BYTES];
	char fingerprint[sizeof(((struct statement *)0)->fingerprint)];
	enum result_status status;
	bool failed; /* a step was refused; the transaction ends unchanged */
	struct result_builder builder;
	json_t *result; /* for the caller; NULL: none */
	struct endpoint_status before;
	struct endpoint_status after;
};

struct pg_exchange_opts {
	const struct endpoint_driver *driver;
	PGconn *conn;
	const struct exchange_start *start;
	const struct statement *statement; /* may be NULL */
	uint32_t result_max_bytes;
	struct endpoint_status last_known; /* where no state can be read */
};

/* Sends the first round. Returns 0, or -EIO when the connection failed. */
int pg_exchange_start(struct pg_exchange *x,
		      const struct pg_exchange_opts *opts);

/* Frees what the exchange holds, also in the middle of it. */
void pg_exchange_clear(struct pg_exchange *x);

/*
 * Takes what has arrived. Returns 1 when the exchange has ended, 0 when it
 * waits for more, or -EPROTO when the connection must be closed because
 * its state or the outcome is not known.
 */
int pg_exchange_continue(struct pg_exchange *x);

#endif
