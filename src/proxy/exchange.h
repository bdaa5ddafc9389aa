/* exchange.h - handles the answers of endpoints and the loss of connections. */
#ifndef PROXY_EXCHANGE_H
#define PROXY_EXCHANGE_H

#include "proxy/upstream_conn.h"

/* Handles one line that an endpoint sent on the connection. */
void exchange_handle_line(struct upstream_conn *c, const char *line,
			  size_t bytes, int64_t now_us);

/*
 * Handles the loss of a connection, or closes one that cannot be used any more.
 * Its statement is sent again if it had no effect and belongs to no transaction
 * that has begun there; otherwise it is answered with an error that shows
 * whether it may have run. `reason` goes into the log and into that answer.
 */
void exchange_handle_loss(struct upstream_conn *c, const char *reason,
			  int64_t now_us);

/*
 * Sends a read again whose connection gave a result without a signature and
 * then nothing for long. Returns true if it did.
 */
bool exchange_retry_unanswered(struct session *s, int64_t now_us);

/*
 * Answers a statement that is not waited for any longer. If it was sent and may
 * take effect, the answer is `unknown`, else it is ANSWER_ABORTED.
 */
void exchange_give_up_statement(struct session *s, enum answer_code unknown,
				const char *reason, int64_t now_us);

#endif
