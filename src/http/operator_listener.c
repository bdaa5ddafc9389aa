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

struct public_path {
	const char *path;
	void (*respond)(struct operator_listener *l, uint64_t id);
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

static void send_health(struct operator_listener *l, uint64_t id)
{
	bool healthy = l->opts.is_healthy(l->opts.data);
	struct http_response response = {
		.status = healthy ? 200 : 503,
		.content_type = "application/json",
		.text = strdup(healthy ? "{\"status\":\"ok\"}" :
					 "{\"status\":\"unavailable\"}"),
	};

	http_server_send_response(l->server, id, &response);
}

static void send_metrics(struct operator_listener *l, uint64_t id)
{
	struct http_response response = {
		.status = 200,
		.content_type = "text/plain; version=0.0.4",
		.text = l->opts.get_metrics(l->opts.data),
	};

	http_server_send_response(l->server, id, &response);
}

static const struct public_path public_paths[] = {
	{ "/healthz", send_health },
	{ "/metrics", send_metrics },
};

/* Returns what an error number implies about the effect of a change. */
static enum verdict get_verdict(int32_t error)
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

static void send_problem(struct operator_listener *l, uint64_t id,
			 int32_t error, json_t *extra)
{
	struct problem p = { .error = error, .verdict = get_verdict(error) };

	http_server_send_problem(l->server, id, &p, extra, NULL);
}

/*
 * Returns true if the request has the operator key. Erases the Authorization
 * header in any case.
 */
static bool is_authorized(const struct operator_listener *l,
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

static bool handle_public_path(struct operator_listener *l,
			       const struct http_request *r)
{
	for (size_t i = 0; i < G_N_ELEMENTS(public_paths); i++) {
		if (!g_str_equal(http_request_path(r), public_paths[i].path) ||
		    !g_str_equal(http_request_method(r), "GET"))
			continue;
		public_paths[i].respond(l, http_request_id(r));
		return true;
	}
	return false;
}

static void forward_request(struct operator_listener *l,
			    const struct http_request *r,
			    enum operator_method method)
{
	json_t *body = NULL;
	size_t len;
	const char *text = http_request_body(r, &len);

	if (len) {
		body = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
		if (!body) {
			send_problem(l, http_request_id(r), ERR_BAD_JSON, NULL);
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

	if (handle_public_path(l, r))
		return;
	if (!is_authorized(l, r))
		send_problem(l, http_request_id(r), ERR_BAD_OPERATOR, NULL);
	else if (!m || !g_str_has_prefix(http_request_path(r), "/v1/"))
		send_problem(l, http_request_id(r), ERR_NO_ROUTE, NULL);
	else
		forward_request(l, r, m->method);
}

/* A change continues even if the operator that requested it disconnects. */
static void on_disconnect(void *data, uint64_t id)
{
}

void operator_listener_reply(struct operator_listener *l, uint64_t operator_id,
			     int32_t error, json_t *body)
{
	struct http_response response = {
		.status = 200,
		.content_type = "application/json",
	};

	if (error) {
		send_problem(l, operator_id, error, body);
		return;
	}
	response.text =
		body ? json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY) :
		       strdup("{}");
	http_server_send_response(l->server, operator_id, &response);
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
