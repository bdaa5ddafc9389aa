/* sql_guard.h - statements that callers may not send. */
#ifndef POSTGRES_SQL_GUARD_H
#define POSTGRES_SQL_GUARD_H

#include <stdbool.h>

/*
 * Returns false for statements that control transactions or change the
 * state of the connection, which later requests of others share.
 */
bool sql_guard_allows(const char *sql);

#endif
