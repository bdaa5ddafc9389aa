/* query.h - a caller's statement, as read from its session. */
#ifndef PROXY_QUERY_H
#define PROXY_QUERY_H

#include <stdbool.h>

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
	QUERY_END, /* the caller ends its session */
	QUERY_MALFORMED,
};

/* The texts point into `line`, which the query owns. */
struct query {
	enum query_kind kind;
	char *line;
	const char *id; /* the caller's, passed on unchanged */
	const char *text; /* READ, WRITE and COMMIT: the whole statement */
	const char *name; /* of a value or a prepared statement */
	const char *value; /* SET: value; PREPARE: shape; EXECUTE: arguments */
	bool writes; /* PREPARE */
};

/* Frees what the query owns. */
void query_clear(struct query *q);

/* Returns the kind's name for logs. */
const char *query_kind_name(enum query_kind kind);

#endif
