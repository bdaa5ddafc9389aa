/*
 * endpoint_driver.h - SQL, results and SQLSTATEs of each supported kind of
 * database group.
 */
#ifndef POSTGRES_ENDPOINT_DRIVER_H
#define POSTGRES_ENDPOINT_DRIVER_H

#include "core/event.h"

#include <libpq-fe.h>
#include <stdbool.h>

/* One supported kind of database group. */
struct endpoint_driver {
	const char *name; /* in the settings */
	const char *state_sql; /* returns the endpoint's state */
	const char *raise_term_sql; /* $1 term; returns the state */
	const char *promote_sql; /* $1 term; returns the state */
	/* $1 workspace, $2 request id, $3 fingerprint, $4 answer */
	const char *request_insert_sql;
	/* $1 workspace, $2 request id, $3 answer */
	const char *request_update_sql;
	/* $1 workspace, $2 request id; returns fingerprint and answer */
	const char *request_lookup_sql;
	/* Parses a result of state_sql. Returns 0 or -EPROTO. */
	int (*parse_state)(const PGresult *r, struct endpoint_status *out);
	/* Returns true if a replica refused a write with this SQLSTATE. */
	bool (*is_not_primary)(const char *sqlstate);
	/*
	 * Returns true if promote_sql was refused because the term is lower
	 * than the endpoint's or already has a primary.
	 */
	bool (*is_term_refused)(const char *sqlstate);
	/*
	 * Returns true if request_insert_sql failed because the request id is
	 * already recorded.
	 */
	bool (*is_duplicate)(const char *sqlstate);
};

/* Returns the driver with this name, or NULL if there is none. */
const struct endpoint_driver *endpoint_driver_find(const char *name);

#endif
