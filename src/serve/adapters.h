/*
 * adapters.h - opens the adapters of an instance (peers, endpoints, callers,
 * platform) and passes their events to its core.
 */
#ifndef SERVE_ADAPTERS_H
#define SERVE_ADAPTERS_H

#include "core/world.h"
#include "serve/instance.h"

#include <stddef.h>
#include <stdint.h>

/* Each opens one adapter. Returns 0 or a negative errno. */
int adapters_open_peers(struct instance *in, uint64_t incarnation);
int adapters_open_endpoints(struct instance *in);
int adapters_open_callers(struct instance *in);
int adapters_open_platform(struct instance *in, const struct world_opts *w);

/*
 * Writes "ip:port" of the peer listener to `out`. With port 0 in the settings,
 * this is the port that the system assigned.
 */
void adapters_format_peer_address(const struct instance *in, char *out,
				  size_t size);

#endif
