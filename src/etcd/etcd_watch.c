#include "etcd/etcd_watch.h"

#include "core/sizes.h"
#include "etcd/backoff.h"

#include <string.h>

/*
 * A stream that receives nothing for this time is replaced, as its connection
 * may be broken without an error. One call in this time is a small part of the
 * budget of calls that the platform allows.
 */
#define STREAM_SILENCE_MAX_US (30 * US_PER_S)

struct etcd_watch {
	struct etcd_watch_opts opts;
	struct etcd_stream *stream; /* NULL while none is open */
	/* Fires if the stream is silent for too long, or to open the next. */
	struct loop_timer *timer;
	struct backoff backoff;
	int64_t revision; /* all changes up to it have been delivered */
	bool running;
};

static void on_timer(void *data, int64_t now_us);

struct etcd_watch *etcd_watch_new(const struct etcd_watch_opts *opts)
{
	struct etcd_watch *w = g_new0(struct etcd_watch, 1);

	w->opts = *opts;
	w->timer = loop_timer_add(opts->loop, on_timer, w);
	return w;
}

void etcd_watch_free(struct etcd_watch *w)
{
	loop_timer_set(w->timer, -1);
	g_free(w);
}

static void close_stream(struct etcd_watch *w)
{
	if (w->stream)
		etcd_stream_close(w->stream);
	w->stream = NULL;
}

static void schedule_open(struct etcd_watch *w)
{
	int64_t delay_us = backoff_next_us(&w->backoff, w->opts.rand);

	loop_timer_set(w->timer, loop_now_us() + delay_us);
}

static void handle_event(struct etcd_watch *w, const json_t *event)
{
	const char *type = json_string_value(json_object_get(event, "type"));
	bool deleted = type && !strcmp(type, "DELETE");
	struct etcd_kv kv;

	if (!etcd_kv_read(json_object_get(event, "kv"), &kv))
		return;
	/* A reopened stream may repeat changes that have been delivered. */
	if (kv.mod_revision > w->revision)
		w->opts.on_change(w->opts.data, &kv, deleted);
	etcd_kv_clear(&kv);
}

/* Returns the revision of the last event, 0 if there is none. */
static int64_t get_last_revision(const json_t *events)
{
	size_t n = json_array_size(events);
	const json_t *last = n ? json_array_get(events, n - 1) : NULL;

	return etcd_json_get_int(json_object_get(last, "kv"), "mod_revision");
}

static void handle_events(struct etcd_watch *w, const json_t *events)
{
	int64_t last = get_last_revision(events);
	const json_t *event;
	size_t i;

	json_array_foreach(events, i, event) handle_event(w, event);
	w->revision = MAX(w->revision, last);
}

static void handle_cancel(struct etcd_watch *w, const json_t *result)
{
	bool compacted = etcd_json_get_int(result, "compact_revision") > 0;

	close_stream(w);
	if (compacted) {
		w->running = false;
		loop_timer_set(w->timer, -1);
		w->opts.on_compacted(w->opts.data);
		return;
	}
	schedule_open(w);
}

static void on_stream_result(void *data, const json_t *result)
{
	struct etcd_watch *w = data;
	const json_t *events = json_object_get(result, "events");

	loop_timer_set(w->timer, loop_now_us() + STREAM_SILENCE_MAX_US);
	if (json_is_true(json_object_get(result, "canceled")))
		handle_cancel(w, result);
	else if (json_array_size(events))
		handle_events(w, events);
	else if (!json_is_true(json_object_get(result, "created")))
		w->revision = MAX(w->revision, etcd_json_get_revision(result));
}

static void on_stream_end(void *data)
{
	struct etcd_watch *w = data;

	w->stream = NULL;
	schedule_open(w);
}

static void open_stream(struct etcd_watch *w)
{
	struct etcd_stream_opts opts = {
		.path = "/v3/watch",
		.request = etcd_json_new_watch(w->opts.prefix, w->revision + 1),
		.on_result = on_stream_result,
		.on_end = on_stream_end,
		.data = w,
	};

	w->stream = etcd_stream_open(w->opts.etcd, &opts);
	loop_timer_set(w->timer,
		       loop_now_us() + w->opts.first_answer_timeout_us);
}

static void on_timer(void *data, int64_t now_us)
{
	struct etcd_watch *w = data;

	int64_t received_us = etcd_watch_get_received_us(w);

	if (!w->stream) {
		open_stream(w);
		return;
	}
	/* A large answer may take longer than the timeout to arrive. */
	if (now_us - received_us < w->opts.first_answer_timeout_us) {
		loop_timer_set(w->timer,
			       received_us + w->opts.first_answer_timeout_us);
		return;
	}
	etcd_next_address(w->opts.etcd);
	close_stream(w);
	schedule_open(w);
}

void etcd_watch_start(struct etcd_watch *w, int64_t revision)
{
	etcd_watch_stop(w);
	w->revision = revision;
	w->running = true;
	open_stream(w);
}

void etcd_watch_stop(struct etcd_watch *w)
{
	close_stream(w);
	loop_timer_set(w->timer, -1);
	w->running = false;
}

void etcd_watch_reopen(struct etcd_watch *w)
{
	if (!w->running)
		return;
	etcd_next_address(w->opts.etcd);
	close_stream(w);
	open_stream(w);
}

void etcd_watch_advance(struct etcd_watch *w, int64_t revision)
{
	w->revision = MAX(w->revision, revision);
	backoff_reset(&w->backoff);
}

int64_t etcd_watch_get_received_us(const struct etcd_watch *w)
{
	return w->stream ? etcd_stream_received_us(w->stream) : 0;
}

int64_t etcd_watch_get_revision(const struct etcd_watch *w)
{
	return w->revision;
}
