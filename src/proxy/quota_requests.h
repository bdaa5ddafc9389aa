/*
 * quota_requests.h - operations of small workspaces, each counted by the home of
 * its limit.
 *
 * A statement that begins an operation waits here until the home answers, or
 * for QUOTA_ASK_US. A home that does not answer is not asked for a while:
 * statements are refused at once then.
 */
#ifndef PROXY_QUOTA_REQUESTS_H
#define PROXY_QUOTA_REQUESTS_H

#include "core/event.h"
#include "core/peer_message.h"
#include "proxy/session.h"

/*
 * A few round trips between availability zones; longer than a busy instance
 * takes for its turn.
 */
#define QUOTA_ASK_US (200 * US_PER_MS)

/* A home that left no answer is tried again after this. */
#define QUOTA_SILENT_US (500 * US_PER_MS)

struct quota_asks;

/* Freed with quota_asks_free(). */
struct quota_asks *quota_asks_new(struct engine *e);
void quota_asks_free(struct quota_asks *a);

/*
 * Asks the home of the session's workspace; caller_quota_answer() follows.
 * Returns false if it left an ask without an answer lately.
 */
bool quota_asks_start(struct quota_asks *a, struct session *s, int64_t now_us);

/* PEER_QUOTA_ASK and PEER_QUOTA_ANSWER. */
void quota_asks_message(struct quota_asks *a, const struct peer_message *m,
			int64_t now_us);

/* The session ends. */
void quota_asks_forget(struct quota_asks *a, struct session *s);

/* Ends those that wait for too long. */
void quota_asks_run(struct quota_asks *a, int64_t now_us);

#endif
