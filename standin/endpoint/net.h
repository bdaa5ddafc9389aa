/* net.h - non-blocking TCP listeners and streams of one loop. */
#ifndef ENDPOINT_NET_H
#define ENDPOINT_NET_H

#include "base/loop.h"

#include <glib.h>
#include <stdbool.h>

struct net;
struct listener;
struct stream;

/* What the owner of a stream does. */
struct stream_ops {
	/* New bytes; the callee removes from `in` what it has used. */
	void (*on_data)(void *data, GByteArray *in);
	/* The other end closed, or an error; stream_close() is done. */
	void (*on_close)(void *data);
	/* The stream is freed; no call with this data follows. */
	void (*on_free)(void *data);
};

/* Sockets that are frozen together. Freed with net_free(). */
struct net *net_new(struct loop *l);
void net_free(struct net *n);

/* While frozen nothing is read, written or accepted. */
void net_freeze(struct net *n, bool frozen);

/* Listens on "ip:port"; port 0 takes a free one. Returns NULL on error. */
struct listener *listener_new(struct net *n, const char *address,
			      void (*on_accept)(void *data, int fd),
			      void *data);
uint16_t listener_port(const struct listener *ls);

/* Takes over a connected socket. */
struct stream *stream_new(struct net *n, int fd, const struct stream_ops *ops,
			  void *data);

/* Starts to connect to "ip:port"; returns NULL if that fails at once. */
struct stream *stream_connect(struct net *n, const char *address,
			      const struct stream_ops *ops, void *data);

/* Queues bytes; they are sent when the loop runs or at stream_flush(). */
void stream_write(struct stream *s, const void *bytes, size_t size);
void stream_flush(struct stream *s);

/* Neither reads nor writes any more, but stays open. */
void stream_mute(struct stream *s);

/* Closes without on_close; on_free follows from the loop. */
void stream_close(struct stream *s);

#endif
