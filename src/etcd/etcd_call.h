/*
 * etcd_call.h - client for the JSON interface of the key-value service: calls
 * and streams, over libcurl on the process's event loop.
 *
 * All calls go to one address until one fails; later calls then go to the next
 * address. An answer is rejected if its revision is lower than one that was
 * received before the call was sent: the service has lost its latest changes.
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
	/*
	 * The answer to a call begins within this time, with all attempts, and
	 * is silent for no longer than this.
	 */
	int64_t call_timeout_us;
	/*
	 * Called when a call succeeds for the first time or after failures,
	 * and when as many calls as there are addresses have failed in a row.
	 * May be NULL.
	 */
	void (*on_reachable)(void *data, bool reachable);
	void *data;
};

/*
 * Creates a client that is freed with the pool `parent`, which must be
 * destroyed before the pool of the loop. Returns 0, or -EINVAL if no address is
 * given.
 */
int etcd_new(struct etcd **out, const struct etcd_opts *opts,
	     apr_pool_t *parent);

/* Returns the number of calls and streams sent so far, with retries. */
uint64_t etcd_call_count(const struct etcd *e);

/* Sends later calls to the next address, if there is more than one. */
void etcd_next_address(struct etcd *e);

/*
 * Errors:
 * -ECONNREFUSED: nothing was sent.
 * -ETIMEDOUT, -ECONNRESET: no complete answer was received; the call may have
 *   taken effect.
 * -EBADMSG: the answer is malformed.
 * -ESTALE: the revision of the answer is lower than that of an earlier one.
 * -EREMOTEIO: the service reported an error, see http_status.
 */
struct etcd_answer {
	int error; /* 0 or one of the errors above */
	int http_status; /* 0 if no answer was received */
	const json_t *body; /* valid during the callback; NULL on errors */
	int64_t revision; /* of the store when the service answered */
	int64_t asked_us; /* loop_now_us() when the call was sent */
};

typedef void (*etcd_answer_fn)(void *data, const struct etcd_answer *a);

/*
 * Sends one call and takes ownership of `request`. fn is called once, after
 * this function has returned. The call may reach the service twice, so it must
 * be idempotent.
 */
void etcd_call(struct etcd *e, const char *path, json_t *request,
	       etcd_answer_fn fn, void *data);

/* The same for calls that must reach the service at most once. */
void etcd_call_once(struct etcd *e, const char *path, json_t *request,
		    etcd_answer_fn fn, void *data);

struct etcd_stream_opts {
	const char *path;
	json_t *request; /* the stream takes ownership */
	/* One answer of the stream; `result` is valid during the call. */
	void (*on_result)(void *data, const json_t *result);
	/* The stream ended or could not be opened; it is freed afterwards. */
	void (*on_end)(void *data);
	void *data;
};

/*
 * Opens a stream on a dedicated connection, without a time limit. The stream
 * belongs to `e`.
 */
struct etcd_stream *etcd_stream_open(struct etcd *e,
				     const struct etcd_stream_opts *opts);

/* Returns when bytes of the stream last arrived; 0: none yet. */
int64_t etcd_stream_received_us(const struct etcd_stream *s);

/* Closes a stream and frees it later; no callback follows. */
void etcd_stream_close(struct etcd_stream *s);

#endif
