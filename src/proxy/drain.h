/* drain.h - a shutdown that cuts no request. */
#ifndef PROXY_DRAIN_H
#define PROXY_DRAIN_H

#include "proxy/engine.h"
#include "proxy/session.h"

/* Returns true when an idle session is to be closed now. */
bool drain_should_close_session(const struct engine *e, const struct session *s,
				int64_t now_us);

/* Returns how long a shutdown takes at the least. */
int64_t drain_min_duration_us(void);

/* Closes idle sessions and, late, transactions that stay open. */
void drain_run(struct engine *e, int64_t now_us);

#endif
