/*
 * platform_client.h - the platform's key-value service, over the etcd v3
 * JSON interface.
 */
#ifndef ETCD_PLATFORM_CLIENT_H
#define ETCD_PLATFORM_CLIENT_H

#include "base/loop.h"
#include "core/action.h"
#include "core/event.h"

struct platform_client;

struct platform_client_opts {
	struct loop *loop;
	const char *const *addresses; /* "ip:port", tried in turn */
	uint32_t address_count;
	const char *prefix; /* of our keys, "/zinnialine/" */
	const char *instances_prefix; /* of the platform's own list */
	int64_t call_timeout_us;
	int64_t lease_ttl_us; /* 0: no lease and no member key */
	struct member_record member; /* written under the lease */
	/*
	 * Gives RECORD_PUT, RECORD_DELETED, CONFIG_SYNCED, LEASE and
	 * PLATFORM_RESULT events to the core.
	 */
	void (*on_event)(void *data, const struct event *e);
	/* Tells whether calls succeed now; for logs and metrics. */
	void (*on_reachable)(void *data, bool reachable);
	void *data;
};

/* Loads, then watches all records. Freed with its parent pool. */
int platform_client_new(struct platform_client **out,
			const struct platform_client_opts *opts,
			apr_pool_t *parent);

/* Carries out an ACTION_PLATFORM. */
void platform_client_start(struct platform_client *c,
			   const struct platform_start *p);

/*
 * Outcome of an operator's change. `current` is the stored record when the
 * compare failed and the key exists, else NULL; `revision` is the key's
 * revision after the change, or the stored one.
 */
typedef void (*platform_change_fn)(void *data, enum platform_outcome outcome,
				   int64_t revision,
				   const struct record *current);

/*
 * Puts or deletes a record if its revision is still `expected` (0: must not
 * exist; -1: any). A lost answer is resolved by reading back once; if that
 * fails too the outcome is PLATFORM_UNKNOWN.
 */
void platform_client_change(struct platform_client *c, const struct record *r,
			    bool deleted, int64_t expected,
			    platform_change_fn fn, void *data);

/* Calls made since the start, for the platform's budget. */
uint64_t platform_client_calls(const struct platform_client *c);

/*
 * Deletes the member key and revokes the lease, then calls fn; at the
 * latest after the call timeout.
 */
void platform_client_leave(struct platform_client *c, void (*fn)(void *data),
			   void *data);

#endif
