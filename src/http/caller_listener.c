#include "http/caller_listener.h"

#include "core/session_token.h"
#include "http/caller_request.h"
#include "http/http_server.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <stddef.h>
#include <stdio.h>

enum { TRANSACTION_TEXT_BYTES = 17 };

struct caller_listener {
	struct caller_listener_opts opts;
	struct http_server *server;
	GHashTable *callers; /* caller id to struct caller, owned */
};

/* A caller that waits for its reply. */
struct caller {
	uint64_t id;
	enum request_kind kind;
	char workspace[NAME_BYTES];
	struct session_token session;
};

/* Maps a header to a field of struct caller_headers. */
struct header_mapping {
	const char *name;
	size_t offset; /* in struct caller_headers */
};

static const struct header_mapping header_mappings[] = {
	{ "Authorization", offsetof(struct caller_headers, authorization) },
	{ "Zinnialine-Profile", offsetof(struct caller_headers, profile) },
	{ "Idempotency-Key", offsetof(struct caller_headers, request_id) },
	{ "Zinnialine-Repeatable",
	  offsetof(struct caller_headers, repeatable) },
	{ "Zinnialine-Deadline-Ms",
	  offsetof(struct caller_headers, deadline_ms) },
	{ "Zinnialine-Session", offsetof(struct caller_headers, session) },
};

static int32_t read_headers(const struct http_request *r,
			    struct caller_headers *out, const char **detail)
{
	*out = (struct caller_headers){ 0 };
	for (size_t i = 0; i < G_N_ELEMENTS(header_mappings); i++) {
		const struct header_mapping *f = &header_mappings[i];
		const char **field = (const char **)((char *)out + f->offset);

		if (http_request_count_header(r, f->name) > 1) {
			*detail = "a header is given twice";
			return ERR_BAD_FIELD;
		}
		*field = http_request_header(r, f->name);
	}
	return 0;
}

static int32_t read_request(const struct caller_listener *l,
			    const struct http_request *r,
			    struct caller_request_input *in,
			    struct caller_request *out, const char **detail)
{
	int32_t error = read_headers(r, &in->headers, detail);

	if (error)
		return error;
	in->method = http_request_method(r);
	in->path = http_request_path(r);
	in->body = http_request_body(r, &in->body_len);
	in->received_us = http_request_received_us(r);
	in->statement_max_bytes = l->opts.statement_max_bytes;
	in->deadline_default_us = l->opts.deadline_default_us;
	in->deadline_max_us = l->opts.deadline_max_us;
	return caller_request_parse(in, out, detail);
}

/*
 * Finds the workspace of a request and decodes its session token, if it has
 * one. Returns 0 or an error number.
 */
static int32_t resolve_session(const struct caller_listener *l,
			       const char *token, struct request_opts *r,
			       struct caller *c, const char **detail)
{
	const uint8_t *digest = r->has_key ? r->key_digest : NULL;
	int32_t error = l->opts.find_workspace(l->opts.data, digest, r->profile,
					       c->workspace);

	if (error || !token)
		return error;
	error = session_token_decode(token, c->workspace, l->opts.token_key,
				     &c->session);
	if (error)
		return error;
	if (!session_token_has_room(&c->session, r->group)) {
		*detail = "the session covers too many database groups";
		return ERR_BAD_FIELD;
	}
	r->session = session_token_get(&c->session, r->group);
	return 0;
}

static void reject_request(struct caller_listener *l, uint64_t id,
			   int32_t error, const char *detail)
{
	struct problem p = {
		.error = error,
		.verdict = VERDICT_NOT_RUN,
		.detail = detail,
	};

	http_server_send_problem(l->server, id, &p, NULL, NULL);
}

static void forward_request(struct caller_listener *l, struct caller *c,
			    struct caller_request *r)
{
	g_strlcpy(r->statement->workspace, c->workspace, NAME_BYTES);
	r->opts.caller_id = c->id;
	g_hash_table_insert(l->callers, &c->id, c);
	l->opts.on_request(l->opts.data, &r->opts, r->statement);
}

static void on_request(void *data, struct http_request *http)
{
	struct caller_listener *l = data;
	struct caller *c = g_new0(struct caller, 1);
	struct caller_request r = { 0 };
	struct caller_request_input in = { 0 };
	const char *detail = NULL;
	int32_t error = read_request(l, http, &in, &r, &detail);

	http_request_erase_header(http, "Authorization");
	c->id = http_request_id(http);
	c->kind = r.opts.kind;
	if (!error)
		error = resolve_session(l, in.headers.session, &r.opts, c,
					&detail);
	if (!error) {
		forward_request(l, c, &r);
		return;
	}
	reject_request(l, c->id, error, detail);
	statement_free(r.statement);
	g_free(c);
}

static void on_disconnect(void *data, uint64_t id)
{
	struct caller_listener *l = data;

	if (g_hash_table_remove(l->callers, &id))
		l->opts.on_disconnect(l->opts.data, id);
}

