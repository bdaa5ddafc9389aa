/* caller_listener.h - HTTP listener for callers. */
#ifndef HTTP_CALLER_LISTENER_H
#define HTTP_CALLER_LISTENER_H

#include "base/loop.h"
#include "base/statement.h"
#include "core/action.h"
#include "core/event.h"

#include <jansson.h>

struct caller_listener;

struct caller_listener_opts {
	struct loop *loop;
	const char *address; /* "ip:port"; with port 0 the system picks one */
	uint8_t token_key[DIGEST_BYTES]; /* of session tokens */
	uint32_t body_max_bytes;
	uint32_t header_max_bytes;
	uint32_t statement_max_bytes; /* SQL and parameters together */
	uint32_t connections_max;
	int64_t deadline_default_us; /* from the arrival of a request */
	int64_t deadline_max_us;
	int64_t idle_timeout_us;
	/*
	 * Called with each well-formed request. The callee owns `s` and
	 * replies with caller_listener_reply(), during the call or later.
	 */
	void (*on_request)(void *data, const struct request_opts *r,
			   struct statement *s);
	/* The caller closed its connection before the reply. */
	void (*on_disconnect)(void *data, uint64_t caller_id);
	/*
	 * Finds the workspace of a request: that of its key, or without a
	 * key (`key_digest` is NULL) that of an open profile. Returns 0 and
	 * fills `workspace`, or returns an error number.
	 */
	int32_t (*find_workspace)(void *data, const uint8_t *key_digest,
				  const char *profile,
				  char workspace[NAME_BYTES]);
	void *data;
};

/*
 * Starts listening. The listener is freed with its parent pool. Returns 0 or a
 * negative errno.
 */
int caller_listener_new(struct caller_listener **out,
			const struct caller_listener_opts *opts,
			apr_pool_t *parent);

/* Returns the port on which it listens. */
uint16_t caller_listener_port(const struct caller_listener *l);

/*
 * Sends the reply, if the caller is still waiting for one. Takes ownership of
 * `result`, which may be NULL.
 */
void caller_listener_reply(struct caller_listener *l, const struct reply *r,
			   json_t *result);

/* Refuses new connections; requests on open ones are still processed. */
void caller_listener_stop_accepting(struct caller_listener *l);

/* Returns the number of requests whose response is not sent completely. */
uint32_t caller_listener_count_pending(const struct caller_listener *l);

#endif
