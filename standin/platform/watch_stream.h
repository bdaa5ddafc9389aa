/* watch_stream.h - the newline-delimited JSON responses of one watch. */
#ifndef PLATFORM_WATCH_STREAM_H
#define PLATFORM_WATCH_STREAM_H

#include "platform/kv_store.h"

#include <jansson.h>

/* Owned by its creator; freed with watch_stream_free(). */
struct watch_stream {
	struct kv_store *store;
	char *key; /* watches [key, end), or `key` alone if `end` is "" */
	char *end;
	int64_t next_revision; /* first revision whose events are not sent */
	int64_t progress_due_us; /* time of the next progress message */
	bool progress_notify; /* the client asked for progress messages */
	bool canceled; /* nothing follows after the contents of `out` */
	GString *out; /* bytes to send */
};

/*
 * Creates a watch from a request body of one or more JSON messages: a create
 * request, and progress requests. Returns NULL if there is no create request.
 */
struct watch_stream *watch_stream_new(struct kv_store *s, const char *body,
				      int64_t now_us);
void watch_stream_free(struct watch_stream *w);

/*
 * Appends new events and a due progress message to `out`. Returns true if
 * there is anything to send.
 */
bool watch_stream_fill(struct watch_stream *w, int64_t now_us);

#endif
