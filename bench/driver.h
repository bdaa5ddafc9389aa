/* driver.h - sends a plan's work on schedule, independent of the answers. */
#ifndef BENCH_DRIVER_H
#define BENCH_DRIVER_H

#include "record.h"

/*
 * Runs the plan and returns the records, freed with records_free(). Waits up
 * to 15 s for answers after the end of the plan.
 */
struct records *driver_run(const struct plan *p);

#endif
