/* kv_calls.h - the calls of the gateway's API, except watches. */
#ifndef PLATFORM_KV_CALLS_H
#define PLATFORM_KV_CALLS_H

#include "platform/kv_store.h"

#include <jansson.h>

enum kv_call_kind {
	KV_CALL_READ,
	KV_CALL_WRITE,
	KV_CALL_WATCH,
	KV_CALL_KEEPALIVE,
	KV_CALL_KIND_COUNT,
};

struct kv_call_result {
	enum kv_call_kind kind;
	int http_status;
	json_t *body; /* owned by the caller */
};

/*
 * Executes the call of the URL path; an unknown path gives status 404. Leases
 * are timed by now_us.
 */
struct kv_call_result kv_execute_call(struct kv_store *s, const char *path,
				      const json_t *request, int64_t now_us);

#endif
