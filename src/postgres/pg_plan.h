/* pg_plan.h - the steps that each kind of exchange consists of. */
#ifndef POSTGRES_PG_PLAN_H
#define POSTGRES_PG_PLAN_H

#include "core/action.h"

/*
 * Each step after the first three sends one SQL statement. After an error the
 * endpoint skips the steps up to the next STEP_SYNC.
 */
enum plan_step {
	STEP_END,
	STEP_SYNC, /* pipeline synchronization point */
	STEP_AWAIT_RESULTS, /* wait for all results, then send more */
	STEP_STATE_BEFORE,
	STEP_STATE_AFTER,
	STEP_RAISE_TERM, /* returns the state after */
	STEP_PROMOTE, /* returns the state after */
	STEP_BEGIN,
	STEP_BEGIN_READ_ONLY,
	STEP_REQUEST_INSERT, /* omitted without a request id */
	STEP_STATEMENT,
	STEP_REQUEST_UPDATE, /* omitted after an error */
	STEP_LOOKUP, /* reads the answer recorded for the request id */
	STEP_COMMIT, /* rolls back if a statement failed */
	STEP_ROLLBACK,
	STEP_COUNT,
};

/* Returns the steps of a plan; the last one is STEP_END. */
const enum plan_step *plan_steps(enum exchange_plan plan);

/* Returns true if a transaction stays open after the plan. */
bool plan_leaves_transaction_open(enum exchange_plan plan);

/* Returns true for the plans that only a primary may execute. */
bool plan_needs_primary(enum exchange_plan plan);

/* Returns true if the plan sends the caller's own statement. */
bool plan_sends_statement(enum exchange_plan plan);

#endif
