#include "record.h"

struct records *records_new(void)
{
	struct records *r = g_new0(struct records, 1);

	r->rows = g_array_new(FALSE, TRUE, sizeof(struct record));
	for (int i = 0; i < PLAN_WORKSPACES_MAX; i++)
		r->taken[i] = g_array_new(FALSE, TRUE, sizeof(struct taken));
	return r;
}

void records_free(struct records *r)
{
	for (int i = 0; i < PLAN_WORKSPACES_MAX; i++)
		g_array_free(r->taken[i], TRUE);
	g_array_free(r->rows, TRUE);
	g_free(r);
}

bool work_writes(enum work_kind kind)
{
	return kind != WORK_READ && kind != WORK_STRICT;
}
