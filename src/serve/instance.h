/* instance.h - one running instance: the core with its adapters. */
#ifndef SERVE_INSTANCE_H
#define SERVE_INSTANCE_H

#include "settings/settings.h"

#include "base/loop.h"

#include <apr_pools.h>

struct instance;

/*
 * Opens the listeners and connections. The instance is freed with `parent`;
 * `s` must outlive it. Returns 0, or a negative errno with a one-line message
 * in `errbuf`.
 */
int instance_new(struct instance **out, const struct settings *s,
		 apr_pool_t *parent, char *errbuf, size_t errbuf_size);

/*
 * Runs the event loop until a graceful shutdown is complete. Returns 0 or a
 * negative errno.
 */
int instance_run(struct instance *in);

/* Returns the event loop of the instance; owned by the instance. */
struct loop *instance_loop(const struct instance *in);

/* Starts a graceful shutdown; no effect if one is in progress. */
void instance_drain(struct instance *in);

#endif
