/*
 * failover_plan.h - which copy of a service may lead it next.
 *
 * An acknowledged commit is in the log of the primary and of one replica at
 * least, also of one that is leaving. So either every replica has stopped
 * receiving and told what it has, and the longest log has everything; or the
 * earlier primary leads no more and told its last position, and any log
 * that covers it has everything.
 *
 * The copy that an earlier order of the same term names comes first: had
 * another been chosen, the two orders could be carried out one after the
 * other, and what the first one's leader acknowledged would be lost. It had
 * everything when it was named, and nothing was acknowledged since.
 */
#ifndef PROXY_FAILOVER_PLAN_H
#define PROXY_FAILOVER_PLAN_H

#include "core/position.h"

#include <stdbool.h>
#include <stdint.h>

/* What is known of one copy in this round. */
struct takeover_copy {
	bool was_primary; /* when the round began */
	bool stepped_down; /* the earlier primary: leads no more */
	bool held; /* a replica: receives nothing any more */
	bool leaving;
	/* An earlier order, which may still be carried out, names it. */
	bool named;
	bool local; /* in the availability zone of this instance */
	struct position received;
};

enum takeover_verdict {
	TAKEOVER_CHOSEN,
	TAKEOVER_WAIT, /* a copy that may have more has not answered */
	TAKEOVER_IMPOSSIBLE, /* there is no other copy */
};

/*
 * Sets *chosen to the index of the copy that may lead. Without
 * `confirms_writes` nothing is promised and any answer will do.
 */
enum takeover_verdict takeover_choose(const struct takeover_copy *copies,
				      uint32_t count, bool confirms_writes,
				      uint32_t *chosen);

#endif
