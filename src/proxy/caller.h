/* caller.h - handles the lines of a caller's session and sends the answers. */
#ifndef PROXY_CALLER_H
#define PROXY_CALLER_H

#include "proxy/session.h"

/*
 * Handles one line of a caller, without its line end. It is copied and queued
 * while a statement is in progress; the session is closed if too many lines are
 * queued.
 */
void caller_handle_line(struct session *s, const char *line, size_t bytes,
			int64_t now_us);

/*
 * Sends the rows collected so far as the result of the statement in progress.
 */
void caller_send_result(struct session *s, int64_t now_us);

/*
 * Answers the statement in progress with an error. An open transaction is
 * marked as failed and rolled back on its endpoint connection.
 */
void caller_send_error(struct session *s, enum answer_code code,
		       const char *reason, int64_t now_us);

/*
 * Like caller_send_error(), for a statement that had no effect: the answer also
 * recommends a retry after `retry_us`.
 */
void caller_refuse_statement(struct session *s, enum answer_code code,
			     const char *reason, int64_t retry_us,
			     int64_t now_us);

/*
 * Handles the result of quota_requests_start(): admits the statement or refuses
 * it. `rc` is 0, -EAGAIN or -ESTALE as from quota_take(), or -ETIMEDOUT if no
 * home instance answered. `retry_us` is set for -EAGAIN.
 */
void caller_handle_quota_result(struct session *s, int rc, int64_t retry_us,
				int64_t now_us);

/* Marks the session's transaction as failed, after its connection was lost. */
void caller_abort_transaction(struct session *s, const char *reason,
			      int64_t now_us);

/*
 * Closes a session and releases its connection, queue entry and requests. The
 * session itself is freed at the end of the engine's tick.
 */
void caller_close(struct session *s, int64_t now_us);

#endif
