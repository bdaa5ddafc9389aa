/*
 * list.h - doubly linked lists of table rows, linked by row number.
 *
 * A row is in at most one list at a time, so all lists of a table share one
 * array of links, allocated by list_links_new().
 */
#ifndef CORE_LIST_H
#define CORE_LIST_H

#include <stdint.h>

struct list_link {
	uint32_t next;
	uint32_t prev;
};

struct list {
	uint32_t head;
	uint32_t tail;
	uint32_t count;
};

/* Returns the links of `rows` rows. The caller frees them with g_free(). */
struct list_link *list_links_new(uint32_t rows);

void list_init(struct list *l);
void list_append(struct list *l, struct list_link *links, uint32_t row);
void list_prepend(struct list *l, struct list_link *links, uint32_t row);
void list_remove(struct list *l, struct list_link *links, uint32_t row);

/* Remove and return the first or last row; NO_INDEX if the list is empty. */
uint32_t list_take_first(struct list *l, struct list_link *links);
uint32_t list_take_last(struct list *l, struct list_link *links);

#endif
