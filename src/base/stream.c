#include "base/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	READ_BYTES = 16384,
	/* More than the number of callers that connect at the same time. */
	LISTEN_BACKLOG = 1024,
	KEEPALIVE_PROBES = 2,
	MS_PER_S = 1000,
	LINE_END_BYTES = 2,
};

/* Either byte alone is part of the line. */
static const char LINE_END[] = "\r\n";

struct stream {
	struct stream_set *set;
	const struct stream_ops *ops;
	void *owner;
	int fd;
	bool connecting;
	bool closed;
	bool finishing; /* the owner has gone; listed in the set's `finishing` */
	bool dirty; /* listed in the set's `dirty` */
	int64_t finish_by_us;
	GString *input;
	size_t searched_bytes; /* of the input, in which no line ends */
	GString *output;
};

struct stream_set {
	struct stream_set_opts opts;
	GHashTable *streams; /* set of owned struct stream, not closed */
	GPtrArray *dirty; /* streams with output to write at the next flush */
	GPtrArray *finishing; /* streams whose last output is being written */
	GPtrArray *closed; /* streams to free at the next flush */
};

static void stream_free(struct stream *s)
{
	if (s->fd >= 0) {
		loop_unwatch(s->set->opts.loop, s->fd);
		close(s->fd);
	}
	g_string_free(s->input, TRUE);
	g_string_free(s->output, TRUE);
	g_free(s);
}

static void free_closed(struct stream_set *set)
{
	for (guint i = 0; i < set->closed->len; i++)
		stream_free(g_ptr_array_index(set->closed, i));
	g_ptr_array_set_size(set->closed, 0);
}

struct stream_set *stream_set_new(const struct stream_set_opts *opts)
{
	struct stream_set *set = g_new0(struct stream_set, 1);

	set->opts = *opts;
	set->streams = g_hash_table_new(NULL, NULL);
	set->dirty = g_ptr_array_new();
	set->finishing = g_ptr_array_new();
	set->closed = g_ptr_array_new();
	return set;
}

void stream_set_free(struct stream_set *set)
{
	GHashTableIter it;
	gpointer s;

	g_hash_table_iter_init(&it, set->streams);
	while (g_hash_table_iter_next(&it, &s, NULL))
		stream_free(s);
	free_closed(set);
	g_hash_table_destroy(set->streams);
	g_ptr_array_free(set->dirty, TRUE);
	g_ptr_array_free(set->finishing, TRUE);
	g_ptr_array_free(set->closed, TRUE);
	g_free(set);
}

static void set_socket_option(int fd, int level, int name, int value)
{
	/*
	 * Failures are ignored: without an option the connection is slower,
	 * or a lost peer is detected later, but nothing else changes.
	 */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void set_socket_options(const struct stream_set *set, int fd)
{
	int64_t unacked_ms = set->opts.unacked_max_us / 1000;
	int64_t idle_s = set->opts.keepalive_idle_us / 1000 / MS_PER_S;

	set_socket_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	if (unacked_ms)
		set_socket_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
				  (int)unacked_ms);
	if (!idle_s)
		return;
	set_socket_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_socket_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, (int)idle_s);
	set_socket_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, (int)idle_s);
	set_socket_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}

static void close_and_notify(struct stream *s, int error)
{
	void *owner = s->owner;

	if (s->closed)
		return;
	stream_close(s);
	if (!s->finishing)
		s->ops->on_closed(owner, error);
}

/*
 * Passes each complete line of the input to the owner, which may close or
 * finish the stream in the callback.
 */
static void process_lines(struct stream *s)
{
	size_t start = 0;
	size_t from = s->searched_bytes;
	char *end;

	while (!s->closed && !s->finishing &&
	       (end = memmem(s->input->str + from, s->input->len - from,
			     LINE_END, LINE_END_BYTES))) {
		char *line = s->input->str + start;
		size_t len = (size_t)(end - line);

		start += len + LINE_END_BYTES;
		from = start;
		line[len] = '\0';
		s->ops->on_line(s->owner, line, len);
	}
	if (s->closed)
		return;
	if (s->finishing)
		start = s->input->len;
	g_string_erase(s->input, 0, (gssize)start);
	/* The last byte may be the first one of a line end. */
	s->searched_bytes = s->input->len ? s->input->len - 1 : 0;
	if (s->input->len > s->set->opts.line_max_bytes)
		close_and_notify(s, -EMSGSIZE);
}

static void read_input(struct stream *s)
{
	char buf[READ_BYTES];
	ssize_t n;

	do {
		n = read(s->fd, buf, sizeof(buf));
		if (n > 0) {
			g_string_append_len(s->input, buf, n);
			process_lines(s);
		}
	} while (!s->closed && n == (ssize_t)sizeof(buf));
	if (s->closed || n > 0)
		return;
	if (n == 0)
		close_and_notify(s, 0);
	else if (errno != EAGAIN && errno != EINTR)
		close_and_notify(s, -errno);
}

static void on_ready(void *data, int events);

static void update_watch(struct stream *s)
{
	int events = LOOP_READ;

	if (s->connecting || s->output->len)
		events |= LOOP_WRITE;
	loop_watch(s->set->opts.loop, s->fd, events, on_ready, s);
}

