/*
 * store_feed.h - follows the platform's store and maintains this instance's
 * entry in it.
 *
 * It lists all items once, then watches for changes. If the store's revision
 * shows that a watch missed a change, all items are listed again.
 *
 * The holder of the singleton duty watches, and passes changes on to the others
 * (feed/change_relay.h). While its reports come and confirm the store, they do
 * not watch themselves; they begin to when a report or a change is overdue.
 *
 * A watch without changes stays unanswered for a long time. Meanwhile the
 * holder of the singleton duty reports which revision the store had recently
 * (store_feed_observe_revision()); without such a report, a probe reads the
 * revision. A feed that has delivered all changes up to that revision has
 * missed nothing up to that time. A feed that has not done so within
 * STORE_FEED_LAG_US abandons its watch, whose connection may be dead. The next
 * watch has changes to deliver at once, so it gets the timeout of an ordinary
 * call. An answer of a later era (store_position.h) means that changes were
 * undone: all items are listed again and this instance's entry is written
 * again, with a new lease. A watch whose answer has begun to arrive is never abandoned, however
 * long that takes: the next one would transfer the same again.
 */
#ifndef PROXY_STORE_FEED_H
#define PROXY_STORE_FEED_H

#include "core/event.h"
#include "core/peer_message.h"
#include "proxy/store.h"

/* How long a watch may take to deliver a known change. */
#define STORE_FEED_LAG_US (300 * US_PER_MS)

struct store_feed;

/*
 * The instance's entry is settled once it is older than a lease: by then every
 * other instance has seen it, or lost its own lease. A process that replaces
 * the settled entry of its predecessor before that expires is settled at once.
 */
struct store_feed_opts {
	struct store *store;
	struct instance_entry self; /* this instance's entry */
	int64_t lease_ttl_us; /* of the lease that the entry is bound to */
	/* Age of a settled entry: more than a lease, by any clock. */
	int64_t settle_us;
	int64_t watch_us; /* a watch without changes is answered after this */
	/*
	 * The duty's holder probes the store when it was not confirmed for
	 * probe_us. The others first wait for two of the holder's reports,
	 * which come every report_us.
	 */
	int64_t probe_us;
	int64_t report_us;
	int64_t call_us; /* timeout of a call that is answered at once */
	/* The current state of an item, or its removal. */
	void (*on_item)(void *data, struct store_item *item);
	/* A change was delivered, as it can be passed on. May be NULL. */
	void (*on_change)(void *data, int64_t position, const char *text);
	/* A list begins or ends; items that are not in it do not exist. */
	void (*on_list)(void *data, bool ends);
	/* All changes made before requested_us were delivered. */
	void (*on_confirmed)(void *data, int64_t requested_us);
	/*
	 * A watch was abandoned because it did not deliver a change that the
	 * store is known to have. May be NULL.
	 */
	void (*on_watch_abandoned)(void *data, int64_t pending_us);
	/* The store came back from an older copy. May be NULL. */
	void (*on_restored)(void *data, uint32_t era);
	/* The store began or stopped answering. */
	void (*on_reachable)(void *data, bool reachable, const char *reason);
	int64_t (*now_us)(void *data); /* monotonic clock */
	void *data; /* first argument of the callbacks */
};

/*
 * Copies `opts`. Freed with store_feed_free(); the store must not call back
 * after that.
 */
struct store_feed *store_feed_new(const struct store_feed_opts *opts);
void store_feed_free(struct store_feed *f);

/* Starts the calls that are due; store_feed_due_us() returns the next time. */
void store_feed_run(struct store_feed *f, int64_t now_us);
int64_t store_feed_due_us(const struct store_feed *f);

/* Sets how many instances follow the store, to limit the rate of watches. */
void store_feed_set_instances(struct store_feed *f, uint32_t instances);

/* Sets whether this instance holds the duty; the holder probes first. */
void store_feed_set_duty_held(struct store_feed *f, bool held);

/*
 * Applies a change that another instance has passed on, if it follows what was
 * delivered. Others are ignored: the feed reads them from the store.
 */
void store_feed_apply_change(struct store_feed *f, const struct peer_change *c,
			     int64_t now_us);

/* Records that the store had at most this revision at the time at_us. */
void store_feed_observe_revision(struct store_feed *f, int64_t revision,
				 int64_t at_us, int64_t now_us);

/* Returns the revision up to which all changes were delivered; 0: none. */
int64_t store_feed_revision(const struct store_feed *f);

/*
 * Returns the time up to which no change was missed; INT64_MIN if that was
 * never confirmed.
 */
int64_t store_feed_confirmed_us(const struct store_feed *f);

/* Returns the age of that confirmation; INT64_MAX if there is none. */
int64_t store_feed_age_us(const struct store_feed *f, int64_t now_us);

/*
 * Returns when the store last gave an answer or a part of one; INT64_MIN:
 * never. A store that answers but does not confirm may have changes that have
 * not arrived yet.
 */
int64_t store_feed_answered_us(const struct store_feed *f);

/* Returns the end of this instance's lease by its own clock, less a margin. */
int64_t store_feed_lease_end_us(const struct store_feed *f);

/* Returns true while this instance's entry is in the store and settled. */
bool store_feed_is_settled(const struct store_feed *f, int64_t now_us);

/*
 * Returns when this process asked for its present entry to be written;
 * INT64_MIN if there is none, or if instances that have not noticed the store's
 * era may still count by entries of the one before.
 */
int64_t store_feed_entry_asked_us(const struct store_feed *f, int64_t now_us);

/* Returns when that was answered. */
int64_t store_feed_entry_written_us(const struct store_feed *f);

/* Removes this instance's entry by revoking its lease; not written again. */
void store_feed_remove_entry(struct store_feed *f);

#endif
