/*
 * quota_requests.h - requests operations from other instances: from the homes
 * of a small limit (quota_homes.h), or from whoever has some of a divided limit
 * left.
 *
 * A statement that begins an operation waits here for the home's answer, for at
 * most QUOTA_REQUEST_TIMEOUT_US per part. A home that does not answer gets no
 * requests for QUOTA_HOME_RETRY_US, and then one at a time until it answers;
 * statements are refused at once if no other home is left.
 */
#ifndef PROXY_QUOTA_REQUESTS_H
#define PROXY_QUOTA_REQUESTS_H

#include "core/event.h"
#include "core/peer_message.h"
#include "proxy/session.h"

/*
 * A few round trips between availability zones, and longer than a busy instance
 * takes for one turn of its loop.
 */
#define QUOTA_REQUEST_TIMEOUT_US (200 * US_PER_MS)

/* After this time no other part is asked. */
#define QUOTA_ASK_MAX_US (2 * QUOTA_REQUEST_TIMEOUT_US)

/* A home that did not answer gets no requests for this long. */
#define QUOTA_HOME_RETRY_US (500 * US_PER_MS)

struct quota_requests;

/* Freed with quota_requests_free(). */
struct quota_requests *quota_requests_new(struct engine *e);
void quota_requests_free(struct quota_requests *reqs);

/*
 * Sends a request to a home of the workspace's limit, the one of this zone
 * first, and to others if that does not admit the operation.
 * caller_handle_quota_result() gets the result: rc and retry_us if nobody says
 * more. Returns false if no request can be sent: each home is this instance or
 * has recently not answered.
 */
bool quota_requests_start(struct quota_requests *reqs, struct session *s,
			  int rc, int64_t retry_us, int64_t now_us);

/* Handles PEER_QUOTA_REQUEST and PEER_QUOTA_REPLY. */
void quota_requests_handle_message(struct quota_requests *reqs,
				   const struct peer_message *m,
				   int64_t now_us);

/* Drops the request of a session that ends. */
void quota_requests_cancel(struct quota_requests *reqs, struct session *s);

/* Ends the requests that got no answer within QUOTA_REQUEST_TIMEOUT_US. */
void quota_requests_check_timeouts(struct quota_requests *reqs, int64_t now_us);

#endif
