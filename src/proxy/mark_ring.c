#include "proxy/mark_ring.h"

#include "core/sizes.h"

static const struct mark *mark_at(const struct mark_ring *r, uint32_t i)
{
	return &r->marks[(r->first + i) % MARK_RING_SIZE];
}

static void ring_add(struct mark_ring *r, const struct mark *m)
{
	if (r->count == MARK_RING_SIZE) {
		r->first = (r->first + 1) % MARK_RING_SIZE;
		r->count--;
	}
	r->marks[(r->first + r->count) % MARK_RING_SIZE] = *m;
	r->count++;
}

void mark_ring_add(struct mark_ring *r, int64_t asked_us, struct position p)
{
	const struct mark m = { .asked_us = asked_us, .position = p };

	/* Answers on different connections may arrive out of order. */
	if (r->count && asked_us <= r->newest.asked_us)
		return;
	r->newest = m;
	if (!r->count ||
	    asked_us - mark_at(r, r->count - 1)->asked_us >= MARK_SPACING_US)
		ring_add(r, &m);
}

int64_t mark_ring_newest_us(const struct mark_ring *r)
{
	return r->count ? r->newest.asked_us : INT64_MIN;
}

bool mark_ring_find(const struct mark_ring *r, int64_t since_us,
		    struct mark *out)
{
	for (uint32_t i = 0; i < r->count; i++) {
		if (mark_at(r, i)->asked_us >= since_us) {
			*out = *mark_at(r, i);
			return true;
		}
	}
	if (!r->count || r->newest.asked_us < since_us)
		return false;
	*out = r->newest;
	return true;
}

int64_t mark_ring_lag_us(const struct mark_ring *r, struct position p,
			 int64_t now_us)
{
	for (uint32_t i = 0; i < r->count; i++) {
		if (!position_covers(p, mark_at(r, i)->position))
			return now_us - mark_at(r, i)->asked_us;
	}
	if (r->count && !position_covers(p, r->newest.position))
		return now_us - r->newest.asked_us;
	return 0;
}
