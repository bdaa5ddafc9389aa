/* caller_listener.h - HTTP for callers. */
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
	const char *address; /* "ip:port"; port 0 takes a free one */
	uint8_t token_key[DIGEST_BYTES];
	uint32_t body_max_bytes;
	uint32_t header_max_bytes;
	uint32_t statement_max_bytes;
	uint32_t connections_max;
	int64_t deadline_default_us;
	int64_t deadline_max_us;
	int64_t idle_timeout_us;
	/*
	 * A well-formed request. The callee owns `s`. It answers with
	 * caller_listener_reply(), during the call or later.
	 */
	void (*on_request)(void *data, const struct request_opts *r,
			   struct statement *s);
	/* The caller closed its connection before the answer. */
	void (*on_gone)(void *data, uint64_t caller_id);
	/*
	 * Workspace that the request is for: of its key, or of an open
	 * profile. Returns 0 and fills `workspace`, or an error number.
	 */
	int32_t (*find_workspace)(void *data, const uint8_t *key_digest,
				  const char *profile,
				  char workspace[NAME_BYTES]);
	void *data;
};

/* Freed with its parent pool. Returns 0 or a negative errno. */
int caller_listener_new(struct caller_listener **out,
			const struct caller_listener_opts *opts,
			apr_pool_t *parent);

/* Port that the listener took. */
uint16_t caller_listener_port(const struct caller_listener *l);

/* Sends the answer; takes ownership of `result`, which may be NULL. */
void caller_listener_reply(struct caller_listener *l, const struct reply *r,
			   json_t *result);

/* Refuses new connections; open ones go on until answered. */
void caller_listener_stop_accepting(struct caller_listener *l);

/* Callers that wait for an answer. */
uint32_t caller_listener_pending(const struct caller_listener *l);

#endif
