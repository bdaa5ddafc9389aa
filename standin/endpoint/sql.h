/* sql.h - the subset of SQL that the endpoint understands. */
#ifndef ENDPOINT_SQL_H
#define ENDPOINT_SQL_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stdint.h>

enum { SQL_COLUMNS_MAX = 32, SQL_TERMS_MAX = 8 };

enum sql_kind {
	SQL_EMPTY,
	SQL_BEGIN,
	SQL_COMMIT,
	SQL_ROLLBACK,
	SQL_SET,
	SQL_SELECT, /* rows of a table */
	SQL_COUNT, /* number of rows of a table */
	SQL_CONSTANT, /* SELECT with a literal */
	SQL_FUNCTION, /* SELECT f(..) or SELECT * FROM f(..) */
	SQL_INSERT,
	SQL_UPDATE,
	SQL_DELETE,
};

/* A literal or a parameter. */
struct sql_operand {
	uint32_t param; /* $n; 0: `text` is the value */
	const char *text; /* NULL: the literal NULL */
};

enum sql_compare { SQL_EQ, SQL_GE, SQL_LE, SQL_GT, SQL_LT };

/* "column compare operand" of a WHERE clause; all must hold. */
struct sql_term {
	const char *column;
	enum sql_compare compare;
	struct sql_operand operand;
};

/* "column = operand", or "column = column sign operand". */
struct sql_assignment {
	const char *column;
	char sign; /* 0, '+' or '-' */
	struct sql_operand operand;
};

struct sql_statement {
	enum sql_kind kind;
	bool read_only; /* of BEGIN */
	const char *name; /* table or function */
	uint32_t column_count; /* 0 in a SELECT: all */
	const char *columns[SQL_COLUMNS_MAX];
	uint32_t operand_count; /* INSERT: as columns; function: arguments */
	struct sql_operand operands[SQL_COLUMNS_MAX];
	uint32_t assignment_count;
	struct sql_assignment assignments[SQL_TERMS_MAX];
	uint32_t term_count;
	struct sql_term terms[SQL_TERMS_MAX];
};

/* Returns the statement, in `pool`, or NULL for a syntax error. */
struct sql_statement *sql_parse(const char *text, apr_pool_t *pool);

/* Returns true for INSERT, UPDATE and DELETE. */
bool sql_writes(const struct sql_statement *st);

#endif
