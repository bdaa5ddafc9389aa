#include "core/amount.h"

#include "core/record.h"

#include <glib.h>

static uint32_t saturating_add(uint32_t a, uint32_t b)
{
	return b > UINT32_MAX - a ? UINT32_MAX : a + b;
}

static uint32_t saturating_subtract(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

static uint32_t scale_ppm(uint32_t whole, uint32_t ppm)
{
	return (uint32_t)((uint64_t)whole * ppm / SHARE_WHOLE_PPM);
}

struct amount amount_add(struct amount a, struct amount b)
{
	a.rate_milli_per_s =
		saturating_add(a.rate_milli_per_s, b.rate_milli_per_s);
	a.burst_milli = saturating_add(a.burst_milli, b.burst_milli);
	return a;
}

struct amount amount_subtract(struct amount a, struct amount b)
{
	a.rate_milli_per_s =
		saturating_subtract(a.rate_milli_per_s, b.rate_milli_per_s);
	a.burst_milli = saturating_subtract(a.burst_milli, b.burst_milli);
	return a;
}

struct amount amount_max(struct amount a, struct amount b)
{
	a.rate_milli_per_s = MAX(a.rate_milli_per_s, b.rate_milli_per_s);
	a.burst_milli = MAX(a.burst_milli, b.burst_milli);
	return a;
}

struct amount amount_min(struct amount a, struct amount b)
{
	a.rate_milli_per_s = MIN(a.rate_milli_per_s, b.rate_milli_per_s);
	a.burst_milli = MIN(a.burst_milli, b.burst_milli);
	return a;
}

struct amount amount_scale_ppm(struct amount whole, uint32_t ppm)
{
	whole.rate_milli_per_s = scale_ppm(whole.rate_milli_per_s, ppm);
	whole.burst_milli = scale_ppm(whole.burst_milli, ppm);
	return whole;
}

bool amount_covers(struct amount a, struct amount b)
{
	return a.rate_milli_per_s >= b.rate_milli_per_s &&
	       a.burst_milli >= b.burst_milli;
}

bool amount_is_zero(struct amount a)
{
	return !a.rate_milli_per_s && !a.burst_milli;
}
