#include "etcd/etcd_call.h"

#include "base/curl_loop.h"
#include "core/sizes.h"
#include "etcd/etcd_json.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

enum {
	ANSWER_BYTES_MAX = 64 << 20,
	HTTP_OK = 200,
	/* Connections that were idle for longer are not reused. */
	CONNECTION_IDLE_MAX_S = 5,
	CONNECT_TIMEOUT_DIVISOR = 3,
	KEEPALIVE_IDLE_S = 5,
	KEEPALIVE_INTERVAL_S = 2,
};

/* A call or stream in progress; owned by its struct etcd. */
struct exchange {
	struct etcd *etcd;
	CURL *curl;
	char *path;
	char *request;
	GString *received; /* bytes of the answer, not parsed yet */
	uint32_t address_index; /* of the address in use */
	uint32_t attempts;
	int64_t min_revision; /* an answer with a lower one is rejected */
	int64_t asked_us; /* when the last attempt was sent */
	/* Of a call, for all attempts: when its answer must have begun. */
	int64_t deadline_us;
	int64_t received_us; /* when bytes last arrived; 0: none yet */
	bool dedicated_connection;
	etcd_answer_fn fn;
	void *data;
	struct etcd_stream *stream; /* NULL for calls */
};

struct etcd_stream {
	struct exchange *exchange;
	struct etcd_stream_opts opts;
	bool closed; /* to be freed at the end of the loop's turn */
};

enum reachability { REACHABLE_UNKNOWN, REACHABLE_NO, REACHABLE_YES };

struct etcd {
	struct etcd_opts opts;
	char **addresses; /* copied from the options */
	struct curl_loop *transfers;
	struct curl_slist *headers;
	GPtrArray *exchanges;
	uint32_t address_index; /* of the address for new calls */
	uint32_t failures; /* consecutive */
	enum reachability reachability;
	int64_t newest_revision; /* highest of all answers */
	/* Until then every call opens a new connection, after a failure. */
	int64_t no_reuse_until_us;
	uint64_t call_count;
};

static void exchange_free(struct exchange *x)
{
	curl_loop_remove(x->etcd->transfers, x->curl);
	curl_easy_cleanup(x->curl);
	g_free(x->path);
	g_free(x->request);
	g_string_free(x->received, TRUE);
	g_free(x->stream);
	g_free(x);
}

static apr_status_t etcd_cleanup(void *data)
{
	struct etcd *e = data;

	for (guint i = 0; i < e->exchanges->len; i++)
		exchange_free(g_ptr_array_index(e->exchanges, i));
	g_ptr_array_free(e->exchanges, TRUE);
	curl_loop_free(e->transfers);
	curl_slist_free_all(e->headers);
	g_strfreev(e->addresses);
	g_free(e);
	return APR_SUCCESS;
}

static void report_reachability(struct etcd *e, enum reachability r)
{
	if (e->reachability == r)
		return;
	e->reachability = r;
	if (e->opts.on_reachable)
		e->opts.on_reachable(e->opts.data, r == REACHABLE_YES);
}

static void mark_call_succeeded(struct etcd *e)
{
	e->failures = 0;
	report_reachability(e, REACHABLE_YES);
}

static void mark_call_failed(struct etcd *e, uint32_t address_index)
{
	if (e->address_index == address_index)
		etcd_next_address(e);
	e->no_reuse_until_us = loop_now_us() + CONNECTION_IDLE_MAX_S * US_PER_S;
	if (++e->failures >= e->opts.address_count)
		report_reachability(e, REACHABLE_NO);
}

void etcd_next_address(struct etcd *e)
{
	e->address_index = (e->address_index + 1) % e->opts.address_count;
}

uint64_t etcd_call_count(const struct etcd *e)
{
	return e->call_count;
}

static size_t on_response_bytes(char *bytes, size_t size, size_t count,
				void *data)
{
	struct exchange *x = data;

	if (x->received->len + size * count > ANSWER_BYTES_MAX)
		return 0;
	g_string_append_len(x->received, bytes, size * count);
	x->received_us = loop_now_us();
	curl_loop_note_arrival(x->etcd->transfers, x->curl);
	return size * count;
}

/* Adds the transfer with the time that is left for the call. */
static void add_transfer(struct exchange *x)
{
	int64_t timeout_us = x->etcd->opts.call_timeout_us;
	int64_t left_us = MAX(x->deadline_us - x->asked_us, US_PER_MS);
	int64_t connect_us = MIN(left_us, timeout_us / CONNECT_TIMEOUT_DIVISOR);
	const struct curl_silence limits = { .first_us = left_us,
					     .next_us = timeout_us };

	curl_easy_setopt(x->curl, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)(MAX(connect_us, US_PER_MS) / US_PER_MS));
	curl_loop_add(x->etcd->transfers, x->curl, x->stream ? NULL : &limits);
}

