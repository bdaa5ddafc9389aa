/* primary.h - finds the primary of a database group. */
#ifndef BENCH_PRIMARY_H
#define BENCH_PRIMARY_H

#include "plan.h"

/*
 * Queries the control ports of the group's endpoints. Returns the primary or
 * NULL. A replaced primary may still report that role, so the one with the
 * highest last term is returned.
 */
const struct plan_endpoint *find_primary(const struct plan *p,
					 const char *group);

#endif
