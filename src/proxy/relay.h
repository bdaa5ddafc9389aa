/*
 * relay.h - keeps the homes of each service up to date; see homes.h.
 */
#ifndef PROXY_RELAY_H
#define PROXY_RELAY_H

#include "proxy/engine.h"

/* Chooses homes and observers again if instances or endpoints have changed. */
void relay_run(struct engine *e, int64_t now_us);

/* Tells the instances that use this one as a home that it is stopping. */
void relay_announce_leaving(struct engine *e);

#endif
