#include "postgres/pg_plan.h"

enum { PLAN_STEPS_MAX = 16 };

/*
 * State queries stand before and after what a round trip decides: their marks
 * show that the answers between them belong to it. After an error in a
 * transaction, and in PLAN_PROBE, there is only the one before.
 *
 * A STEP_SYNC precedes each STEP_COMMIT, so that COMMIT is sent in the same
 * round trip and ends the transaction whether or not a statement before it
 * failed. All rows are terminated by STEP_END, which is 0.
 */
static const enum plan_step steps[][PLAN_STEPS_MAX] = {
	[PLAN_PROBE] = { STEP_STATE_BEFORE, STEP_SYNC },
	[PLAN_RAISE_TERM] = { STEP_STATE_BEFORE, STEP_RAISE_TERM, STEP_SYNC },
	[PLAN_PROMOTE] = { STEP_STATE_BEFORE, STEP_PROMOTE, STEP_SYNC,
			   STEP_STATE_AFTER, STEP_SYNC },
	[PLAN_READ] = { STEP_BEGIN_READ_ONLY, STEP_STATE_BEFORE, STEP_STATEMENT,
			STEP_SYNC, STEP_COMMIT, STEP_STATE_AFTER, STEP_SYNC },
	[PLAN_WRITE] = { STEP_STATE_BEFORE, STEP_BEGIN, STEP_STATEMENT,
			 STEP_SYNC, STEP_COMMIT, STEP_SYNC, STEP_STATE_AFTER,
			 STEP_SYNC },
	[PLAN_WRITE_BY_ID] = { STEP_STATE_BEFORE, STEP_BEGIN,
			       STEP_REQUEST_INSERT, STEP_STATEMENT,
			       STEP_STATE_AFTER, STEP_SYNC, STEP_AWAIT_RESULTS,
			       STEP_REQUEST_UPDATE, STEP_SYNC, STEP_COMMIT,
			       STEP_SYNC, STEP_STATE_AFTER, STEP_SYNC },
	[PLAN_LOOKUP] = { STEP_STATE_BEFORE, STEP_LOOKUP, STEP_STATE_AFTER,
			  STEP_SYNC },
	[PLAN_BEGIN] = { STEP_STATE_BEFORE, STEP_BEGIN, STEP_STATE_AFTER,
			 STEP_SYNC },
	[PLAN_STATEMENT] = { STEP_STATE_BEFORE, STEP_STATEMENT,
			     STEP_STATE_AFTER, STEP_SYNC },
	[PLAN_COMMIT] = { STEP_STATE_BEFORE, STEP_REQUEST_INSERT, STEP_SYNC,
			  STEP_COMMIT, STEP_SYNC, STEP_STATE_AFTER, STEP_SYNC },
	[PLAN_ROLLBACK] = { STEP_ROLLBACK, STEP_STATE_AFTER, STEP_SYNC },
};

const enum plan_step *plan_steps(enum exchange_plan plan)
{
	return steps[plan];
}

bool plan_leaves_transaction_open(enum exchange_plan plan)
{
	return plan == PLAN_BEGIN || plan == PLAN_STATEMENT;
}

bool plan_needs_primary(enum exchange_plan plan)
{
	return plan == PLAN_WRITE || plan == PLAN_WRITE_BY_ID;
}

bool plan_sends_statement(enum exchange_plan plan)
{
	return plan == PLAN_READ || plan == PLAN_WRITE ||
	       plan == PLAN_WRITE_BY_ID || plan == PLAN_STATEMENT;
}
