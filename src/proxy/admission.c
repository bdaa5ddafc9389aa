#include "proxy/admission.h"

#include "core/sizes.h"

enum {
	/* Of the objective; the rest is needed for the work. */
	HOLD_PERCENT = 60,
	PERCENT = 100,
	/*
	 * From the loss of a primary to the next one that serves, as found in
	 * docs/MEASURES.md; longer losses are expected to go on as long again.
	 */
	FAILOVER_US = 1500 * 1000,
};

int64_t admission_hold_us(const struct route *r)
{
	return r->target_us * HOLD_PERCENT / PERCENT;
}

int64_t admission_wait_us(const struct admission_load *l)
{
	if (l->lost_us >= 0)
		return l->lost_us < FAILOVER_US ? FAILOVER_US - l->lost_us :
						  FAILOVER_US;
	if (!l->running)
		return 0;
	return l->latency_us * (l->waiting + 1) / l->running;
}
