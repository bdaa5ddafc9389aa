/* watch_stream.h - one watch's newline-delimited answers. */
#ifndef PLATFORM_WATCH_STREAM_H
#define PLATFORM_WATCH_STREAM_H

#include "platform/kv_store.h"

#include <jansson.h>

/* Owned by whoever created it; freed with watch_stream_free(). */
struct watch_stream {
	struct kv_store *store;
	char *key;
	char *end;
	int64_t next_revision; /* of the next event to send */
	int64_t progress_due_us;
	bool progress_notify;
	bool canceled; /* nothing follows what is in `out` */
	GString *out; /* bytes not sent yet */
};

/*
 * Reads the create request and progress requests of a body of one or more
 * JSON messages. Returns NULL if there is no create request.
 */
struct watch_stream *watch_stream_new(struct kv_store *s, const char *body,
				      int64_t now_us);
void watch_stream_free(struct watch_stream *w);

/* Appends to `out` what is due; returns true if there is any output. */
bool watch_stream_fill(struct watch_stream *w, int64_t now_us);

#endif
