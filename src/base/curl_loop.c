#include "base/curl_loop.h"

#include <glib.h>
#include <stdbool.h>

enum {
	US_PER_MILLI = 1000,
	/* Ends an answer that trickles in but never ends. */
	TRANSFER_MAX_US = 60 * 1000 * 1000,
};

/* When a transfer ends unless something arrives. */
struct deadline {
	CURL *easy;
	int64_t start_us;
	int64_t next_us; /* as in struct curl_silence */
	int64_t due_us;
	bool overdue; /* when the timer fired last */
};

struct curl_loop {
	struct curl_loop_opts opts;
	CURLM *multi;
	struct loop_timer *timer;
	GHashTable *deadlines; /* transfer to owned struct deadline */
	struct loop_timer *deadline_timer; /* for the earliest one */
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

/*
 * Returns a transfer that is overdue for the second time in a row. In between
 * the sockets were read: if the process was busy, the answer may have waited
 * there.
 */
static CURL *find_silent_transfer(const struct curl_loop *c, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->deadlines);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct deadline *d = value;

		if (d->overdue && now_us >= d->due_us)
			return d->easy;
	}
	return NULL;
}

static void mark_overdue_transfers(struct curl_loop *c, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->deadlines);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct deadline *d = value;

		d->overdue = now_us >= d->due_us;
	}
}

/*
 * Sets the timer for the earliest deadline. A part that arrives moves its
 * deadline on without setting the timer, which then fires early.
 */
static void schedule_deadline_timer(struct curl_loop *c)
{
	int64_t due_us = -1;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->deadlines);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct deadline *d = value;

		if (due_us < 0 || d->due_us < due_us)
			due_us = d->due_us;
	}
	loop_timer_set(c->deadline_timer, due_us);
}

static void on_deadline_timer(void *data, int64_t now_us)
{
	struct curl_loop *c = data;
	CURL *easy;

	while ((easy = find_silent_transfer(c, now_us))) {
		g_hash_table_remove(c->deadlines, easy);
		c->opts.on_done(c->opts.data, easy, CURLE_OPERATION_TIMEDOUT);
	}
	if (c->opts.on_turn_end)
		c->opts.on_turn_end(c->opts.data);
	mark_overdue_transfers(c, now_us);
	schedule_deadline_timer(c);
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
	c->deadlines = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	c->deadline_timer = loop_timer_add(opts->loop, on_deadline_timer, c);
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
	loop_timer_set(c->deadline_timer, -1);
	g_hash_table_destroy(c->deadlines);
	curl_multi_cleanup(c->multi);
	for (guint i = 0; i < c->sockets->len; i++) {
		struct socket_watch *w = g_ptr_array_index(c->sockets, i);

		loop_unwatch(c->opts.loop, w->fd);
		g_free(w);
	}
	g_ptr_array_free(c->sockets, TRUE);
	g_free(c);
}

void curl_loop_add(struct curl_loop *c, CURL *easy,
		   const struct curl_silence *limits)
{
	int64_t now_us = loop_now_us();
	struct deadline *d;

	curl_multi_add_handle(c->multi, easy);
	if (!limits)
		return;
	d = g_new0(struct deadline, 1);
	d->easy = easy;
	d->start_us = now_us;
	d->next_us = limits->next_us;
	d->due_us = now_us + limits->first_us;
	g_hash_table_replace(c->deadlines, easy, d);
	schedule_deadline_timer(c);
}

void curl_loop_remove(struct curl_loop *c, CURL *easy)
{
	g_hash_table_remove(c->deadlines, easy);
	curl_multi_remove_handle(c->multi, easy);
}

void curl_loop_note_arrival(struct curl_loop *c, CURL *easy)
{
	struct deadline *d = g_hash_table_lookup(c->deadlines, easy);

	if (!d)
		return;
	d->due_us =
		MIN(loop_now_us() + d->next_us, d->start_us + TRANSFER_MAX_US);
	d->overdue = false;
}

void curl_loop_wake(struct curl_loop *c)
{
	loop_timer_set(c->timer, 0);
}
