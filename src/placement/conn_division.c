#include "placement/conn_division.h"

enum {
	/*
	 * Weight of a home in the endpoint's zone; another one has 1. Nearly
	 * all work for the endpoint comes to it. To the others come reads that
	 * need the primary after all or for which their own replica is behind,
	 * and all of its work while it is lost: with three homes they have a
	 * third of the statements then, which still fills the endpoint's slots,
	 * as three are sent for each.
	 */
	NEAR_WEIGHT = 4,
};

static uint32_t weight(const struct division_member *m)
{
	return m->in_endpoint_zone ? NEAR_WEIGHT : 1;
}

static uint32_t sum_weights(const struct division_member *m, uint32_t count)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < count; i++)
		sum += weight(&m[i]);
	return sum;
}

uint32_t conn_division_part(const struct division_member *m, uint32_t count,
			    uint32_t index, uint32_t total)
{
	uint64_t sum = sum_weights(m, count);
	uint32_t rest;

	if (total <= count || !sum)
		return 1;
	/* One for each; the rest by weight, rounded down. */
	rest = total - count;
	return 1 + (uint32_t)(rest * (uint64_t)weight(&m[index]) / sum);
}
