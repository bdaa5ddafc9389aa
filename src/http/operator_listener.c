#include "http/operator_listener.h"

#include "http/bearer.h"
#include "http/http_server.h"

#include <errno.h>
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_TIMEOUT_US (60 * US_PER_S)

enum { HEADER_MAX_BYTES = 16384, CONNECTIONS_MAX = 256 };

struct operator_listener {
	struct operator_listener_opts opts;
	struct http_server *server;
};

struct open_path {
	const char *path;
	void (*answer)(struct operator_listener *l, uint64_t id);
};

struct method_name {
	const char *name;
	enum operator_method method;
};

static const struct method_name methods[] = {
	{ "GET", OPERATOR_GET },
	{ "PUT", OPERATOR_PUT },
	{ "DELETE", OPERATOR_DELETE },
	{ "POST", OPERATOR_POST },
};

static void answer_health(struct operator_listener *l, uint64_t id)
{
	bool healthy = l->opts.healthy(l->opts.data);
	struct http_answer a = {
		.status = healthy ? 200 : 503,
		.content_type = "application/json",
		.text = strdup(healthy ? "{\"status\":\"ok\"}" :
					 "{\"status\":\"unavailable\"}"),
	};

	http_server_answer(l->server, id, &a);
}

static void answer_metrics(struct operator_listener *l, uint64_t id)
{
	struct http_answer a = {
		.status = 200,
		.content_type = "text/plain; version=0.0.4",
		.text = l->opts.metrics(l->opts.data),
	};

	http_server_answer(l->server, id, &a);
}

static const struct open_path open_paths[] = {
	{ "/healthz", answer_health },
	{ "/metrics", answer_metrics },
};

/* What an operator may conclude about the effect of its change. */
static enum verdict verdict_of(int32_t error)
{
	switch (error) {
	case ERR_NOT_IN_FORCE:
		return VERDICT_RAN;
	case ERR_PLATFORM_UNKNOWN:
	case ERR_INTERNAL:
		return VERDICT_MAY_HAVE_RUN;
	default:
		return VERDICT_NOT_RUN;
	}
}

static void answer_problem(struct operator_listener *l, uint64_t id,
			   int32_t error, json_t *extra)
{
	struct problem p = { .error = error, .verdict = verdict_of(error) };

	http_server_answer_problem(l->server, id, &p, extra, NULL);
}

static bool is_operator(const struct operator_listener *l,
			struct http_request *r)
{
	const char *text = http_request_header(r, "Authorization");
	uint8_t digest[DIGEST_BYTES];
	bool well_formed = text && bearer_parse(text, digest);

	http_request_erase_header(r, "Authorization");
	return well_formed &&
	       !sodium_memcmp(digest, l->opts.key_digest, sizeof(digest));
}

static const struct method_name *find_method(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		if (g_str_equal(methods[i].name, name))
			return &methods[i];
	}
	return NULL;
}

static bool answer_open_path(struct operator_listener *l,
			     const struct http_request *r)
{
	for (size_t i = 0; i < G_N_ELEMENTS(open_paths); i++) {
		if (!g_str_equal(http_request_path(r), open_paths[i].path) ||
		    !g_str_equal(http_request_method(r), "GET"))
			continue;
		open_paths[i].answer(l, http_request_id(r));
		return true;
	}
	return false;
}

static void pass_on(struct operator_listener *l, const struct http_request *r,
		    enum operator_method method)
{
	json_t *body = NULL;
	size_t len;
	const char *text = http_request_body(r, &len);

	if (len) {
		body = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
		if (!body) {
			answer_problem(l, http_request_id(r), ERR_BAD_JSON,
				       NULL);
			return;
		}
	}
	l->opts.on_request(l->opts.data, http_request_id(r), method,
			   http_request_path(r), body);
	json_decref(body);
}

static void on_request(void *data, struct http_request *r)
{
	struct operator_listener *l = data;
	const struct method_name *m = find_method(http_request_method(r));

	if (answer_open_path(l, r))
		return;
	if (!is_operator(l, r))
		answer_problem(l, http_request_id(r), ERR_BAD_OPERATOR, NULL);
	else if (!m || !g_str_has_prefix(http_request_path(r), "/v1/"))
		answer_problem(l, http_request_id(r), ERR_NO_ROUTE, NULL);
	else
		pass_on(l, r, m->method);
}

/* A change that an operator has asked for goes on without it. */
static void on_gone(void *data, uint64_t id)
{
}

void operator_listener_reply(struct operator_listener *l, uint64_t operator_id,
			     int32_t error, json_t *body)
{
	struct http_answer a = {
		.status = 200,
		.content_type = "application/json",
	};

	if (error) {
		answer_problem(l, operator_id, error, body);
		return;
	}
	a.text = body ? json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY) :
			strdup("{}");
	http_server_answer(l->server, operator_id, &a);
	json_decref(body);
}

uint16_t operator_listener_port(const struct operator_listener *l)
{
	return http_server_port(l->server);
}

static apr_status_t listener_cleanup(void *data)
{
	g_free(data);
	return APR_SUCCESS;
}

int operator_listener_new(struct operator_listener **out,
			  const struct operator_listener_opts *opts,
			  apr_pool_t *parent)
{
	struct operator_listener *l;
	apr_pool_t *pool;
	int rc;

	if (sodium_init() < 0 || apr_pool_create(&pool, parent) != APR_SUCCESS)
		return -ENOMEM;
	l = g_new0(struct operator_listener, 1);
	l->opts = *opts;
	apr_pool_cleanup_register(pool, l, listener_cleanup,
				  apr_pool_cleanup_null);
	rc = http_server_new(&l->server,
			     &(struct http_server_opts){
				     .loop = opts->loop,
				     .address = opts->address,
				     .body_max_bytes = opts->body_max_bytes,
				     .header_max_bytes = HEADER_MAX_BYTES,
				     .connections_max = CONNECTIONS_MAX,
				     .idle_timeout_us = IDLE_TIMEOUT_US,
				     .on_request = on_request,
				     .on_gone = on_gone,
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
