/*
 * etcd_lease.h - keeps a lease and one key that is bound to it.
 *
 * The lease is renewed at a third of its time to live. When the service no
 * longer knows it, a new one is granted and the key is put again.
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
	int64_t ttl_us;
	/* The key was put at that revision. */
	void (*on_key_put)(void *data, int64_t revision);
	/* The lease holds for ttl_us from asked_us, while the key exists. */
	void (*on_renewed)(void *data, int64_t asked_us, int64_t ttl_us);
	void *data;
};

/* Freed with etcd_lease_free(), after the calls of `etcd` are gone. */
struct etcd_lease *etcd_lease_new(const struct etcd_lease_opts *opts);
void etcd_lease_free(struct etcd_lease *l);

/* Puts the key again, for instance after somebody deleted it. */
void etcd_lease_put_key(struct etcd_lease *l);

/* Revokes the lease, which removes the key with it, then calls fn. */
void etcd_lease_leave(struct etcd_lease *l, void (*fn)(void *data), void *data);

#endif
