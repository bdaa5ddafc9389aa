/* sql_guard.h - rejects SQL statements that callers may not send. */
#ifndef POSTGRES_SQL_GUARD_H
#define POSTGRES_SQL_GUARD_H

#include <stdbool.h>

/*
 * Returns false for a statement that controls transactions or changes the
 * state of the connection, because later requests of other callers use the
 * same connection. Only the first keyword is examined.
 */
bool sql_guard_allows(const char *sql);

#endif
