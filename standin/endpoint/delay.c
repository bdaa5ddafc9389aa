#include "delay.h"

#include <glib.h>

struct call {
	int64_t at_us;
	uint64_t number; /* calls of the same time keep their order */
	delay_fn fn;
	void *data;
};

struct delays {
	struct loop_timer *timer;
	GSequence *calls; /* of struct call, by time */
	uint64_t last_number;
	bool paused;
};

static int call_cmp(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct call *x = a;
	const struct call *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

static void arm(struct delays *d)
{
	GSequenceIter *it = g_sequence_get_begin_iter(d->calls);

	if (d->paused || g_sequence_iter_is_end(it)) {
		loop_timer_set(d->timer, -1);
		return;
	}
	loop_timer_set(d->timer, ((struct call *)g_sequence_get(it))->at_us);
}

static void run_due(void *data, int64_t now_us)
{
	struct delays *d = data;
	uint64_t last = d->last_number;

	while (!d->paused) {
		GSequenceIter *it = g_sequence_get_begin_iter(d->calls);
		struct call c;

		if (g_sequence_iter_is_end(it))
			break;
		c = *(struct call *)g_sequence_get(it);
		if (c.at_us > now_us || c.number > last)
			break;
		g_sequence_remove(it);
		c.fn(c.data);
	}
	arm(d);
}

struct delays *delays_new(struct loop *l)
{
	struct delays *d = g_new0(struct delays, 1);

	d->timer = loop_timer_add(l, run_due, d);
	d->calls = g_sequence_new(g_free);
	return d;
}

void delays_free(struct delays *d)
{
	loop_timer_set(d->timer, -1);
	g_sequence_free(d->calls);
	g_free(d);
}

void delays_add(struct delays *d, int64_t at_us, delay_fn fn, void *data)
{
	struct call *c = g_new0(struct call, 1);

	c->at_us = at_us;
	c->number = ++d->last_number;
	c->fn = fn;
	c->data = data;
	g_sequence_insert_sorted(d->calls, c, call_cmp, NULL);
	arm(d);
}

void delays_drop(struct delays *d, const void *data)
{
	GSequenceIter *it = g_sequence_get_begin_iter(d->calls);

	while (!g_sequence_iter_is_end(it)) {
		GSequenceIter *next = g_sequence_iter_next(it);
		const struct call *c = g_sequence_get(it);

		if (c->data == data)
			g_sequence_remove(it);
		it = next;
	}
	arm(d);
}

void delays_pause(struct delays *d, bool paused)
{
	d->paused = paused;
	arm(d);
}
