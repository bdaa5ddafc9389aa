#include "placement/home_load.h"

enum { LATE_WEIGHT = 8 }; /* a new value counts for one eighth */

void home_load_set(struct home_load *l, int64_t read_wait_us, int64_t now_us)
{
	l->read_wait_us = read_wait_us;
	l->told_us = now_us;
}

/* Returns a figure, or 0 if it is too old. */
static int64_t get_recent(int64_t us, int64_t at_us, int64_t now_us)
{
	return at_us && now_us - at_us <= LOAD_MAX_AGE_US ? us : 0;
}

void home_load_add_late(struct home_load *l, int64_t late_us, int64_t now_us)
{
	int64_t before = get_recent(l->late_us, l->late_at_us, now_us);

	if (late_us < 0)
		late_us = 0;
	if (late_us > LOAD_WAIT_MAX_US)
		late_us = LOAD_WAIT_MAX_US;
	l->late_us = before + (late_us - before) / LATE_WEIGHT;
	l->late_at_us = now_us;
}

int64_t home_load_wait_us(const struct home_load *l, enum home_work work,
			  int64_t now_us)
{
	int64_t us = get_recent(l->late_us, l->late_at_us, now_us);

	if (work == HOME_WORK_READ)
		us += get_recent(l->read_wait_us, l->told_us, now_us);
	return us;
}

bool home_load_is_stalled(const struct home_load *l, int64_t waits_since_us,
			  int64_t now_us)
{
	int64_t since_us = waits_since_us;

	if (!waits_since_us)
		return false;
	if (l->heard_us > since_us)
		since_us = l->heard_us;
	return now_us - since_us >= LOAD_STALL_US;
}
