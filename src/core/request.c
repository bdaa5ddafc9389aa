#include "core/request.h"

#include "core/sizes.h"

#include <assert.h>
#include <string.h>

void request_table_init(struct request_table *t, uint32_t capacity)
{
	t->rows = g_new0(struct request, capacity);
	t->links = list_links_new(capacity);
	t->capacity = capacity;
	t->high_water = 0;
	t->used = 0;
	t->next_check_us = INT64_MAX;
	t->by_caller =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, NULL);
	list_init(&t->free_rows);
	list_init(&t->delayed);
	list_init(&t->awaiting_tokens);
	for (uint32_t i = 0; i < capacity; i++)
		list_append(&t->free_rows, t->links, i);
}

void request_table_clear(struct request_table *t)
{
	g_hash_table_destroy(t->by_caller);
	g_free(t->rows);
	g_free(t->links);
}

uint32_t request_add(struct request_table *t, const struct request_opts *o,
		     int64_t now_us)
{
	uint32_t row = list_take_first(&t->free_rows, t->links);
	struct request *r;

	if (row == NO_INDEX)
		return NO_INDEX;
	t->high_water = MAX(t->high_water, row + 1);
	r = &t->rows[row];
	memset(r, 0, sizeof(*r));
	r->state = REQUEST_NEW;
	r->opts = *o;
	r->transaction = NO_INDEX;
	r->endpoint = NO_INDEX;
	r->conn = NO_INDEX;
	r->arrived_us = now_us;
	r->age_us = -1;
	g_hash_table_insert(t->by_caller, &r->opts.caller_id,
			    GUINT_TO_POINTER(row + 1));
	t->used++;
	request_schedule_check(t, o->deadline_us);
	return row;
}

void request_remove(struct request_table *t, uint32_t row)
{
	struct request *r = &t->rows[row];

	assert(r->state != REQUEST_FREE);
	g_hash_table_remove(t->by_caller, &r->opts.caller_id);
	r->state = REQUEST_FREE;
	list_prepend(&t->free_rows, t->links, row);
	t->used--;
}

uint32_t request_find(const struct request_table *t, uint64_t caller_id)
{
	gpointer p = g_hash_table_lookup(t->by_caller, &caller_id);

	return p ? GPOINTER_TO_UINT(p) - 1 : NO_INDEX;
}

void request_schedule_check(struct request_table *t, int64_t at_us)
{
	t->next_check_us = MIN(t->next_check_us, at_us);
}

bool request_in_transaction(enum request_kind kind)
{
	return kind == REQUEST_STATEMENT || kind == REQUEST_COMMIT ||
	       kind == REQUEST_ROLLBACK;
}

enum verdict request_verdict(const struct request *r)
{
	return r->may_have_run ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN;
}
