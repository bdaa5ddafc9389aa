/* etcd_load.h - reads whole prefixes at one revision, page by page. */
#ifndef ETCD_ETCD_LOAD_H
#define ETCD_ETCD_LOAD_H

#include "etcd/etcd_call.h"

#include <glib.h>

enum { LOAD_PREFIXES_MAX = 2 };

struct etcd_load_result {
	int error; /* 0, or as in struct etcd_answer */
	int64_t revision; /* all pages are of this revision */
	int64_t asked_us; /* when the first page was asked for */
	GPtrArray *kvs; /* struct etcd_kv by modification revision; borrowed */
};

struct etcd_load_opts {
	struct etcd *etcd;
	const char *prefixes[LOAD_PREFIXES_MAX];
	uint32_t prefix_count;
	void (*on_done)(void *data, const struct etcd_load_result *r);
	void *data;
};

struct etcd_load;

/* Starts a load; it frees itself after on_done. */
struct etcd_load *etcd_load_start(const struct etcd_load_opts *opts);

/* For clean-up after the calls of `etcd` are gone: frees without on_done. */
void etcd_load_free(struct etcd_load *l);

#endif
