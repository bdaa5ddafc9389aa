/* caller.h - what a caller's session says, and its answers. */
#ifndef PROXY_CALLER_H
#define PROXY_CALLER_H

#include "proxy/session.h"

/* One line of a caller; kept until the last statement is answered. */
void caller_line(struct session *s, const char *line, int64_t now_us);

/* Answers the statement under way with the rows that were collected. */
void caller_answer_done(struct session *s, int64_t now_us);

/*
 * Answers it with an error. Inside a transaction it fails the transaction,
 * whose connection is rolled back.
 */
void caller_answer_error(struct session *s, enum answer_code code,
			 const char *reason, int64_t now_us);

/* The same, for what was not run: tells when to come back. */
void caller_refuse(struct session *s, enum answer_code code, const char *reason,
		   int64_t retry_us, int64_t now_us);

/*
 * The home of the workspace's limit answered: rc as of quota_take(), or
 * -ETIMEDOUT if it did not.
 */
void caller_quota_answer(struct session *s, int rc, int64_t retry_us,
			 int64_t now_us);

/* The connection that carried the session's transaction is gone. */
void caller_lose_transaction(struct session *s, const char *reason,
			     int64_t now_us);

/* Closes a session and lets go of what it holds. */
void caller_close(struct session *s, int64_t now_us);

#endif
