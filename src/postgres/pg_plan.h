/* pg_plan.h - the steps of each plan of an exchange. */
#ifndef POSTGRES_PG_PLAN_H
#define POSTGRES_PG_PLAN_H

#include "core/action.h"

/*
 * A step is one statement, but for the first three. An error makes the
 * endpoint skip the steps up to the next STEP_SYNC.
 */
enum plan_step {
	STEP_END,
	STEP_SYNC,
	STEP_ROUND, /* wait for all answers before the next step is sent */
	STEP_STATE_BEFORE,
	STEP_STATE_AFTER,
	STEP_RAISE_TERM, /* gives the state after */
	STEP_PROMOTE,
	STEP_BEGIN,
	STEP_BEGIN_READ_ONLY,
	STEP_REQUEST_INSERT, /* left out without a request id */
	STEP_STATEMENT,
	STEP_REQUEST_UPDATE, /* left out after an error */
	STEP_LOOKUP,
	STEP_COMMIT, /* after an error it rolls back */
	STEP_ROLLBACK,
	STEP_COUNT,
};

/* Returns the plan's steps, ended by STEP_END. */
const enum plan_step *plan_steps(enum exchange_plan plan);

/* Returns true when the plan leaves a transaction open. */
bool plan_leaves_open(enum exchange_plan plan);

/* Returns true for the plans that only a primary may carry out. */
bool plan_needs_primary(enum exchange_plan plan);

/* Returns true when the plan sends a statement of the caller. */
bool plan_has_statement(enum exchange_plan plan);

#endif
