/* status.h - reports the state of the core as JSON and metrics. */
#ifndef SERVE_STATUS_H
#define SERVE_STATUS_H

#include "base/metrics.h"
#include "core/world_report.h"

#include <jansson.h>

/*
 * Return new JSON objects for the operators' interface, to be freed with
 * json_decref(): the state of this instance, and the configuration revision
 * of each instance.
 */
json_t *status_build_json(const struct world *w, const char *instance,
			  int64_t now_us);
json_t *status_build_config_json(const struct world *w, const char *instance,
				 int64_t now_us);

/* Sets the gauges that show the core's current state. */
void status_set_gauges(struct world *w, struct metrics *m, int64_t now_us);

#endif
