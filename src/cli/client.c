#include "cli/client.h"

#include "cli/command.h"
#include "core/error.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum { ANSWER_BYTES_MAX = 64 * 1024 * 1024 };

struct client {
	struct client_opts opts;
	CURL *curl;
};

/* The exit code of an error number; all others are EXIT_REFUSED. */
static const struct {
	int32_t error;
	int exit_code;
} exit_codes[] = {
	{ ERR_CONFLICT, EXIT_CONFLICT },
	{ ERR_PLATFORM_UNKNOWN, EXIT_UNKNOWN },
	{ ERR_NOT_IN_FORCE, EXIT_NOT_IN_FORCE },
	{ ERR_INTERNAL, EXIT_FAILED },
};

/* Refusals that another instance may not give. */
static const int32_t next_server_errors[] = {
	ERR_PLATFORM,
	ERR_NO_CONFIG,
	ERR_NOT_YET,
	ERR_SHUTTING_DOWN,
};

struct client *client_new(const struct client_opts *opts)
{
	struct client *c = g_new0(struct client, 1);

	c->opts = *opts;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	c->curl = curl_easy_init();
	return c;
}

void client_free(struct client *c)
{
	curl_easy_cleanup(c->curl);
	curl_global_cleanup();
	g_free(c);
}

void client_answer_clear(struct client_answer *a)
{
	json_decref(a->body);
	g_free(a->text);
	g_free(a->message);
	memset(a, 0, sizeof(*a));
}

static size_t on_data(char *data, size_t size, size_t count, void *out)
{
	GString *s = out;

	if (s->len + size * count > ANSWER_BYTES_MAX)
		return 0;
	g_string_append_len(s, data, (gssize)(size * count));
	return size * count;
}

static struct curl_slist *make_headers(const struct client *c, bool with_body)
{
	struct curl_slist *headers = NULL;
	g_autofree char *bearer = NULL;

	headers = curl_slist_append(headers, "Expect:");
	if (with_body)
		headers = curl_slist_append(headers,
					    "Content-Type: application/json");
	if (!c->opts.operator_key)
		return headers;
	bearer = g_strdup_printf("Authorization: Bearer %s",
				 c->opts.operator_key);
	return curl_slist_append(headers, bearer);
}

static void set_options(struct client *c, const char *method, const char *url,
			const char *body)
{
	curl_easy_reset(c->curl);
	curl_easy_setopt(c->curl, CURLOPT_URL, url);
	curl_easy_setopt(c->curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(c->curl, CURLOPT_TIMEOUT_MS, (long)c->opts.timeout_ms);
	curl_easy_setopt(c->curl, CURLOPT_NOSIGNAL, 1L);
	/* An operator's proxy settings are not for these addresses. */
	curl_easy_setopt(c->curl, CURLOPT_PROXY, "");
	curl_easy_setopt(c->curl, CURLOPT_WRITEFUNCTION, on_data);
	if (body)
		curl_easy_setopt(c->curl, CURLOPT_POSTFIELDS, body);
}

/* Returns 0, -1 if nothing was sent, or 1 if the answer was lost. */
static int perform(struct client *c, const char *server, const char *method,
		   const char *path, const char *body,
		   struct client_answer *out)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", server, path);
	struct curl_slist *headers = make_headers(c, body != NULL);
	GString *text = g_string_new(NULL);
	long status = 0;
	long sent_bytes = 0;
	CURLcode code;

	set_options(c, method, url, body);
	curl_easy_setopt(c->curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(c->curl, CURLOPT_WRITEDATA, text);
	code = curl_easy_perform(c->curl);
	curl_easy_getinfo(c->curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(c->curl, CURLINFO_REQUEST_SIZE, &sent_bytes);
	curl_slist_free_all(headers);
	out->text = g_string_free(text, FALSE);
	if (code == CURLE_OK) {
		out->http_status = (int32_t)status;
		return 0;
	}
	out->message =
		g_strdup_printf("%s: %s", server, curl_easy_strerror(code));
	return sent_bytes > 0 ? 1 : -1;
}

static int exit_code_of(const struct client_answer *a)
{
	if (a->http_status >= 200 && a->http_status < 300)
		return EXIT_OK;
	for (size_t i = 0; i < G_N_ELEMENTS(exit_codes); i++) {
		if (exit_codes[i].error == a->error)
			return exit_codes[i].exit_code;
	}
	return a->error ? EXIT_REFUSED : EXIT_FAILED;
}

static char *message_of(const struct client_answer *a, const char *server)
{
	const char *title;
	const char *detail;

	title = json_string_value(json_object_get(a->body, "title"));
	detail = json_string_value(json_object_get(a->body, "detail"));
	if (!title)
		return g_strdup_printf("%s: HTTP status %d", server,
				       a->http_status);
	if (!detail)
		return g_strdup_printf("%s: %s", server, title);
	return g_strdup_printf("%s: %s: %s", server, title, detail);
}

static void read_answer(struct client_answer *a, const char *server)
{
	json_error_t error;

	a->body = json_loads(a->text, 0, &error);
	if (a->http_status >= 400)
		a->error = (int32_t)json_integer_value(
			json_object_get(a->body, "error"));
	a->exit_code = exit_code_of(a);
	if (a->exit_code != EXIT_OK)
		a->message = message_of(a, server);
}

static bool try_next(const struct client_answer *a)
{
	for (size_t i = 0; i < G_N_ELEMENTS(next_server_errors); i++) {
		if (next_server_errors[i] == a->error)
			return true;
	}
	return false;
}

void client_call(struct client *c, const char *method, const char *path,
		 const json_t *body, struct client_answer *out)
{
	bool is_change = strcmp(method, "GET") != 0;
	char *dump = body ? json_dumps(body, JSON_COMPACT) : NULL;

	memset(out, 0, sizeof(*out));
	for (uint32_t i = 0; i < c->opts.server_count; i++) {
		const char *server = c->opts.servers[i];
		int rc;

		client_answer_clear(out);
		rc = perform(c, server, method, path, dump, out);
		out->exit_code = EXIT_UNREACHABLE;
		if (rc > 0 && is_change) {
			out->exit_code = EXIT_UNKNOWN;
			break;
		}
		if (rc)
			continue;
		read_answer(out, server);
		if (!try_next(out))
			break;
	}
	free(dump);
}
