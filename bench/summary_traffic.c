#include "core/sizes.h"
#include "summary.h"

enum { ERRORS_MAX = 1000 };

/* `kind` is an enum work_kind, or negative for all. */
static void add_latencies(const struct records *r, int kind, const char *name,
			  struct figures *f)
{
	GArray *us = g_array_new(FALSE, FALSE, sizeof(int64_t));

	for (guint i = 0; i < r->rows->len; i++) {
		const struct work_record *x =
			&g_array_index(r->rows, struct work_record, i);
		int64_t took_us = x->done_us - x->scheduled_us;

		if (!x->error && (kind < 0 || (int)x->kind == kind))
			g_array_append_val(us, took_us);
	}
	figures_add_percentiles(f, name, us);
	g_array_free(us, TRUE);
}

static void add_errors(const struct records *r, struct figures *f)
{
	uint32_t counts[ERRORS_MAX] = { 0 };

	for (guint i = 0; i < r->rows->len; i++) {
		int32_t e =
			-g_array_index(r->rows, struct work_record, i).error;

		counts[e ? CLAMP(e - 1000, 1, ERRORS_MAX - 1) : 0]++;
	}
	for (int e = 1; e < ERRORS_MAX; e++) {
		char *name;

		if (!counts[e])
			continue;
		name = g_strdup_printf("error_%s", error_info(-e - 1000)->slug);
		figures_add(f, name, counts[e], "requests");
		g_free(name);
	}
}

void summary_add_traffic(const struct records *r, const struct plan *p,
			 struct figures *f)
{
	uint32_t served = 0;
	uint32_t confirmed = 0;
	uint32_t unanswered = 0;

	for (guint i = 0; i < r->rows->len; i++) {
		const struct work_record *x =
			&g_array_index(r->rows, struct work_record, i);

		served += !x->error;
		unanswered += x->unanswered;
		confirmed += !x->error && work_is_write(x->kind);
	}
	figures_add(f, "sent", r->rows->len, "requests");
	figures_add(f, "served", served, "requests");
	figures_add(f, "unanswered", unanswered, "requests");
	figures_add(f, "throughput",
		    (double)served * US_PER_S / (double)p->duration_us, "1/s");
	figures_add(f, "confirmed_writes", confirmed, "requests");
	add_errors(r, f);
	add_latencies(r, -1, "latency", f);
	for (int k = 0; k < WORK_KIND_COUNT; k++) {
		char *name = g_strdup_printf("latency_%s",
					     work_kind_name((enum work_kind)k));

		add_latencies(r, k, name, f);
		g_free(name);
	}
}
