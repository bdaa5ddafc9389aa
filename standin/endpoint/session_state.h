/*
 * session_state.h - the fields of a session, for the modules that make it:
 * session.c for the connection, session_query.c for what it executes.
 */
#ifndef ENDPOINT_SESSION_STATE_H
#define ENDPOINT_SESSION_STATE_H

#include "pg_wire.h"
#include "session.h"

enum { SESSION_PARAMS_MAX = 64 };

enum phase { PHASE_STARTUP, PHASE_PASSWORD, PHASE_DELAY, PHASE_READY };

/* State that ReadyForQuery reports. */
enum { STATUS_IDLE = 'I', STATUS_OPEN = 'T', STATUS_FAILED = 'E' };

struct session {
	struct endpoint *ep;
	struct stream *stream;
	enum phase phase;
	GByteArray *in; /* bytes that are not handled yet */
	GByteArray *out; /* answers of the messages handled at once */
	bool closed;
	bool muted;
	bool counted; /* against connections_max */
	bool waiting; /* a statement waits for a slot or runs */
	bool holds_slot;
	bool skips; /* an error: ignore everything before Sync */
	bool simple; /* the statement came in a Query message */
	bool in_transaction;
	bool explicit_transaction; /* by BEGIN */
	bool failed; /* the explicit transaction had an error */
	struct transaction transaction;
	apr_pool_t *pool; /* of the unnamed statement */
	struct sql_statement *statement;
	uint32_t param_count;
	const char *params[SESSION_PARAMS_MAX];
	bool described;
	struct engine_result result;
	int64_t sleep_us;
};

/* session.c */

/* Sends the answers that are ready. */
void session_flush(struct session *s);
/* Reports an error that ends the connection, and closes it. */
void session_fatal(struct session *s, const char *sqlstate,
		   const char *message);
/* Handles the messages that have arrived, until a statement must wait. */
void session_process(struct session *s);

/* session_query.c */

/* Rolls back the open transaction, if there is one. */
void session_rollback(struct session *s);
/* Returns the state of the transaction for ReadyForQuery. */
char session_status(const struct session *s);
/* Handles one message of a session that is logged in. */
void session_handle_message(struct session *s, char type, struct pg_reader *r);

#endif
