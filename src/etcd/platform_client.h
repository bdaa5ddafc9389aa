/*
 * platform_client.h - client of the platform's key-value service, over the
 * etcd v3 JSON interface.
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
	const char *prefix; /* of the proxy's own keys, "/zinnialine/" */
	const char *instances_prefix; /* of the platform's instance list */
	int64_t call_timeout_us;
	int64_t lease_ttl_us; /* 0: no lease and no member key */
	struct member_record member; /* its key is bound to the lease */
	/*
	 * Receives the events for the core: EVENT_RECORD_PUT,
	 * EVENT_RECORD_DELETED, EVENT_CONFIG_SYNCED, EVENT_LEASE_RENEWED and
	 * EVENT_PLATFORM_RESULT.
	 */
	void (*on_event)(void *data, const struct event *e);
	/*
	 * The key-value service became reachable or unreachable; see
	 * on_reachable of struct etcd_opts. May be NULL.
	 */
	void (*on_reachable)(void *data, bool reachable);
	void *data;
};

/*
 * Loads all records, then watches them, and maintains the lease if there is
 * one. The client is freed with the pool `parent`. Returns 0, or -EINVAL if a
 * prefix is empty, one prefix begins with the other, or no address is given.
 */
int platform_client_new(struct platform_client **out,
			const struct platform_client_opts *opts,
			apr_pool_t *parent);

/* Starts the operation of an ACTION_PLATFORM. */
void platform_client_start_operation(struct platform_client *c,
				     const struct platform_start *p);

/*
 * Receives the outcome of an operator's change. `current` is the stored record
 * if the change was not applied and a valid record is known to be stored, else
 * NULL. `revision` is the revision of the change, or the stored key's if the
 * change was not applied; 0 if there is none.
 */
typedef void (*platform_change_fn)(void *data, enum platform_outcome outcome,
				   int64_t revision,
				   const struct record *current);

/*
 * Puts or deletes a record if the key's revision is still expected_revision
 * (0: the key must not exist; -1: any revision). If the answer is lost, the
 * client checks once whether the change was applied; if it cannot tell, the
 * outcome is PLATFORM_UNKNOWN. The change is refused if the guard does not hold
 * in the service; NULL: it rests on nothing else.
 */
void platform_client_change_record(struct platform_client *c,
				   const struct record *r, bool deleted,
				   int64_t expected_revision,
				   const struct endpoint_guard *guard,
				   platform_change_fn fn, void *data);

/*
 * Returns the number of calls since the start, for comparison with the budget
 * of calls that the platform allows.
 */
uint64_t platform_client_call_count(const struct platform_client *c);

/*
 * Revokes the lease, which also deletes the member key. fn(data) is called when
 * the service has answered or the call has failed, at the latest after the call
 * timeout. Without a lease it is called before this function returns.
 */
void platform_client_leave(struct platform_client *c, void (*fn)(void *data),
			   void *data);

#endif
