/*
 * duty.h - the singleton duty: one instance of the fleet at a time.
 *
 * The holder's entry in the store is bound to a lease of its own. The
 * revision of that entry is the fencing token: it grows with every holder,
 * and the holder can draw a new one at any time.
 */
#ifndef PROXY_DUTY_H
#define PROXY_DUTY_H

#include "proxy/store.h"

struct duty;

struct duty_opts {
	struct store *store;
	char instance[NAME_BYTES];
	uint64_t incarnation;
	int64_t ttl_us; /* how long a dead holder keeps others waiting */
	/* The duty was taken or lost. */
	void (*on_change)(void *data, bool held);
	/* A token that was asked for; 0: none could be had. */
	void (*on_token)(void *data, uint64_t token);
	int64_t (*now_us)(void *data);
	void *data;
};

struct duty *duty_new(const struct duty_opts *opts);
void duty_free(struct duty *d);

/* The duty's entry was read: put, or removed. */
void duty_handle_entry(struct duty *d, const struct store_item *item);
/* A list began (ends false) or ended without the entry. */
void duty_handle_list(struct duty *d, bool ends);

/*
 * Takes the duty if nobody has it. `rank` is this instance's place among
 * the live ones: a lower one tries sooner.
 */
void duty_run(struct duty *d, uint32_t rank, int64_t now_us);
int64_t duty_due_us(const struct duty *d);

/* Returns true while no other instance can hold it. */
bool duty_is_held(const struct duty *d, int64_t now_us);

/* Returns the present token, 0 if it is not held. */
uint64_t duty_token(const struct duty *d);

/* Draws a new token; on_token() follows. */
void duty_request_token(struct duty *d);

/* Gives it up; nothing is taken from now on. */
void duty_release(struct duty *d);

/* Returns the present holder, "" if there is none. */
const char *duty_holder(const struct duty *d);

#endif
