/* sql.h - parses the subset of SQL that the endpoint supports. */
#ifndef ENDPOINT_SQL_H
#define ENDPOINT_SQL_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stdint.h>

enum { SQL_COLUMNS_MAX = 32, SQL_CLAUSE_ITEMS_MAX = 8 };

enum sql_kind {
	SQL_EMPTY,
	SQL_BEGIN,
	SQL_COMMIT,
	SQL_ROLLBACK,
	SQL_SET,
	SQL_SELECT, /* SELECT columns FROM a table */
	SQL_COUNT, /* SELECT count(*) FROM a table */
	SQL_CONSTANT, /* SELECT literal */
	SQL_FUNCTION, /* SELECT f(..) or SELECT * FROM f(..) */
	SQL_INSERT,
	SQL_UPDATE,
	SQL_DELETE,
};

/* A literal or a parameter. */
struct sql_operand {
	uint32_t param; /* n of $n; 0: a literal */
	const char *text; /* of a literal; NULL: the literal NULL */
};

enum sql_compare { SQL_EQ, SQL_GE, SQL_LE, SQL_GT, SQL_LT };

/* "column compare operand" in a WHERE clause, where all must hold. */
struct sql_condition {
	const char *column;
	enum sql_compare compare;
	struct sql_operand operand;
};

/* "column = operand" or "column = column sign operand" in a SET clause. */
struct sql_assignment {
	const char *column;
	char sign; /* '+' or '-'; 0: the first form */
	struct sql_operand operand;
};

struct sql_statement {
	enum sql_kind kind;
	bool read_only; /* BEGIN READ ONLY */
	const char *name; /* table or function */
	uint32_t column_count; /* 0 in a SELECT: all columns */
	const char *columns[SQL_COLUMNS_MAX];
	/* Values of an INSERT, one for each column, or function arguments. */
	uint32_t operand_count;
	struct sql_operand operands[SQL_COLUMNS_MAX];
	/* Last column of SELECT *, operand FROM f(..). */
	bool has_last_column;
	struct sql_operand last_column;
	uint32_t assignment_count;
	struct sql_assignment assignments[SQL_CLAUSE_ITEMS_MAX];
	uint32_t condition_count;
	struct sql_condition conditions[SQL_CLAUSE_ITEMS_MAX];
};

/*
 * Parses one statement and allocates it in `pool`. Returns NULL on a syntax
 * error.
 */
struct sql_statement *sql_parse(const char *text, apr_pool_t *pool);

/* Returns true for INSERT, UPDATE and DELETE. */
bool sql_is_write(const struct sql_statement *st);

#endif
