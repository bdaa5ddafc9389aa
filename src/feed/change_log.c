#include "feed/change_log.h"

#include <glib.h>
#include <string.h>

struct change {
	int64_t position;
	char *text;
	uint32_t bytes;
};

struct change_log {
	struct change_log_opts opts;
	GQueue changes; /* owned struct change, oldest first */
	uint32_t bytes;
	int64_t forgotten; /* position up to which changes were forgotten */
	int64_t position; /* of the last change, or of the reset */
};

struct change_log *change_log_new(const struct change_log_opts *opts)
{
	struct change_log *l = g_new0(struct change_log, 1);

	l->opts = *opts;
	g_queue_init(&l->changes);
	return l;
}

static void forget_oldest(struct change_log *l)
{
	struct change *c = g_queue_pop_head(&l->changes);

	l->forgotten = c->position;
	l->bytes -= c->bytes;
	g_free(c->text);
	g_free(c);
}

void change_log_reset(struct change_log *l, int64_t position)
{
	while (l->changes.length)
		forget_oldest(l);
	l->forgotten = position;
	l->position = position;
}

void change_log_free(struct change_log *l)
{
	change_log_reset(l, 0);
	g_free(l);
}

/* Makes instances read the last change's revision from the store. */
static void withhold_last(struct change_log *l)
{
	struct change *c = g_queue_peek_tail(&l->changes);

	if (!c)
		return;
	l->bytes -= c->bytes;
	c->bytes = 0;
	g_clear_pointer(&c->text, g_free);
}

void change_log_append(struct change_log *l, int64_t position, const char *text)
{
	struct change *c;

	/* Who gets one of a revision's changes counts all as applied. */
	if (position == l->position)
		withhold_last(l);
	if (position <= l->position)
		return;
	c = g_new0(struct change, 1);
	c->position = position;
	c->text = g_strdup(text);
	c->bytes = text ? (uint32_t)strlen(text) : 0;
	g_queue_push_tail(&l->changes, c);
	l->bytes += c->bytes;
	l->position = position;
	while (l->changes.length > l->opts.changes_max ||
	       l->bytes > l->opts.bytes_max)
		forget_oldest(l);
}

int64_t change_log_position(const struct change_log *l)
{
	return l->position;
}

uint32_t change_log_collect(const struct change_log *l, int64_t position,
			    struct change_log_entry *out, uint32_t max)
{
	const GList *first = NULL;
	uint32_t n = 0;

	if (position < l->forgotten)
		return 0;
	/* What is missing is at the end, as a rule. */
	for (const GList *i = l->changes.tail; i; i = i->prev) {
		if (((const struct change *)i->data)->position <= position)
			break;
		first = i;
	}
	for (const GList *i = first; i && n < max; i = i->next) {
		const struct change *c = i->data;

		out[n].position = c->position;
		out[n++].text = c->text;
	}
	return n;
}
