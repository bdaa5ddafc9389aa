#include "core/conn.h"

#include "core/sizes.h"

#include <assert.h>
#include <glib.h>

enum { CONN_ROW_BITS = 16, CONN_ROW_MASK = (1 << CONN_ROW_BITS) - 1 };

void conn_table_init(struct conn_table *t, uint32_t capacity)
{
	assert(capacity <= CONN_ROW_MASK);
	t->rows = g_new0(struct conn, capacity);
	t->links = list_links_new(capacity);
	t->capacity = capacity;
	t->high_water = 0;
	t->last_exchange = 0;
	list_init(&t->free_rows);
	for (uint32_t i = 0; i < capacity; i++)
		list_append(&t->free_rows, t->links, i);
}

void conn_table_clear(struct conn_table *t)
{
	g_free(t->rows);
	g_free(t->links);
}

uint32_t conn_add(struct conn_table *t, uint32_t endpoint,
		  enum conn_purpose purpose, int64_t now_us)
{
	uint32_t row = list_take_first(&t->free_rows, t->links);
	struct conn *c;

	if (row == NO_INDEX)
		return NO_INDEX;
	t->high_water = MAX(t->high_water, row + 1);
	c = &t->rows[row];
	c->state = CONN_OPENING;
	c->purpose = purpose;
	c->endpoint = endpoint;
	c->exchange = 0;
	c->request = NO_INDEX;
	c->transaction = NO_INDEX;
	c->checking = false;
	c->since_us = now_us;
	c->answered_us = now_us;
	return row;
}

void conn_remove(struct conn_table *t, uint32_t row)
{
	struct conn *c = &t->rows[row];

	assert(c->state != CONN_FREE);
	c->state = CONN_FREE;
	c->generation++;
	list_prepend(&t->free_rows, t->links, row);
}

uint32_t conn_id(const struct conn_table *t, uint32_t row)
{
	return (uint32_t)t->rows[row].generation << CONN_ROW_BITS | row;
}

uint32_t conn_find(const struct conn_table *t, uint32_t id)
{
	uint32_t row = id & CONN_ROW_MASK;

	if (row >= t->capacity || t->rows[row].state == CONN_FREE)
		return NO_INDEX;
	return conn_id(t, row) == id ? row : NO_INDEX;
}

uint64_t conn_begin_exchange(struct conn_table *t, uint32_t row, int64_t now_us)
{
	struct conn *c = &t->rows[row];

	assert(c->state == CONN_IDLE || c->state == CONN_PINNED);
	c->state = CONN_BUSY;
	c->exchange = ++t->last_exchange;
	c->since_us = now_us;
	return c->exchange;
}
