#include "slots.h"

#include <glib.h>

struct waiter {
	slot_fn fn;
	void *data;
};

struct slot_pool {
	uint32_t free_count; /* slots not in use */
	GQueue waiters; /* struct waiter, oldest first */
};

struct slot_pool *slot_pool_new(uint32_t count)
{
	struct slot_pool *s = g_new0(struct slot_pool, 1);

	s->free_count = count;
	return s;
}

void slot_pool_free(struct slot_pool *s)
{
	g_queue_clear_full(&s->waiters, g_free);
	g_free(s);
}

bool slot_pool_has_free(const struct slot_pool *s)
{
	return s->free_count > 0 && s->waiters.length == 0;
}

static void grant_free_slots(struct slot_pool *s)
{
	while (s->free_count > 0 && s->waiters.length > 0) {
		struct waiter *w = g_queue_pop_head(&s->waiters);

		s->free_count--;
		w->fn(w->data);
		g_free(w);
	}
}

void slot_pool_acquire(struct slot_pool *s, slot_fn fn, void *data)
{
	struct waiter *w = g_new0(struct waiter, 1);

	w->fn = fn;
	w->data = data;
	g_queue_push_tail(&s->waiters, w);
	grant_free_slots(s);
}

void slot_pool_release(struct slot_pool *s)
{
	s->free_count++;
	grant_free_slots(s);
}

void slot_pool_cancel(struct slot_pool *s, const void *data)
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
