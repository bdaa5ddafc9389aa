/* drain.h - graceful shutdown: sessions are closed between requests. */
#ifndef PROXY_DRAIN_H
#define PROXY_DRAIN_H

#include "proxy/engine.h"
#include "proxy/session.h"

/*
 * Returns true if a session without a statement or transaction under way
 * should be closed now.
 */
bool drain_should_close_session(const struct engine *e, const struct session *s,
				int64_t now_us);

/* Returns the minimum duration of a shutdown. */
int64_t drain_min_duration_us(void);

/*
 * Closes idle sessions during a shutdown; after half of the grace time also
 * those with an open transaction. A session whose statement is running stays
 * open.
 */
void drain_run(struct engine *e, int64_t now_us);

#endif
