/*
 * failure_reports.h - collects the instances' reports of unreachable primaries.
 *
 * Each instance reports the primaries that do not answer it. A primary counts
 * as failed when at least half of the instances with a recent report cannot
 * reach it, even if this instance can. Of a service with homes only the reports
 * of its observers count; see homes.h.
 */
#ifndef PROXY_FAILURE_REPORTS_H
#define PROXY_FAILURE_REPORTS_H

#include <stdbool.h>
#include <stdint.h>

struct upstream;
struct failure_reports;

/* Freed with failure_reports_free(). */
struct failure_reports *failure_reports_new(void);
void failure_reports_free(struct failure_reports *f);

/*
 * Stores another instance's report, which replaces its previous one. `silent`
 * holds the hashes of `count` endpoints; see upstream_id_hash().
 */
void failure_reports_update(struct failure_reports *f, const char *instance,
			    const uint64_t *silent, uint32_t count,
			    int64_t now_us);

/*
 * Returns true if at least half of the instances with a recent report, this one
 * included, get no answer from the endpoint.
 */
bool failure_reports_confirm_silence(const struct failure_reports *f,
				     const struct upstream *u, int64_t now_us);

#endif
