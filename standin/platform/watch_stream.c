#include "platform/watch_stream.h"

#include "platform/kv_json.h"

#include <string.h>

#define PROGRESS_INTERVAL_US INT64_C(5000000)

static void emit(struct watch_stream *w, json_t *result)
{
	json_t *line = json_object();
	char *text;

	json_object_set_new(result, "header", kv_json_make_header(w->store));
	json_object_set_new(line, "result", result);
	text = json_dumps(line, JSON_COMPACT);
	g_string_append(w->out, text);
	g_string_append_c(w->out, '\n');
	free(text);
	json_decref(line);
}

static void emit_progress(struct watch_stream *w)
{
	emit(w, json_object());
}

static void emit_created(struct watch_stream *w)
{
	json_t *result = json_object();

	json_object_set_new(result, "created", json_true());
	if (w->next_revision <= w->store->compacted_revision) {
		json_object_set_new(result, "canceled", json_true());
		kv_json_set_int(result, "compact_revision",
				w->store->compacted_revision);
		w->canceled = true;
	}
	emit(w, result);
}

static void handle_create_request(struct watch_stream *w, const json_t *create)
{
	int64_t start = kv_json_get_int(create, "start_revision");

	w->key = kv_json_get_text(create, "key");
	w->end = kv_json_get_text(create, "range_end");
	w->next_revision = start ? start : w->store->revision + 1;
	w->progress_notify =
		json_is_true(json_object_get(create, "progress_notify"));
	emit_created(w);
}

static void handle_message(struct watch_stream *w, const json_t *message)
{
	const json_t *create = json_object_get(message, "create_request");

	if (create && !w->key)
		handle_create_request(w, create);
	else if (json_object_get(message, "progress_request") && w->key)
		emit_progress(w);
}

struct watch_stream *watch_stream_new(struct kv_store *s, const char *body,
				      int64_t now_us)
{
	struct watch_stream *w = g_new0(struct watch_stream, 1);
	size_t length = strlen(body);
	size_t offset = 0;

	w->store = s;
	w->out = g_string_new(NULL);
	w->progress_due_us = now_us + PROGRESS_INTERVAL_US;
	while (offset < length) {
		json_error_t err;
		json_t *j = json_loadb(body + offset, length - offset,
				       JSON_DISABLE_EOF_CHECK, &err);

		if (!j)
			break;
		handle_message(w, j);
		json_decref(j);
		offset += (size_t)err.position;
	}
	if (w->key)
		return w;
	watch_stream_free(w);
	return NULL;
}

void watch_stream_free(struct watch_stream *w)
{
	g_free(w->key);
	g_free(w->end);
	g_string_free(w->out, TRUE);
	g_free(w);
}

static json_t *event_to_json(const struct kv_event *e)
{
	json_t *o = json_object();

	if (e->deleted)
		json_object_set_new(o, "type", json_string("DELETE"));
	json_object_set_new(o, "kv", kv_json_make_entry(&e->kv));
	return o;
}

/* Returns the index of the first event at `revision` or later. */
static guint find_first_event(const struct kv_store *s, int64_t revision)
{
	guint i = s->events->len;

	while (i) {
		const struct kv_event *e = g_ptr_array_index(s->events, i - 1);

		if (e->kv.mod_revision < revision)
			break;
		i--;
	}
	return i;
}

static void emit_events(struct watch_stream *w)
{
	const struct kv_store *s = w->store;
	json_t *events = json_array();
	json_t *result;

	for (guint i = find_first_event(s, w->next_revision);
	     i < s->events->len; i++) {
		const struct kv_event *e = g_ptr_array_index(s->events, i);

		if (kv_in_range(e->kv.key, w->key, w->end))
			json_array_append_new(events, event_to_json(e));
	}
	w->next_revision = s->revision + 1;
	if (!json_array_size(events)) {
		json_decref(events);
		return;
	}
	result = json_object();
	json_object_set_new(result, "events", events);
	emit(w, result);
}

bool watch_stream_fill(struct watch_stream *w, int64_t now_us)
{
	if (!w->canceled && w->next_revision <= w->store->revision)
		emit_events(w);
	if (!w->canceled && w->progress_notify &&
	    now_us >= w->progress_due_us) {
		w->progress_due_us = now_us + PROGRESS_INTERVAL_US;
		emit_progress(w);
	}
	return w->out->len > 0;
}
