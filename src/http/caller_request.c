#include "http/caller_request.h"

#include "http/bearer.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum { SEGMENTS_MAX = 6, TRANSACTION_ID_DIGITS = 16 };

#define REQUEST_ID_CHARACTERS G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "._:-"

struct route {
	enum request_kind kind;
	/* "*" stands for a group and "#" for a transaction id. */
	const char *segments[SEGMENTS_MAX + 1];
};

static const struct route routes[] = {
	{ REQUEST_READ, { "v1", "groups", "*", "read" } },
	{ REQUEST_WRITE, { "v1", "groups", "*", "write" } },
	{ REQUEST_BEGIN, { "v1", "groups", "*", "transactions" } },
	{ REQUEST_STATEMENT,
	  { "v1", "groups", "*", "transactions", "#", "statements" } },
	{ REQUEST_COMMIT,
	  { "v1", "groups", "*", "transactions", "#", "commit" } },
	{ REQUEST_ROLLBACK,
	  { "v1", "groups", "*", "transactions", "#", "rollback" } },
};

static bool has_statement(enum request_kind kind)
{
	return kind == REQUEST_READ || kind == REQUEST_WRITE ||
	       kind == REQUEST_STATEMENT;
}

static bool copy_name(char out[NAME_BYTES], const char *text)
{
	return *text && g_strlcpy(out, text, NAME_BYTES) < NAME_BYTES;
}

static bool parse_transaction_id(const char *text, uint64_t *id)
{
	size_t len = strlen(text);

	if (!len || len > TRANSACTION_ID_DIGITS ||
	    strspn(text, "0123456789abcdefABCDEF") != len)
		return false;
	*id = strtoull(text, NULL, 16);
	return *id != 0;
}

static bool route_matches(const struct route *route, char **segments)
{
	for (int i = 0; i <= SEGMENTS_MAX; i++) {
		const char *expected = route->segments[i];

		if (!expected || !segments[i])
			return !expected && !segments[i];
		if (*expected != '*' && *expected != '#' &&
		    !g_str_equal(expected, segments[i]))
			return false;
	}
	return false;
}

static int32_t parse_segments(const struct route *route, char **segments,
			      struct request_opts *out)
{
	out->kind = route->kind;
	for (int i = 0; route->segments[i]; i++) {
		if (*route->segments[i] == '*' &&
		    !copy_name(out->group, segments[i]))
			return ERR_UNKNOWN_GROUP;
		if (*route->segments[i] == '#' &&
		    !parse_transaction_id(segments[i], &out->transaction_id))
			return ERR_UNKNOWN_TRANSACTION;
	}
	return 0;
}

static int32_t parse_route(const struct caller_request_input *in,
			   struct request_opts *out)
{
	int32_t error = ERR_NO_ROUTE;
	char **segments;

	if (!g_str_equal(in->method, "POST") || in->path[0] != '/')
		return ERR_NO_ROUTE;
	/*
	 * Splits into one segment more than the longest route has, so that a
	 * longer path matches no route.
	 */
	segments = g_strsplit(in->path + 1, "/", SEGMENTS_MAX + 1);
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (route_matches(&routes[i], segments)) {
			error = parse_segments(&routes[i], segments, out);
			break;
		}
	}
	g_strfreev(segments);
	return error;
}

static int32_t parse_key(const char *text, struct request_opts *out,
			 const char **detail)
{
	if (!text)
		return 0;
	out->has_key = bearer_parse(text, out->key_digest);
	if (out->has_key)
		return 0;
	*detail = "Authorization is not a bearer token";
	return ERR_NO_KEY;
}

static int32_t parse_profile(const char *text, struct request_opts *out,
			     const char **detail)
{
	if (!text || !*text) {
		*detail = "Zinnialine-Profile is missing";
		return ERR_BAD_FIELD;
	}
	return copy_name(out->profile, text) ? 0 : ERR_UNKNOWN_PROFILE;
}

static int32_t parse_request_id(const char *text, struct request_opts *out,
				const char **detail)
{
	size_t len;

	if (!text)
		return 0;
	len = strlen(text);
	if (!len || len >= REQUEST_ID_BYTES ||
	    strspn(text, REQUEST_ID_CHARACTERS) != len) {
		*detail = "Idempotency-Key is not 1 to 64 characters of "
			  "[A-Za-z0-9._:-]";
		return ERR_BAD_FIELD;
	}
	out->has_request_id = true;
	return 0;
}

