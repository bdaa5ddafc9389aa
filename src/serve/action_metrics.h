/* action_metrics.h - counters driven by the actions of the core. */
#ifndef SERVE_ACTION_METRICS_H
#define SERVE_ACTION_METRICS_H

#include "base/metrics.h"
#include "core/action.h"
#include "core/log_event.h"

/* Counts an action: log events and messages to peers. */
void action_metrics_count(struct metrics *m, const struct action *a);

/*
 * Counts an answered request. `workspace` is NULL if it is not known,
 * `primary` names the primary of the reply's group.
 */
void action_metrics_count_reply(struct metrics *m, const struct reply *r,
				const char *workspace, const char *primary);

#endif
