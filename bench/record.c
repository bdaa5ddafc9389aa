#include "record.h"

struct records *records_new(void)
{
	struct records *r = g_new0(struct records, 1);

	r->rows = g_array_new(FALSE, TRUE, sizeof(struct work_record));
	for (int i = 0; i < PLAN_WORKSPACES_MAX; i++)
		r->admitted[i] = g_array_new(FALSE, TRUE,
					     sizeof(struct admitted_request));
	return r;
}

void records_free(struct records *r)
{
	for (int i = 0; i < PLAN_WORKSPACES_MAX; i++)
		g_array_free(r->admitted[i], TRUE);
	g_array_free(r->rows, TRUE);
	g_free(r);
}

bool work_is_write(enum work_kind kind)
{
	return kind != WORK_READ && kind != WORK_STRICT;
}
