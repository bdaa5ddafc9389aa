/*
 * world.h - the deterministic core of one instance.
 *
 * The host (core/event.h) passes in events and ticks and carries out the
 * actions that result. The same options, events and times always give the same
 * actions.
 */
#ifndef CORE_WORLD_H
#define CORE_WORLD_H

#include "core/action.h"
#include "core/event.h"

#include <stdbool.h>
#include <stdint.h>

struct world;

struct world_opts {
	char instance[NAME_BYTES];
	char zone[NAME_BYTES];
	char address[ADDRESS_BYTES]; /* for peer messages */
	uint64_t incarnation; /* of this process: new at each start, not 0 */
	uint64_t seed; /* of the core's random numbers */
	uint32_t requests_max; /* in progress at once: waiting or running */
	uint32_t share_cells; /* same at all instances; see core/share.h */
	int64_t probe_interval_us; /* while no request waits for a quorum */
	int64_t silence_us; /* a silent connection is closed after this time */
	int64_t suspect_us; /* a silent endpoint is down after this time */
	int64_t key_grace_us; /* keys are accepted this long unconfirmed */
	int64_t transaction_idle_us; /* idle ones are rolled back after this */
};

/* Returns the default options; the names are empty and must be set. */
struct world_opts world_opts_default(void);

/* Returns a new core, to be freed with world_free(). Copies `opts`. */
struct world *world_new(const struct world_opts *opts, int64_t now_us);
void world_free(struct world *w);

/* Processes one event; it may be freed after the call. */
void world_handle_event(struct world *w, const struct event *e, int64_t now_us);

/* Runs every system once, in a fixed order. */
void world_tick(struct world *w, int64_t now_us);

/*
 * Removes the next action from the queue into *out. Returns false when there
 * is none.
 */
bool world_next_action(struct world *w, struct action *out);

/* Returns the time at which the next tick is due. */
int64_t world_next_tick_us(const struct world *w, int64_t now_us);

#endif
