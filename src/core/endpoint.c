#include "core/endpoint.h"

#include <glib.h>

enum {
	SERVICE_WEIGHT = 8, /* of the average against one sample */
	/*
	 * Statements that each slot is given at once: one runs and one is
	 * on its way, so that the slot is not idle for a round trip.
	 */
	SLOT_DEPTH = 2,
	WORK_CONNS_MIN = 2,
};

bool endpoint_leaving(const struct endpoint *e)
{
	return e->listed_leaving || e->record.state == ENDPOINT_LEAVING;
}

bool endpoint_usable(const struct endpoint *e)
{
	return e->exists && e->has_status && !e->down && !endpoint_leaving(e);
}

void endpoint_set_part(struct endpoint *e, uint32_t instances)
{
	uint32_t n = MAX(instances, 1);
	uint32_t conns = e->record.connections_max / n;

	/* One connection of the part is the probe's. */
	e->conn_limit = MAX(conns > 0 ? conns - 1 : 0, WORK_CONNS_MIN);
	e->running_limit = MAX((e->record.slots * SLOT_DEPTH + n - 1) / n, 1);
	e->running_limit = MIN(e->running_limit, e->conn_limit);
}

void endpoint_add_service(struct endpoint *e, int64_t duration_us)
{
	if (!e->service_us)
		e->service_us = duration_us;
	e->service_us += (duration_us - e->service_us) / SERVICE_WEIGHT;
}

int64_t endpoint_wait_us(const struct endpoint *e, uint32_t ahead)
{
	uint32_t lanes = MAX(e->running_limit, 1);

	return e->service_us * (ahead / lanes);
}
