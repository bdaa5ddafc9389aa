#include "proxy/admission.h"

#include "core/sizes.h"

enum {
	/*
	 * Percentage of the target latency; the rest is for running the
	 * statement.
	 */
	MAX_WAIT_PERCENT = 60,
	/*
	 * Percentage of the statement timeout, used while a primary is
	 * replaced. A late answer is still of use then, and the rest leaves the
	 * caller time for a retry.
	 */
	OUTAGE_MAX_WAIT_PERCENT = 45,
	PERCENT = 100,
};

int64_t admission_max_wait_us(const struct route *r,
			      const struct admission_outage *o)
{
	if (o->age_us != ADMISSION_NO_OUTAGE)
		return r->timeout_us * OUTAGE_MAX_WAIT_PERCENT / PERCENT;
	return r->target_us * MAX_WAIT_PERCENT / PERCENT;
}

int64_t admission_expected_outage_us(const struct admission_outage *o)
{
	if (o->age_us == ADMISSION_NO_OUTAGE)
		return 0;
	/*
	 * An outage that exceeds the typical duration is expected to last as
	 * long again.
	 */
	return o->age_us < o->typical_us ? o->typical_us - o->age_us :
					   o->typical_us;
}
