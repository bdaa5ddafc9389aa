/*
 * queue.h - requests that wait for one endpoint, by deficit round robin
 * over workspaces.
 *
 * Each workspace with waiting requests is a flow. A flow's turn serves at
 * most its weight in requests, so a workspace's share of the endpoint does
 * not grow with the length of its queue.
 */
#ifndef CORE_QUEUE_H
#define CORE_QUEUE_H

#include "core/list.h"

#include <stdint.h>

struct queue_flow {
	uint32_t workspace;
	uint32_t weight;
	uint32_t deficit; /* requests that it may still take this turn */
	struct list rows;
};

struct queue {
	struct queue_flow *flows; /* in turn order; owned */
	uint32_t flow_count;
	uint32_t flow_room;
	uint32_t turn; /* index of the flow that is served now */
	uint32_t count; /* rows of all flows */
};

void queue_init(struct queue *q);
void queue_clear(struct queue *q);

/* Appends a row to its workspace's flow; weight is at least 1. */
void queue_push(struct queue *q, struct list_link *links, uint32_t workspace,
		uint32_t weight, uint32_t row);

/* Removes and returns the row whose turn it is, or NO_INDEX. */
uint32_t queue_pop(struct queue *q, struct list_link *links);

/* Removes a row that was pushed for that workspace. */
void queue_remove(struct queue *q, struct list_link *links, uint32_t workspace,
		  uint32_t row);

/*
 * Returns how many rows are served before a new row of that workspace, by
 * the present flows.
 */
uint32_t queue_ahead(const struct queue *q, uint32_t workspace,
		     uint32_t weight);

#endif
