#include "base/loop.h"

#include <apr_poll.h>
#include <apr_portable.h>
#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <time.h>

enum { POLLSET_DESCRIPTORS = 65536, US_PER_POLL_UNIT = 1000 };

struct watch {
	int fd;
	int events;
	loop_fd_fn fn;
	void *data;
	apr_pool_t *pool;
	apr_pollfd_t pfd;
};

struct loop_timer {
	int64_t at_us;
	loop_timer_fn fn;
	void *data;
};

struct loop {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	GHashTable *watches; /* fd to struct watch */
	GPtrArray *timers;
	loop_timer_fn before_wait;
	void *before_wait_data;
	bool stopped;
};

static void watch_free(gpointer p)
{
	struct watch *w = p;

	apr_pool_destroy(w->pool);
	g_free(w);
}

static apr_status_t loop_cleanup(void *data)
{
	struct loop *l = data;

	g_hash_table_destroy(l->watches);
	g_ptr_array_free(l->timers, TRUE);
	g_free(l);
	return APR_SUCCESS;
}

int loop_new(struct loop **out, apr_pool_t *parent)
{
	struct loop *l = g_new0(struct loop, 1);

	if (apr_pool_create(&l->pool, parent) != APR_SUCCESS) {
		g_free(l);
		return -ENOMEM;
	}
	l->watches = g_hash_table_new_full(NULL, NULL, NULL, watch_free);
	l->timers = g_ptr_array_new_with_free_func(g_free);
	/* Frees the watches' subpools before APR destroys all subpools. */
	apr_pool_pre_cleanup_register(l->pool, l, loop_cleanup);
	if (apr_pollset_create_ex(&l->pollset, POLLSET_DESCRIPTORS, l->pool,
				  APR_POLLSET_NOCOPY,
				  APR_POLLSET_EPOLL) != APR_SUCCESS) {
		apr_pool_destroy(l->pool);
		return -EIO;
	}
	*out = l;
	return 0;
}

int64_t loop_now_us(void)
{
	struct timespec ts;

	/* This clock also counts the time while the machine is suspended. */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static apr_int16_t events_to_apr(int events)
{
	return ((events & LOOP_READ) ? APR_POLLIN : 0) |
	       ((events & LOOP_WRITE) ? APR_POLLOUT : 0);
}

static int events_from_apr(apr_int16_t events)
{
	return ((events & APR_POLLIN) ? LOOP_READ : 0) |
	       ((events & APR_POLLOUT) ? LOOP_WRITE : 0) |
	       ((events & (APR_POLLERR | APR_POLLHUP)) ? LOOP_ERROR : 0);
}

int loop_watch(struct loop *l, int fd, int events, loop_fd_fn fn, void *data)
{
	struct watch *w;
	apr_socket_t *sock = NULL;
	apr_os_sock_t os_sock = fd;

	w = g_hash_table_lookup(l->watches, GINT_TO_POINTER(fd));
	if (w && w->events == events) {
		w->fn = fn;
		w->data = data;
		return 0;
	}
	loop_unwatch(l, fd);
	w = g_new0(struct watch, 1);
	w->fd = fd;
	w->events = events;
	w->fn = fn;
	w->data = data;
	apr_pool_create(&w->pool, l->pool);
	apr_os_sock_put(&sock, &os_sock, w->pool);
	w->pfd.p = w->pool;
	w->pfd.desc_type = APR_POLL_SOCKET;
	w->pfd.reqevents = events_to_apr(events);
	w->pfd.desc.s = sock;
	w->pfd.client_data = w;
	if (apr_pollset_add(l->pollset, &w->pfd) != APR_SUCCESS) {
		watch_free(w);
		return -EBADF;
	}
	g_hash_table_insert(l->watches, GINT_TO_POINTER(fd), w);
	return 0;
}

void loop_unwatch(struct loop *l, int fd)
{
	struct watch *w;

	w = g_hash_table_lookup(l->watches, GINT_TO_POINTER(fd));
	if (!w)
		return;
	apr_pollset_remove(l->pollset, &w->pfd);
	g_hash_table_remove(l->watches, GINT_TO_POINTER(fd));
}

struct loop_timer *loop_timer_add(struct loop *l, loop_timer_fn fn, void *data)
{
	struct loop_timer *t = g_new0(struct loop_timer, 1);

	t->at_us = -1;
	t->fn = fn;
	t->data = data;
	g_ptr_array_add(l->timers, t);
	return t;
}

void loop_timer_set(struct loop_timer *t, int64_t at_us)
{
	t->at_us = at_us;
}

void loop_set_before_wait(struct loop *l, loop_timer_fn fn, void *data)
{
	l->before_wait = fn;
	l->before_wait_data = data;
}

static int64_t compute_wait_us(const struct loop *l, int64_t max_wait_us)
{
	int64_t now = loop_now_us();
	int64_t wait = max_wait_us;

	for (guint i = 0; i < l->timers->len; i++) {
		const struct loop_timer *t = g_ptr_array_index(l->timers, i);

		if (t->at_us < 0)
			continue;
		if (t->at_us - now < wait)
			wait = t->at_us - now;
	}
	if (wait <= 0)
		return 0;
	/*
	 * Rounded up, because the pollset drops fractions of a millisecond:
	 * the loop would spin until the timer is due.
	 */
	return (wait + US_PER_POLL_UNIT - 1) / US_PER_POLL_UNIT *
	       US_PER_POLL_UNIT;
}

static void run_timers(struct loop *l)
{
	int64_t now = loop_now_us();

	for (guint i = 0; i < l->timers->len; i++) {
		struct loop_timer *t = g_ptr_array_index(l->timers, i);

		if (t->at_us < 0 || t->at_us > now)
			continue;
		t->at_us = -1;
		t->fn(t->data, now);
	}
}

/* A callback may remove other watches, so each fd is looked up again. */
static void run_ready_watches(struct loop *l, const apr_pollfd_t *ready,
			      apr_int32_t count)
{
	struct {
		int fd;
		int events;
	} *due = g_newa0(typeof(*due), count ? count : 1);

	for (apr_int32_t i = 0; i < count; i++) {
		const struct watch *w = ready[i].client_data;

		due[i].fd = w->fd;
		due[i].events = events_from_apr(ready[i].rtnevents);
	}
	for (apr_int32_t i = 0; i < count; i++) {
		struct watch *w =
			g_hash_table_lookup(l->watches,
					    GINT_TO_POINTER(due[i].fd));

		if (w)
			w->fn(w->data, due[i].events);
	}
}

int loop_run_once(struct loop *l, int64_t max_wait_us)
{
	const apr_pollfd_t *ready = NULL;
	apr_int32_t count = 0;
	apr_status_t rv;

	if (l->before_wait)
		l->before_wait(l->before_wait_data, loop_now_us());
	rv = apr_pollset_poll(l->pollset, compute_wait_us(l, max_wait_us),
			      &count, &ready);
	if (rv == APR_SUCCESS)
		run_ready_watches(l, ready, count);
	else if (!APR_STATUS_IS_TIMEUP(rv) && !APR_STATUS_IS_EINTR(rv))
		return -EIO;
	run_timers(l);
	return 0;
}

int loop_run(struct loop *l)
{
	int rc = 0;

	while (!l->stopped && !rc)
		rc = loop_run_once(l, 1000000);
	return rc;
}

void loop_stop(struct loop *l)
{
	l->stopped = true;
}
