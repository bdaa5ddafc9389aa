/*
 * unsettled_order.h - a promotion order that may have taken effect unseen.
 *
 * After the previous primary has stepped down, only the endpoint named in the
 * order can have led. So if that endpoint is lost, it takes the place of the
 * replaced primary in the next round: whatever it acknowledged is also in the
 * log of a replica, and what was acknowledged before is in the log of the one
 * that stepped down, which is a replica now.
 *
 * Only the process that gave the order knows that nobody else gave one, and
 * only while it holds the duty.
 */
#ifndef PROXY_UNSETTLED_ORDER_H
#define PROXY_UNSETTLED_ORDER_H

#include "proxy/upstream.h"

struct unsettled_order {
	char endpoint[NAME_BYTES]; /* named in the order; "": none */
	char stepped_down[NAME_BYTES]; /* the previous primary */
	int64_t started_ms; /* of its process; see upstream_entry */
};

/* Records an order for `endpoint`, given after `old` had stepped down. */
void unsettled_order_record(struct unsettled_order *o, const char *endpoint,
			    const struct upstream *old);

/* Records that the order is settled, or that others may have given one. */
void unsettled_order_clear(struct unsettled_order *o);

/*
 * Returns the endpoint of the order; NULL if there is none, or if the previous
 * primary has started again since, so that its log may be gone.
 */
const struct upstream *unsettled_order_find(const struct unsettled_order *o,
					    const struct service *svc);

#endif
