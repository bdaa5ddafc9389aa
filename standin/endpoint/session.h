/* session.h - one client connection, the server side of protocol 3. */
#ifndef ENDPOINT_SESSION_H
#define ENDPOINT_SESSION_H

#include "endpoint.h"

struct session;

/* Takes over an accepted socket; freed when its stream is. */
void session_new(struct endpoint *ep, int fd);

/* Closes the connection; an open transaction is rolled back. */
void session_close(struct session *s);

/*
 * The client gets no byte any more and none of its bytes is read; what was
 * read already still runs. The connection stays open, but does not count
 * against the limit of connections.
 */
void session_mute(struct session *s);

/* Sends an answer that no statement asked for. */
void session_send_stray(struct session *s);

/* Rolls back an open transaction that changed something. */
void session_doom(struct session *s);

#endif
