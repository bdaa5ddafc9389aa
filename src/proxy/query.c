#include "proxy/query.h"

#include <glib.h>
#include <string.h>

void query_clear(struct query *q)
{
	g_free(q->line);
	memset(q, 0, sizeof(*q));
}

const char *query_kind_name(enum query_kind kind)
{
	static const char *const names[] = {
		[QUERY_BEGIN] = "begin",
		[QUERY_BEGIN_READ] = "begin-read",
		[QUERY_COMMIT] = "commit",
		[QUERY_ROLLBACK] = "rollback",
		[QUERY_READ] = "read",
		[QUERY_WRITE] = "write",
		[QUERY_SET] = "set",
		[QUERY_PREPARE] = "prepare",
		[QUERY_EXECUTE] = "execute",
		[QUERY_DEALLOCATE] = "deallocate",
		[QUERY_RESET] = "reset",
		[QUERY_END] = "end",
		[QUERY_MALFORMED] = "malformed",
	};

	return names[kind];
}
