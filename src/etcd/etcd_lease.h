/*
 * etcd_lease.h - maintains a lease and one key that is bound to it.
 *
 * The lease is renewed each time a third of its time to live has passed. If the
 * service no longer has the lease, a new one is requested and the key is put
 * again.
 */
#ifndef ETCD_ETCD_LEASE_H
#define ETCD_ETCD_LEASE_H

#include "etcd/etcd_call.h"

#include <glib.h>

struct etcd_lease;

struct etcd_lease_opts {
	struct etcd *etcd;
	struct loop *loop;
	GRand *rand; /* for jitter; borrowed */
	const char *key; /* copied */
	const char *value; /* copied */
	int64_t ttl_us; /* requested time to live; rounded up to seconds */
	/* The key was put at `revision`. */
	void (*on_key_put)(void *data, int64_t revision);
	/*
	 * The lease was granted or renewed. If the key exists, it is valid for
	 * ttl_us from asked_us, when the grant or renewal was requested.
	 */
	void (*on_renewed)(void *data, int64_t asked_us, int64_t ttl_us);
	void *data;
};

/*
 * Requests a lease and puts the key. Free it with etcd_lease_free() once `etcd`
 * has been destroyed, so that no callback follows.
 */
struct etcd_lease *etcd_lease_new(const struct etcd_lease_opts *opts);
void etcd_lease_free(struct etcd_lease *l);

/* Puts the key again, for instance after it was deleted by another client. */
void etcd_lease_put_key(struct etcd_lease *l);

/*
 * Revokes the lease, which also deletes the key. fn is called once, when the
 * service has answered or the call has failed, or soon if there is no lease.
 */
void etcd_lease_revoke(struct etcd_lease *l, void (*fn)(void *data),
		       void *data);

#endif
