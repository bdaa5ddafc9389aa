/*
 * adapter.h - interface of a platform adapter: the platform's store, its
 * promotion service and its wire protocol.
 */
#ifndef PROXY_ADAPTER_H
#define PROXY_ADAPTER_H

#include "base/loop.h"
#include "proxy/store.h"
#include "proxy/wire.h"

/* A finished call to the platform's services; the strings are constant. */
struct proxy_call_report {
	const char *call;
	const char *outcome;
	bool failed; /* it has no result */
	int64_t duration_us;
	size_t received_bytes; /* of the body of the answer */
};

struct proxy_adapter_opts {
	struct loop *loop;
	const char *store_address; /* "ip:port" */
	const char *promotions_address; /* "ip:port" */
	/* A call to either service that is silent for this long has failed. */
	int64_t call_timeout_us;
	/* As paced_bytes_per_s and paced_us of struct http_client_opts. */
	int64_t paced_bytes_per_s;
	int64_t paced_us;
	/* Reports each finished call; may be NULL. */
	void (*on_call)(void *data, const struct proxy_call_report *r);
	void *data;
};

/* Clients of the platform's services, created by proxy_adapter.open(). */
struct proxy_link {
	struct store *store;
	struct promoter *promoter;
	void *handle; /* private to the adapter */
};

struct proxy_adapter {
	const char *name; /* of the adapter */
	const char *ready_path; /* HTTP path of the load balancer's check */
	const struct wire_ops *wire;
	/*
	 * Sets up the clients of the platform's services, which connect when
	 * they are first used. close() frees what `out` holds.
	 */
	void (*open)(struct proxy_link *out,
		     const struct proxy_adapter_opts *opts);
	void (*close)(struct proxy_link *l);
};

/* Returns the platform's adapter; see platform/adapter.c. */
const struct proxy_adapter *proxy_adapter(void);

#endif
