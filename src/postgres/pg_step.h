/* pg_step.h - sends the steps of a plan and handles their results. */
#ifndef POSTGRES_PG_STEP_H
#define POSTGRES_PG_STEP_H

#include "postgres/pg_exchange.h"

/* Returns true if this exchange does not need the step. */
bool pg_step_is_omitted(const struct pg_exchange *x, enum plan_step step);

/*
 * Sends one step. `s` is needed only by STEP_STATEMENT. Returns false if the
 * connection failed.
 */
bool pg_step_send(struct pg_exchange *x, enum plan_step step,
		  const struct statement *s);

/*
 * Handles one result of the step. Returns 0, or -EPROTO if the connection
 * must be closed because its state or the statement's outcome is unknown.
 */
int pg_step_handle_result(struct pg_exchange *x, enum plan_step step,
			  const PGresult *r);

/* Marks the exchange as failed, with an error as its result. */
void pg_step_set_error(struct pg_exchange *x, enum result_status status,
		       const char *sqlstate, const char *message);

#endif
