#include "core/endpoint.h"

#include <glib.h>

enum {
	SERVICE_AVERAGE_SAMPLES = 8, /* a sample counts 1/8 in the average */
	/*
	 * Statements in flight per slot: while one runs, the next one is
	 * already being sent, so the slot is not idle for a round trip.
	 */
	STATEMENTS_PER_SLOT = 2,
	WORK_CONNS_MIN = 2,
};

bool endpoint_is_leaving(const struct endpoint *e)
{
	return e->platform_leaving || e->record.state == ENDPOINT_LEAVING;
}

bool endpoint_is_usable(const struct endpoint *e)
{
	return e->exists && e->has_status && !e->down &&
	       !endpoint_is_leaving(e);
}

bool endpoint_has_lost_state(const struct endpoint *e,
			     const struct endpoint_status *s)
{
	return s->current_term < e->latest_term ||
	       position_cmp(s->position, e->latest_position) < 0;
}

void endpoint_set_limits(struct endpoint *e, uint32_t instances)
{
	uint32_t n = MAX(instances, 1);
	uint32_t conns = e->record.connections_max / n;

	/* One of the connections is reserved for probes. */
	e->conn_limit = MAX(conns > 0 ? conns - 1 : 0, WORK_CONNS_MIN);
	e->running_limit =
		MAX((e->record.slots * STATEMENTS_PER_SLOT + n - 1) / n, 1);
	e->running_limit = MIN(e->running_limit, e->conn_limit);
}

void endpoint_add_service_time(struct endpoint *e, int64_t duration_us)
{
	if (!e->mean_service_us)
		e->mean_service_us = duration_us;
	e->mean_service_us +=
		(duration_us - e->mean_service_us) / SERVICE_AVERAGE_SAMPLES;
}

int64_t endpoint_estimate_wait_us(const struct endpoint *e, uint32_t ahead)
{
	uint32_t parallel = MAX(e->running_limit, 1);

	return e->mean_service_us * (ahead / parallel);
}
