/*
 * duty.h - the singleton duty, which one instance of the fleet holds at a
 * time. Its holder runs failovers (failover.h) and divides the quotas
 * (quota_division.h).
 *
 * The holder's entry in the store is bound to a lease of its own, separate
 * from that of the instance's entry. The revision of the duty's entry is the
 * fencing token: it grows with every holder, and the holder gets a new one
 * by writing the entry again.
 */
#ifndef PROXY_DUTY_H
#define PROXY_DUTY_H

#include "proxy/store.h"

struct duty;

struct duty_opts {
	struct store *store;
	char instance[NAME_BYTES];
	uint64_t incarnation; /* of this process */
	/* Of the lease: when a holder dies, the duty is free after this. */
	int64_t ttl_us;
	/* The duty was taken or lost. */
	void (*on_change)(void *data, bool held);
	/* Result of duty_request_token(); 0: no new token was obtained. */
	void (*on_token)(void *data, uint64_t token);
	int64_t (*now_us)(void *data); /* monotonic clock */
	void *data; /* first argument of the callbacks */
};

/*
 * Copies `opts`. Freed with duty_free(); the store must not call back after
 * that.
 */
struct duty *duty_new(const struct duty_opts *opts);
void duty_free(struct duty *d);

/* Handles the duty's entry as read from the store, or its removal. */
void duty_handle_entry(struct duty *d, const struct store_item *item);

/*
 * A list of the store begins (`ends` is false) or ends. If the entry was not
 * in it, nobody holds the duty.
 */
void duty_handle_list(struct duty *d, bool ends);

/*
 * Renews the lease, or takes the duty if nobody holds it. `rank` is this
 * instance's place among the sorted live instances: lower ranks try sooner.
 */
void duty_run(struct duty *d, uint32_t rank, int64_t now_us);

/*
 * Returns when duty_run() has a call to make; INT64_MAX while it waits for an
 * answer or for another holder.
 */
int64_t duty_due_us(const struct duty *d);

/* Returns true while this instance is the holder and no other can be. */
bool duty_is_held(const struct duty *d, int64_t now_us);

/* Returns the current fencing token, 0 if this instance is not the holder. */
uint64_t duty_token(const struct duty *d);

/*
 * Requests a new token. on_token() gets the result, which may be before this
 * function returns.
 */
void duty_request_token(struct duty *d);

/* Releases the duty; this process does not take it again. */
void duty_release(struct duty *d);

/* Returns the name of the holder, "" if there is none; owned by `d`. */
const char *duty_holder(const struct duty *d);

/* Returns the position of the last entry read or written; 0: none. */
int64_t duty_position(const struct duty *d);

#endif
