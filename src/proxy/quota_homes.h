/*
 * quota_homes.h - which instance counts a small workspace for all others.
 *
 * Divided among many instances a small limit leaves less than an operation
 * to each. Such a workspace has a home: of the instances in the store the
 * one with the highest hash of both names. The others ask it for every
 * operation; see quota_asks.h.
 *
 * Two instances never count one workspace at the same time. An instance is
 * home to nothing before an entry of its name has been in the store for
 * longer than a lease: by then every other one has seen the entry, or its knowledge of the
 * store is too old to be home itself, or its lease has ended. Once another instance is seen that ranks higher, a home stops at
 * once; when that one leaves, it goes on at once.
 */
#ifndef PROXY_QUOTA_HOMES_H
#define PROXY_QUOTA_HOMES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Parts of a lease: an entry's age before its instance is a home, and the
 * oldest knowledge that a home acts on. Clocks differ by less than what lies
 * between.
 */
enum { QUOTA_HOME_WAIT_PERCENT = 107, QUOTA_HOME_VIEW_PERCENT = 93 };

struct quota_homes;

/* Freed with quota_homes_free(). */
struct quota_homes *quota_homes_new(const char *self);
void quota_homes_free(struct quota_homes *h);

/* An instance's entry came to the store, or left it. */
void quota_homes_join(struct quota_homes *h, const char *instance);
void quota_homes_leave(struct quota_homes *h, const char *instance);

/* Returns the home of a workspace; this instance if it knows no other. */
const char *quota_homes_of(struct quota_homes *h, uint64_t workspace);

/* Returns true if that is this instance. */
bool quota_homes_is_self(struct quota_homes *h, uint64_t workspace);

#endif
