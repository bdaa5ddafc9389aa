/*
 * reply_match.h - matches the messages on an endpoint connection with the request
 * that is due, and drops those that belong to copies of earlier answers.
 */
#ifndef PROXY_REPLY_MATCH_H
#define PROXY_REPLY_MATCH_H

#include "proxy/upstream_conn.h"

enum reply_fate reply_match_check(struct upstream_conn *c,
				  const struct wire_reply *r, int64_t now_us);

/* Drops a part of an answer that the endpoint had given before. */
void reply_match_drop_copy(struct upstream_conn *c, const struct wire_reply *r,
			   int64_t now_us);

/*
 * Drops a part of an answer that is no statement's. If a read runs, this may
 * have been meant to be its answer; see exchange_retry_unanswered().
 */
void reply_match_drop_stray(struct upstream_conn *c, const struct wire_reply *r,
			    int64_t now_us);

#endif
