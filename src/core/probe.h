/*
 * probe.h - health checks: requests the status of endpoints and detects
 * endpoints that do not answer.
 *
 * Each endpoint has one probe connection. A probe that is not answered in
 * time closes the connection. The endpoint is marked down only when a probe
 * on a new connection fails too.
 */
#ifndef CORE_PROBE_H
#define CORE_PROBE_H

#include "core/event.h"
#include "core/world.h"

#include <stdbool.h>
#include <stdint.h>

/* System: sends the probes that are due and closes silent connections. */
void probe_run(struct world *w, int64_t now_us);

/*
 * Probes the group's endpoints now instead of at the usual interval, because
 * requests wait for their status.
 */
void probe_group_now(struct world *w, uint32_t group, int64_t now_us);

/*
 * Handles the failure of a probe connection whose last request was sent at
 * requested_us.
 */
void probe_handle_failure(struct world *w, uint32_t endpoint,
			  int64_t requested_us, int64_t now_us);

/* Handles the result of an exchange on a probe connection. */
void probe_handle_result(struct world *w, uint32_t endpoint,
			 enum exchange_plan plan,
			 const struct exchange_result *x, int64_t now_us);

/*
 * Starts an exchange on the endpoint's probe connection. Returns false when
 * there is no idle probe connection; the caller then tries again later.
 */
bool probe_send_plan(struct world *w, uint32_t endpoint,
		     enum exchange_plan plan, uint64_t term, int64_t now_us);

#endif
