/*
 * adapter.h - the interface to a platform of an instance that serves
 * sessions: its store, its promotions and its wire format.
 */
#ifndef PROXY_ADAPTER_H
#define PROXY_ADAPTER_H

#include "base/loop.h"
#include "proxy/store.h"
#include "proxy/wire.h"

struct proxy_adapter_opts {
	struct loop *loop;
	const char *store_address; /* "ip:port" */
	const char *promotions_address; /* "ip:port" */
	int64_t call_timeout_us;
	/* A call to the platform has ended; for metrics. */
	void (*on_call)(void *data, const char *call, const char *outcome);
	void *data;
};

/* An open connection to the platform. */
struct proxy_link {
	struct store *store;
	struct promoter *promoter;
	void *handle; /* private to the adapter */
};

struct proxy_adapter {
	const char *name; /* in the settings */
	const char *ready_path; /* HTTP path of the load balancer's check */
	const struct wire_ops *wire;
	/* Opens a connection; close() frees what `out` holds. */
	void (*open)(struct proxy_link *out,
		     const struct proxy_adapter_opts *opts);
	void (*close)(struct proxy_link *l);
};

/* Returns the platform's adapter; see platform/adapter.c. */
const struct proxy_adapter *proxy_adapter(void);

#endif
