/* driver.h - sends a plan's work by schedule, whatever the answers do. */
#ifndef BENCH_DRIVER_H
#define BENCH_DRIVER_H

#include "record.h"

/* Returns the records of the run, freed with records_free(). */
struct records *driver_run(const struct plan *p);

#endif
