/*
 * limit.h - rate and burst of workspaces, counted over all instances.
 *
 * Over all instances together the requests that are admitted and not
 * refunded in any window of length t cost at most rate * t + burst.
 * Every token of the fleet lies in one bucket. Parts (core/share.h) and
 * loans (core/loan.h) are disjoint at every moment, so the capacities add
 * up to no more than the burst and the rates to no more than the rate, and
 * a part that moves brings no tokens but those its former holder gave up.
 *
 * When an operator changes rate or burst, instances change over as the
 * record reaches them. Until the last one has it and the loans given before
 * have ended (at most 10 s, 1 s as asked for here), the larger of the old
 * and the new figure holds; from then on the new one.
 *
 * A refund gives back what still fits beside the tokens that came since;
 * see core/bucket.h.
 *
 * A second is one of the instances' clocks: where a clock runs x fast, its
 * instance's part is x higher.
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
	uint64_t incarnation;
	uint64_t seed;
	uint32_t share_cells;
	const struct member_table *members; /* borrowed */
	const struct key_guard *guard; /* borrowed; see core/share.h */
	int64_t removal_delay_us; /* until an absent holder is removed; 0: 2 s */
};

/* Freed by its owner with limits_free(). */
struct limits *limits_new(const struct limits_opts *opts);
void limits_free(struct limits *l);

/* Records; older revisions than the known one are ignored. */
void limits_put_workspace(struct limits *l, const struct record *r,
			  int64_t now_us);
void limits_delete_workspace(struct limits *l, const char *workspace,
			     int64_t revision, int64_t now_us);
void limits_put_share(struct limits *l, const struct record *r, int64_t now_us);

/* The instance's own RECORD_MEMBER was put or deleted. */
void limits_handle_own_member(struct limits *l, const struct member_record *r,
			      bool deleted, int64_t now_us);

/* EVENT_LEASE. */
void limits_handle_lease(struct limits *l, const struct lease_renewal *lease,
			 int64_t now_us);

/* Return true when the result or message was one of the limits'. */
bool limits_handle_platform(struct limits *l, const struct platform_result *r,
			    int64_t now_us, struct action_queue *out);
bool limits_handle_peer(struct limits *l, const struct peer_message *m,
			int64_t now_us, struct action_queue *out);

/* Allocates parts, asks for loans; called each tick. */
void limits_run(struct limits *l, int64_t now_us, struct action_queue *out);

/*
 * Gives the own parts back once no loan of them runs. The own lease must
 * not be revoked before limits_is_drained().
 */
void limits_drain(struct limits *l);
bool limits_is_drained(const struct limits *l, int64_t now_us);

/*
 * Takes the tokens of one request. Returns 0; ERR_RATE_LIMITED with
 * *retry_after_us set to when the tokens are there by the present part, or
 * to 0 when that part alone never has so many; ERR_NO_CONFIG when the
 * workspace is unknown or this instance has had no lease yet; ERR_PLATFORM
 * when its lease has lapsed.
 */
int32_t limit_admit(struct limits *l, const char *workspace,
		    uint32_t cost_milli, int64_t now_us,
		    int64_t *retry_after_us);

/*
 * A request that was refused with ERR_RATE_LIMITED may be held back for a
 * moment, while other instances are asked for the tokens that it lacks.
 */
bool limit_may_wait(struct limits *l, const char *workspace, int64_t now_us);
void limit_request_tokens(struct limits *l, const char *workspace,
			  uint32_t cost_milli, int64_t now_us,
			  struct action_queue *out);

/* limit_admit() for a request that was counted before. */
int32_t limit_admit_retry(struct limits *l, const char *workspace,
			  uint32_t cost_milli, int64_t now_us,
			  int64_t *retry_after_us);

/* A held request got no tokens: for a while none is held. */
void limit_suspend_waiting(struct limits *l, const char *workspace,
			   int64_t now_us);

/* Each admitted request ends with one of the two. */
void limit_commit(struct limits *l, const char *workspace, uint32_t cost_milli,
		  int64_t now_us);
/* It was refused before any byte of it was sent. */
void limit_refund(struct limits *l, const char *workspace, uint32_t cost_milli,
		  int64_t now_us);

/* Present figures of a workspace, for metrics and tests. */
struct limit_status {
	uint32_t rate_milli_per_s; /* at this instance */
	uint32_t burst_milli;
	uint32_t level_milli;
	uint32_t lent_milli_per_s;
	uint32_t borrowed_milli_per_s;
};
struct limit_status limit_get_status(struct limits *l, const char *workspace,
				     int64_t now_us);

#endif
