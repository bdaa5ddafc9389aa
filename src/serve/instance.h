/* instance.h - one running instance: the core and its adapters. */
#ifndef SERVE_INSTANCE_H
#define SERVE_INSTANCE_H

#include "settings/settings.h"

#include "base/loop.h"

#include <apr_pools.h>

struct instance;

/*
 * Opens listeners and connections. Freed with its parent pool. Returns 0,
 * or a negative errno with one line in `why`.
 */
int instance_new(struct instance **out, const struct settings *s,
		 apr_pool_t *parent, char *why, size_t why_size);

/* Runs until a graceful shutdown has ended. */
int instance_run(struct instance *in);

/* The loop that it runs on. */
struct loop *instance_loop(const struct instance *in);

/* Starts a graceful shutdown. */
void instance_drain(struct instance *in);

#endif
