/*
 * service_health.h - records what the endpoints of a service did, and judges
 * them by it.
 */
#ifndef PROXY_SERVICE_HEALTH_H
#define PROXY_SERVICE_HEALTH_H

#include "proxy/upstream.h"
#include "proxy/upstream_conn.h"

#include <stdint.h>

/* Records the complete answer to a statement; .answer and .writes are set. */
void service_health_record_answer(struct upstream_conn *c, int64_t took_us,
				  int64_t now_us);

/* Records that a connection was started. */
void service_health_record_start(struct upstream_conn *c, int64_t took_us,
				 int64_t now_us);

/*
 * Records that the work that the connection does will not be answered on it.
 * Called before the connection is closed.
 */
void service_health_record_loss(struct upstream_conn *c, int64_t now_us);

/* Records that a read of the service was sent to an endpoint. */
void service_health_count_read(struct service *svc);

/* Judges the endpoints of the service when that is due. */
void service_health_run(struct engine *e, struct service *svc, int64_t now_us);

#endif
