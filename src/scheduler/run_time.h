/*
 * run_time.h - how long statements take, by kind, as measured.
 */
#ifndef SCHEDULER_RUN_TIME_H
#define SCHEDULER_RUN_TIME_H

#include <stdint.h>

struct run_time;

/* `initial_us` is returned until enough was measured. */
struct run_time *run_time_new(int64_t initial_us);
void run_time_free(struct run_time *r);

void run_time_record(struct run_time *r, int64_t took_us, int64_t now_us);

/* Returns the duration that `milli` thousandths of them did not exceed. */
int64_t run_time_quantile_us(struct run_time *r, uint32_t milli,
			     int64_t now_us);

#endif
