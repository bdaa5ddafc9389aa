/*
 * relay_load.h - tells other instances how busy this home is, and records what
 * they tell; see placement/home_load.h.
 */
#ifndef PROXY_RELAY_LOAD_H
#define PROXY_RELAY_LOAD_H

#include "proxy/engine.h"
#include "proxy/session.h"
#include "proxy/upstream_conn.h"

/* Appends the load to what precedes an answer for another instance. */
void relay_load_put(GString *out, struct session *s, int64_t now_us);

/* Tells the load to instances that wait for an answer. */
void relay_load_run(struct engine *e, int64_t now_us);

/* Handles what a home has told. */
void relay_load_handle_line(struct upstream_conn *c, const char *line,
			    int64_t now_us);

/* Measures the service's load here, and records which homes are stalled. */
void relay_load_update(struct engine *e, struct service *svc, int64_t now_us);

#endif
