#include "delay.h"

#include <glib.h>

struct delayed_call {
	int64_t at_us;
	uint64_t sequence; /* orders calls that are due at the same time */
	delayed_call_fn fn;
	void *data;
};

struct delay_queue {
	struct loop_timer *timer;
	GSequence *calls; /* struct delayed_call, by time and sequence */
	uint64_t last_sequence;
	bool paused;
};

static int compare_calls(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct delayed_call *x = a;
	const struct delayed_call *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static void arm_timer(struct delay_queue *d)
{
	GSequenceIter *it = g_sequence_get_begin_iter(d->calls);

	if (d->paused || g_sequence_iter_is_end(it)) {
		loop_timer_set(d->timer, -1);
		return;
	}
	loop_timer_set(d->timer,
		       ((struct delayed_call *)g_sequence_get(it))->at_us);
}

static void run_due_calls(void *data, int64_t now_us)
{
	struct delay_queue *d = data;
	uint64_t last = d->last_sequence;

	while (!d->paused) {
		GSequenceIter *it = g_sequence_get_begin_iter(d->calls);
		struct delayed_call c;

		if (g_sequence_iter_is_end(it))
			break;
		c = *(struct delayed_call *)g_sequence_get(it);
		if (c.at_us > now_us || c.sequence > last)
			break;
		g_sequence_remove(it);
		c.fn(c.data);
	}
	arm_timer(d);
}

struct delay_queue *delay_queue_new(struct loop *l)
{
	struct delay_queue *d = g_new0(struct delay_queue, 1);

	d->timer = loop_timer_add(l, run_due_calls, d);
	d->calls = g_sequence_new(g_free);
	return d;
}

void delay_queue_free(struct delay_queue *d)
{
	loop_timer_set(d->timer, -1);
	g_sequence_free(d->calls);
	g_free(d);
}

void delay_queue_add(struct delay_queue *d, int64_t at_us, delayed_call_fn fn,
		     void *data)
{
	struct delayed_call *c = g_new0(struct delayed_call, 1);

	c->at_us = at_us;
	c->sequence = ++d->last_sequence;
	c->fn = fn;
	c->data = data;
	g_sequence_insert_sorted(d->calls, c, compare_calls, NULL);
	arm_timer(d);
}

void delay_queue_cancel(struct delay_queue *d, const void *data)
{
	GSequenceIter *it = g_sequence_get_begin_iter(d->calls);

	while (!g_sequence_iter_is_end(it)) {
		GSequenceIter *next = g_sequence_iter_next(it);
		const struct delayed_call *c = g_sequence_get(it);

		if (c->data == data)
			g_sequence_remove(it);
		it = next;
	}
	arm_timer(d);
}

void delay_queue_set_paused(struct delay_queue *d, bool paused)
{
	d->paused = paused;
	arm_timer(d);
}
