/*
 * queue.h - request queue of one endpoint, scheduled by deficit round robin
 * over workspaces.
 *
 * Each workspace with queued requests is a flow. In each round a flow may have
 * at most `weight` requests served, so a workspace's share of the endpoint does
 * not grow with the length of its queue.
 *
 * Requests are queued by their row in the request table. `links` are the links
 * of that table.
 */
#ifndef CORE_QUEUE_H
#define CORE_QUEUE_H

#include "core/list.h"

#include <stdint.h>

struct queue_flow {
	uint32_t workspace;
	uint32_t weight;
	uint32_t deficit; /* requests still to be served in this round */
	struct list rows;
};

struct queue {
	struct queue_flow *flows; /* in round-robin order; owned */
	uint32_t flow_count;
	uint32_t flow_capacity;
	uint32_t current; /* index of the flow being served */
	uint32_t count; /* rows in all flows */
};

/* Makes the queue empty; queue_clear() also frees the memory of its flows. */
void queue_init(struct queue *q);
void queue_clear(struct queue *q);

/* Appends a row to its workspace's flow. A weight of 0 counts as 1. */
void queue_push(struct queue *q, struct list_link *links, uint32_t workspace,
		uint32_t weight, uint32_t row);

/* Removes and returns the next row to serve; NO_INDEX if there is none. */
uint32_t queue_pop(struct queue *q, struct list_link *links);

/* Removes a queued row; `workspace` is the one that it was pushed with. */
void queue_remove(struct queue *q, struct list_link *links, uint32_t workspace,
		  uint32_t row);

/*
 * Returns how many of the queued rows would be served before a row that is
 * pushed now for that workspace.
 */
uint32_t queue_count_ahead(const struct queue *q, uint32_t workspace,
			   uint32_t weight);

#endif
