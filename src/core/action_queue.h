/* action_queue.h - FIFO queue of actions for the host. */
#ifndef CORE_ACTION_QUEUE_H
#define CORE_ACTION_QUEUE_H

#include "core/action.h"
#include "core/log_event.h"

#include <stdbool.h>

struct action_queue;

/* Returns an empty queue. The caller frees it with action_queue_free(). */
struct action_queue *action_queue_new(void);
void action_queue_free(struct action_queue *q);

/* Appends a copy of *a and of the peer message or platform start in it. */
void action_queue_push(struct action_queue *q, const struct action *a);

/*
 * Moves the oldest action to *out and returns true, or returns false when
 * the queue is empty. Pointers in *out are valid until the next call.
 */
bool action_queue_pop(struct action_queue *q, struct action *out);

/*
 * Appends an ACTION_LOG. `text` is a printf format; the result is truncated to
 * LOG_TEXT_BYTES. `subject` may be NULL.
 */
void action_queue_log(struct action_queue *q, enum log_event number,
		      uint64_t caller_id, const char *subject, int64_t value,
		      const char *text, ...)
	__attribute__((format(printf, 6, 7)));

#endif
