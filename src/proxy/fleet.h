/*
 * fleet.h - applies the store's entries to the engine: configuration,
 * endpoints, replica sets, instances, the duty's holder and choices of a new
 * primary.
 */
#ifndef PROXY_FLEET_H
#define PROXY_FLEET_H

#include "proxy/engine.h"
#include "proxy/upstream.h"

/*
 * Applies one item or its removal. If the item is a configuration and is
 * applied, the engine takes ownership of it.
 */
void fleet_handle_item(struct engine *e, struct store_item *item,
		       int64_t now_us);

/*
 * Handles the begin (`ends` is false) or the end of a list of all items. At the
 * end, instances that were not in it are removed, and endpoints that were not
 * in it are marked as missing.
 */
void fleet_handle_list(struct engine *e, bool ends, int64_t now_us);

/*
 * Records whether the store answers. After an outage, endpoints whose entries
 * are missing are kept for a while; see engine.entries_settle_us.
 */
void fleet_set_store_reachable(struct engine *e, bool reachable,
			       int64_t now_us);

/* Gives no more work to endpoints whose entries stayed missing. */
void fleet_run(struct engine *e, int64_t now_us);

/* Returns the service of that name; owned by the engine. */
struct service *fleet_get_or_create_service(struct engine *e, const char *name);

/* Adds an endpoint that is not known and has no entry in the store. */
void fleet_add_unlisted_upstream(struct engine *e,
				 const struct upstream_entry *entry,
				 int64_t now_us);

/* Forgets an endpoint. */
void fleet_remove_upstream(struct engine *e, struct upstream *u,
			   const char *reason, int64_t now_us);

#endif
