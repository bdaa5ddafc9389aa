#include "proxy/admission.h"

#include "core/sizes.h"

enum {
	/* Of the objective; the rest is needed for the work. */
	HOLD_PERCENT = 60,
	/*
	 * Of the time that a statement has, while a primary is replaced: a late
	 * answer is worth something, and time for another try is left.
	 */
	OUTAGE_HOLD_PERCENT = 45,
	PERCENT = 100,
};

int64_t admission_hold_us(const struct route *r, const struct admission_load *l)
{
	if (l->lost_us != ADMISSION_NOT_LOST)
		return r->timeout_us * OUTAGE_HOLD_PERCENT / PERCENT;
	return r->target_us * HOLD_PERCENT / PERCENT;
}

int64_t admission_wait_us(const struct admission_load *l)
{
	/* One that lasts longer than usual may last as long again. */
	if (l->lost_us != ADMISSION_NOT_LOST)
		return l->lost_us < l->outage_us ? l->outage_us - l->lost_us :
						   l->outage_us;
	if (!l->running)
		return 0;
	return l->latency_us * (l->waiting + 1) / l->running;
}
