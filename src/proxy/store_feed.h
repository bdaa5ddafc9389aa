/*
 * store_feed.h - follows the platform's store and keeps this instance's
 * entry in it.
 *
 * Lists everything once, then watches. What a watch leaves out is noticed
 * by the store's revision, and everything is listed again.
 *
 * A watch without news says nothing for long. Until then the duty's holder
 * tells what revision the store had lately (store_feed_observe_revision()); where it does
 * not, a probe asks for that. Whoever has passed on all changes up to that
 * revision has missed nothing up to that time. One who has not by
 * STORE_FEED_LAG_US later gives up its watch: its connection may be dead. The
 * watch that follows has news to bring, and gets as long as any call.
 */
#ifndef PROXY_STORE_FEED_H
#define PROXY_STORE_FEED_H

#include "core/event.h"
#include "proxy/store.h"

#define STORE_FEED_LAG_US (300 * US_PER_MS)

struct store_feed;

/*
 * The entry is settled once it is older than a lease: then every other
 * instance has seen it, or knows too little. A process that takes over the
 * settled entry of the one before it, without a gap, is settled at once.
 */
struct store_feed_opts {
	struct store *store;
	struct instance_entry self;
	int64_t lease_ttl_us; /* of the own entry */
	int64_t settle_us; /* longer than that by any clock */
	int64_t watch_us; /* a watch without news is answered after this */
	/* Without a confirmation for so long, it asks; others a report later. */
	int64_t probe_us;
	int64_t report_us;
	int64_t call_us; /* an answer that is there comes within this */
	/* One item as it is now, or its removal. */
	void (*on_item)(void *data, struct store_item *item);
	/* Around the items of a list: what does not come is not there. */
	void (*on_list)(void *data, bool ends);
	/* Nothing was missed up to asked_us. */
	void (*on_confirmed)(void *data, int64_t asked_us);
	/* The store answers again, or does not. */
	void (*on_reachable)(void *data, bool reachable, const char *why);
	int64_t (*now_us)(void *data);
	void *data;
};

/* Freed with store_feed_free(); the store must give no answers after it. */
struct store_feed *store_feed_new(const struct store_feed_opts *opts);
void store_feed_free(struct store_feed *f);

/* Starts what is due. */
void store_feed_run(struct store_feed *f, int64_t now_us);
int64_t store_feed_due_us(const struct store_feed *f);

/* How many instances follow the store; see WATCHES_PER_S. */
void store_feed_set_instances(struct store_feed *f, uint32_t instances);

/* This instance tells the others, and is the first to ask. */
void store_feed_set_duty_held(struct store_feed *f, bool leads);

/* The store had this revision at that time, or a lower one. */
void store_feed_observe_revision(struct store_feed *f, int64_t revision,
				 int64_t at_us, int64_t now_us);

/* Returns the revision up to which all changes were passed on; 0: none. */
int64_t store_feed_revision(const struct store_feed *f);

/* Returns when the last confirmation was asked for, or INT64_MIN. */
int64_t store_feed_confirmed_us(const struct store_feed *f);

/* Returns the age of that confirmation, INT64_MAX if there is none. */
int64_t store_feed_age_us(const struct store_feed *f, int64_t now_us);

/* Returns the end of the own lease, by the own clock. */
int64_t store_feed_lease_end_us(const struct store_feed *f);

/* Returns true while the own entry is there and settled. */
bool store_feed_is_settled(const struct store_feed *f, int64_t now_us);

/* Removes the own entry; nothing is renewed from now on. */
void store_feed_remove_entry(struct store_feed *f);

#endif
