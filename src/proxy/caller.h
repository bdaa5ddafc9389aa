/* caller.h - handles the lines of a caller's session and sends the answers. */
#ifndef PROXY_CALLER_H
#define PROXY_CALLER_H

#include "proxy/session.h"

/*
 * Handles one line of a caller. It is queued while a statement is in progress.
 */
void caller_handle_line(struct session *s, const char *line, int64_t now_us);

/*
 * Sends the rows collected so far as the result of the statement in progress.
 */
void caller_send_result(struct session *s, int64_t now_us);

/*
 * Answers the statement in progress with an error. An open transaction fails,
 * and its connection is rolled back.
 */
void caller_send_error(struct session *s, enum answer_code code,
		       const char *reason, int64_t now_us);

/*
 * Does the same for a statement that was not run: the answer also tells the
 * caller when to retry.
 */
void caller_refuse_statement(struct session *s, enum answer_code code,
			     const char *reason, int64_t retry_us,
			     int64_t now_us);

/*
 * Handles the answer of the home instance that counts the workspace's limit.
 * `rc` is a result of quota_take(), or -ETIMEDOUT if the home did not answer.
 */
void caller_handle_quota_result(struct session *s, int rc, int64_t retry_us,
				int64_t now_us);

/* Marks the session's transaction as failed, after its connection was lost. */
void caller_abort_transaction(struct session *s, const char *reason,
			      int64_t now_us);

/* Closes a session and releases its connection, queue entry and requests. */
void caller_close(struct session *s, int64_t now_us);

#endif
