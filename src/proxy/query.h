/* query.h - a caller's statement, parsed from its line. */
#ifndef PROXY_QUERY_H
#define PROXY_QUERY_H

#include <stdbool.h>
#include <stddef.h>

enum query_kind {
	QUERY_BEGIN,
	QUERY_BEGIN_READ,
	QUERY_COMMIT,
	QUERY_ROLLBACK,
	QUERY_READ,
	QUERY_WRITE,
	QUERY_SET,
	QUERY_PREPARE,
	QUERY_EXECUTE,
	QUERY_DEALLOCATE,
	QUERY_RESET, /* of another instance: drops values and prepared names */
	QUERY_END, /* the caller ends its session */
	QUERY_MALFORMED,
};

/* A parsed statement. All texts point into `line`, which the query owns. */
struct query {
	enum query_kind kind;
	char *line;
	const char *id; /* the caller's statement id, passed on unchanged */
	/*
	 * READ, WRITE and COMMIT: the whole statement. It may hold NULs, but
	 * also ends with one.
	 */
	const char *text;
	size_t text_bytes;
	const char *name; /* name of the value or the prepared statement */
	/*
	 * SET: value; PREPARE: definition; EXECUTE: arguments, which may hold
	 * NULs
	 */
	const char *value;
	size_t value_bytes;
	bool writes; /* PREPARE: the statement may write */
};

/* Frees the query's line and clears the query. */
void query_clear(struct query *q);

/* Returns the name of the kind for logs and metrics. */
const char *query_kind_name(enum query_kind kind);

#endif
