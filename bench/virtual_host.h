/*
 * virtual_host.h - runs one core in virtual time; its endpoints, peers and
 * platform are simulated and answer immediately.
 */
#ifndef BENCH_VIRTUAL_HOST_H
#define BENCH_VIRTUAL_HOST_H

#include "core/world.h"

enum { VIRTUAL_ENDPOINTS_PER_GROUP = 3 };

struct virtual_host_opts {
	uint32_t endpoints;
	uint32_t workspaces;
	uint32_t members; /* other instances */
	uint32_t requests_max; /* in progress */
};

/* Actions of the core since the start. */
struct virtual_host_counts {
	uint64_t exchanges; /* with endpoints */
	uint64_t replies; /* to callers */
	uint64_t platform_operations;
	uint64_t peer_messages; /* sent */
	uint64_t peer_bytes;
	uint64_t actions; /* of all types */
};

struct virtual_host;

/* Returns a configured core, freed with virtual_host_free(). */
struct virtual_host *virtual_host_new(const struct virtual_host_opts *opts);
void virtual_host_free(struct virtual_host *h);

struct world *virtual_host_world(struct virtual_host *h);
int64_t virtual_host_now_us(const struct virtual_host *h);
struct virtual_host_counts virtual_host_counts(const struct virtual_host *h);

/* Runs the core for a virtual time. Returns the number of ticks. */
uint64_t virtual_host_run(struct virtual_host *h, int64_t duration_us);

/*
 * virtual_host_put() delivers a record with a new revision; the others make
 * record i of their kind and deliver it.
 */
void virtual_host_put(struct virtual_host *h, struct record *r);
void virtual_host_put_workspace(struct virtual_host *h, uint32_t i);
void virtual_host_put_key(struct virtual_host *h, uint32_t i);
void virtual_host_put_endpoint(struct virtual_host *h, uint32_t i);

/*
 * Sends reads to the first group, whose endpoints never answer them, or to the
 * second group, where each is answered immediately.
 */
void virtual_host_hold_reads(struct virtual_host *h, uint32_t count);
void virtual_host_serve_reads(struct virtual_host *h, uint32_t count);

#endif
