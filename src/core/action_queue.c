#include "core/action_queue.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>

struct action_queue {
	GArray *actions; /* of struct action; owns their payloads */
	uint32_t head;
	void *popped_payload; /* of the last popped action; owned */
};

static void *get_payload(const struct action *a)
{
	switch (a->type) {
	case ACTION_PEER_SEND:
		return (void *)a->peer;
	case ACTION_PLATFORM:
		return (void *)a->platform;
	default:
		return NULL;
	}
}

struct action_queue *action_queue_new(void)
{
	struct action_queue *q = g_new0(struct action_queue, 1);

	q->actions = g_array_new(FALSE, FALSE, sizeof(struct action));
	return q;
}

void action_queue_free(struct action_queue *q)
{
	for (uint32_t i = q->head; i < q->actions->len; i++)
		g_free(get_payload(
			&g_array_index(q->actions, struct action, i)));
	g_array_free(q->actions, TRUE);
	g_free(q->popped_payload);
	g_free(q);
}

void action_queue_push(struct action_queue *q, const struct action *a)
{
	struct action copy = *a;

	if (a->type == ACTION_PEER_SEND)
		copy.peer = g_memdup2(a->peer, sizeof(*a->peer));
	else if (a->type == ACTION_PLATFORM)
		copy.platform = g_memdup2(a->platform, sizeof(*a->platform));
	g_array_append_val(q->actions, copy);
}

bool action_queue_pop(struct action_queue *q, struct action *out)
{
	g_free(q->popped_payload);
	q->popped_payload = NULL;
	if (q->head == q->actions->len) {
		g_array_set_size(q->actions, 0);
		q->head = 0;
		return false;
	}
	*out = g_array_index(q->actions, struct action, q->head++);
	q->popped_payload = get_payload(out);
	return true;
}

void action_queue_log(struct action_queue *q, enum log_event number,
		      uint64_t caller_id, const char *subject, int64_t value,
		      const char *text, ...)
{
	struct action a = { .type = ACTION_LOG };
	va_list ap;

	a.log.number = number;
	a.log.caller_id = caller_id;
	a.log.value = value;
	g_strlcpy(a.log.subject, subject ? subject : "", sizeof(a.log.subject));
	va_start(ap, text);
	vsnprintf(a.log.text, sizeof(a.log.text), text, ap);
	va_end(ap);
	action_queue_push(q, &a);
}
