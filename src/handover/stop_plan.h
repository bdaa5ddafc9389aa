/*
 * stop_plan.h - what a stopping process still accepts, and until when.
 *
 * Pure. A statement that is accepted must be answered before the process ends.
 * So the work that may take long ends first: open transactions, then single
 * statements. What still runs shortly before the end is answered as unknown or
 * as not run, whichever is true.
 */
#ifndef HANDOVER_STOP_PLAN_H
#define HANDOVER_STOP_PLAN_H

#include <stdbool.h>
#include <stdint.h>

struct stop_plan {
	int64_t since_us; /* 0: not stopping */
	int64_t idle_until_us; /* idle sessions stay open */
	int64_t transactions_until_us; /* open transactions may go on */
	int64_t answers_until_us; /* then nothing runs any more */
	int64_t end_us; /* of the process */
};

/* A statement, as far as the plan depends on it. */
struct stop_statement {
	bool in_transaction;
	bool begins; /* a transaction */
	bool commits;
};

enum stop_verdict {
	STOP_ACCEPT,
	STOP_REFUSE, /* not run; another instance can serve it */
	STOP_ROLL_BACK, /* the transaction ends without a commit */
};

/* `grace_us` is the time from the request to stop until the process is killed. */
void stop_plan_start(struct stop_plan *p, int64_t grace_us, int64_t now_us);

/* Decides about a statement that has just arrived. */
enum stop_verdict stop_plan_judge(const struct stop_plan *p,
				  const struct stop_statement *s,
				  int64_t now_us);

/* Returns true if a session that waits for its caller should be closed. */
bool stop_plan_closes_idle(const struct stop_plan *p, int64_t now_us);

/* Likewise, of a session in a transaction; it has waited for `idle_us`. */
bool stop_plan_closes_transaction(const struct stop_plan *p, int64_t idle_us,
				  int64_t now_us);

/* Returns true if statements in progress have to be answered now. */
bool stop_plan_ends_statements(const struct stop_plan *p, int64_t now_us);

/* Returns true if the process may end, once nothing is left to do. */
bool stop_plan_allows_end(const struct stop_plan *p, int64_t now_us);

#endif
