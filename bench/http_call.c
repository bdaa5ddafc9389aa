#include "http_call.h"

#include <string.h>

enum {
	TOKEN_BYTES = 4096,
	/* Client timeout beyond the deadline given to the instance. */
	TIMEOUT_SLACK_MS = 3000,
};

#define SESSION_HEADER "zinnialine-session:"

struct http_call {
	void *owner;
	CURL *easy;
	struct curl_slist *headers;
	char *body; /* of the request */
	GString *text; /* body of the answer */
	json_t *doc; /* that body, parsed */
	char session[TOKEN_BYTES];
	struct http_answer_view answer;
};

static size_t on_body(char *data, size_t size, size_t n, void *user)
{
	struct http_call *c = user;

	g_string_append_len(c->text, data, (gssize)(size * n));
	return size * n;
}

static size_t on_header(char *data, size_t size, size_t n, void *user)
{
	struct http_call *c = user;
	size_t len = size * n;
	size_t skip = strlen(SESSION_HEADER);

	if (len > skip && len - skip < TOKEN_BYTES &&
	    !g_ascii_strncasecmp(data, SESSION_HEADER, skip)) {
		memcpy(c->session, data + skip, len - skip);
		c->session[len - skip] = '\0';
		g_strstrip(c->session);
	}
	return len;
}

struct http_call *http_call_new(void *owner)
{
	struct http_call *c = g_new0(struct http_call, 1);

	c->owner = owner;
	c->easy = curl_easy_init();
	c->text = g_string_new(NULL);
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c->easy, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_TCP_NODELAY, 1L);
	return c;
}

static void clear_call(struct http_call *c)
{
	curl_slist_free_all(c->headers);
	c->headers = NULL;
	g_free(c->body);
	c->body = NULL;
	g_string_truncate(c->text, 0);
	json_decref(c->doc);
	c->doc = NULL;
	c->session[0] = '\0';
}

void http_call_free(struct http_call *c)
{
	clear_call(c);
	curl_easy_cleanup(c->easy);
	g_string_free(c->text, TRUE);
	g_free(c);
}

void *http_call_owner(const struct http_call *c)
{
	return c->owner;
}

struct http_call *http_call_from_easy(CURL *easy)
{
	char *c = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &c);
	return (struct http_call *)c;
}

static void add_header(struct http_call *c, const char *name, const char *value)
{
	char *line;

	if (!value)
		return;
	line = g_strdup_printf("%s: %s", name, value);
	c->headers = curl_slist_append(c->headers, line);
	g_free(line);
}

static void set_headers(struct http_call *c, const struct http_call_opts *o)
{
	char *bearer = g_strdup_printf("Bearer %s", o->key);
	char *ms = g_strdup_printf("%" G_GINT64_FORMAT, o->deadline_ms);

	add_header(c, "Authorization", bearer);
	add_header(c, "Content-Type", "application/json");
	add_header(c, "Zinnialine-Profile", o->profile);
	add_header(c, "Zinnialine-Deadline-Ms", ms);
	add_header(c, "Zinnialine-Session", o->session);
	add_header(c, "Idempotency-Key", o->request_id);
	add_header(c, "Zinnialine-Repeatable", o->not_repeatable ? "no" : NULL);
	/* Without this, libcurl waits for a 100 answer before large bodies. */
	c->headers = curl_slist_append(c->headers, "Expect:");
	g_free(bearer);
	g_free(ms);
}

void http_call_start(struct http_call *c, CURLM *multi,
		     const struct http_call_opts *o)
{
	char *url = g_strdup_printf("http://%s%s", o->address, o->path);

	clear_call(c);
	c->body = o->body;
	set_headers(c, o);
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
	curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, c->body);
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS,
			 (long)o->deadline_ms + TIMEOUT_SLACK_MS);
	curl_multi_add_handle(multi, c->easy);
	g_free(url);
}

static const char *get_text(const json_t *o, const char *name)
{
	const char *text = json_string_value(json_object_get(o, name));

	return text ? text : "";
}

static enum verdict parse_verdict(const char *name)
{
	for (int v = VERDICT_NOT_RUN; v <= VERDICT_RAN; v++) {
		if (g_str_equal(name, verdict_name((enum verdict)v)))
			return (enum verdict)v;
	}
	return VERDICT_MAY_HAVE_RUN;
}

static void read_answer(struct http_call *c)
{
	const json_t *rows = json_object_get(c->doc, "rows");
	const json_t *age = json_object_get(c->doc, "age_us");
	const char *value =
		json_string_value(json_array_get(json_array_get(rows, 0), 0));
	struct http_answer_view *a = &c->answer;

	a->verdict = parse_verdict(get_text(c->doc, "verdict"));
	a->error =
		(int32_t)json_integer_value(json_object_get(c->doc, "error"));
	if (json_is_integer(age))
		a->age_us = json_integer_value(age);
	a->endpoint = get_text(c->doc, "endpoint");
	a->transaction = get_text(c->doc, "transaction");
	a->sqlstate = get_text(c->doc, "sqlstate");
	a->answered = true;
	a->first_value = value ? value : "";
}

void http_call_finish(struct http_call *c, CURLM *multi, CURLcode rc)
{
	curl_multi_remove_handle(multi, c->easy);
	c->answer = (struct http_answer_view){
		.verdict = VERDICT_MAY_HAVE_RUN,
		.error = ERR_CONNECTION_LOST,
		.age_us = -1,
		.endpoint = "",
		.transaction = "",
		.session = c->session,
		.sqlstate = "",
		.first_value = "",
	};
	if (rc == CURLE_COULDNT_CONNECT)
		c->answer.verdict = VERDICT_NOT_RUN;
	if (rc == CURLE_OK)
		c->doc = json_loadb(c->text->str, c->text->len, 0, NULL);
	if (c->doc)
		read_answer(c);
}

const struct http_answer_view *http_call_answer(const struct http_call *c)
{
	return &c->answer;
}
