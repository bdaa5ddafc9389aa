/*
 * mark_probe.h - periodically reads the log position of a service's primary.
 *
 * The answer to BEGIN shows that the endpoint is reachable and is the primary,
 * and where its log ends. BEGIN takes no slot of the endpoint.
 */
#ifndef PROXY_MARK_PROBE_H
#define PROXY_MARK_PROBE_H

#include "proxy/engine.h"
#include "proxy/upstream.h"

/* Sends the probe that is due, if any, and closes silent connections. */
void mark_probe_run(struct engine *e, struct service *svc, int64_t now_us);

#endif
