/* endpoint_driver.h - how the kinds of database groups are talked to. */
#ifndef POSTGRES_ENDPOINT_DRIVER_H
#define POSTGRES_ENDPOINT_DRIVER_H

#include "core/event.h"

#include <libpq-fe.h>
#include <stdbool.h>

/* The SQL of one kind of database group. */
struct endpoint_driver {
	const char *name;
	const char *state_sql;
	const char *raise_term_sql; /* $1 term; gives the state */
	const char *promote_sql; /* $1 term; gives the state */
	/* $1 workspace, $2 request id, $3 fingerprint, $4 answer */
	const char *request_insert_sql;
	/* $1 workspace, $2 request id, $3 answer */
	const char *request_update_sql;
	/* $1 workspace, $2 request id; gives fingerprint and answer */
	const char *request_lookup_sql;
	/* Reads a result of state_sql. Returns 0 or -EPROTO. */
	int (*parse_state)(const PGresult *r, struct endpoint_status *out);
	/* Returns true for a write's refusal by an endpoint that is replica. */
	bool (*is_not_primary)(const char *sqlstate);
	/* Returns true for a term that is behind or has a primary. */
	bool (*is_term_refused)(const char *sqlstate);
	/* Returns true when the request id is recorded already. */
	bool (*is_duplicate)(const char *sqlstate);
};

/* Returns the row with this name, or NULL. */
const struct endpoint_driver *endpoint_driver_find(const char *name);

#endif
