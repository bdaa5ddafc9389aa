#include "base/http_client.h"

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <string.h>

enum {
	ANSWER_BYTES_MAX = 64 << 20,
	CONNECT_TIMEOUT_MS = 800, /* three round trips and one lost SYN */
	/* An idle connection may have gone silent; a young one rarely has. */
	CONNECTION_IDLE_MAX_S = 10,
	US_PER_MILLI = 1000,
};

struct call {
	struct http_client *client;
	CURL *curl;
	struct curl_slist *headers;
	char *url;
	char *body;
	GString *in;
	int64_t asked_us;
	http_answer_fn fn;
	void *data;
};

struct http_client {
	struct loop *loop;
	char *address;
	CURLM *multi;
	struct loop_timer *timer;
	GHashTable *calls;
	GHashTable *sockets; /* descriptors that are watched */
	bool fresh_only; /* the last call failed: trust no old connection */
};

static void call_free(struct call *k)
{
	curl_multi_remove_handle(k->client->multi, k->curl);
	curl_easy_cleanup(k->curl);
	curl_slist_free_all(k->headers);
	g_free(k->url);
	g_free(k->body);
	g_string_free(k->in, TRUE);
	g_free(k);
}

static size_t on_body(char *bytes, size_t size, size_t n, void *data)
{
	struct call *k = data;

	if (k->in->len + size * n > ANSWER_BYTES_MAX)
		return 0;
	g_string_append_len(k->in, bytes, (gssize)(size * n));
	return size * n;
}

static int error_of(CURLcode rc)
{
	switch (rc) {
	case CURLE_OK:
		return 0;
	case CURLE_COULDNT_CONNECT:
		return -ECONNREFUSED;
	default:
		return -ETIMEDOUT;
	}
}

static void finish(struct call *k, CURLcode rc)
{
	struct http_client *c = k->client;
	struct http_answer_in a = { .error = error_of(rc),
				    .asked_us = k->asked_us,
				    .body = k->in->str,
				    .body_len = k->in->len };
	long status = 0;

	curl_easy_getinfo(k->curl, CURLINFO_RESPONSE_CODE, &status);
	a.status = (int)status;
	c->fresh_only = rc != CURLE_OK;
	g_hash_table_remove(c->calls, k);
	k->fn(k->data, &a);
	call_free(k);
}

static void reap(struct http_client *c)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(c->multi, &left))) {
		struct call *k = NULL;
		CURLcode rc = m->data.result;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &k);
		finish(k, rc);
	}
}

struct socket_watch {
	struct http_client *client;
	curl_socket_t fd;
};

static void on_socket_ready(void *data, int events)
{
	struct socket_watch w = *(struct socket_watch *)data;
	int running;
	int mask = ((events & LOOP_READ) ? CURL_CSELECT_IN : 0) |
		   ((events & LOOP_WRITE) ? CURL_CSELECT_OUT : 0) |
		   ((events & LOOP_ERROR) ? CURL_CSELECT_ERR : 0);

	curl_multi_socket_action(w.client->multi, w.fd, mask, &running);
	reap(w.client);
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *data,
		     void *socket_data)
{
	struct http_client *c = data;
	struct socket_watch *w;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		loop_unwatch(c->loop, fd);
		g_hash_table_remove(c->sockets, GINT_TO_POINTER(fd));
		return 0;
	}
	w = g_hash_table_lookup(c->sockets, GINT_TO_POINTER(fd));
	if (!w) {
		w = g_new(struct socket_watch, 1);
		w->client = c;
		w->fd = fd;
		g_hash_table_insert(c->sockets, GINT_TO_POINTER(fd), w);
	}
	if (what & CURL_POLL_IN)
		events |= LOOP_READ;
	if (what & CURL_POLL_OUT)
		events |= LOOP_WRITE;
	loop_watch(c->loop, fd, events, on_socket_ready, w);
	return 0;
}

static int on_curl_timer(CURLM *multi, long timeout_ms, void *data)
{
	struct http_client *c = data;

	loop_timer_set(c->timer,
		       timeout_ms < 0 ?
			       -1 :
			       loop_now_us() + timeout_ms * US_PER_MILLI);
	return 0;
}

static void on_timer(void *data, int64_t now_us)
{
	struct http_client *c = data;
	int running;

	curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	reap(c);
}

struct http_client *http_client_new(struct loop *loop, const char *address)
{
	struct http_client *c = g_new0(struct http_client, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	c->loop = loop;
	c->address = g_strdup(address);
	c->calls = g_hash_table_new(NULL, NULL);
	c->sockets = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	c->timer = loop_timer_add(loop, on_timer, c);
	c->multi = curl_multi_init();
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
	return c;
}

void http_client_free(struct http_client *c)
{
	GHashTableIter it;
	gpointer k;

	g_hash_table_iter_init(&it, c->calls);
	while (g_hash_table_iter_next(&it, &k, NULL)) {
		g_hash_table_iter_steal(&it);
		call_free(k);
	}
	loop_timer_set(c->timer, -1);
	curl_multi_cleanup(c->multi);
	g_hash_table_destroy(c->calls);
	g_hash_table_destroy(c->sockets);
	g_free(c->address);
	g_free(c);
}

static void set_options(struct call *k, const struct http_call *call)
{
	CURL *e = k->curl;

	curl_easy_setopt(e, CURLOPT_PRIVATE, k);
	curl_easy_setopt(e, CURLOPT_URL, k->url);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, k->headers);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, k);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS,
			 (long)(call->timeout_us / US_PER_MILLI));
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, (long)CONNECTION_IDLE_MAX_S);
	curl_easy_setopt(e, CURLOPT_FRESH_CONNECT,
			 k->client->fresh_only ? 1L : 0L);
	if (!k->body)
		return;
	curl_easy_setopt(e, CURLOPT_POSTFIELDS, k->body);
	curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)strlen(k->body));
}

void http_client_call(struct http_client *c, const struct http_call *call,
		      http_answer_fn fn, void *data)
{
	struct call *k = g_new0(struct call, 1);

	k->client = c;
	k->curl = curl_easy_init();
	k->url = g_strdup_printf("http://%s%s", c->address, call->path);
	k->body = g_strdup(call->body);
	k->in = g_string_new(NULL);
	k->asked_us = loop_now_us();
	k->fn = fn;
	k->data = data;
	k->headers = curl_slist_append(NULL, "Expect:");
	if (call->body)
		k->headers =
			curl_slist_append(k->headers,
					  "Content-Type: application/json");
	for (int i = 0; i < HTTP_CALL_HEADERS_MAX; i++) {
		if (call->headers[i])
			k->headers =
				curl_slist_append(k->headers, call->headers[i]);
	}
	set_options(k, call);
	g_hash_table_add(c->calls, k);
	curl_multi_add_handle(c->multi, k->curl);
}

char *http_client_encode(const char *text)
{
	return g_uri_escape_string(text, NULL, FALSE);
}
