#include "placement/home_choice.h"

enum home_fit home_choice_fit(const struct home_option *o, enum home_work work)
{
	bool able =
		work == HOME_WORK_PRIMARY ? o->in_primary_zone : o->has_replica;

	if (!able)
		return HOME_FIT_NONE;
	return o->in_entry_zone ? HOME_FIT_NEAR : HOME_FIT_ENDPOINT;
}

const char *home_fit_name(enum home_fit fit)
{
	static const char *const names[] = {
		[HOME_FIT_NONE] = "other",
		[HOME_FIT_ENDPOINT] = "endpoint",
		[HOME_FIT_NEAR] = "near",
	};

	return names[fit];
}

static bool is_better(const struct home_option *a, const struct home_option *b,
		      enum home_work work)
{
	enum home_fit x = home_choice_fit(a, work);
	enum home_fit y = home_choice_fit(b, work);

	if (a->stalled != b->stalled)
		return b->stalled;
	return x != y ? x > y : a->rank > b->rank;
}

/* Returns the best home but `except`, or -1. */
static int find_best(const struct home_option *o, uint32_t count,
		     enum home_work work, int except)
{
	int best = -1;

	for (uint32_t i = 0; i < count; i++) {
		if (o[i].available && (int)i != except &&
		    (best < 0 || is_better(&o[i], &o[best], work)))
			best = (int)i;
	}
	return best;
}

/* Returns true if the second home takes this operation from the first. */
static bool relieves(const struct home_option *second,
		     const struct home_option *first, uint32_t ticket)
{
	int64_t less_us = first->wait_us - second->wait_us;

	if (second->stalled || less_us <= HOME_WAIT_MARGIN_US)
		return false;
	return ticket < HOME_TICKETS / 2 * less_us / first->wait_us;
}

int home_choice(const struct home_option *o, uint32_t count,
		enum home_work work, uint32_t ticket)
{
	int first = find_best(o, count, work, -1);
	int second = first < 0 ? -1 : find_best(o, count, work, first);

	if (second >= 0 && relieves(&o[second], &o[first], ticket))
		return second;
	return first;
}