static int32_t parse_repeatable(const char *text, struct request_opts *out,
				const char **detail)
{
	out->repeatable = !text || g_str_equal(text, "yes");
	if (out->repeatable || g_str_equal(text, "no"))
		return 0;
	*detail = "Zinnialine-Repeatable is neither yes nor no";
	return ERR_BAD_FIELD;
}

static int32_t parse_deadline(const struct caller_request_input *in,
			      struct request_opts *out, const char **detail)
{
	const char *text = in->headers.deadline_ms;
	int64_t after_us = in->deadline_default_us;
	guint64 ms;

	if (text) {
		if (!g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT64, &ms,
						NULL)) {
			*detail = "Zinnialine-Deadline-Ms is not a positive "
				  "number";
			return ERR_BAD_FIELD;
		}
		after_us = (int64_t)MIN(ms, INT64_MAX / US_PER_MS) * US_PER_MS;
	}
	out->deadline_us = in->received_us + MIN(after_us, in->deadline_max_us);
	return 0;
}

static int32_t parse_headers(const struct caller_request_input *in,
			     struct request_opts *out, const char **detail)
{
	const struct caller_headers *h = &in->headers;
	int32_t error = parse_key(h->authorization, out, detail);

	if (!error)
		error = parse_profile(h->profile, out, detail);
	if (!error)
		error = parse_request_id(h->request_id, out, detail);
	if (!error)
		error = parse_repeatable(h->repeatable, out, detail);
	if (!error)
		error = parse_deadline(in, out, detail);
	return error;
}

static int32_t set_field_error(const char **detail, const char *text)
{
	*detail = text;
	return ERR_BAD_FIELD;
}

static int32_t check_field_names(json_t *body, bool statement,
				 const char **detail)
{
	const char *name;
	json_t *value;

	json_object_foreach(body, name, value)
	{
		if (!statement ||
		    (!g_str_equal(name, "sql") && !g_str_equal(name, "params")))
			return set_field_error(detail,
					       "unknown field in the body");
	}
	return 0;
}

static size_t count_statement_bytes(const struct statement *s)
{
	size_t bytes = strlen(s->sql);

	for (uint32_t i = 0; i < s->param_count; i++)
		bytes += s->params[i] ? strlen(s->params[i]) : 0;
	return bytes;
}

static int32_t parse_statement(const struct caller_request_input *in,
			       json_t *body, struct statement **out,
			       const char **detail)
{
	const char *sql = json_string_value(json_object_get(body, "sql"));

	if (!sql || !*sql)
		return set_field_error(detail,
				       "sql is missing or not a string");
	*out = statement_new(sql, json_object_get(body, "params"));
	if (!*out)
		return set_field_error(detail,
				       "params is not a short array of "
				       "strings, numbers, booleans and nulls");
	if (count_statement_bytes(*out) > in->statement_max_bytes)
		return ERR_STATEMENT_TOO_LARGE;
	return 0;
}

static int32_t parse_object(const struct caller_request_input *in, json_t *body,
			    struct caller_request *out, const char **detail)
{
	bool statement = has_statement(out->opts.kind);
	int32_t error;

	if (!json_is_object(body))
		return set_field_error(detail, "the body is not an object");
	error = check_field_names(body, statement, detail);
	if (error)
		return error;
	if (statement)
		return parse_statement(in, body, &out->statement, detail);
	out->statement = statement_new("", NULL);
	return 0;
}

static int32_t parse_body(const struct caller_request_input *in,
			  struct caller_request *out, const char **detail)
{
	json_t *body = NULL;
	int32_t error;

	if (in->body_len)
		body = json_loadb(in->body, in->body_len,
				  JSON_REJECT_DUPLICATES, NULL);
	else if (!has_statement(out->opts.kind))
		body = json_object();
	if (!body)
		return ERR_BAD_JSON;
	error = parse_object(in, body, out, detail);
	json_decref(body);
	return error;
}

int32_t caller_request_parse(const struct caller_request_input *in,
			     struct caller_request *out, const char **detail)
{
	int32_t error;

	*out = (struct caller_request){ 0 };
	*detail = NULL;
	error = parse_route(in, &out->opts);
	if (!error)
		error = parse_headers(in, &out->opts, detail);
	if (!error)
		error = parse_body(in, out, detail);
	if (error) {
		statement_free(out->statement);
		out->statement = NULL;
	} else if (out->opts.has_request_id) {
		g_strlcpy(out->statement->request_id, in->headers.request_id,
			  REQUEST_ID_BYTES);
	}
	return error;
}
