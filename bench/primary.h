/* primary.h - finds the endpoint that takes a group's writes. */
#ifndef BENCH_PRIMARY_H
#define BENCH_PRIMARY_H

#include "plan.h"

/*
 * Asks the control ports of the group's endpoints. Returns the primary, or
 * NULL. A replaced one may still believe in its role; the last term wins.
 */
const struct plan_endpoint *primary_find(const struct plan *p,
					 const char *group);

#endif
