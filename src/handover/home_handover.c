#include "handover/home_handover.h"

#include <glib.h>
#include <string.h>

/* The last message of a leaver for a service. */
struct handover_row {
	char leaver[NAME_BYTES];
	int64_t until_us;
	struct home_handover message;
	bool done[HANDOVER_NEEDS_MAX];
};

struct handover_plan {
	GPtrArray *rows; /* struct handover_row, by age */
};

struct handover_plan *handover_plan_new(void)
{
	struct handover_plan *p = g_new0(struct handover_plan, 1);

	p->rows = g_ptr_array_new_with_free_func(g_free);
	return p;
}

void handover_plan_free(struct handover_plan *p)
{
	g_ptr_array_free(p->rows, TRUE);
	g_free(p);
}

static bool is_well_formed(const struct home_handover *h)
{
	return h->service[0] && memchr(h->service, '\0', sizeof(h->service)) &&
	       h->incarnation && h->valid_us > 0 &&
	       h->valid_us <= HANDOVER_VALID_MAX_US &&
	       h->need_count <= HANDOVER_NEEDS_MAX;
}

static struct handover_row *find_row(const struct handover_plan *p,
				     const char *leaver, const char *service)
{
	for (guint i = 0; i < p->rows->len; i++) {
		struct handover_row *r = g_ptr_array_index(p->rows, i);

		if (!strcmp(r->leaver, leaver) &&
		    !strcmp(r->message.service, service))
			return r;
	}
	return NULL;
}

bool handover_plan_put(struct handover_plan *p, const char *leaver,
		       const struct home_handover *h, int64_t now_us)
{
	struct handover_row *row;

	if (!is_well_formed(h) || strlen(leaver) >= NAME_BYTES)
		return false;
	row = find_row(p, leaver, h->service);
	if (row && h->incarnation <= row->message.incarnation)
		return false;
	if (row)
		g_ptr_array_remove(p->rows, row);
	else if (p->rows->len >= HANDOVER_LEAVERS_MAX)
		g_ptr_array_remove_index(p->rows, 0);
	row = g_new0(struct handover_row, 1);
	g_strlcpy(row->leaver, leaver, sizeof(row->leaver));
	row->until_us = now_us + h->valid_us;
	row->message = *h;
	g_ptr_array_add(p->rows, row);
	return true;
}

static bool find_next(struct handover_row *r, handover_judge_fn judge,
		      void *data, struct handover_need *out)
{
	for (uint32_t i = 0; i < r->message.need_count; i++) {
		enum handover_verdict v;

		if (r->done[i])
			continue;
		v = judge(data, &r->message.needs[i]);
		r->done[i] = v != HANDOVER_LATER;
		if (v != HANDOVER_OPEN)
			continue;
		*out = r->message.needs[i];
		return true;
	}
	return false;
}

bool handover_plan_next(struct handover_plan *p, const char *service,
			handover_judge_fn judge, void *data,
			struct handover_need *out, int64_t now_us)
{
	for (guint i = 0; i < p->rows->len; i++) {
		struct handover_row *r = g_ptr_array_index(p->rows, i);

		if (now_us < r->until_us &&
		    !strcmp(r->message.service, service) &&
		    find_next(r, judge, data, out))
			return true;
	}
	return false;
}
