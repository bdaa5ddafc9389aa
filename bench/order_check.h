/* order_check.h - compares what callers were told with what is stored. */
#ifndef BENCH_ORDER_CHECK_H
#define BENCH_ORDER_CHECK_H

#include "figure.h"
#include "record.h"

/*
 * Reads the orders of every group from its primary's control port. Counts
 * confirmed writes that are missing, orders that are stored twice, and
 * orders that are stored though the caller was told they were not run.
 */
void ledger_verify(const struct records *r, const struct plan *p,
		   struct figures *f);

#endif
