/*
 * session_host.h - the process around a session engine: event loop, listeners,
 * endpoint connections, peers, metrics and reload of the settings.
 */
#ifndef SERVE_SESSION_HOST_H
#define SERVE_SESSION_HOST_H

#include "settings/proxy_settings.h"

#include <apr_pools.h>

struct session_host;

/*
 * Opens all listeners. The settings file is reloaded when it changes. The host
 * is freed with `parent`; `settings` must outlive it. Returns 0, or a negative
 * errno with a one-line message in `errbuf`.
 */
int session_host_new(struct session_host **out, const char *settings_path,
		     const struct proxy_settings *settings, apr_pool_t *parent,
		     char *errbuf, size_t errbuf_size);

/*
 * Runs the event loop until a shutdown is complete. Returns 0 or a negative
 * errno.
 */
int session_host_run(struct session_host *h);

/* Starts a graceful shutdown; no effect if one is in progress. */
void session_host_drain(struct session_host *h);

/*
 * Reloads the settings file and applies its sections keys, limits and
 * shutdown. Invalid settings are logged and not applied.
 */
void session_host_reload(struct session_host *h);

/* Returns the event loop of the host; owned by the host. */
struct loop *session_host_loop(const struct session_host *h);

#endif
