#include "cli/client.h"

#include "cli/command.h"
#include "core/error.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum { RESPONSE_MAX_BYTES = 64 * 1024 * 1024 };

struct client {
	struct client_opts opts;
	CURL *curl;
};

/* Exit codes of error numbers; all other errors give EXIT_REFUSED. */
static const struct {
	int32_t error;
	int exit_code;
} exit_codes[] = {
	{ ERR_CONFLICT, EXIT_CONFLICT },
	{ ERR_PLATFORM_UNKNOWN, EXIT_UNKNOWN },
	{ ERR_NOT_IN_FORCE, EXIT_NOT_IN_FORCE },
	{ ERR_INTERNAL, EXIT_FAILED },
};

/*
 * Errors that come from the state of one instance and have no effect: the
 * next server is tried.
 */
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

void client_response_clear(struct client_response *resp)
{
	json_decref(resp->body);
	g_free(resp->text);
	g_free(resp->message);
	memset(resp, 0, sizeof(*resp));
}

static size_t on_data(char *data, size_t size, size_t count, void *out)
{
	GString *s = out;

	if (s->len + size * count > RESPONSE_MAX_BYTES)
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
	/* Ignores http_proxy: instances are reached directly. */
	curl_easy_setopt(c->curl, CURLOPT_PROXY, "");
	curl_easy_setopt(c->curl, CURLOPT_WRITEFUNCTION, on_data);
	if (body)
		curl_easy_setopt(c->curl, CURLOPT_POSTFIELDS, body);
}

/*
 * Returns 0 if the server answered, -1 if nothing was sent, or 1 if the
 * request was sent but the response not received.
 */
static int send_request(struct client *c, const char *server,
			const char *method, const char *path, const char *body,
			struct client_response *out)
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

static int get_exit_code(const struct client_response *resp)
{
	if (resp->http_status >= 200 && resp->http_status < 300)
		return EXIT_OK;
	for (size_t i = 0; i < G_N_ELEMENTS(exit_codes); i++) {
		if (exit_codes[i].error == resp->error)
			return exit_codes[i].exit_code;
	}
	return resp->error ? EXIT_REFUSED : EXIT_FAILED;
}

static char *format_message(const struct client_response *resp,
			    const char *server)
{
	const char *title;
	const char *detail;

	title = json_string_value(json_object_get(resp->body, "title"));
	detail = json_string_value(json_object_get(resp->body, "detail"));
	if (!title)
		return g_strdup_printf("%s: HTTP status %d", server,
				       resp->http_status);
	if (!detail)
		return g_strdup_printf("%s: %s", server, title);
	return g_strdup_printf("%s: %s: %s", server, title, detail);
}

static void parse_response(struct client_response *resp, const char *server)
{
	json_error_t error;

	resp->body = json_loads(resp->text, 0, &error);
	if (resp->http_status >= 400)
		resp->error = (int32_t)json_integer_value(
			json_object_get(resp->body, "error"));
	resp->exit_code = get_exit_code(resp);
	if (resp->exit_code != EXIT_OK)
		resp->message = format_message(resp, server);
}

static bool should_try_next(const struct client_response *resp)
{
	for (size_t i = 0; i < G_N_ELEMENTS(next_server_errors); i++) {
		if (next_server_errors[i] == resp->error)
			return true;
	}
	return false;
}

void client_call(struct client *c, const char *method, const char *path,
		 const json_t *body, struct client_response *out)
{
	bool is_change = strcmp(method, "GET") != 0;
	char *dump = body ? json_dumps(body, JSON_COMPACT) : NULL;

	memset(out, 0, sizeof(*out));
	for (uint32_t i = 0; i < c->opts.server_count; i++) {
		const char *server = c->opts.servers[i];
		int rc;

		client_response_clear(out);
		rc = send_request(c, server, method, path, dump, out);
		out->exit_code = EXIT_UNREACHABLE;
		if (rc > 0 && is_change) {
			out->exit_code = EXIT_UNKNOWN;
			break;
		}
		if (rc)
			continue;
		parse_response(out, server);
		if (!should_try_next(out))
			break;
	}
	free(dump);
}
