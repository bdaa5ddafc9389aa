/* engine.h - executes parsed statements on the tables and the group log. */
#ifndef ENDPOINT_ENGINE_H
#define ENDPOINT_ENGINE_H

#include "group.h"
#include "sql.h"

/* SQLSTATE codes that the endpoint returns. */
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

/* Result of a statement; its texts live in the statement's pool. */
struct engine_result {
	const char *sqlstate; /* NULL: no error */
	const char *message;
	const char *constraint; /* violated one; NULL: none */
	const char *tag; /* command tag of CommandComplete */
	uint32_t column_count;
	const char *columns[SQL_COLUMNS_MAX];
	/* Texts, row by row, column_count each; NULL is an SQL NULL. */
	GPtrArray *values;
};

struct engine {
	struct store *store;
	struct group *group;
	uint64_t statement_count; /* statements run since the start */
};

/* One execution of a statement. */
struct engine_call {
	const struct sql_statement *statement;
	uint32_t param_count;
	const char *const *params;
	struct transaction *transaction;
	apr_pool_t *pool; /* for the texts of the result */
};

/*
 * Sets the column names of the statement's result; a statement that returns
 * no rows has none. Returns 0, or -ENOENT with the error set in `out`.
 */
int engine_describe(struct engine *e, const struct sql_statement *st,
		    apr_pool_t *pool, struct engine_result *out);

/*
 * Runs a statement and stores its values and tag, or an error, in `out`.
 * Before, engine_describe() must have set its columns, and the caller
 * out->values to an empty array.
 */
void engine_run(struct engine *e, const struct engine_call *c,
		struct engine_result *out);

/*
 * Returns the extra duration that the statement requests with zl_sleep(), in
 * us, 0 if none, or -1 if the statement needs no slot.
 */
int64_t engine_sleep_us(const struct engine_call *c);

/*
 * Commits and appends the changes to the group log. A rollback-only
 * transaction is rolled back instead, with an error in `out`.
 */
void engine_commit(struct engine *e, struct transaction *tx,
		   struct engine_result *out);

/* Sets the error; the texts are not copied. */
void engine_set_error(struct engine_result *out, const char *sqlstate,
		      const char *message);

#endif
