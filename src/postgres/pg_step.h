/* pg_step.h - how the steps of a plan are sent and what they answer. */
#ifndef POSTGRES_PG_STEP_H
#define POSTGRES_PG_STEP_H

#include "postgres/pg_exchange.h"

/* Returns true when the exchange goes on without this step. */
bool pg_step_is_left_out(const struct pg_exchange *x, enum plan_step step);

/* Returns false when the connection failed. */
bool pg_step_send(struct pg_exchange *x, enum plan_step step,
		  const struct statement *s);

/*
 * Takes one result of the step. Returns 0, or -EPROTO when the connection
 * must be closed because its state or the outcome is not known.
 */
int pg_step_take(struct pg_exchange *x, enum plan_step step, const PGresult *r);

/* Sets an error as the outcome of the exchange. */
void pg_step_fail(struct pg_exchange *x, enum result_status status,
		  const char *sqlstate, const char *message);

#endif
