/*
 * failover_plan.h - chooses the endpoint of a service that becomes its primary.
 *
 * An acknowledged commit is in the logs of the primary and of at least one
 * replica, which may be one that is leaving. So there are two ways to find a
 * log with every acknowledged commit:
 *  - Replication is paused on every replica and each has reported its log
 *    position: the longest log contains all of them.
 *  - The previous primary has stepped down and reported its last position: any
 *    log that covers it contains all of them, and so does its own.
 *
 * An endpoint whose id is not known cannot be chosen. If its log is longer than
 * that of all others, its id is awaited, but not without limit.
 *
 * The endpoint named in an earlier order for the same term is preferred. If
 * another one were chosen, both orders could be carried out one after the
 * other, and commits that the first new primary acknowledged would be lost. The
 * named endpoint had every acknowledged commit when it was chosen, and nothing
 * has been acknowledged since.
 */
#ifndef PROXY_FAILOVER_PLAN_H
#define PROXY_FAILOVER_PLAN_H

#include "core/position.h"

#include <stdbool.h>
#include <stdint.h>

/* What is known about one endpoint of the service in this round. */
struct failover_candidate {
	bool was_primary; /* when the round began */
	bool stepped_down; /* the previous primary is a replica now */
	bool paused; /* it is a replica, and receives nothing */
	bool leaving; /* its shutdown has been announced */
	bool unwanted; /* operators ask for another */
	/* No entry in the store: it gets no work as long as it has none. */
	bool unlisted;
	/*
	 * It has ended, and what is known is of the process at its address,
	 * which has another id: no order can name it yet.
	 */
	bool id_unknown;
	bool id_awaited; /* id_unknown; the id may still become known */
	/* Named by an earlier order that may still be carried out. */
	bool is_pending_choice;
	bool local; /* in this instance's availability zone */
	struct position received; /* end of its log */
};

enum failover_decision {
	FAILOVER_CHOSEN,
	/* A relevant log, or the id of its endpoint, is not known yet. */
	FAILOVER_WAIT,
	FAILOVER_NO_CANDIDATE, /* no other endpoint could serve */
};

/*
 * Chooses the new primary; sets *chosen to its index on FAILOVER_CHOSEN.
 * Without `confirms_writes` acknowledged commits need not be on a replica,
 * so not every replica has to be paused.
 */
enum failover_decision
failover_choose_primary(const struct failover_candidate *candidates,
			uint32_t count, bool confirms_writes, uint32_t *chosen);

#endif
