/* delay.h - deferred calls, all run by one timer of the event loop. */
#ifndef ENDPOINT_DELAY_H
#define ENDPOINT_DELAY_H

#include "base/loop.h"

#include <stdbool.h>

struct delay_queue;

typedef void (*delayed_call_fn)(void *data);

/* Creates an empty queue, to be freed with delay_queue_free(). */
struct delay_queue *delay_queue_new(struct loop *l);
void delay_queue_free(struct delay_queue *d);

/*
 * Calls fn(data) at at_us, on the clock of loop_now_us(), or as soon
 * afterwards as possible. Calls that are due at the same time run in the order
 * in which they were added.
 */
void delay_queue_add(struct delay_queue *d, int64_t at_us, delayed_call_fn fn,
		     void *data);

/* Removes all pending calls with this data. */
void delay_queue_cancel(struct delay_queue *d, const void *data);

/* No call runs while paused; overdue calls run once the pause ends. */
void delay_queue_set_paused(struct delay_queue *d, bool paused);

#endif
