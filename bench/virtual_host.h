/*
 * virtual_host.h - one core in virtual time, whose endpoints, peers and
 * platform answer at once.
 */
#ifndef BENCH_VIRTUAL_HOST_H
#define BENCH_VIRTUAL_HOST_H

#include "core/world.h"

enum { VIRTUAL_ENDPOINTS_PER_GROUP = 3 };

struct virtual_host_opts {
	uint32_t endpoints;
	uint32_t workspaces;
	uint32_t members;
	uint32_t requests_max;
};

/* What the core asked of the host since the start. */
struct virtual_host_counts {
	uint64_t exchanges;
	uint64_t replies;
	uint64_t platform_operations;
	uint64_t peer_messages; /* sent */
	uint64_t peer_bytes;
	uint64_t actions;
};

struct virtual_host;

/* Returns a configured core, freed with virtual_host_free(). */
struct virtual_host *virtual_host_new(const struct virtual_host_opts *opts);
void virtual_host_free(struct virtual_host *h);

struct world *virtual_host_world(struct virtual_host *h);
int64_t virtual_host_now_us(const struct virtual_host *h);
struct virtual_host_counts virtual_host_counts(const struct virtual_host *h);

/* Ticks for so long; returns the number of ticks. */
uint64_t virtual_host_run(struct virtual_host *h, int64_t duration_us);

/* Applies a record with a new revision. */
void virtual_host_put(struct virtual_host *h, struct record *r);
void virtual_host_put_workspace(struct virtual_host *h, uint32_t i);
void virtual_host_put_key(struct virtual_host *h, uint32_t i);
void virtual_host_put_endpoint(struct virtual_host *h, uint32_t i);

/*
 * Sends reads to the first group that are never answered, or to the second
 * group, where each is answered at once.
 */
void virtual_host_hold_reads(struct virtual_host *h, uint32_t count);
void virtual_host_serve_reads(struct virtual_host *h, uint32_t count);

#endif
