#include "base/http_client.h"

#include "base/curl_loop.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

enum {
	RESPONSE_MAX_BYTES = 64 << 20,
	/* Covers three round trips and one lost SYN. */
	CONNECT_TIMEOUT_MS = 800,
	/*
	 * A connection that was idle for longer is not reused, because it may
	 * have been lost without notice.
	 */
	CONNECTION_IDLE_MAX_S = 10,
	/* Small answers are not held up if there was none for this long. */
	PACE_BURST_US = 20 * 1000,
	US_PER_SECOND = 1000 * 1000,
};

struct call {
	struct http_client *client;
	uint64_t number;
	CURL *curl;
	struct curl_slist *headers;
	char *url;
	char *body;
	GString *response;
	int64_t start_us;
	int64_t paced_until_us; /* 0: nothing has arrived yet */
	bool paused; /* until the pace timer fires */
	http_client_response_fn fn;
	void *data;
};

struct http_client {
	struct http_client_opts opts;
	char *address;
	struct curl_loop *transfers;
	GHashTable *calls; /* number to struct call in progress */
	uint64_t last_call; /* number */
	int64_t next_read_us; /* earliest time of the next part, if paced */
	struct loop_timer *pace_timer; /* resumes paused calls */
	/* Set after a failed call: the next call opens a new connection. */
	bool force_new_connection;
};

static void call_free(struct call *k)
{
	curl_loop_remove(k->client->transfers, k->curl);
	curl_easy_cleanup(k->curl);
	curl_slist_free_all(k->headers);
	g_free(k->url);
	g_free(k->body);
	g_string_free(k->response, TRUE);
	g_free(k);
}

/*
 * Returns false if the part must wait, for which the call is paused: libcurl
 * keeps the part and stops reading, so the sender has to wait as well.
 */
static bool take_pace(struct call *k, size_t len)
{
	struct http_client *c = k->client;
	int64_t now_us = loop_now_us();

	if (!c->opts.paced_bytes_per_s)
		return true;
	if (!k->paced_until_us)
		k->paced_until_us = now_us + c->opts.paced_us;
	if (now_us >= k->paced_until_us)
		return true;
	if (now_us < c->next_read_us) {
		k->paused = true;
		loop_timer_set(c->pace_timer, c->next_read_us);
		return false;
	}
	c->next_read_us =
		MAX(c->next_read_us, now_us - PACE_BURST_US) +
		(int64_t)len * US_PER_SECOND / c->opts.paced_bytes_per_s;
	return true;
}

static void on_pace_timer(void *data, int64_t now_us)
{
	struct http_client *c = data;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->calls);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct call *k = value;

		if (!k->paused)
			continue;
		k->paused = false;
		curl_easy_pause(k->curl, CURLPAUSE_CONT);
	}
	curl_loop_wake(c->transfers);
}

static size_t on_body(char *bytes, size_t size, size_t n, void *data)
{
	struct call *k = data;

	if (k->response->len + size * n > RESPONSE_MAX_BYTES)
		return 0;
	curl_loop_note_arrival(k->client->transfers, k->curl);
	if (!take_pace(k, size * n))
		return CURL_WRITEFUNC_PAUSE;
	g_string_append_len(k->response, bytes, (gssize)(size * n));
	return size * n;
}

static int errno_from_curl(CURLcode rc)
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

static void finish_call(struct call *k, int error)
{
	struct http_client *c = k->client;
	struct http_client_response r = { .error = error,
					  .start_us = k->start_us,
					  .body = k->response->str,
					  .body_len = k->response->len };
	struct curl_header *header;
	long status = 0;

	curl_easy_getinfo(k->curl, CURLINFO_RESPONSE_CODE, &status);
	r.status = (int)status;
	if (c->opts.noted_header &&
	    !curl_easy_header(k->curl, c->opts.noted_header, 0, CURLH_HEADER,
			      -1, &header))
		r.noted_header = header->value;
	c->force_new_connection = error != 0;
	g_hash_table_remove(c->calls, &k->number);
	k->fn(k->data, &r);
	call_free(k);
}

static void on_done(void *data, CURL *easy, CURLcode code)
{
	struct call *k = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&k);
	finish_call(k, errno_from_curl(code));
}

struct http_client *http_client_new(const struct http_client_opts *opts)
{
	struct http_client *c = g_new0(struct http_client, 1);
	const struct curl_loop_opts transfers = { .loop = opts->loop,
						  .on_done = on_done,
						  .data = c };

	c->opts = *opts;
	c->address = g_strdup(opts->address);
	c->opts.address = c->address;
	c->pace_timer = loop_timer_add(opts->loop, on_pace_timer, c);
	c->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->transfers = curl_loop_new(&transfers);
	return c;
}

void http_client_free(struct http_client *c)
{
	GHashTableIter it;
	gpointer k;

	g_hash_table_iter_init(&it, c->calls);
	while (g_hash_table_iter_next(&it, NULL, &k)) {
		g_hash_table_iter_steal(&it);
		call_free(k);
	}
	loop_timer_set(c->pace_timer, -1);
	curl_loop_free(c->transfers);
	g_hash_table_destroy(c->calls);
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
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, (long)CONNECTION_IDLE_MAX_S);
	curl_easy_setopt(e, CURLOPT_FRESH_CONNECT,
			 k->client->force_new_connection ? 1L : 0L);
	if (!k->body)
		return;
	curl_easy_setopt(e, CURLOPT_POSTFIELDS, k->body);
	curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)strlen(k->body));
}

uint64_t http_client_call(struct http_client *c, const struct http_call *call,
			  http_client_response_fn fn, void *data)
{
	const struct curl_silence limits = {
		.first_us = call->first_us ? call->first_us : call->silence_us,
		.next_us = call->silence_us,
	};
	struct call *k = g_new0(struct call, 1);

	k->client = c;
	k->number = ++c->last_call;
	k->curl = curl_easy_init();
	k->url = g_strdup_printf("http://%s%s", c->address, call->path);
	k->body = g_strdup(call->body);
	k->response = g_string_new(NULL);
	k->start_us = loop_now_us();
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
	g_hash_table_insert(c->calls, &k->number, k);
	curl_loop_add(c->transfers, k->curl, &limits);
	return k->number;
}

void http_client_cancel(struct http_client *c, uint64_t call)
{
	struct call *k = g_hash_table_lookup(c->calls, &call);

	if (k)
		finish_call(k, -ECANCELED);
}

bool http_client_is_arriving(const struct http_client *c, uint64_t call)
{
	const struct call *k = g_hash_table_lookup(c->calls, &call);

	return k && k->response->len;
}

char *http_client_encode(const char *text)
{
	return g_uri_escape_string(text, NULL, FALSE);
}
