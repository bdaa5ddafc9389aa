#include "postgres/endpoint_driver.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define SQLSTATE_UNIQUE_VIOLATION "23505"
#define SQLSTATE_READ_ONLY_TRANSACTION "25006"
#define SQLSTATE_NOT_IN_PREREQUISITE_STATE "55000"

/* Columns that group_state() returns, in this order, and the mark. */
enum {
	GROUP_CURRENT_TERM,
	GROUP_LAST_TERM,
	GROUP_LAST_OFFSET,
	GROUP_ROLE,
	GROUP_MARK,
	GROUP_COLUMNS,
};

static int parse_uint64(const char *text, uint64_t *out)
{
	char *end;

	errno = 0;
	*out = strtoull(text, &end, 10);
	return errno || end == text || *end ? -EPROTO : 0;
}

static int parse_role(const char *text, enum endpoint_role *out)
{
	*out = strcmp(text, "primary") == 0 ? ROLE_PRIMARY : ROLE_REPLICA;
	return *out == ROLE_PRIMARY || strcmp(text, "replica") == 0 ? 0 :
								      -EPROTO;
}

static int group_parse_state(const PGresult *r, const char *mark,
			     struct endpoint_status *out)
{
	if (PQntuples(r) != 1 || PQnfields(r) != GROUP_COLUMNS ||
	    strcmp(PQgetvalue(r, 0, GROUP_MARK), mark) != 0)
		return -EPROTO;
	if (parse_uint64(PQgetvalue(r, 0, GROUP_CURRENT_TERM),
			 &out->current_term) ||
	    parse_uint64(PQgetvalue(r, 0, GROUP_LAST_TERM),
			 &out->position.term) ||
	    parse_uint64(PQgetvalue(r, 0, GROUP_LAST_OFFSET),
			 &out->position.offset))
		return -EPROTO;
	return parse_role(PQgetvalue(r, 0, GROUP_ROLE), &out->role);
}

static bool group_is_not_primary(const char *sqlstate)
{
	return strcmp(sqlstate, SQLSTATE_READ_ONLY_TRANSACTION) == 0;
}

static bool group_is_term_refused(const char *sqlstate)
{
	return strcmp(sqlstate, SQLSTATE_NOT_IN_PREREQUISITE_STATE) == 0;
}

static bool group_is_duplicate(const char *sqlstate)
{
	return strcmp(sqlstate, SQLSTATE_UNIQUE_VIOLATION) == 0;
}

static const struct endpoint_driver drivers[] = {
	{
		.name = "group",
		.state_sql = "SELECT *, $1::text FROM group_state()",
		.raise_term_sql =
			"SELECT *, $2::text FROM group_raise_term($1)",
		.promote_sql = "SELECT *, $2::text FROM group_promote($1)",
		.request_insert_sql =
			"INSERT INTO zl_request "
			"(workspace, request_id, fingerprint, answer) "
			"VALUES ($1, $2, $3, $4)",
		.request_update_sql =
			"UPDATE zl_request SET answer = $3 "
			"WHERE workspace = $1 AND request_id = $2",
		.request_lookup_sql =
			"SELECT fingerprint, answer FROM zl_request "
			"WHERE workspace = $1 AND request_id = $2",
		.parse_state = group_parse_state,
		.is_not_primary = group_is_not_primary,
		.is_term_refused = group_is_term_refused,
		.is_duplicate = group_is_duplicate,
	},
};

const struct endpoint_driver *endpoint_driver_find(const char *name)
{
	for (size_t i = 0; i < sizeof(drivers) / sizeof(drivers[0]); i++)
		if (strcmp(drivers[i].name, name) == 0)
			return &drivers[i];
	return NULL;
}
