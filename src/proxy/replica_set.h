/*
 * replica_set.h - the endpoints of each service that may hold its log.
 *
 * An endpoint's entry in the store expires when the endpoint cannot reach the
 * store. It may still receive the log and so let the primary acknowledge
 * commits that no other replica has. So an endpoint without an entry remains
 * in the set, and failovers wait for it, until it is released because
 *  - it has ended, and an endpoint that stays has as much of the log. It has
 *    ended if another process runs at its address, or if it had announced its
 *    shutdown, is paused, as its last status said, and does not answer; or
 *  - it has not answered for engine_opts.replica_wait_us.
 *
 * It may start again under a new id, with its log, and still not reach the
 * store. Then the process of its service at its address takes its place in the
 * set, and it is released only once the entry with that id is there.
 *
 * The holder of the duty and its likely successors check such endpoints once a
 * second. The holder releases them and writes the set to the store. From there
 * an instance that starts later learns of the endpoints that have no entry.
 */
#ifndef PROXY_REPLICA_SET_H
#define PROXY_REPLICA_SET_H

#include "proxy/upstream.h"

#include <stdint.h>

struct engine;
struct replica_sets;

/* Freed with replica_sets_free(). */
struct replica_sets *replica_sets_new(struct engine *e);
void replica_sets_free(struct replica_sets *rs);

/* Handles the set of one service as read from the store, or its removal. */
void replica_sets_handle_item(struct replica_sets *rs,
			      const struct store_item *item, int64_t now_us);

/* Checks and releases endpoints without an entry; writes changed sets. */
void replica_sets_run(struct replica_sets *rs, int64_t now_us);

/* Returns why the endpoint is no longer in the set, or NULL if it is. */
const char *replica_set_find_release_reason(const struct upstream *u,
					    int64_t wait_us, int64_t now_us);

#endif
