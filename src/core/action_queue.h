/* action_queue.h - actions that wait for the host, in order. */
#ifndef CORE_ACTION_QUEUE_H
#define CORE_ACTION_QUEUE_H

#include "core/action.h"
#include "core/log_event.h"

#include <stdbool.h>

struct action_queue;

/* Returns an empty queue, freed by its owner with action_queue_free(). */
struct action_queue *action_queue_new(void);
void action_queue_free(struct action_queue *q);

/* Appends a copy of *a; a peer message or platform start is copied too. */
void action_queue_push(struct action_queue *q, const struct action *a);

/*
 * Moves the oldest action to *out and returns true, or returns false when
 * the queue is empty. Pointers in *out hold until the next call.
 */
bool action_queue_pop(struct action_queue *q, struct action *out);

/* Appends an ACTION_LOG. `text` may be a printf format. */
void action_queue_log(struct action_queue *q, enum log_event number,
		      uint64_t caller_id, const char *subject, int64_t value,
		      const char *text, ...)
	__attribute__((format(printf, 6, 7)));

#endif
