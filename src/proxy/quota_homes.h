/*
 * quota_homes.h - which instance counts half of a small limit for all others.
 *
 * Divided among many instances a small limit leaves less than an operation
 * to each. Such a limit is counted in halves, and each half has a home: of
 * the instances in the store the one with the highest hash of its name and
 * the half. The others ask it for every operation; see quota_requests.h.
 *
 * Two instances never count one half at the same time:
 *  - An instance is home to nothing before its entry is settled, which takes
 *    longer than a lease (store_feed.h). By then every other one has seen
 *    the entry, or its knowledge of the store is too old to be home itself,
 *    or its lease has ended.
 *  - Until then the best of the settled ones stays home, but not for longer
 *    than a lease after the last moment at which it knew that the higher one
 *    was not there.
 *  - When the home's entry leaves the store, its lease has ended, and the
 *    next one counts at once.
 */
#ifndef PROXY_QUOTA_HOMES_H
#define PROXY_QUOTA_HOMES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Returns how old an entry is once it is settled, and how old the knowledge
 * may be that a home acts on: a little more and a little less than a lease.
 */
int64_t quota_home_wait_us(int64_t lease_us);
int64_t quota_home_view_us(int64_t lease_us);

struct quota_homes;

/* Freed with quota_homes_free(). */
struct quota_homes *quota_homes_new(const char *self);
void quota_homes_free(struct quota_homes *h);

/*
 * An instance's entry is in the store; it was not yet, or said nothing else,
 * at absent_us. Or it left.
 */
void quota_homes_put(struct quota_homes *h, const char *instance, bool settled,
		     int64_t absent_us);
void quota_homes_leave(struct quota_homes *h, const char *instance);

/* Returns whom to ask: the best of the settled, or of all if none is. */
const char *quota_homes_of(struct quota_homes *h, uint64_t half);

/*
 * Returns until when this instance is home, by what it knows of the others,
 * if it is settled itself: INT64_MIN: it is not; INT64_MAX: no end is known.
 */
int64_t quota_homes_until_us(struct quota_homes *h, uint64_t half,
			     int64_t lease_us);

#endif
