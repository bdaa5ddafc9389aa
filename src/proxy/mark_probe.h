/*
 * mark_probe.h - asks a service's primary for its log position.
 *
 * The answer to BEGIN shows that the endpoint leads, where its log ends,
 * and that it is there; no slot is taken.
 */
#ifndef PROXY_MARK_PROBE_H
#define PROXY_MARK_PROBE_H

#include "proxy/engine.h"
#include "proxy/upstream.h"

void mark_probe_run(struct engine *e, struct service *svc, int64_t now_us);

#endif
