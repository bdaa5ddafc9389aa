#include "core/list.h"

#include "core/sizes.h"

#include <assert.h>
#include <glib.h>

struct list_link *list_links_new(uint32_t rows)
{
	struct list_link *links = g_new(struct list_link, rows);

	for (uint32_t i = 0; i < rows; i++) {
		links[i].next = NO_INDEX;
		links[i].prev = NO_INDEX;
	}
	return links;
}

void list_init(struct list *l)
{
	l->head = NO_INDEX;
	l->tail = NO_INDEX;
	l->count = 0;
}

void list_append(struct list *l, struct list_link *links, uint32_t row)
{
	links[row].next = NO_INDEX;
	links[row].prev = l->tail;
	if (l->tail == NO_INDEX)
		l->head = row;
	else
		links[l->tail].next = row;
	l->tail = row;
	l->count++;
}

void list_prepend(struct list *l, struct list_link *links, uint32_t row)
{
	links[row].prev = NO_INDEX;
	links[row].next = l->head;
	if (l->head == NO_INDEX)
		l->tail = row;
	else
		links[l->head].prev = row;
	l->head = row;
	l->count++;
}

void list_remove(struct list *l, struct list_link *links, uint32_t row)
{
	uint32_t next = links[row].next;
	uint32_t prev = links[row].prev;

	assert(l->count > 0);
	if (prev == NO_INDEX)
		l->head = next;
	else
		links[prev].next = next;
	if (next == NO_INDEX)
		l->tail = prev;
	else
		links[next].prev = prev;
	links[row].next = NO_INDEX;
	links[row].prev = NO_INDEX;
	l->count--;
}

uint32_t list_take_first(struct list *l, struct list_link *links)
{
	uint32_t row = l->head;

	if (row != NO_INDEX)
		list_remove(l, links, row);
	return row;
}

uint32_t list_take_last(struct list *l, struct list_link *links)
{
	uint32_t row = l->tail;

	if (row != NO_INDEX)
		list_remove(l, links, row);
	return row;
}
