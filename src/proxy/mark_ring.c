#include "proxy/mark_ring.h"

#include "core/sizes.h"

static const struct mark *mark_at(const struct mark_ring *f, uint32_t i)
{
	return &f->marks[(f->first + i) % MARK_RING_SIZE];
}

static void ring_add(struct mark_ring *f, const struct mark *m)
{
	if (f->count == MARK_RING_SIZE) {
		f->first = (f->first + 1) % MARK_RING_SIZE;
		f->count--;
	}
	f->marks[(f->first + f->count) % MARK_RING_SIZE] = *m;
	f->count++;
}

void mark_ring_add(struct mark_ring *f, int64_t asked_us, struct position p)
{
	const struct mark m = { .asked_us = asked_us, .position = p };

	/* Answers of several connections cross. */
	if (f->count && asked_us <= f->newest.asked_us)
		return;
	f->newest = m;
	if (!f->count ||
	    asked_us - mark_at(f, f->count - 1)->asked_us >= MARK_SPACING_US)
		ring_add(f, &m);
}

int64_t mark_ring_newest_us(const struct mark_ring *f)
{
	return f->count ? f->newest.asked_us : INT64_MIN;
}

bool mark_ring_find(const struct mark_ring *f, int64_t since_us,
		    struct mark *out)
{
	for (uint32_t i = 0; i < f->count; i++) {
		if (mark_at(f, i)->asked_us >= since_us) {
			*out = *mark_at(f, i);
			return true;
		}
	}
	if (!f->count || f->newest.asked_us < since_us)
		return false;
	*out = f->newest;
	return true;
}

int64_t mark_ring_lag_us(const struct mark_ring *f, struct position p,
			 int64_t now_us)
{
	for (uint32_t i = 0; i < f->count; i++) {
		if (!position_covers(p, mark_at(f, i)->position))
			return now_us - mark_at(f, i)->asked_us;
	}
	if (f->count && !position_covers(p, f->newest.position))
		return now_us - f->newest.asked_us;
	return 0;
}
