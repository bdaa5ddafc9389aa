/* summary.h - figures of a run's records. */
#ifndef BENCH_SUMMARY_H
#define BENCH_SUMMARY_H

#include "figure.h"
#include "record.h"

/* Throughput, latencies, answers by error. */
void summary_traffic(const struct records *r, const struct plan *p,
		     struct figures *f);

/* Reads by the role of the endpoint; what sessions and ages promised. */
void summary_reads(const struct records *r, const struct plan *p,
		   struct figures *f);

/* How each workspace fared within its limit. */
void summary_limits(const struct records *r, const struct plan *p,
		    struct figures *f);

/*
 * Longest time without a confirmed write in each database group, and
 * after each fault of `faults`, a file of lines "WALL_US GROUP WHAT" or
 * NULL.
 */
void summary_gaps(const struct records *r, const struct plan *p,
		  const char *faults, struct figures *f);

#endif
