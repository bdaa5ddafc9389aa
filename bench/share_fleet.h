/*
 * share_fleet.h - simulates the cores of several instances that join one share
 * cell, in virtual time. Each operation of the platform takes 5 ms.
 */
#ifndef BENCH_SHARE_FLEET_H
#define BENCH_SHARE_FLEET_H

#include <stdint.h>

struct share_fleet_counts {
	uint64_t join_reads; /* platform reads until all cores are idle */
	uint64_t join_writes; /* the same, refused ones included */
	int64_t join_us; /* until the last operation */
	uint64_t leave_reads; /* after one instance started to drain */
	uint64_t leave_writes;
};

/* Starts `instances` cores at the same time, later drains one of them. */
struct share_fleet_counts share_fleet_measure(uint32_t instances);

#endif
