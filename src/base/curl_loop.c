#include "base/curl_loop.h"

#include <glib.h>

enum { US_PER_MILLI = 1000 };

struct curl_loop {
	struct curl_loop_opts opts;
	CURLM *multi;
	struct loop_timer *timer;
	GPtrArray *sockets; /* owned struct socket_watch */
};

struct socket_watch {
	struct curl_loop *owner;
	curl_socket_t fd;
};

static void schedule_timer(struct curl_loop *c, long timeout_ms)
{
	if (timeout_ms < 0)
		loop_timer_set(c->timer, -1);
	else
		loop_timer_set(c->timer,
			       loop_now_us() + timeout_ms * US_PER_MILLI);
}

static void report_finished(struct curl_loop *c)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(c->multi, &left))) {
		/* on_done() removes the transfer, which frees the message. */
		CURLcode code = m->data.result;

		if (m->msg == CURLMSG_DONE)
			c->opts.on_done(c->opts.data, m->easy_handle, code);
	}
}

/*
 * Runs the transfers that are ready, then calls the owner's callbacks. These
 * are called here because libcurl does not allow new transfers to be added
 * from within its own callbacks. The timeout is queried again at the end,
 * because libcurl does not announce a timeout that it announced before.
 */
static void run_transfers(struct curl_loop *c, curl_socket_t fd,
			  int curl_events)
{
	long timeout_ms = -1;
	int running;

	curl_multi_socket_action(c->multi, fd, curl_events, &running);
	if (c->opts.on_progress)
		c->opts.on_progress(c->opts.data);
	report_finished(c);
	if (c->opts.on_turn_end)
		c->opts.on_turn_end(c->opts.data);
	curl_multi_timeout(c->multi, &timeout_ms);
	schedule_timer(c, timeout_ms);
}

static void on_timer(void *data, int64_t now_us)
{
	run_transfers(data, CURL_SOCKET_TIMEOUT, 0);
}

static void on_socket(void *data, int events)
{
	struct socket_watch *w = data;
	int ready = 0;

	if (events & LOOP_READ)
		ready |= CURL_CSELECT_IN;
	if (events & LOOP_WRITE)
		ready |= CURL_CSELECT_OUT;
	if (events & LOOP_ERROR)
		ready |= CURL_CSELECT_ERR;
	run_transfers(w->owner, w->fd, ready);
}

static int on_curl_timer(CURLM *multi, long timeout_ms, void *data)
{
	schedule_timer(data, timeout_ms);
	return 0;
}

static int on_curl_socket(CURL *curl, curl_socket_t fd, int what, void *data,
			  void *socket_data)
{
	struct curl_loop *c = data;
	struct socket_watch *w = socket_data;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		loop_unwatch(c->opts.loop, fd);
		curl_multi_assign(c->multi, fd, NULL);
		if (w)
			g_ptr_array_remove_fast(c->sockets, w);
		g_free(w);
		return 0;
	}
	if (!w) {
		w = g_new0(struct socket_watch, 1);
		w->owner = c;
		w->fd = fd;
		g_ptr_array_add(c->sockets, w);
		curl_multi_assign(c->multi, fd, w);
	}
	if (what & CURL_POLL_IN)
		events |= LOOP_READ;
	if (what & CURL_POLL_OUT)
		events |= LOOP_WRITE;
	loop_watch(c->opts.loop, fd, events, on_socket, w);
	return 0;
}

struct curl_loop *curl_loop_new(const struct curl_loop_opts *opts)
{
	struct curl_loop *c;

	if (curl_global_init(CURL_GLOBAL_DEFAULT))
		return NULL;
	c = g_new0(struct curl_loop, 1);
	c->opts = *opts;
	c->sockets = g_ptr_array_new();
	c->timer = loop_timer_add(opts->loop, on_timer, c);
	c->multi = curl_multi_init();
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
	return c;
}

void curl_loop_free(struct curl_loop *c)
{
	loop_timer_set(c->timer, -1);
	curl_multi_cleanup(c->multi);
	for (guint i = 0; i < c->sockets->len; i++) {
		struct socket_watch *w = g_ptr_array_index(c->sockets, i);

		loop_unwatch(c->opts.loop, w->fd);
		g_free(w);
	}
	g_ptr_array_free(c->sockets, TRUE);
	g_free(c);
}

void curl_loop_add(struct curl_loop *c, CURL *easy)
{
	curl_multi_add_handle(c->multi, easy);
}

void curl_loop_remove(struct curl_loop *c, CURL *easy)
{
	curl_multi_remove_handle(c->multi, easy);
}

void curl_loop_wake(struct curl_loop *c)
{
	loop_timer_set(c->timer, 0);
}
