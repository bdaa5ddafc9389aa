/*
 * fleet.h - applies the store's entries to the engine: configuration,
 * endpoints, instances, the duty's holder and choices of a new primary.
 */
#ifndef PROXY_FLEET_H
#define PROXY_FLEET_H

#include "proxy/engine.h"

/*
 * Applies one item or its removal. Takes ownership of the configuration in
 * it if that is applied.
 */
void fleet_handle_item(struct engine *e, struct store_item *item,
		       int64_t now_us);

/*
 * A list of all items begins (`ends` is false) or ends. Instances that were
 * not in it are removed; endpoints are marked as missing.
 */
void fleet_handle_list(struct engine *e, bool ends, int64_t now_us);

/*
 * Notes whether the store answers. After an outage, missing entries get time
 * to come back; see entries_settle_us.
 */
void fleet_set_store_reachable(struct engine *e, bool reachable,
			       int64_t now_us);

/* Removes endpoints whose entries stayed missing. */
void fleet_run(struct engine *e, int64_t now_us);

#endif
