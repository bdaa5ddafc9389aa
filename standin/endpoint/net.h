/* net.h - non-blocking TCP listeners and streams of one loop. */
#ifndef ENDPOINT_NET_H
#define ENDPOINT_NET_H

#include "base/loop.h"

#include <glib.h>
#include <stdbool.h>

struct net;
struct listener;
struct stream;

/* Callbacks of a stream's owner. */
struct stream_ops {
	/* Bytes have arrived; the callee removes from `in` what it used. */
	void (*on_data)(void *data, GByteArray *in);
	/* The remote side closed or an error occurred; already closed here. */
	void (*on_close)(void *data);
	/* The stream is being freed; no further call uses `data`. */
	void (*on_free)(void *data);
};

/* Creates a set of sockets that freeze together; freed with net_free(). */
struct net *net_new(struct loop *l);
void net_free(struct net *n);

/* While frozen, no socket of the set is read, written or accepts. */
void net_set_frozen(struct net *n, bool frozen);

/*
 * Listens on "ip:port"; port 0 picks a free port. on_accept(data, fd) owns the
 * accepted socket. Returns NULL on error. net_free() frees the listener.
 */
struct listener *listener_new(struct net *n, const char *address,
			      void (*on_accept)(void *data, int fd),
			      void *data);
uint16_t listener_port(const struct listener *ls);

/* Creates a stream that owns the connected socket. */
struct stream *stream_new(struct net *n, int fd, const struct stream_ops *ops,
			  void *data);

/*
 * Starts to connect to "ip:port". Returns NULL if that fails at once; a later
 * failure is reported to on_close.
 */
struct stream *stream_connect(struct net *n, const char *address,
			      const struct stream_ops *ops, void *data);

/* Queues bytes, which the event loop or stream_flush() sends. */
void stream_write(struct stream *s, const void *bytes, size_t size);
void stream_flush(struct stream *s);

/* Stops reading and writing for good, but keeps the connection open. */
void stream_stall(struct stream *s);

/*
 * Tries once to send the queued bytes and closes the socket. on_close is not
 * called; on_free follows from the event loop.
 */
void stream_close(struct stream *s);

#endif
