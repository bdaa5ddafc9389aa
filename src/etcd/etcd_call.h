/*
 * etcd_call.h - calls and streams of the service's JSON interface, over
 * libcurl on the process's loop.
 *
 * The addresses are used in turn: a call that fails moves later calls to
 * the next one. An answer whose revision is older than one received before
 * the call was sent is refused, so that a service which lost its latest
 * changes is never believed.
 */
#ifndef ETCD_ETCD_CALL_H
#define ETCD_ETCD_CALL_H

#include "base/loop.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct etcd;
struct etcd_stream;

struct etcd_opts {
	struct loop *loop;
	const char *const *addresses; /* "ip:port" */
	uint32_t address_count;
	int64_t call_timeout_us;
	/* Called when calls begin to succeed or to fail; may be NULL. */
	void (*on_reachable)(void *data, bool reachable);
	void *data;
};

/*
 * Creates it in a subpool of `parent`, which must be destroyed before the
 * loop's pool is. Returns 0 or a negative errno.
 */
int etcd_new(struct etcd **out, const struct etcd_opts *opts,
	     apr_pool_t *parent);

/* Calls and streams sent so far. */
uint64_t etcd_call_count(const struct etcd *e);

/* Moves to the next address, if there is one. */
void etcd_next_address(struct etcd *e);

/*
 * Errors: -ECONNREFUSED nothing was sent; -ETIMEDOUT and -ECONNRESET no
 * whole answer came, the call may have taken effect; -EBADMSG the answer
 * is malformed; -ESTALE it is older than an earlier one; -EREMOTEIO the
 * service reported an error, see http_status.
 */
struct etcd_answer {
	int error; /* 0 or as above */
	int http_status;
	const json_t *body; /* valid during the callback; NULL on errors */
	int64_t revision; /* the service's, at the time of the answer */
	int64_t asked_us; /* when the call was sent */
};

typedef void (*etcd_answer_fn)(void *data, const struct etcd_answer *a);

/*
 * Sends one call, taking over `request`. fn is called later, once. The
 * call may reach the service twice, so it has to be idempotent.
 */
void etcd_call(struct etcd *e, const char *path, json_t *request,
	       etcd_answer_fn fn, void *data);

/* The same for calls that may reach the service once at most. */
void etcd_call_once(struct etcd *e, const char *path, json_t *request,
		    etcd_answer_fn fn, void *data);

struct etcd_stream_opts {
	const char *path;
	json_t *request; /* taken over */
	/* One answer of the stream; the object is borrowed. */
	void (*on_result)(void *data, const json_t *result);
	/* The stream ended; it is freed after this call. */
	void (*on_end)(void *data);
	void *data;
};

/* Opens a stream on a connection of its own. Owned by `e`. */
struct etcd_stream *etcd_stream_open(struct etcd *e,
				     const struct etcd_stream_opts *opts);

/* Closes and frees a stream; no callback follows. */
void etcd_stream_close(struct etcd_stream *s);

#endif
