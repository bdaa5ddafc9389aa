/* kv_calls.h - the single calls of the gateway, by path. */
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

/* Carries out one call; an unknown path gives status 404. */
struct kv_call_result kv_execute_call(struct kv_store *s, const char *path,
				      const json_t *request, int64_t now_us);

#endif
