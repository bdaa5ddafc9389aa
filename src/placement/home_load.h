/*
 * home_load.h - how busy a home is, as it tells and as its silence shows.
 *
 * In memory only. A figure is believed for LOAD_MAX_AGE_US; after a restart
 * nothing is known until the first answers arrive.
 */
#ifndef PLACEMENT_HOME_LOAD_H
#define PLACEMENT_HOME_LOAD_H

#include "placement/home_choice.h"

#include <stdbool.h>
#include <stdint.h>

enum {
	LOAD_MAX_AGE_US = 500 * 1000,
	/* No larger wait is told or believed. */
	LOAD_WAIT_MAX_US = 10 * 1000 * 1000,
	/*
	 * A home tells its load with its answers, and at this interval for an
	 * operation that is not answered yet.
	 */
	LOAD_INTERVAL_US = 100 * 1000,
	/*
	 * A home with work that says nothing for this long is stalled. Two of
	 * its lines are late or lost then, which is more than a delay in the
	 * network.
	 */
	LOAD_STALL_US = 250 * 1000,
};

/* What an instance knows of a home's load. All zero: nothing. */
struct home_load {
	/*
	 * Expected wait of a read. Work for the primary waits for the primary
	 * itself, of which every other home has less, so that wait is not told.
	 */
	int64_t read_wait_us;
	int64_t told_us; /* when it arrived */
	/*
	 * Moving average of what answers take beside the time that the home
	 * counts: the network, and until the home handles what has arrived.
	 */
	int64_t late_us;
	int64_t late_at_us;
	int64_t heard_us; /* when the last line arrived */
};

/* Records the wait of reads that the home has told. */
void home_load_set(struct home_load *l, int64_t read_wait_us, int64_t now_us);

/* Records an answer that took this much longer than the home has counted. */
void home_load_add_late(struct home_load *l, int64_t late_us, int64_t now_us);

/*
 * Returns the expected wait, with what answers are late by; 0 if nothing recent
 * is known.
 */
int64_t home_load_wait_us(const struct home_load *l, enum home_work work,
			  int64_t now_us);

/*
 * Returns true if nothing was heard for too long. `waits_since_us` is when the
 * oldest request without an answer was sent there; 0: there is none.
 */
bool home_load_is_stalled(const struct home_load *l, int64_t waits_since_us,
			  int64_t now_us);

#endif
