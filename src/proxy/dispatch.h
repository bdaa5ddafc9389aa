/*
 * dispatch.h - chooses the endpoint and connection for each statement, and
 * queues the statements that cannot be sent yet.
 */
#ifndef PROXY_DISPATCH_H
#define PROXY_DISPATCH_H

#include "proxy/session.h"
#include "proxy/upstream.h"
#include "proxy/upstream_conn.h"

/* Sends the session's statement, queues it, or refuses it. */
void dispatch_statement(struct session *s, int64_t now_us);

/*
 * Sends the statement again after an attempt that had no effect: an endpoint
 * refused it, a read failed, or the connection was lost. After too many
 * attempts it is refused. `reason` goes into the log and into that refusal.
 */
void dispatch_retry(struct session *s, const char *reason, int64_t now_us);

/*
 * Sends the statement that waited for the connection to open, or sends it
 * elsewhere if its route changed meanwhile.
 */
void dispatch_use_started_conn(struct upstream_conn *c, int64_t now_us);

/* Removes the session from its service's queue. */
void dispatch_dequeue(struct session *s);

/*
 * Sends the queued statements that can be sent now, and refuses those that
 * waited too long.
 */
void dispatch_run_queue(struct service *svc, int64_t now_us);

/*
 * Detaches the connection from its session and makes it available again, after
 * a rollback if needed.
 */
void dispatch_release_conn(struct upstream_conn *c, int64_t now_us);

/*
 * Returns a new connection, owned by the endpoint, or NULL if none could be
 * opened. A control connection carries only the proxy's own statements. It
 * reaches the process that runs at the endpoint's address now; see
 * upstream_has_unknown_successor().
 */
struct upstream_conn *dispatch_open_conn(struct engine *e, struct upstream *u,
					 const char *workspace, bool control,
					 int64_t now_us);

/*
 * Closes a connection; it is freed at the end of the engine's tick. The caller
 * must first handle the statement or transaction on it.
 */
void dispatch_close_conn(struct upstream_conn *c);

#endif
