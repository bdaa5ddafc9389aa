/*
 * session_state.h - internals of a session, private to session.c (connection
 * and login) and session_query.c (messages and statements).
 */
#ifndef ENDPOINT_SESSION_STATE_H
#define ENDPOINT_SESSION_STATE_H

#include "pg_wire.h"
#include "session.h"

enum { SESSION_PARAMS_MAX = 64 };

/* Phases of the login; PHASE_DELAY lasts for connect_delay_us. */
enum login_phase { PHASE_STARTUP, PHASE_PASSWORD, PHASE_DELAY, PHASE_READY };

/* Transaction status in ReadyForQuery. */
enum { STATUS_IDLE = 'I', STATUS_OPEN = 'T', STATUS_FAILED = 'E' };

struct session {
	struct endpoint *ep;
	struct stream *stream;
	enum login_phase phase;
	GByteArray *in; /* bytes received and not yet processed */
	GByteArray *out; /* messages to send at the next flush */
	bool closed;
	bool stalled; /* the client is neither read nor written any more */
	bool counted; /* included in the check against connections_max */
	bool waiting; /* a statement waits for a slot or is running */
	bool holds_slot;
	bool skip_until_sync; /* after an error, discard messages until Sync */
	bool simple_query; /* the statement came in a Query message */
	bool in_transaction;
	bool explicit_transaction; /* opened by BEGIN */
	bool transaction_failed; /* an error in the explicit transaction */
	struct transaction transaction;
	apr_pool_t *pool; /* memory of the unnamed statement */
	struct sql_statement *statement;
	uint32_t param_count;
	const char *params[SESSION_PARAMS_MAX];
	bool described; /* the columns of `result` are set */
	struct engine_result result;
	int64_t sleep_us; /* extra duration that the statement requests */
	bool recording; /* what is sent is also added to `recorded` */
	bool repeats; /* sends `recorded` before the next output */
	GByteArray *recorded;
};

/* session.c */

/* Sends the messages in `out`. */
void session_flush(struct session *s);
/* Sends a FATAL error and closes the connection. */
void session_close_with_error(struct session *s, const char *sqlstate,
			      const char *message);
/* Processes received messages until a statement has to wait. */
void session_process_input(struct session *s);

/* session_query.c */

/* Rolls back the open transaction, if any. */
void session_rollback(struct session *s);
/* Returns the transaction status for ReadyForQuery, one of STATUS_*. */
char session_transaction_status(const struct session *s);
/* Handles one message of a session that has logged in. */
void session_handle_message(struct session *s, char type, struct pg_reader *r);

#endif
