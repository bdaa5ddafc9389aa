/* etcd_load.h - reads all keys of some prefixes at one revision, in pages. */
#ifndef ETCD_ETCD_LOAD_H
#define ETCD_ETCD_LOAD_H

#include "etcd/etcd_call.h"

#include <glib.h>

enum { LOAD_PREFIXES_MAX = 2 };

struct etcd_load_result {
	int error; /* 0, or as in struct etcd_answer */
	int64_t revision; /* at which all pages were read */
	int64_t asked_us; /* when the first page was requested */
	/* struct etcd_kv, ordered by modification revision; borrowed. */
	GPtrArray *kvs;
};

struct etcd_load_opts {
	struct etcd *etcd;
	const char *prefixes[LOAD_PREFIXES_MAX];
	uint32_t prefix_count;
	void (*on_done)(void *data, const struct etcd_load_result *r);
	void *data;
};

struct etcd_load;

/* Starts a load, which frees itself after the call of on_done. */
struct etcd_load *etcd_load_start(const struct etcd_load_opts *opts);

/*
 * Frees a load that is in progress; on_done is not called. For clean-up once
 * `etcd` has been destroyed.
 */
void etcd_load_free(struct etcd_load *l);

#endif
