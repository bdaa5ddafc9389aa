/*
 * session.h - a client connection: the server side of version 3 of the
 * PostgreSQL protocol.
 */
#ifndef ENDPOINT_SESSION_H
#define ENDPOINT_SESSION_H

#include "endpoint.h"

struct session;

/* Creates a session that owns the accepted socket; freed with its stream. */
void session_new(struct endpoint *ep, int fd);

/* Closes the connection; an open transaction is rolled back. */
void session_close(struct session *s);

/*
 * Stops reading from and writing to the client for good; statements that were
 * already read still run, then an open transaction is rolled back. The
 * connection stays open, but no longer counts towards connections_max.
 */
void session_stall(struct session *s);

/* Sends a complete result that no statement of the client requested. */
void session_send_unsolicited_result(struct session *s);

/* Records from now on what is sent, instead of what was recorded before. */
void session_record(struct session *s);

void session_stop_recording(struct session *s);

/*
 * Stops recording. What was recorded is sent once more, byte for byte, before
 * what is sent next.
 */
void session_repeat_recorded(struct session *s);

/*
 * Rolls back an open transaction that has changes, and makes it rollback-only:
 * its further statements and its commit fail. Called when the primary is
 * demoted.
 */
void session_abort_transaction(struct session *s);

#endif
