/*
 * limit.h - distributed rate limit of each workspace.
 *
 * Guarantee: over all instances together, the requests that are admitted and
 * not refunded in any window of length t cost at most rate * t + burst.
 *
 * Each instance has a token bucket per workspace, and each token is in
 * exactly one of these buckets. An instance's bucket is sized by its share of
 * the limit (core/share.h), plus what it has borrowed, minus what it has lent
 * (core/loan.h). Shares and loans never overlap, so the capacities sum to at
 * most the burst and the rates to at most the rate. When a share changes its
 * holder, its tokens do not move with it: the former holder drops those above
 * its reduced capacity, and the new holder's added capacity starts empty.
 *
 * When an operator changes rate or burst, each instance applies the change
 * when the record reaches it. The larger of the old and the new limit holds
 * until the last instance has the record and the loans granted before have
 * ended (at most 10 s; 1 s with the duration requested in core/borrow.c).
 * After that the new limit holds.
 *
 * A refund returns only the tokens that still fit into the bucket; see
 * core/bucket.h.
 *
 * Each instance measures seconds by its own clock: where a clock runs fast
 * by a fraction x, the rate of that instance's share is higher by x.
 */
#ifndef CORE_LIMIT_H
#define CORE_LIMIT_H

#include "core/action_queue.h"
#include "core/error.h"
#include "core/event.h"
#include "core/key_guard.h"
#include "core/member.h"

#include <stdbool.h>
#include <stdint.h>

struct limits;

struct limits_opts {
	const char *instance;
	uint64_t incarnation; /* of this process */
	uint64_t seed; /* of the random numbers */
	uint32_t share_cells; /* same at all instances; 0: 1 */
	const struct member_table *members; /* not owned */
	const struct key_guard *guard; /* not owned; see core/share.h */
	/* Time for which a holder is absent before its removal; 0: 2 s. */
	int64_t removal_delay_us;
};

/* Returns an empty set of limits, which the caller frees with limits_free(). */
struct limits *limits_new(const struct limits_opts *opts);
void limits_free(struct limits *l);

/* Apply a record; revisions older than the known one are ignored. */
void limits_put_workspace(struct limits *l, const struct record *r,
			  int64_t now_us);
void limits_delete_workspace(struct limits *l, const char *workspace,
			     int64_t revision, int64_t now_us);
void limits_put_share(struct limits *l, const struct record *r, int64_t now_us);

/* Handles a put or deletion of this instance's own RECORD_MEMBER. */
void limits_handle_own_member(struct limits *l, const struct member_record *r,
			      bool deleted, int64_t now_us);

/* Handles EVENT_LEASE_RENEWED. */
void limits_handle_lease(struct limits *l, const struct lease_renewal *lease,
			 int64_t now_us);

/* Return true when the result or message belongs to the rate limits. */
bool limits_handle_platform(struct limits *l, const struct platform_result *r,
			    int64_t now_us, struct action_queue *out);
bool limits_handle_peer(struct limits *l, const struct peer_message *m,
			int64_t now_us, struct action_queue *out);

/*
 * Adjusts the shares of this instance and requests loans. To be called on
 * each tick; does nothing until 20 ms after its last run.
 */
void limits_run(struct limits *l, int64_t now_us, struct action_queue *out);

/*
 * Starts to release this instance's shares; the lent part is released when
 * the loans have ended. The instance's lease must not be revoked before
 * limits_is_drained() returns true.
 */
void limits_drain(struct limits *l);
bool limits_is_drained(const struct limits *l, int64_t now_us);

/*
 * Takes the tokens for one request. Returns
 *  - 0 when the request is admitted;
 *  - ERR_RATE_LIMITED with *retry_after_us set to the time until this
 *    instance's current share provides the tokens, or to 0 when that share
 *    alone never holds enough;
 *  - ERR_NO_CONFIG when the workspace is unknown or this instance has not
 *    had a lease yet;
 *  - ERR_PLATFORM when its lease has expired.
 */
int32_t limit_admit(struct limits *l, const char *workspace,
		    uint32_t cost_milli, int64_t now_us,
		    int64_t *retry_after_us);

/*
 * A request that was refused with ERR_RATE_LIMITED may wait briefly while
 * the missing tokens are requested from other instances.
 * limit_may_wait() returns true when that is allowed now.
 */
bool limit_may_wait(struct limits *l, const char *workspace, int64_t now_us);
void limit_request_tokens(struct limits *l, const char *workspace,
			  uint32_t cost_milli, int64_t now_us,
			  struct action_queue *out);

/* limit_admit() for a waiting request, which is not counted as demand again. */
int32_t limit_admit_retry(struct limits *l, const char *workspace,
			  uint32_t cost_milli, int64_t now_us,
			  int64_t *retry_after_us);

/*
 * To be called when a waiting request received no tokens: limit_may_wait()
 * returns false for the next 50 ms.
 */
void limit_suspend_waiting(struct limits *l, const char *workspace,
			   int64_t now_us);

/* Each admitted request ends with either a commit or a refund. */
void limit_commit(struct limits *l, const char *workspace, uint32_t cost_milli,
		  int64_t now_us);
/* Refund: the request was rejected before any byte of it was sent. */
void limit_refund(struct limits *l, const char *workspace, uint32_t cost_milli,
		  int64_t now_us);

/* Current state of a workspace's limit, for metrics and tests. */
struct limit_status {
	uint32_t rate_milli_per_s; /* usable at this instance */
	uint32_t burst_milli;
	uint32_t level_milli;
	uint32_t lent_milli_per_s;
	uint32_t borrowed_milli_per_s;
};
struct limit_status limit_get_status(struct limits *l, const char *workspace,
				     int64_t now_us);

#endif