static void start_transfer(struct exchange *x)
{
	struct etcd *e = x->etcd;
	char *url;

	x->address_index = e->address_index;
	x->attempts++;
	x->asked_us = loop_now_us();
	x->min_revision = e->newest_revision;
	url = g_strdup_printf("http://%s%s", e->addresses[x->address_index],
			      x->path);
	curl_easy_setopt(x->curl, CURLOPT_URL, url);
	g_free(url);
	curl_easy_setopt(x->curl, CURLOPT_FRESH_CONNECT,
			 (long)(x->dedicated_connection ||
				x->asked_us < e->no_reuse_until_us));
	e->call_count++;
	add_transfer(x);
}

static struct exchange *exchange_new(struct etcd *e, const char *path,
				     json_t *request)
{
	struct exchange *x = g_new0(struct exchange, 1);
	char *text = json_dumps(request, JSON_COMPACT);

	json_decref(request);
	x->etcd = e;
	x->path = g_strdup(path);
	x->request = g_strdup(text ? text : "{}");
	free(text);
	x->received = g_string_new(NULL);
	x->deadline_us = loop_now_us() + e->opts.call_timeout_us;
	x->curl = curl_easy_init();
	curl_easy_setopt(x->curl, CURLOPT_PRIVATE, x);
	curl_easy_setopt(x->curl, CURLOPT_HTTPHEADER, e->headers);
	curl_easy_setopt(x->curl, CURLOPT_POSTFIELDS, x->request);
	curl_easy_setopt(x->curl, CURLOPT_WRITEFUNCTION, on_response_bytes);
	curl_easy_setopt(x->curl, CURLOPT_WRITEDATA, x);
	curl_easy_setopt(x->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(x->curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(x->curl, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(x->curl, CURLOPT_MAXAGE_CONN,
			 (long)CONNECTION_IDLE_MAX_S);
	curl_easy_setopt(x->curl, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(x->curl, CURLOPT_TCP_KEEPIDLE, (long)KEEPALIVE_IDLE_S);
	curl_easy_setopt(x->curl, CURLOPT_TCP_KEEPINTVL,
			 (long)KEEPALIVE_INTERVAL_S);
	g_ptr_array_add(e->exchanges, x);
	return x;
}

void etcd_call(struct etcd *e, const char *path, json_t *request,
	       etcd_answer_fn fn, void *data)
{
	struct exchange *x = exchange_new(e, path, request);

	x->fn = fn;
	x->data = data;
	start_transfer(x);
}

/* Opens a new connection and closes it at the end of the exchange. */
static void use_dedicated_connection(struct exchange *x)
{
	x->dedicated_connection = true;
	curl_easy_setopt(x->curl, CURLOPT_FORBID_REUSE, 1L);
}

/*
 * libcurl sends a request again if a pooled connection turns out to be closed
 * before any byte of the answer has arrived. It does not do so on a new
 * connection.
 */
void etcd_call_once(struct etcd *e, const char *path, json_t *request,
		    etcd_answer_fn fn, void *data)
{
	struct exchange *x = exchange_new(e, path, request);

	x->fn = fn;
	x->data = data;
	use_dedicated_connection(x);
	start_transfer(x);
}

struct etcd_stream *etcd_stream_open(struct etcd *e,
				     const struct etcd_stream_opts *opts)
{
	struct exchange *x = exchange_new(e, opts->path, opts->request);
	struct etcd_stream *s = g_new0(struct etcd_stream, 1);

	s->exchange = x;
	s->opts = *opts;
	x->stream = s;
	use_dedicated_connection(x);
	start_transfer(x);
	return s;
}

static void exchange_remove(struct exchange *x)
{
	g_ptr_array_remove_fast(x->etcd->exchanges, x);
	exchange_free(x);
}

int64_t etcd_stream_received_us(const struct etcd_stream *s)
{
	return s->exchange->received_us;
}

void etcd_stream_close(struct etcd_stream *s)
{
	s->closed = true;
	/*
	 * The stream is freed by remove_closed_streams() at the end of the
	 * loop's turn, because its callbacks may be on the stack now.
	 */
	curl_loop_wake(s->exchange->etcd->transfers);
}

/* Returns the object with the header: streams wrap it in "result". */
static const json_t *unwrap_result(const json_t *body)
{
	const json_t *result = json_object_get(body, "result");

	return result ? result : body;
}

static int errno_from_curl(CURLcode code, const struct exchange *x)
{
	curl_off_t sent_us = 0;

	curl_easy_getinfo(x->curl, CURLINFO_PRETRANSFER_TIME_T, &sent_us);
	if (code == CURLE_OK)
		return 0;
	if (code == CURLE_COULDNT_CONNECT ||
	    (code == CURLE_OPERATION_TIMEDOUT && !sent_us))
		return -ECONNREFUSED;
	return code == CURLE_OPERATION_TIMEDOUT ? -ETIMEDOUT : -ECONNRESET;
}

static json_t *parse_answer(struct exchange *x, struct etcd_answer *a)
{
	json_t *body = json_loadb(x->received->str, x->received->len,
				  JSON_REJECT_DUPLICATES, NULL);

	if (a->http_status != HTTP_OK) {
		a->error = -EREMOTEIO;
		return body;
	}
	a->revision = etcd_json_get_revision(unwrap_result(body));
	if (!json_is_object(body) || a->revision <= 0)
		a->error = -EBADMSG;
	else if (a->revision < x->min_revision)
		a->error = -ESTALE;
	else
		a->body = body;
	return body;
}

/*
 * An error below HTTP status 500 is an answer too: the service works but
 * rejected the call, for instance because it does not know the lease.
 */
static bool is_service_answer(const struct etcd_answer *a)
{
	return !a->error || (a->error == -EREMOTEIO && a->http_status < 500);
}

static void finish_call(struct exchange *x, CURLcode code)
{
	struct etcd *e = x->etcd;
	struct etcd_answer a = { .asked_us = x->asked_us };
	json_t *body = NULL;
	long status = 0;

	a.error = errno_from_curl(code, x);
	curl_easy_getinfo(x->curl, CURLINFO_RESPONSE_CODE, &status);
	a.http_status = (int)status;
	if (!a.error)
		body = parse_answer(x, &a);
	if (is_service_answer(&a))
		mark_call_succeeded(e);
	else
		mark_call_failed(e, x->address_index);
	e->newest_revision = MAX(e->newest_revision, a.revision);
	if (a.error == -ECONNREFUSED && x->attempts < e->opts.address_count &&
	    loop_now_us() < x->deadline_us) {
		curl_loop_remove(e->transfers, x->curl);
		g_string_truncate(x->received, 0);
		start_transfer(x);
		return;
	}
	x->fn(x->data, &a);
	json_decref(body);
	exchange_remove(x);
}

/* Reports the end of a stream, unless its owner has closed it. */
static void end_stream(struct exchange *x)
{
	struct etcd_stream *s = x->stream;

	if (s->closed)
		return;
	mark_call_failed(x->etcd, x->address_index);
	etcd_stream_close(s);
	s->opts.on_end(s->opts.data);
}

static void finish_stream(struct exchange *x)
{
	end_stream(x);
	exchange_remove(x);
}

/*
 * Delivers the complete lines that a stream has received. One that can't be
 * read, or tells an error, may stand for a change: the stream ends, and the
 * next one begins after the last change that was delivered.
 */
static void read_stream_lines(struct exchange *x)
{
	struct etcd_stream *s = x->stream;
	char *end;

	while (!s->closed &&
	       (end = memchr(x->received->str, '\n', x->received->len))) {
		size_t n = end - x->received->str;
		json_t *line = json_loadb(x->received->str, n, 0, NULL);
		const json_t *result = json_object_get(line, "result");

		g_string_erase(x->received, 0, n + 1);
		if (result)
			s->opts.on_result(s->opts.data, result);
		else if (n)
			end_stream(x);
		json_decref(line);
	}
}

static void read_streams(void *data)
{
	struct etcd *e = data;

	for (guint i = 0; i < e->exchanges->len; i++) {
		struct exchange *x = g_ptr_array_index(e->exchanges, i);

		if (x->stream && !x->stream->closed)
			read_stream_lines(x);
	}
}

static void remove_closed_streams(void *data)
{
	struct etcd *e = data;

	for (guint i = e->exchanges->len; i-- > 0;) {
		struct exchange *x = g_ptr_array_index(e->exchanges, i);

		if (x->stream && x->stream->closed)
			exchange_remove(x);
	}
}

static void on_done(void *data, CURL *easy, CURLcode code)
{
	struct exchange *x = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&x);
	if (x->stream)
		finish_stream(x);
	else
		finish_call(x, code);
}

int etcd_new(struct etcd **out, const struct etcd_opts *opts,
	     apr_pool_t *parent)
{
	struct curl_loop_opts transfers = {
		.on_done = on_done,
		.on_progress = read_streams,
		.on_turn_end = remove_closed_streams,
	};
	struct etcd *e;

	if (!opts->address_count)
		return -EINVAL;
	e = g_new0(struct etcd, 1);
	e->opts = *opts;
	e->addresses = g_new0(char *, opts->address_count + 1);
	for (uint32_t i = 0; i < opts->address_count; i++)
		e->addresses[i] = g_strdup(opts->addresses[i]);
	e->exchanges = g_ptr_array_new();
	e->headers = curl_slist_append(NULL, "Content-Type: application/json");
	e->headers = curl_slist_append(e->headers, "Expect:");
	transfers.loop = opts->loop;
	transfers.data = e;
	e->transfers = curl_loop_new(&transfers);
	apr_pool_cleanup_register(parent, e, etcd_cleanup,
				  apr_pool_cleanup_null);
	*out = e;
	return 0;
}
