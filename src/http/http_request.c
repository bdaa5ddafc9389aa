#include "http/http_request.h"

#include "base/loop.h"
#include "core/error.h"

#include <glib.h>
#include <microhttpd.h>
#include <sodium.h>
#include <string.h>
#include <strings.h>

enum {
	/* Of a rejected body; for a longer one the connection is closed. */
	DISCARD_MAX_BYTES = 16 << 20,
	HEADER_SEPARATORS_BYTES = 4, /* ": " and CRLF */
};

struct http_request {
	struct http_request_opts opts;
	int64_t received_us;
	GByteArray *body;
	uint64_t discarded_bytes;
	int32_t error;
};

uint64_t http_request_id(const struct http_request *r)
{
	return r->opts.id;
}

int64_t http_request_received_us(const struct http_request *r)
{
	return r->received_us;
}

const char *http_request_method(const struct http_request *r)
{
	return r->opts.method;
}

const char *http_request_path(const struct http_request *r)
{
	return r->opts.path;
}

const char *http_request_body(const struct http_request *r, size_t *len)
{
	*len = r->body->len;
	return (const char *)r->body->data;
}

const char *http_request_header(const struct http_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->opts.conn, MHD_HEADER_KIND, name);
}

void http_request_erase_header(struct http_request *r, const char *name)
{
	const char *value = http_request_header(r, name);

	/* The value is in the connection's read buffer, which is writable. */
	if (value)
		sodium_memzero((char *)value, strlen(value));
}

struct name_count {
	const char *name;
	uint32_t count;
};

static enum MHD_Result count_matching_name(void *data, enum MHD_ValueKind kind,
					   const char *key, const char *value)
{
	struct name_count *c = data;

	c->count += strcasecmp(key, c->name) == 0;
	return MHD_YES;
}

uint32_t http_request_count_header(const struct http_request *r,
				   const char *name)
{
	struct name_count c = { .name = name };

	MHD_get_connection_values(r->opts.conn, MHD_HEADER_KIND,
				  count_matching_name, &c);
	return c.count;
}

static enum MHD_Result add_size(void *data, enum MHD_ValueKind kind,
				const char *key, size_t key_len,
				const char *value, size_t value_len)
{
	size_t *sum = data;

	*sum += key_len + value_len + HEADER_SEPARATORS_BYTES;
	return MHD_YES;
}

static size_t count_header_bytes(const struct http_request *r)
{
	size_t sum = strlen(r->opts.method) + strlen(r->opts.path);

	MHD_get_connection_values_n(r->opts.conn,
				    MHD_HEADER_KIND | MHD_GET_ARGUMENT_KIND,
				    add_size, &sum);
	return sum;
}

static uint64_t get_content_length(const struct http_request *r)
{
	const char *text = http_request_header(r, "Content-Length");

	return text ? g_ascii_strtoull(text, NULL, 10) : 0;
}

/*
 * A message with an ambiguous length could smuggle another request past a
 * proxy in front of this server.
 */
static bool has_ambiguous_length(const struct http_request *r)
{
	return http_request_count_header(r, "Content-Length") +
		       http_request_count_header(r, "Transfer-Encoding") >
	       1;
}

static int32_t check_header(const struct http_request *r)
{
	if (has_ambiguous_length(r))
		return ERR_BAD_HTTP;
	if (count_header_bytes(r) > r->opts.header_max_bytes)
		return ERR_HEADER_TOO_LARGE;
	if (get_content_length(r) > r->opts.body_max_bytes)
		return ERR_BODY_TOO_LARGE;
	return 0;
}

bool http_request_is_rejected_early(const struct http_request *r)
{
	return r->error == ERR_BAD_HTTP ||
	       (r->error && (http_request_header(r, "Expect") ||
			     get_content_length(r) > DISCARD_MAX_BYTES));
}

struct http_request *http_request_new(const struct http_request_opts *opts)
{
	struct http_request *r = g_new0(struct http_request, 1);

	r->opts = *opts;
	r->received_us = loop_now_us();
	r->body = g_byte_array_new();
	r->error = check_header(r);
	return r;
}

void http_request_free(struct http_request *r)
{
	g_byte_array_unref(r->body);
	g_free(r);
}

int32_t http_request_error(const struct http_request *r)
{
	return r->error;
}

bool http_request_append_body(struct http_request *r, const char *data,
			      size_t len)
{
	if (!r->error && r->body->len + len > r->opts.body_max_bytes) {
		r->error = ERR_BODY_TOO_LARGE;
		g_byte_array_set_size(r->body, 0);
	}
	if (!r->error) {
		g_byte_array_append(r->body, (const guint8 *)data, len);
		return true;
	}
	r->discarded_bytes += len;
	return r->discarded_bytes <= DISCARD_MAX_BYTES;
}
