/* dispatch.h - which endpoint and connection run a statement, and when. */
#ifndef PROXY_DISPATCH_H
#define PROXY_DISPATCH_H

#include "proxy/session.h"
#include "proxy/upstream.h"
#include "proxy/upstream_conn.h"

/* Sends the session's statement, queues it, or refuses it. */
void dispatch_start(struct session *s, int64_t now_us);

/* Sends it once more, after an endpoint refused or lost it unrun. */
void dispatch_again(struct session *s, const char *why, int64_t now_us);

/* Takes a session out of its service's queue. */
void dispatch_forget(struct session *s);

/* Sends what waits and can be sent now; refuses what waited too long. */
void dispatch_pump(struct service *svc, int64_t now_us);

/* The connection is ready for its session's statement. */
void dispatch_run_on(struct upstream_conn *c, int64_t now_us);

/* BEGIN succeeded or is not needed: the statement itself. */
void dispatch_send_statement(struct upstream_conn *c, int64_t now_us);

/* The session needs the connection no more. */
void dispatch_release(struct upstream_conn *c, int64_t now_us);

/* Returns a new connection, or NULL. */
struct upstream_conn *dispatch_open(struct engine *e, struct upstream *u,
				    const char *workspace, bool control,
				    int64_t now_us);

/* Closes a connection; what it carried has to be dealt with before. */
void dispatch_close(struct upstream_conn *c);

#endif
