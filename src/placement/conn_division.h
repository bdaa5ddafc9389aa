/*
 * conn_division.h - how the homes of a service divide an endpoint's
 * connections and statement slots.
 *
 * Every instance works the same division out from the entries in the store; no
 * message passes. The home in the endpoint's availability zone gets most of
 * them, as most work for the endpoint comes to it.
 *
 * Instances that disagree for a moment may together take more than the total:
 * two that both hold the near part take 1.7 times it with three homes, 1.8 times
 * with two, and twice with one. The connections that are kept unused cover the
 * first two, not the last.
 */
#ifndef PLACEMENT_CONN_DIVISION_H
#define PLACEMENT_CONN_DIVISION_H

#include <stdbool.h>
#include <stdint.h>

/* A home that takes part in the division. */
struct division_member {
	bool in_endpoint_zone;
};

/*
 * Returns how many of `total` the member at `index` gets, whatever the order
 * of the members. The parts of all members together are at most `total`, unless
 * there are more members than that: each gets at least one. Without a member in
 * the endpoint's zone all are equal.
 */
uint32_t conn_division_part(const struct division_member *m, uint32_t count,
			    uint32_t index, uint32_t total);

#endif