/*
 * Returns the value of the session header in `out`, or NULL if the session has
 * no position in any database group.
 */
static const char *encode_session(const struct caller_listener *l,
				  struct caller *c, const struct reply *r,
				  char out[TOKEN_TEXT_BYTES])
{
	if (r->session.term || r->session.offset)
		session_token_merge(&c->session, r->group, r->session);
	if (!c->session.group_count)
		return NULL;
	session_token_encode(&c->session, c->workspace, l->opts.token_key, out);
	return out;
}

static void set_transaction(json_t *body, uint64_t id)
{
	char text[TRANSACTION_TEXT_BYTES];

	if (!id)
		return;
	snprintf(text, sizeof(text), "%016" PRIx64, id);
	json_object_set_new(body, "transaction", json_string(text));
}

static void send_error(struct caller_listener *l, const struct reply *r,
		       const struct http_response_header *session,
		       json_t *result)
{
	struct problem p = {
		.error = r->error,
		.verdict = r->verdict,
		.detail = json_string_value(json_object_get(result, "message")),
		.retry_after_us = r->retry_after_us,
	};
	json_t *extra = json_object();

	set_transaction(extra, r->transaction_id);
	if (r->endpoint[0])
		json_object_set_new(extra, "endpoint",
				    json_string(r->endpoint));
	if (json_is_object(result))
		json_object_update_missing(extra, result);
	http_server_send_problem(l->server, r->caller_id, &p, extra, session);
}

static void send_result(struct caller_listener *l, const struct reply *r,
			enum request_kind kind,
			const struct http_response_header *session,
			json_t *result)
{
	struct http_response response = {
		.status = 200,
		.content_type = "application/json",
		.headers = { { "Zinnialine-Verdict", verdict_name(r->verdict) },
			     *session },
	};
	json_t *body = json_object();

	json_object_set_new(body, "verdict",
			    json_string(verdict_name(r->verdict)));
	set_transaction(body, r->transaction_id);
	if (r->endpoint[0])
		json_object_set_new(body, "endpoint", json_string(r->endpoint));
	if (kind == REQUEST_READ && r->age_us >= 0)
		json_object_set_new(body, "age_us", json_integer(r->age_us));
	if (json_is_object(result))
		json_object_update_missing(body, result);
	response.text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (response.text) {
		http_server_send_response(l->server, r->caller_id, &response);
	} else {
		struct reply failed = *r;

		failed.error = ERR_INTERNAL;
		send_error(l, &failed, session, NULL);
	}
}

void caller_listener_reply(struct caller_listener *l, const struct reply *r,
			   json_t *result)
{
	struct http_response_header session = { .name = "Zinnialine-Session" };
	char text[TOKEN_TEXT_BYTES];
	struct caller *c = g_hash_table_lookup(l->callers, &r->caller_id);

	if (c) {
		g_hash_table_steal(l->callers, &r->caller_id);
		session.value = encode_session(l, c, r, text);
		if (r->error)
			send_error(l, r, &session, result);
		else
			send_result(l, r, c->kind, &session, result);
		g_free(c);
	}
	json_decref(result);
}

uint16_t caller_listener_port(const struct caller_listener *l)
{
	return http_server_port(l->server);
}

void caller_listener_stop_accepting(struct caller_listener *l)
{
	http_server_stop_accepting(l->server);
}

uint32_t caller_listener_count_pending(const struct caller_listener *l)
{
	return http_server_count_pending(l->server);
}

static apr_status_t listener_cleanup(void *data)
{
	struct caller_listener *l = data;

	g_hash_table_destroy(l->callers);
	g_free(l);
	return APR_SUCCESS;
}

int caller_listener_new(struct caller_listener **out,
			const struct caller_listener_opts *opts,
			apr_pool_t *parent)
{
	struct caller_listener *l;
	apr_pool_t *pool;
	int rc;

	if (sodium_init() < 0 || apr_pool_create(&pool, parent) != APR_SUCCESS)
		return -ENOMEM;
	l = g_new0(struct caller_listener, 1);
	l->opts = *opts;
	l->callers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	apr_pool_cleanup_register(pool, l, listener_cleanup,
				  apr_pool_cleanup_null);
	rc = http_server_new(&l->server,
			     &(struct http_server_opts){
				     .loop = opts->loop,
				     .address = opts->address,
				     .body_max_bytes = opts->body_max_bytes,
				     .header_max_bytes = opts->header_max_bytes,
				     .connections_max = opts->connections_max,
				     .idle_timeout_us = opts->idle_timeout_us,
				     .on_request = on_request,
				     .on_disconnect = on_disconnect,
				     .data = l,
			     },
			     pool);
	if (rc) {
		apr_pool_destroy(pool);
		return rc;
	}
	*out = l;
	return 0;
}
