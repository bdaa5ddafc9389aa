/*
 * operator_listener.h - HTTP for operators, health checks and metrics.
 *
 * GET /healthz and GET /metrics are open to all; the rest asks for the
 * operator key as a bearer token.
 */
#ifndef HTTP_OPERATOR_LISTENER_H
#define HTTP_OPERATOR_LISTENER_H

#include "base/loop.h"
#include "core/sizes.h"

#include <jansson.h>
#include <stdbool.h>

struct operator_listener;

enum operator_method {
	OPERATOR_GET,
	OPERATOR_PUT,
	OPERATOR_DELETE,
	OPERATOR_POST
};

struct operator_listener_opts {
	struct loop *loop;
	const char *address;
	uint8_t key_digest[DIGEST_BYTES]; /* of the operator key */
	uint32_t body_max_bytes;
	/*
	 * One request for a path below /v1/. The callee answers with
	 * operator_listener_reply(), during the call or later; it borrows
	 * `body` (may be NULL) for the call.
	 */
	void (*on_request)(void *data, uint64_t operator_id,
			   enum operator_method method, const char *path,
			   const json_t *body);
	/* Returns the metrics text, owned by the listener afterwards. */
	char *(*metrics)(void *data);
	/* Returns true while the instance takes requests. */
	bool (*healthy)(void *data);
	void *data;
};

int operator_listener_new(struct operator_listener **out,
			  const struct operator_listener_opts *opts,
			  apr_pool_t *parent);
uint16_t operator_listener_port(const struct operator_listener *l);

/*
 * Answers with `body` (owned by the listener) and the HTTP status of
 * `error`, or 200 for ERR_NONE. For errors the body may be NULL or carries
 * "detail" of the problem document.
 */
void operator_listener_reply(struct operator_listener *l, uint64_t operator_id,
			     int32_t error, json_t *body);

#endif
