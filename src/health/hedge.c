#include "health/hedge.h"

#include "core/sizes.h"

#include <glib.h>

enum {
	/* One in twenty reads may be hedged. */
	EARNED_MILLI = 50,
	HEDGE_MILLI = 1000,
	/* So many at once after a time without any. */
	BUDGET_MAX_MILLI = 20 * HEDGE_MILLI,
	/* Durations are counted in four bins for each power of two. */
	BINS_PER_OCTAVE = 4,
	LOWEST_US = 256,
	/* The bins are halved at this count, so that old work counts less. */
	COUNT_MAX = 1000,
	SAMPLES_MIN = 20,
	HIGH_MILLI = 980,
	MILLI = 1000,
	/*
	 * Earlier than a quarter of the time that is left a hedge gains nothing
	 * that the caller would notice.
	 */
	PARTS_LEFT = 4,
};

/* Assumed until enough work was seen. */
static const int64_t HIGH_DEFAULT_US = 100 * US_PER_MS;
/* A longer delay than the time between two ticks of a busy instance. */
static const int64_t DELAY_MIN_US = 20 * US_PER_MS;

void hedge_earn(struct hedge_budget *b)
{
	b->tokens_milli = MIN(b->tokens_milli + EARNED_MILLI, BUDGET_MAX_MILLI);
}

bool hedge_take(struct hedge_budget *b)
{
	if (b->tokens_milli < HEDGE_MILLI)
		return false;
	b->tokens_milli -= HEDGE_MILLI;
	return true;
}

/* Returns the duration at which a bin ends. */
static int64_t bin_end_us(uint32_t bin)
{
	int64_t octave_us = (int64_t)LOWEST_US << (bin / BINS_PER_OCTAVE);

	return octave_us +
	       octave_us * (bin % BINS_PER_OCTAVE + 1) / BINS_PER_OCTAVE;
}

void hedge_times_add(struct hedge_times *t, int64_t took_us)
{
	uint32_t bin = 0;

	while (bin < HEDGE_BINS - 1 && bin_end_us(bin) <= took_us)
		bin++;
	t->counts[bin]++;
	if (++t->count < COUNT_MAX)
		return;
	t->count = 0;
	for (uint32_t i = 0; i < HEDGE_BINS; i++) {
		t->counts[i] /= 2;
		t->count += t->counts[i];
	}
}

int64_t hedge_times_high_us(const struct hedge_times *t)
{
	uint32_t below = 0;

	if (t->count < SAMPLES_MIN)
		return HIGH_DEFAULT_US;
	for (uint32_t i = 0; i < HEDGE_BINS; i++) {
		below += t->counts[i];
		if (below * MILLI >= t->count * HIGH_MILLI)
			return bin_end_us(i);
	}
	return bin_end_us(HEDGE_BINS - 1);
}

int64_t hedge_delay_us(int64_t high_us, int64_t left_us)
{
	return MAX(MAX(high_us, left_us / PARTS_LEFT), DELAY_MIN_US);
}
