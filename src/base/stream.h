/*
 * stream.h - TCP connections that carry lines.
 *
 * A line ends with CR LF; each of these bytes alone, and any other byte, is part
 * of it.
 *
 * Output is buffered and written by stream_set_flush(), once per turn of the
 * event loop, so that the messages of one turn share a system call. A closed
 * stream is freed by the next flush; stream_set_free() frees all others.
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
	/*
	 * A stream whose sent data stays unacknowledged for this time is
	 * closed; 0: the system's default.
	 */
	int64_t unacked_max_us;
	/*
	 * Idle time before the first TCP keep-alive probe and between probes,
	 * rounded down to seconds; 0: no probes.
	 */
	int64_t keepalive_idle_us;
	/* How long stream_finish() waits for the peer to take the output. */
	int64_t finish_max_us;
};

struct stream_ops {
	/* stream_connect() succeeded; may be NULL for accepted streams. */
	void (*on_open)(void *owner);
	/*
	 * Receives one line without its line end. A NUL follows it, and it may
	 * hold others. The callee may change it in place; it is valid during
	 * the call.
	 */
	void (*on_line)(void *owner, char *line, size_t len);
	/*
	 * The stream was closed by the peer (error 0) or after an error
	 * (negative errno; -EMSGSIZE: a line was too long). It must not be
	 * used any more.
	 */
	void (*on_closed)(void *owner, int error);
};

/* Returns an empty set; stream_set_free() frees it and every stream in it. */
struct stream_set *stream_set_new(const struct stream_set_opts *opts);
void stream_set_free(struct stream_set *set);

/*
 * Starts a connection to "ip:port" (IPv4). Returns NULL and sets errno if it
 * cannot be started. `ops` is borrowed; `owner` is passed to its functions.
 */
struct stream *stream_connect(struct stream_set *set, const char *address,
			      const struct stream_ops *ops, void *owner);

/* Returns a stream for an accepted connection and takes ownership of fd. */
struct stream *stream_from_fd(struct stream_set *set, int fd,
			      const struct stream_ops *ops, void *owner);

/* Appends to the output, which the next stream_set_flush() writes. */
void stream_send(struct stream *s, const char *bytes, size_t len);

/*
 * Sends as much of the buffered output as the socket accepts at once, drops
 * the rest and closes the connection. No callback follows.
 */
void stream_close(struct stream *s);

/*
 * Closes the connection once the peer has taken the buffered output, or after
 * finish_max_us. Input is discarded and no callback follows.
 */
void stream_finish(struct stream *s);

/* Returns true if a finished stream still has output to write. */
bool stream_set_is_finishing(const struct stream_set *set);

/* Writes the buffered output and frees closed streams. */
void stream_set_flush(struct stream_set *set);

/*
 * Returns a non-blocking descriptor that listens on "ip:port" (IPv4), owned by
 * the caller, or a negative errno.
 */
int stream_listen(const char *address);

/*
 * Accepts one connection. Returns its descriptor, owned by the caller, or a
 * negative errno; -EAGAIN if no connection is waiting.
 */
int stream_accept_fd(int listener);

#endif
