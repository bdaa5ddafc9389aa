/*
 * drain.h - graceful shutdown: applies the plan of handover/stop_plan.h to the
 * sessions.
 */
#ifndef PROXY_DRAIN_H
#define PROXY_DRAIN_H

#include "handover/stop_plan.h"
#include "proxy/engine.h"
#include "proxy/session.h"

/*
 * Returns true if a session should be closed now: it has no statement or
 * transaction under way, and nothing that was read from it waits.
 */
bool drain_should_close_session(const struct engine *e, const struct session *s,
				int64_t now_us);

/* Decides whether the session's statement, which has just arrived, may run. */
enum stop_verdict drain_judge_statement(const struct session *s,
					int64_t now_us);

/*
 * During a shutdown, closes the sessions that wait for their callers. Shortly
 * before the end it answers the statements that still run.
 */
void drain_run(struct engine *e, int64_t now_us);

#endif
