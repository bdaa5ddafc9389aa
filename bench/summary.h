/* summary.h - computes figures from the records of a run. */
#ifndef BENCH_SUMMARY_H
#define BENCH_SUMMARY_H

#include "figure.h"
#include "record.h"

/* Adds throughput, latencies and the number of each error. */
void summary_add_traffic(const struct records *r, const struct plan *p,
			 struct figures *f);

/* Adds the share of reads served by replicas, and stale session reads. */
void summary_add_reads(const struct records *r, const struct plan *p,
		       struct figures *f);

/*
 * Adds the share of served and of wrongly refused requests of each workspace
 * within its limit, and the requests admitted beyond the limits.
 */
void summary_add_limits(const struct records *r, const struct plan *p,
			struct figures *f);

/*
 * Adds the longest time without a confirmed write in any database group. If
 * `faults` is not NULL, it names a file of lines "WALL_US GROUP WHAT"; the
 * longest such time after each fault is then added as well.
 */
void summary_add_gaps(const struct records *r, const struct plan *p,
		      const char *faults, struct figures *f);

#endif
