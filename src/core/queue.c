#include "core/queue.h"

#include "core/sizes.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

void queue_init(struct queue *q)
{
	memset(q, 0, sizeof(*q));
}

void queue_clear(struct queue *q)
{
	g_free(q->flows);
	queue_init(q);
}

static struct queue_flow *find_flow(const struct queue *q, uint32_t workspace)
{
	for (uint32_t i = 0; i < q->flow_count; i++) {
		if (q->flows[i].workspace == workspace)
			return &q->flows[i];
	}
	return NULL;
}

static struct queue_flow *add_flow(struct queue *q, uint32_t workspace)
{
	struct queue_flow *f;

	if (q->flow_count == q->flow_capacity) {
		q->flow_capacity = q->flow_capacity ? q->flow_capacity * 2 : 8;
		q->flows =
			g_renew(struct queue_flow, q->flows, q->flow_capacity);
	}
	f = &q->flows[q->flow_count++];
	memset(f, 0, sizeof(*f));
	f->workspace = workspace;
	list_init(&f->rows);
	return f;
}

static void remove_flow(struct queue *q, struct queue_flow *f)
{
	uint32_t i = (uint32_t)(f - q->flows);

	memmove(f, f + 1, (q->flow_count - i - 1) * sizeof(*f));
	q->flow_count--;
	if (i < q->current)
		q->current--;
	if (q->current >= q->flow_count)
		q->current = 0;
}

void queue_push(struct queue *q, struct list_link *links, uint32_t workspace,
		uint32_t weight, uint32_t row)
{
	struct queue_flow *f = find_flow(q, workspace);

	if (!f)
		f = add_flow(q, workspace);
	f->weight = weight ? weight : 1;
	list_append(&f->rows, links, row);
	q->count++;
}

uint32_t queue_pop(struct queue *q, struct list_link *links)
{
	struct queue_flow *f;
	uint32_t row;

	if (!q->flow_count)
		return NO_INDEX;
	f = &q->flows[q->current];
	if (!f->deficit)
		f->deficit = f->weight;
	row = list_take_first(&f->rows, links);
	q->count--;
	f->deficit--;
	if (!f->rows.count)
		remove_flow(q, f);
	else if (!f->deficit)
		q->current = (q->current + 1) % q->flow_count;
	return row;
}

void queue_remove(struct queue *q, struct list_link *links, uint32_t workspace,
		  uint32_t row)
{
	struct queue_flow *f = find_flow(q, workspace);

	assert(f);
	list_remove(&f->rows, links, row);
	q->count--;
	if (!f->rows.count)
		remove_flow(q, f);
}

uint32_t queue_count_ahead(const struct queue *q, uint32_t workspace,
			   uint32_t weight)
{
	const struct queue_flow *own = find_flow(q, workspace);
	uint32_t own_rows = own ? own->rows.count : 0;
	uint32_t rounds = own_rows / (weight ? weight : 1) + 1;
	uint32_t ahead = own_rows;

	for (uint32_t i = 0; i < q->flow_count; i++) {
		const struct queue_flow *f = &q->flows[i];

		if (f != own)
			ahead += MIN(f->rows.count, rounds * f->weight);
	}
	return ahead;
}
