/*
 * etcd_watch.h - follows the changes below one prefix.
 *
 * A stream that ends or is silent for long is opened again behind the last
 * revision that was delivered, at the next address.
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
	int64_t first_answer_us; /* a new stream answers within this time */
	const char *prefix; /* borrowed */
	/* One change, in revision order; kv->value is "" for a deletion. */
	void (*on_change)(void *data, const struct etcd_kv *kv, bool deleted);
	/* Changes are lost; everything has to be read again. */
	void (*on_compacted)(void *data);
	void *data;
};

/* Returns a stopped watch, freed with etcd_watch_free(). */
struct etcd_watch *etcd_watch_new(const struct etcd_watch_opts *opts);
void etcd_watch_free(struct etcd_watch *w);

/* Delivers changes behind `revision` from now on. */
void etcd_watch_start(struct etcd_watch *w, int64_t revision);
void etcd_watch_stop(struct etcd_watch *w);

/* Opens a new stream at the next address. */
void etcd_watch_renew(struct etcd_watch *w);

/* All changes up to `revision` are known by other means. */
void etcd_watch_advance(struct etcd_watch *w, int64_t revision);

/* Returns the revision up to which everything was delivered. */
int64_t etcd_watch_revision(const struct etcd_watch *w);

#endif
