/*
 * share_fleet.h - several cores in virtual time that join one share cell,
 * over a platform that takes 5 ms for each operation.
 */
#ifndef BENCH_SHARE_FLEET_H
#define BENCH_SHARE_FLEET_H

#include <stdint.h>

struct share_fleet_counts {
	uint64_t join_reads; /* until nothing more is written */
	uint64_t join_writes; /* also those that were refused */
	int64_t join_us;
	uint64_t leave_reads; /* after one instance drained */
	uint64_t leave_writes;
};

/* Starts `instances` cores at once, then drains one. */
struct share_fleet_counts share_fleet_measure(uint32_t instances);

#endif
