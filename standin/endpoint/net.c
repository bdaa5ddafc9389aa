#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { READ_BYTES = 65536, BACKLOG = 512 };

struct net {
	struct loop *loop;
	struct loop_timer *free_timer;
	GPtrArray *listeners;
	GPtrArray *streams;
	GPtrArray *closed_streams; /* to be freed by free_timer */
	bool frozen;
};

struct listener {
	struct net *net;
	int fd;
	void (*on_accept)(void *data, int fd);
	void *data;
};

struct stream {
	struct net *net;
	int fd;
	const struct stream_ops *ops;
	void *data;
	GByteArray *in;
	GByteArray *out;
	bool stalled;
	bool closed;
};

static void on_stream_ready(void *data, int events);

static void stream_free(gpointer p)
{
	struct stream *s = p;

	if (!s->closed) {
		loop_unwatch(s->net->loop, s->fd);
		close(s->fd);
	}
	s->ops->on_free(s->data);
	g_byte_array_free(s->in, TRUE);
	g_byte_array_free(s->out, TRUE);
	g_free(s);
}

static void free_closed_streams(void *data, int64_t now_us)
{
	struct net *n = data;
	GPtrArray *closed_streams = n->closed_streams;

	n->closed_streams = g_ptr_array_new_with_free_func(stream_free);
	g_ptr_array_free(closed_streams, TRUE);
}

static void listener_free(gpointer p)
{
	struct listener *ls = p;

	loop_unwatch(ls->net->loop, ls->fd);
	close(ls->fd);
	g_free(ls);
}

struct net *net_new(struct loop *l)
{
	struct net *n = g_new0(struct net, 1);

	n->loop = l;
	n->free_timer = loop_timer_add(l, free_closed_streams, n);
	n->listeners = g_ptr_array_new_with_free_func(listener_free);
	n->streams = g_ptr_array_new();
	n->closed_streams = g_ptr_array_new_with_free_func(stream_free);
	return n;
}

void net_free(struct net *n)
{
	loop_timer_set(n->free_timer, -1);
	g_ptr_array_free(n->listeners, TRUE);
	while (n->streams->len > 0)
		stream_close(g_ptr_array_index(n->streams, 0));
	g_ptr_array_free(n->streams, TRUE);
	g_ptr_array_free(n->closed_streams, TRUE);
	g_free(n);
}

static void stream_update_watch(struct stream *s)
{
	int events = LOOP_READ | (s->out->len ? LOOP_WRITE : 0);

	if (s->closed)
		return;
	if (s->stalled || s->net->frozen)
		loop_unwatch(s->net->loop, s->fd);
	else
		loop_watch(s->net->loop, s->fd, events, on_stream_ready, s);
}

static void on_listener_ready(void *data, int events)
{
	struct listener *ls = data;
	int one = 1;
	int fd;

	while ((fd = accept4(ls->fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		ls->on_accept(ls->data, fd);
	}
}

static void listener_update_watch(struct listener *ls)
{
	if (ls->net->frozen)
		loop_unwatch(ls->net->loop, ls->fd);
	else
		loop_watch(ls->net->loop, ls->fd, LOOP_READ, on_listener_ready,
			   ls);
}

void net_set_frozen(struct net *n, bool frozen)
{
	n->frozen = frozen;
	for (guint i = 0; i < n->listeners->len; i++)
		listener_update_watch(g_ptr_array_index(n->listeners, i));
	for (guint i = 0; i < n->streams->len; i++)
		stream_update_watch(g_ptr_array_index(n->streams, i));
}

static int parse_address(const char *address, struct sockaddr_in *out)
{
	const char *colon = strrchr(address, ':');
	char host[INET_ADDRSTRLEN];

	memset(out, 0, sizeof(*out));
	if (!colon || (size_t)(colon - address) >= sizeof(host))
		return -EINVAL;
	memcpy(host, address, (size_t)(colon - address));
	host[colon - address] = '\0';
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, host, &out->sin_addr) == 1 ? 0 : -EINVAL;
}

static int create_socket(void)
{
	return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

struct listener *listener_new(struct net *n, const char *address,
			      void (*on_accept)(void *data, int fd), void *data)
{
	struct sockaddr_in sa;
	struct listener *ls;
	int one = 1;
	int fd;

	if (parse_address(address, &sa))
		return NULL;
	fd = create_socket();
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(fd, BACKLOG)) {
		close(fd);
		return NULL;
	}
	ls = g_new0(struct listener, 1);
	ls->net = n;
	ls->fd = fd;
	ls->on_accept = on_accept;
	ls->data = data;
	g_ptr_array_add(n->listeners, ls);
	listener_update_watch(ls);
	return ls;
}

uint16_t listener_port(const struct listener *ls)
{
	struct sockaddr_in sa = { 0 };
	socklen_t size = sizeof(sa);

	getsockname(ls->fd, (struct sockaddr *)&sa, &size);
	return ntohs(sa.sin_port);
}

struct stream *stream_new(struct net *n, int fd, const struct stream_ops *ops,
			  void *data)
{
	struct stream *s = g_new0(struct stream, 1);

	s->net = n;
	s->fd = fd;
	s->ops = ops;
	s->data = data;
	s->in = g_byte_array_new();
	s->out = g_byte_array_new();
	g_ptr_array_add(n->streams, s);
	stream_update_watch(s);
	return s;
}

struct stream *stream_connect(struct net *n, const char *address,
			      const struct stream_ops *ops, void *data)
{
	struct sockaddr_in sa;
	int one = 1;
	int fd;

	if (parse_address(address, &sa))
		return NULL;
	fd = create_socket();
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	return stream_new(n, fd, ops, data);
}

static void stream_fail(struct stream *s)
{
	if (s->closed)
		return;
	stream_close(s);
	s->ops->on_close(s->data);
}

/* Returns false on an error or when the remote side has closed. */
static bool stream_read(struct stream *s)
{
	uint8_t buf[READ_BYTES];
	ssize_t n = recv(s->fd, buf, sizeof(buf), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	if (n <= 0)
		return false;
	g_byte_array_append(s->in, buf, (guint)n);
	s->ops->on_data(s->data, s->in);
	return true;
}

void stream_flush(struct stream *s)
{
	ssize_t n;

	if (s->closed || s->net->frozen || s->out->len == 0)
		return;
	if (s->stalled) {
		g_byte_array_set_size(s->out, 0);
		return;
	}
	n = send(s->fd, s->out->data, s->out->len, MSG_NOSIGNAL);
	if (n > 0)
		g_byte_array_remove_range(s->out, 0, (guint)n);
	stream_update_watch(s);
}

static void on_stream_ready(void *data, int events)
{
	struct stream *s = data;

	if ((events & (LOOP_READ | LOOP_ERROR)) && !stream_read(s)) {
		stream_fail(s);
		return;
	}
	stream_flush(s);
}

void stream_write(struct stream *s, const void *bytes, size_t size)
{
	if (s->closed || s->stalled)
		return;
	g_byte_array_append(s->out, bytes, (guint)size);
	stream_update_watch(s);
}

void stream_stall(struct stream *s)
{
	s->stalled = true;
	stream_update_watch(s);
}

void stream_close(struct stream *s)
{
	if (s->closed)
		return;
	stream_flush(s);
	s->closed = true;
	loop_unwatch(s->net->loop, s->fd);
	close(s->fd);
	g_ptr_array_remove_fast(s->net->streams, s);
	g_ptr_array_add(s->net->closed_streams, s);
	loop_timer_set(s->net->free_timer, 0);
}
