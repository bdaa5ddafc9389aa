#include "proxy/mark_ring.h"

#include "core/sizes.h"

static const struct mark *get_mark(const struct mark_ring *r, uint32_t i)
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

void mark_ring_add(struct mark_ring *r, int64_t requested_us, struct position p)
{
	const struct mark m = { .requested_us = requested_us, .position = p };

	/* Answers on different connections may arrive out of order. */
	if (r->count && requested_us <= r->newest.requested_us)
		return;
	r->newest = m;
	if (!r->count ||
	    requested_us - get_mark(r, r->count - 1)->requested_us >=
		    MARK_SPACING_US)
		ring_add(r, &m);
}

void mark_ring_clear(struct mark_ring *r)
{
	r->count = 0;
}

int64_t mark_ring_newest_us(const struct mark_ring *r)
{
	return r->count ? r->newest.requested_us : INT64_MIN;
}

bool mark_ring_find(const struct mark_ring *r, int64_t since_us,
		    struct mark *out)
{
	for (uint32_t i = 0; i < r->count; i++) {
		if (get_mark(r, i)->requested_us >= since_us) {
			*out = *get_mark(r, i);
			return true;
		}
	}
	if (!r->count || r->newest.requested_us < since_us)
		return false;
	*out = r->newest;
	return true;
}

int64_t mark_ring_min_lag_us(const struct mark_ring *r, struct position p,
			     int64_t now_us)
{
	for (uint32_t i = 0; i < r->count; i++) {
		if (!position_covers(p, get_mark(r, i)->position))
			return now_us - get_mark(r, i)->requested_us;
	}
	if (r->count && !position_covers(p, r->newest.position))
		return now_us - r->newest.requested_us;
	return 0;
}
