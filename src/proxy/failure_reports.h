/*
 * failure_reports.h - which primaries the other instances cannot reach.
 *
 * Each instance reports the primaries that do not answer it. A primary counts
 * as failed when at least half of the instances with a recent report cannot
 * reach it, even if this instance can.
 */
#ifndef PROXY_FAILURE_REPORTS_H
#define PROXY_FAILURE_REPORTS_H

#include <stdbool.h>
#include <stdint.h>

struct upstream;
struct failure_reports;

struct failure_reports *failure_reports_new(void);
void failure_reports_free(struct failure_reports *f);

/*
 * Takes another instance's report, which replaces its previous one. `silent`
 * holds `count` endpoint numbers; see upstream_number().
 */
void failure_reports_update(struct failure_reports *f, const char *instance,
			    const uint64_t *silent, uint32_t count,
			    int64_t now_us);

/*
 * Returns true if at least half of the instances, this one included, get no
 * answer from the endpoint.
 */
bool failure_reports_confirm_silence(const struct failure_reports *f,
				     const struct upstream *u, int64_t now_us);

#endif
