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
	/*
	 * These return the endpoint's state and, as the last column, the value
	 * of the parameter that is named mark.
	 */
	const char *state_sql; /* $1 mark */
	const char *raise_term_sql; /* $1 term, $2 mark */
	const char *promote_sql; /* $1 term, $2 mark */
	/* $1 workspace, $2 request id, $3 fingerprint, $4 answer */
	const char *request_insert_sql;
	/* $1 workspace, $2 request id, $3 answer */
	const char *request_update_sql;
	/* $1 workspace, $2 request id; returns fingerprint and answer */
	const char *request_lookup_sql;
	/*
	 * Parses a result of state_sql. Returns 0, or -EPROTO if it is
	 * malformed or has another mark, and so is the answer to another
	 * statement.
	 */
	int (*parse_state)(const PGresult *r, const char *mark,
			   struct endpoint_status *out);
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
