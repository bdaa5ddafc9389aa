/*
 * config_feed.h - delivers the configuration records: a full load, then every
 * change.
 *
 * About once a second, a sync check verifies that no change was missed. One
 * read-only transaction returns, for each prefix, the keys that were modified
 * after the last delivered revision and the total number of keys. If all these
 * keys have been delivered and the number equals that of the known keys,
 * nothing is missing at the revision of the answer: a missed put would be among
 * the returned keys, and after a missed deletion more keys would be known than
 * the service has. The check costs one call, does not depend on progress
 * notifications of the watch and works while other users of the service change
 * their own keys. If changes stay missing for WATCH_LAG_MAX_US, the watch is
 * opened again at the next address; if that has not helped after
 * WATCH_REOPENS_MAX attempts, everything is loaded again.
 *
 * Changes below one prefix are delivered in revision order. Records that the
 * codec rejects are skipped; the previous value stays in force.
 */
#ifndef ETCD_CONFIG_FEED_H
#define ETCD_CONFIG_FEED_H

#include "core/event.h"
#include "etcd/etcd_call.h"

#include <glib.h>

struct config_feed;

struct config_feed_opts {
	struct etcd *etcd;
	struct loop *loop;
	GRand *rand; /* for jitter; borrowed */
	const char *prefix; /* of the proxy's own keys; borrowed */
	const char *instances_prefix; /* of the platform's list; borrowed */
	int64_t call_timeout_us; /* also for the first answer of a watch */
	/*
	 * Receives EVENT_RECORD_PUT, EVENT_RECORD_DELETED and
	 * EVENT_CONFIG_SYNCED.
	 */
	void (*on_event)(void *data, const struct event *e);
	/* A stored record was rejected; `reason` is one line. */
	void (*on_record_rejected)(void *data, const char *key,
				   const char *reason);
	void *data;
};

/*
 * Creates a feed and starts the first load. Free it with config_feed_free()
 * once `etcd` has been destroyed, so that no callback follows.
 */
struct config_feed *config_feed_new(const struct config_feed_opts *opts);
void config_feed_free(struct config_feed *f);

/* Runs the next sync check now, unless a load or a check is in progress. */
void config_feed_check_sync(struct config_feed *f);

#endif
