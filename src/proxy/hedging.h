/*
 * hedging.h - sends work that an endpoint does not answer elsewhere, well
 * before its deadline.
 *
 * Only what may run twice or has not run: a read outside of a transaction, or a
 * statement that waits for a connection or its BEGIN. The connection that did
 * not answer is closed, so a late answer cannot meet another statement, and the
 * rows of two attempts cannot mix.
 */
#ifndef PROXY_HEDGING_H
#define PROXY_HEDGING_H

#include "proxy/session.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Sends the session's statement elsewhere if it is late, another connection is
 * free for it, and the service's budget allows it. Returns true if it did.
 */
bool hedging_try(struct session *s, int64_t now_us);

/*
 * Handles the result that an endpoint gave after took_us. If another one had
 * the statement before and did not answer for longer, that is counted against
 * it; where all are slow, none is worse.
 */
void hedging_handle_result(struct session *s, int64_t took_us, int64_t now_us);

#endif
