/* engine.h - executes parsed statements on the store and the group. */
#ifndef ENDPOINT_ENGINE_H
#define ENDPOINT_ENGINE_H

#include "group.h"
#include "sql.h"

/* SQLSTATE codes that the endpoint uses. */
#define SQLSTATE_SYNTAX "42601"
#define SQLSTATE_NO_TABLE "42P01"
#define SQLSTATE_NO_COLUMN "42703"
#define SQLSTATE_NO_FUNCTION "42883"
#define SQLSTATE_BAD_NUMBER "22P02"
#define SQLSTATE_NOT_NULL "23502"
#define SQLSTATE_UNIQUE "23505"
#define SQLSTATE_READ_ONLY "25006"
#define SQLSTATE_ABORTED "25P02"
#define SQLSTATE_STATE "55000"
#define SQLSTATE_SERIALIZATION "40001"
#define SQLSTATE_UNSUPPORTED "0A000"
#define SQLSTATE_TOO_MANY "53300"
#define SQLSTATE_BAD_PASSWORD "28P01"
#define SQLSTATE_PROTOCOL "08P01"

/* What a statement gave; filled in the pool of the statement. */
struct engine_result {
	const char *sqlstate; /* NULL: no error */
	const char *message;
	const char *constraint; /* NULL: none */
	const char *tag; /* of CommandComplete */
	uint32_t column_count;
	const char *columns[SQL_COLUMNS_MAX];
	/* Values row by row, column_count each; NULL is SQL's. */
	GPtrArray *values;
};

struct engine {
	struct store *store;
	struct group *group;
	uint64_t statements; /* that ran since the start */
};

struct engine_call {
	const struct sql_statement *statement;
	uint32_t param_count;
	const char *const *params;
	struct transaction *transaction;
	apr_pool_t *pool; /* of the result's texts */
};

/*
 * Fills names of the columns that the statement gives; none for one that
 * gives no rows. Returns 0, or -ENOENT with the error in `out`.
 */
int engine_describe(struct engine *e, const struct sql_statement *st,
		    apr_pool_t *pool, struct engine_result *out);

/* Runs a statement; its columns were described into `out` before. */
void engine_run(struct engine *e, const struct engine_call *c,
		struct engine_result *out);

/* Returns how long the statement asks to take, or -1 if it uses no slot. */
int64_t engine_sleep_us(const struct engine_call *c);

/* Commits; a doomed transaction is rolled back and gives an error. */
void engine_commit(struct engine *e, struct transaction *tx,
		   struct engine_result *out);

void engine_error(struct engine_result *out, const char *sqlstate,
		  const char *message);

#endif
