/*
 * conn_pool.h - the connections that this instance may have to an endpoint, and
 * which of them serves a session.
 *
 * It only looks: connections are opened and closed in dispatch.c.
 */
#ifndef PROXY_CONN_POOL_H
#define PROXY_CONN_POOL_H

#include "proxy/placement.h"
#include "proxy/session.h"
#include "proxy/upstream.h"
#include "proxy/upstream_conn.h"

/* Returns how many connections to an endpoint all instances may use. */
uint32_t conn_pool_usable(const struct service *s);

/* Returns the maximum number of connections of this instance to an endpoint. */
uint32_t conn_pool_limit(const struct engine *e, const struct upstream *u);

/*
 * Returns an idle connection of the session's workspace, preferably one that
 * holds the same session values, or NULL.
 */
struct upstream_conn *conn_pool_find_idle(const struct upstream *u,
					  const struct session *s);

/* Returns true if the home has an idle connection or may get another one. */
bool conn_pool_has_home_conn(const struct upstream *u);

/* Returns an idle connection to the home, preferably with the same values. */
struct upstream_conn *conn_pool_find_idle_home(const struct upstream *u,
					       const struct session *s);

/*
 * Returns the idle connection with the least demand, or NULL. Closing one that
 * is needed soon is expensive: opening it again takes a slot of the endpoint
 * for as long as several statements.
 */
struct upstream_conn *conn_pool_find_evictable(const struct upstream *u);

/* Returns how the session can get a connection to the endpoint now. */
enum conn_source conn_pool_find_source(const struct engine *e,
				       const struct upstream *u,
				       const struct session *s, int64_t now_us);

#endif
