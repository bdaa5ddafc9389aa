/*
 * stream.h - TCP connections that carry text lines.
 *
 * Output is collected and written once a loop turn, so that the messages of
 * one turn share a system call. A stream is freed at the end of the turn in
 * which it was closed; its set frees those that are left.
 */
#ifndef BASE_STREAM_H
#define BASE_STREAM_H

#include "base/loop.h"

#include <stdbool.h>
#include <stddef.h>

struct stream;
struct stream_set;

struct stream_set_opts {
	struct loop *loop;
	size_t line_max_bytes; /* a longer line closes its stream */
	int64_t unsent_max_us; /* unacknowledged bytes close the stream */
	int64_t idle_probe_us; /* first keep-alive probe of an idle one */
};

struct stream_ops {
	/* A connect succeeded; NULL for accepted streams. */
	void (*on_open)(void *owner);
	/* One line without its end, which may be changed in place. */
	void (*on_line)(void *owner, char *line, size_t len);
	/* The far end closed it, or an error (negative errno) did. */
	void (*on_closed)(void *owner, int error);
};

/* Freed with stream_set_free(), with every stream. */
struct stream_set *stream_set_new(const struct stream_set_opts *opts);
void stream_set_free(struct stream_set *set);

/* Returns NULL when no connection can be started; errno tells why. */
struct stream *stream_connect(struct stream_set *set, const char *address,
			      const struct stream_ops *ops, void *owner);
struct stream *stream_accept(struct stream_set *set, int fd,
			     const struct stream_ops *ops, void *owner);

void stream_send(struct stream *s, const char *bytes, size_t len);

/* Sends what is left and closes; no callback follows. */
void stream_close(struct stream *s);

/* Writes what was collected and frees closed streams. */
void stream_set_flush(struct stream_set *set);

/* Returns a listening descriptor, or a negative errno. */
int stream_listen(const char *address);

/* Accepts one connection; returns a descriptor or a negative errno. */
int stream_take(int listener);

#endif
