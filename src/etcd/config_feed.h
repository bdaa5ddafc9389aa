/*
 * config_feed.h - passes every record on: first all, then each change.
 *
 * About once a second one read-only transaction asks for the keys changed
 * behind the last delivered revision and for the number of keys. If all
 * the keys named were delivered and the number is the known one, nothing
 * is missing at the revision of the answer: a missed put would be named,
 * and a missed deletion would leave too many keys known. This costs one
 * call, needs no progress message of the watch and holds while other users
 * of the service change their own keys. A watch that falls behind such an
 * answer for longer than a bound is opened again elsewhere, and if that
 * does not help everything is loaded again.
 *
 * Changes below one prefix are passed on in revision order. Records that
 * the codec refuses are skipped; an earlier value stays in force.
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
	const char *prefix; /* borrowed */
	const char *instances_prefix; /* borrowed */
	int64_t call_timeout_us;
	/* Gives RECORD_PUT, RECORD_DELETED and CONFIG_SYNCED events. */
	void (*on_event)(void *data, const struct event *e);
	/* A stored record was refused. */
	void (*on_refused)(void *data, const char *key, const char *why);
	void *data;
};

/*
 * Starts the first load. Freed with config_feed_free(), after the calls of
 * `etcd` are gone.
 */
struct config_feed *config_feed_new(const struct config_feed_opts *opts);
void config_feed_free(struct config_feed *f);

/* Asks now whether anything is missing. */
void config_feed_confirm(struct config_feed *f);

#endif
