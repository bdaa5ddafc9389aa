/*
 * store_feed.h - follows the platform's store and keeps this instance's
 * entry in it.
 *
 * It lists all items once, then watches for changes. If the store's revision
 * shows that a watch left a change out, all items are listed again.
 *
 * A watch without changes stays unanswered for a long time. Meanwhile the
 * holder of the singleton duty reports which revision the store had recently
 * (store_feed_observe_revision()); without such a report, a probe reads the
 * revision. A feed that has delivered all changes up to that revision has
 * missed nothing up to that time. One that has not done so STORE_FEED_LAG_US
 * later abandons its watch, whose connection may be dead. The next watch has
 * changes to deliver at once, so it gets the timeout of an ordinary call.
 */
#ifndef PROXY_STORE_FEED_H
#define PROXY_STORE_FEED_H

#include "core/event.h"
#include "proxy/store.h"

#define STORE_FEED_LAG_US (300 * US_PER_MS)

struct store_feed;

/*
 * The instance's entry is settled once it is older than a lease: by then every
 * other instance has seen it, or lost its own lease. A process that takes over
 * the settled entry of its predecessor without a gap is settled at once.
 */
struct store_feed_opts {
	struct store *store;
	struct instance_entry self; /* this instance's entry */
	int64_t lease_ttl_us; /* of the lease that the entry is bound to */
	int64_t settle_us; /* longer than that by any clock */
	int64_t watch_us; /* a watch without changes is answered after this */
	/*
	 * The duty's holder probes the store when it was not confirmed for
	 * probe_us. The others first wait for two of the holder's reports,
	 * which come every report_us.
	 */
	int64_t probe_us;
	int64_t report_us;
	int64_t call_us; /* timeout of a call that has an answer at once */
	/* An item as it is now, or its removal. */
	void (*on_item)(void *data, struct store_item *item);
	/* A list begins or ends; items that are not in it do not exist. */
	void (*on_list)(void *data, bool ends);
	/* All changes up to asked_us were delivered. */
	void (*on_confirmed)(void *data, int64_t asked_us);
	/* The store began or stopped answering. */
	void (*on_reachable)(void *data, bool reachable, const char *why);
	int64_t (*now_us)(void *data);
	void *data; /* first argument of the callbacks */
};

/* Freed with store_feed_free(); the store must give no answers after it. */
struct store_feed *store_feed_new(const struct store_feed_opts *opts);
void store_feed_free(struct store_feed *f);

/* Starts the calls that are due; store_feed_due_us() returns the next time. */
void store_feed_run(struct store_feed *f, int64_t now_us);
int64_t store_feed_due_us(const struct store_feed *f);

/* Sets how many instances follow the store, to limit the rate of watches. */
void store_feed_set_instances(struct store_feed *f, uint32_t instances);

/* Sets whether this instance holds the duty; the holder probes first. */
void store_feed_set_duty_held(struct store_feed *f, bool held);

/* Takes a report that the store had at most this revision at that time. */
void store_feed_observe_revision(struct store_feed *f, int64_t revision,
				 int64_t at_us, int64_t now_us);

/* Returns the revision up to which all changes were delivered; 0: none. */
int64_t store_feed_revision(const struct store_feed *f);

/* Returns the time up to which nothing was missed, or INT64_MIN. */
int64_t store_feed_confirmed_us(const struct store_feed *f);

/* Returns how long ago that was, INT64_MAX if there is no confirmation. */
int64_t store_feed_age_us(const struct store_feed *f, int64_t now_us);

/* Returns the end of this instance's lease by its own clock, less a margin. */
int64_t store_feed_lease_end_us(const struct store_feed *f);

/* Returns true while this instance's entry is in the store and settled. */
bool store_feed_is_settled(const struct store_feed *f, int64_t now_us);

/* Removes this instance's entry for good, by ending its lease. */
void store_feed_remove_entry(struct store_feed *f);

#endif
