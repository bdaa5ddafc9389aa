/*
 * session_host.h - the process around a session engine: listeners, endpoint
 * connections, peers, signals and the log.
 */
#ifndef SERVE_SESSION_HOST_H
#define SERVE_SESSION_HOST_H

#include "settings/proxy_settings.h"

#include <apr_pools.h>

struct session_host;

/*
 * Opens every listener. `path` is read again when it changes. Freed with
 * its parent pool. Returns 0, or a negative errno with a line in `why`.
 */
int session_host_new(struct session_host **out, const char *path,
		     const struct proxy_settings *settings, apr_pool_t *parent,
		     char *why, size_t why_size);

/* Serves until a shutdown is complete. Returns 0 or a negative errno. */
int session_host_run(struct session_host *h);

/* Begins a shutdown. */
void session_host_drain(struct session_host *h);

/* Reads the settings again. */
void session_host_reload(struct session_host *h);

struct loop *session_host_loop(const struct session_host *h);

#endif
