#include "core/retry.h"

enum {
	RETRY_CREDIT_MILLI = 100, /* retries per first send, x 1000 */
	RETRY_BUDGET_MAX_MILLI = 200 * 1000,
	RETRY_BUDGET_START_MILLI = 20 * 1000,
	RETRY_BASE_US = 5 * 1000,
	RETRY_CAP_US = 250 * 1000,
	RETRY_DOUBLINGS_MAX = 8,
};

void retry_budget_init(struct retry_budget *b)
{
	b->retries_milli = RETRY_BUDGET_START_MILLI;
}

void retry_budget_add(struct retry_budget *b)
{
	b->retries_milli = MIN(b->retries_milli + RETRY_CREDIT_MILLI,
			       RETRY_BUDGET_MAX_MILLI);
}

bool retry_budget_take(struct retry_budget *b)
{
	if (b->retries_milli < 1000)
		return false;
	b->retries_milli -= 1000;
	return true;
}

int64_t retry_delay_us(GRand *rand, uint32_t attempt)
{
	uint32_t doublings = MIN(attempt - 1, RETRY_DOUBLINGS_MAX);
	int64_t ceiling =
		MIN((int64_t)RETRY_BASE_US << doublings, RETRY_CAP_US);

	return ceiling / 2 + g_rand_int_range(rand, 0, (gint32)ceiling / 2);
}
