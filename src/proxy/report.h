/*
 * report.h - sends periodic reports to the holder of the singleton duty, and
 * answers them with grants as the holder.
 */
#ifndef PROXY_REPORT_H
#define PROXY_REPORT_H

#include "proxy/engine.h"

/*
 * Time between reports. A surge of demand is met by a grant within two of
 * these. Six fit into the duration of a grant, so a few may be lost.
 */
#define REPORT_INTERVAL_US (250 * US_PER_MS)

/*
 * Sends a report when one is due, or at once when another primary stops
 * answering.
 */
void report_run(struct engine *e, int64_t now_us);

/*
 * Tells all instances that this one has taken the duty: they report to it at
 * once, before they have read that from the store.
 */
void report_announce_duty(struct engine *e);

/* Handles a report, a grant or such an announcement of another instance. */
void report_handle_message(struct engine *e, const struct peer_message *m,
			   int64_t now_us);

#endif
