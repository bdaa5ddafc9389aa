/*
 * etcd_watch.h - reports the changes of the keys below one prefix.
 *
 * A stream that ends or receives nothing for too long is replaced by one at the
 * next address that starts after the last delivered revision.
 */
#ifndef ETCD_ETCD_WATCH_H
#define ETCD_ETCD_WATCH_H

#include "etcd/etcd_call.h"
#include "etcd/etcd_json.h"

#include <glib.h>

struct etcd_watch;

struct etcd_watch_opts {
	struct etcd *etcd;
	struct loop *loop;
	GRand *rand; /* for jitter; borrowed */
	int64_t first_answer_timeout_us; /* of a newly opened stream */
	const char *prefix; /* borrowed */
	/* One change, in revision order; kv->value is "" for a deletion. */
	void (*on_change)(void *data, const struct etcd_kv *kv, bool deleted);
	/*
	 * The service has discarded changes that were not delivered yet. The
	 * watch has stopped; all keys have to be read again.
	 */
	void (*on_compacted)(void *data);
	void *data;
};

/*
 * Returns a stopped watch. Free it with etcd_watch_free() once `etcd` has been
 * destroyed.
 */
struct etcd_watch *etcd_watch_new(const struct etcd_watch_opts *opts);
void etcd_watch_free(struct etcd_watch *w);

/* Starts to deliver the changes after `revision`. */
void etcd_watch_start(struct etcd_watch *w, int64_t revision);
void etcd_watch_stop(struct etcd_watch *w);

/* Replaces the stream by one at the next address, if the watch runs. */
void etcd_watch_reopen(struct etcd_watch *w);

/*
 * Marks all changes up to `revision` as delivered, after the caller has
 * verified that none is missing.
 */
void etcd_watch_advance(struct etcd_watch *w, int64_t revision);

/* Returns when bytes last arrived on the open stream; 0: none yet. */
int64_t etcd_watch_get_received_us(const struct etcd_watch *w);

/* Returns the revision up to which all changes have been delivered. */
int64_t etcd_watch_get_revision(const struct etcd_watch *w);

#endif
