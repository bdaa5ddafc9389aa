/*
 * fleet.h - what the store tells: configuration, endpoints, instances.
 */
#ifndef PROXY_FLEET_H
#define PROXY_FLEET_H

#include "proxy/engine.h"

/* One item, or its removal; takes the configuration out of it. */
void fleet_handle_item(struct engine *e, struct store_item *item,
		       int64_t now_us);

/* Around the items of a list: entries that do not come are gone. */
void fleet_handle_list(struct engine *e, bool ends, int64_t now_us);

void fleet_set_store_reachable(struct engine *e, bool reachable,
			       int64_t now_us);

/* Drops endpoints whose entries did not come back. */
void fleet_run(struct engine *e, int64_t now_us);

#endif
