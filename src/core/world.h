/*
 * world.h - the deterministic core of one instance.
 *
 * The host feeds events and ticks and carries out the actions. The same
 * events, times and seed always give the same actions.
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
	uint64_t incarnation; /* new at each start, never 0 */
	uint64_t seed; /* of the core's random numbers */
	uint32_t requests_max; /* waiting and running at once */
	uint32_t share_cells;
	int64_t probe_interval_us; /* of an endpoint in calm */
	int64_t silence_us; /* of a connection, until it is retired */
	int64_t suspect_us; /* silence of a primary until it is suspected */
	int64_t key_grace_us; /* keys hold without confirmation so long */
	int64_t transaction_idle_us; /* until an idle one is rolled back */
};

/* Returns opts with every default filled in and no names. */
struct world_opts world_opts_default(void);

/* Returns a new core, freed with world_free(). */
struct world *world_new(const struct world_opts *opts, int64_t now_us);
void world_free(struct world *w);

/* Takes one event in. */
void world_handle(struct world *w, const struct event *e, int64_t now_us);

/* Runs every system once, in a fixed order. */
void world_tick(struct world *w, int64_t now_us);

/* Takes the next action out; returns false when there is none. */
bool world_next_action(struct world *w, struct action *out);

/* Returns when the next tick is due. */
int64_t world_next_tick_us(const struct world *w, int64_t now_us);

#endif
