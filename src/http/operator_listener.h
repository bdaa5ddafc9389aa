/*
 * operator_listener.h - HTTP listener for operators, health checks and
 * metrics.
 *
 * GET /healthz and GET /metrics need no authorization; all other requests need
 * the operator key as a bearer token.
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
	const char *address; /* "ip:port"; with port 0 the system picks one */
	uint8_t key_digest[DIGEST_BYTES]; /* of the operator key */
	uint32_t body_max_bytes;
	/*
	 * Called with each authorized request for a path below /v1/. The
	 * callee replies with operator_listener_reply(), during the call or
	 * later. `body` (may be NULL) is valid only during the call.
	 */
	void (*on_request)(void *data, uint64_t operator_id,
			   enum operator_method method, const char *path,
			   const json_t *body);
	/* Returns the metrics text from malloc(), owned by the listener. */
	char *(*get_metrics)(void *data);
	/* Returns true while the instance accepts requests. */
	bool (*is_healthy)(void *data);
	void *data;
};

/*
 * Starts listening. The listener is freed with its parent pool. Returns 0 or a
 * negative errno.
 */
int operator_listener_new(struct operator_listener **out,
			  const struct operator_listener_opts *opts,
			  apr_pool_t *parent);

/* Returns the port on which it listens. */
uint16_t operator_listener_port(const struct operator_listener *l);

/*
 * Responds with `body` (may be NULL; the listener takes ownership) and the HTTP
 * status of `error`, or 200 for ERR_NONE. For an error, the members of `body`,
 * such as "detail", are added to the problem document.
 */
void operator_listener_reply(struct operator_listener *l, uint64_t operator_id,
			     int32_t error, json_t *body);

#endif
