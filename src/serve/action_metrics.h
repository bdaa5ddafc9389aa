/* action_metrics.h - updates metrics from the actions of the core. */
#ifndef SERVE_ACTION_METRICS_H
#define SERVE_ACTION_METRICS_H

#include "base/metrics.h"
#include "core/action.h"
#include "core/log_event.h"

/*
 * Counts log events and messages to peers; sets the gauge "share_ppm" from
 * LOG_SHARE_GRANTED. Ignores all other actions.
 */
void action_metrics_count(struct metrics *m, const struct action *a);

/*
 * Counts an answered request. `workspace` is NULL if it is unknown. `primary`
 * is the name of the primary in the reply's group, NULL if it is unknown.
 */
void action_metrics_count_reply(struct metrics *m, const struct reply *r,
				const char *workspace, const char *primary);

#endif
