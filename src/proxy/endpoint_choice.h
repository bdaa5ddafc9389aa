/*
 * endpoint_choice.h - which endpoint of a service runs a statement, by its
 * role, its log, its health and what a connection to it costs.
 */
#ifndef PROXY_ENDPOINT_CHOICE_H
#define PROXY_ENDPOINT_CHOICE_H

#include "proxy/placement.h"
#include "proxy/session.h"
#include "proxy/upstream.h"

/* Returns true if the endpoint may run the statement, by its role alone. */
bool endpoint_choice_can_run(const struct session *s, const struct upstream *u);

/*
 * Returns the endpoint that is to run the statement now, with how it gets a
 * connection in *source, or NULL.
 */
struct upstream *endpoint_choice_find(const struct session *s,
				      const struct service *svc,
				      enum conn_source *source, int64_t now_us);

/*
 * Returns true if another connection is free for the statement: to another
 * endpoint than `from`, or to `from` if no other one can run it.
 */
bool endpoint_choice_can_move(const struct session *s,
			      const struct upstream *from, int64_t now_us);

#endif