static void write_output(struct stream *s)
{
	ssize_t n;

	if (s->connecting || !s->output->len)
		return;
	n = send(s->fd, s->output->str, s->output->len, MSG_NOSIGNAL);
	if (n > 0)
		g_string_erase(s->output, 0, n);
	else if (n < 0 && errno != EAGAIN && errno != EINTR)
		close_and_notify(s, -errno);
	if (s->finishing && !s->output->len)
		stream_close(s);
	if (!s->closed)
		update_watch(s);
}

static void finish_connect(struct stream *s)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error) {
		close_and_notify(s, -error);
		return;
	}
	s->connecting = false;
	s->ops->on_open(s->owner);
}

static void on_ready(void *data, int events)
{
	struct stream *s = data;

	if (s->connecting && (events & (LOOP_WRITE | LOOP_ERROR)))
		finish_connect(s);
	if (s->closed || s->connecting)
		return;
	if (events & (LOOP_READ | LOOP_ERROR))
		read_input(s);
	if (!s->closed && (events & LOOP_WRITE))
		write_output(s);
}

static struct stream *stream_new(struct stream_set *set, int fd,
				 const struct stream_ops *ops, void *owner)
{
	struct stream *s = g_new0(struct stream, 1);

	s->set = set;
	s->ops = ops;
	s->owner = owner;
	s->fd = fd;
	s->input = g_string_new(NULL);
	s->output = g_string_new(NULL);
	g_hash_table_add(set->streams, s);
	set_socket_options(set, fd);
	return s;
}

static int parse_address(const char *address, struct sockaddr_in *out)
{
	g_auto(GStrv) parts = g_strsplit(address, ":", 2);
	guint64 port;

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (!parts[0] || !parts[1] ||
	    inet_pton(AF_INET, parts[0], &out->sin_addr) != 1 ||
	    !g_ascii_string_to_unsigned(parts[1], 10, 0, UINT16_MAX, &port,
					NULL))
		return -EINVAL;
	out->sin_port = htons((uint16_t)port);
	return 0;
}

struct stream *stream_connect(struct stream_set *set, const char *address,
			      const struct stream_ops *ops, void *owner)
{
	struct sockaddr_in to;
	struct stream *s;
	int fd;

	if (parse_address(address, &to)) {
		errno = EINVAL;
		return NULL;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	    errno != EINPROGRESS) {
		int saved = errno;

		close(fd);
		errno = saved;
		return NULL;
	}
	s = stream_new(set, fd, ops, owner);
	s->connecting = true;
	update_watch(s);
	return s;
}

struct stream *stream_from_fd(struct stream_set *set, int fd,
			      const struct stream_ops *ops, void *owner)
{
	struct stream *s = stream_new(set, fd, ops, owner);

	update_watch(s);
	return s;
}

void stream_send(struct stream *s, const char *bytes, size_t len)
{
	if (s->closed)
		return;
	g_string_append_len(s->output, bytes, (gssize)len);
	if (s->dirty)
		return;
	s->dirty = true;
	g_ptr_array_add(s->set->dirty, s);
}

void stream_close(struct stream *s)
{
	if (s->closed)
		return;
	if (!s->connecting && s->output->len)
		/*
		 * Closing does not wait for the peer: what the socket does not
		 * accept at once is dropped.
		 */
		(void)!send(s->fd, s->output->str, s->output->len,
			    MSG_NOSIGNAL);
	s->closed = true;
	loop_unwatch(s->set->opts.loop, s->fd);
	close(s->fd);
	s->fd = -1;
	if (s->finishing)
		g_ptr_array_remove(s->set->finishing, s);
	g_hash_table_remove(s->set->streams, s);
	g_ptr_array_add(s->set->closed, s);
}

void stream_finish(struct stream *s)
{
	if (s->closed || s->finishing)
		return;
	if (s->connecting || !s->output->len) {
		stream_close(s);
		return;
	}
	s->finishing = true;
	s->finish_by_us = loop_now_us() + s->set->opts.finish_max_us;
	g_ptr_array_add(s->set->finishing, s);
	write_output(s);
}

bool stream_set_is_finishing(const struct stream_set *set)
{
	return set->finishing->len > 0;
}

/* Closes streams whose peer has not taken the output in time. */
static void close_overdue(struct stream_set *set)
{
	int64_t now_us = set->finishing->len ? loop_now_us() : 0;

	for (guint i = set->finishing->len; i-- > 0;) {
		struct stream *s = g_ptr_array_index(set->finishing, i);

		if (now_us >= s->finish_by_us)
			stream_close(s);
	}
}

void stream_set_flush(struct stream_set *set)
{
	close_overdue(set);
	for (guint i = 0; i < set->dirty->len; i++) {
		struct stream *s = g_ptr_array_index(set->dirty, i);

		s->dirty = false;
		if (!s->closed)
			write_output(s);
	}
	g_ptr_array_set_size(set->dirty, 0);
	free_closed(set);
}

int stream_listen(const char *address)
{
	struct sockaddr_in at;
	int fd;

	if (parse_address(address, &at))
		return -EINVAL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -errno;
	set_socket_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		int rc = -errno;

		close(fd);
		return rc;
	}
	return fd;
}

int stream_accept_fd(int listener)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	return fd < 0 ? -errno : fd;
}
