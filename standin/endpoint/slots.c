#include "slots.h"

#include <glib.h>

struct waiter {
	slot_fn fn;
	void *data;
};

struct slots {
	uint32_t free;
	GQueue waiters; /* of struct waiter */
};

struct slots *slots_new(uint32_t count)
{
	struct slots *s = g_new0(struct slots, 1);

	s->free = count;
	return s;
}

void slots_free(struct slots *s)
{
	g_queue_clear_full(&s->waiters, g_free);
	g_free(s);
}

bool slots_idle(const struct slots *s)
{
	return s->free > 0 && s->waiters.length == 0;
}

static void grant(struct slots *s)
{
	while (s->free > 0 && s->waiters.length > 0) {
		struct waiter *w = g_queue_pop_head(&s->waiters);

		s->free--;
		w->fn(w->data);
		g_free(w);
	}
}

void slots_take(struct slots *s, slot_fn fn, void *data)
{
	struct waiter *w = g_new0(struct waiter, 1);

	w->fn = fn;
	w->data = data;
	g_queue_push_tail(&s->waiters, w);
	grant(s);
}

void slots_release(struct slots *s)
{
	s->free++;
	grant(s);
}

void slots_drop(struct slots *s, const void *data)
{
	GList *link = s->waiters.head;

	while (link) {
		GList *next = link->next;
		struct waiter *w = link->data;

		if (w->data == data) {
			g_queue_delete_link(&s->waiters, link);
			g_free(w);
		}
		link = next;
	}
}
