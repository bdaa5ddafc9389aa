/*
 * quota_homes.h - selects the instance that counts a part of a small limit.
 *
 * Divided among many instances, a small limit leaves less than one operation to
 * each. Such a limit is counted in a few parts, and each part has a home: the
 * instance in the store with the highest score. An instance of the part's zone
 * scores higher than any other; beyond that the score is a hash of the
 * instance's name and the part. The other instances request every operation
 * from a home; see quota_requests.h.
 *
 * Two instances never count the same part at the same time:
 *  - An instance becomes home only once its entry is settled, which takes
 *    longer than a lease (see store_feed.h). By then every other instance has
 *    seen the entry, or its view of the store is too old for it to be home, or
 *    its lease has ended.
 *  - Until then the settled instance with the highest score stays home, but no
 *    longer than a lease after the last moment at which it knew that the
 *    instance with the higher score was absent.
 *  - When the home's entry leaves the store, its lease has ended, and the next
 *    instance counts at once.
 *
 * If no entry is settled, all leases have ended, and with them the counting of
 * whoever counted before. Then one instance, the founder, counts all parts: the
 * one with the oldest entry. No other entry can settle before the founder's
 * own; see docs/design/limits.md.
 */
#ifndef PROXY_QUOTA_HOMES_H
#define PROXY_QUOTA_HOMES_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Return the age at which an entry is settled, slightly more than a lease, and
 * the maximum age of the view of the store by which a home may count, slightly
 * less than a lease.
 */
int64_t quota_home_settle_us(int64_t lease_us);
int64_t quota_home_max_view_age_us(int64_t lease_us);

struct quota_homes;

/* A part of a limit. */
struct quota_part {
	uint64_t hash; /* names it in messages between instances */
	const char *zone; /* of its home if there is any; "": no zone */
};

/* Freed with quota_homes_free(). `self` and `zone` are this instance's. */
struct quota_homes *quota_homes_new(const char *self, const char *zone);
void quota_homes_free(struct quota_homes *h);

/* An instance's entry in the store. */
struct quota_home_entry {
	const char *instance;
	const char *zone;
	bool settled;
	/*
	 * The latest time at which the store is known not to have had the entry
	 * with this value of `settled`, in this zone.
	 */
	int64_t absent_us;
	int64_t position; /* in the store; 0: it is not there yet */
	int64_t seen_us; /* now */
};

/* Record that an entry is in the store (put) or has left it (remove). */
void quota_homes_put(struct quota_homes *h, const struct quota_home_entry *e);
void quota_homes_remove(struct quota_homes *h, const char *instance);

/*
 * Returns the name of the instance that gets requests for the part once there
 * is no founder (any more): the settled one with the highest score, or the one
 * with the highest score of all if none is settled. Valid until that instance is
 * removed.
 */
const char *quota_homes_find(struct quota_homes *h, const struct quota_part *p);

/*
 * Returns the founder; NULL if an entry is settled, none is known, or the
 * founder's time is over, as its entry was seen too long ago.
 */
const char *quota_homes_find_founder(struct quota_homes *h, int64_t lease_us,
				     int64_t now_us);

/*
 * Fills in the names of other instances, at most `max`, from the start-th on in
 * a fixed order. Returns their number. Valid until one is removed.
 */
uint32_t quota_homes_list_others(struct quota_homes *h, uint32_t start,
				 const char **out, uint32_t max);

/*
 * Returns until when this instance, if its own entry is settled, is the home of
 * the part, by what it knows of the others. INT64_MIN: it is not the home;
 * INT64_MAX: no end is known.
 */
int64_t quota_homes_valid_until_us(struct quota_homes *h,
				   const struct quota_part *p,
				   int64_t lease_us);

#endif
