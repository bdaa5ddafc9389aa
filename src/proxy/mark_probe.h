/*
 * mark_probe.h - periodically reads the log position of a service's primary.
 *
 * A probe sends BEGIN and ROLLBACK. The answer to BEGIN shows that the endpoint
 * is reachable and is the primary, and where its log ends. BEGIN takes no slot
 * of the endpoint, so it is answered without delay under load too.
 */
#ifndef PROXY_MARK_PROBE_H
#define PROXY_MARK_PROBE_H

#include "proxy/engine.h"
#include "proxy/upstream.h"

/*
 * Sends the probe that is due, if any, and closes connections that did not
 * answer in time. While no primary is known, all endpoints are probed.
 */
void mark_probe_run(struct engine *e, struct service *svc, int64_t now_us);

#endif
