#include "core/transaction.h"

#include <assert.h>
#include <string.h>

void transaction_table_init(struct transaction_table *t, uint32_t capacity)
{
	t->rows = g_new0(struct transaction, capacity);
	t->links = list_links_new(capacity);
	t->capacity = capacity;
	t->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	list_init(&t->free_rows);
	list_init(&t->open);
	for (uint32_t i = 0; i < capacity; i++)
		list_append(&t->free_rows, t->links, i);
}

void transaction_table_clear(struct transaction_table *t)
{
	g_hash_table_destroy(t->by_id);
	g_free(t->rows);
	g_free(t->links);
}

static uint64_t new_id(const struct transaction_table *t, GRand *rand)
{
	uint64_t id = 0;

	while (!id || transaction_find(t, id) != NO_INDEX)
		id = (uint64_t)g_rand_int(rand) << 32 | g_rand_int(rand);
	return id;
}

uint32_t transaction_add(struct transaction_table *t, GRand *rand)
{
	uint32_t row = list_take_first(&t->free_rows, t->links);
	struct transaction *x;

	if (row == NO_INDEX)
		return NO_INDEX;
	x = &t->rows[row];
	memset(x, 0, sizeof(*x));
	x->id = new_id(t, rand);
	x->conn = NO_INDEX;
	x->request = NO_INDEX;
	list_append(&t->open, t->links, row);
	g_hash_table_insert(t->by_id, &x->id, GUINT_TO_POINTER(row + 1));
	return row;
}

void transaction_remove(struct transaction_table *t, uint32_t row)
{
	struct transaction *x = &t->rows[row];

	assert(x->id);
	g_hash_table_remove(t->by_id, &x->id);
	x->id = 0;
	list_remove(&t->open, t->links, row);
	list_append(&t->free_rows, t->links, row);
}

uint32_t transaction_find(const struct transaction_table *t, uint64_t id)
{
	gpointer p = g_hash_table_lookup(t->by_id, &id);

	return p ? GPOINTER_TO_UINT(p) - 1 : NO_INDEX;
}
