#include "core/sizes.h"
#include "rate_check.h"
#include "summary.h"

static const double served_min_percent = 99;
static const double refused_max_percent = 0.1;

/* Requests of one workspace, outside or inside a surge. */
struct limit_counts {
	uint32_t within_limit; /* had a token of the limit when sent */
	uint32_t served; /* of these */
	uint32_t refused; /* of these, as over the rate */
};

static bool has_surge(const struct plan_workspace *w)
{
	return w->surge_to_us > w->surge_from_us;
}

static void count_within_limit(const struct records *r, uint32_t workspace,
			       bool surge, struct limit_counts *out)
{
	*out = (struct limit_counts){ 0 };
	for (guint i = 0; i < r->rows->len; i++) {
		const struct work_record *x =
			&g_array_index(r->rows, struct work_record, i);

		if (x->workspace != workspace || x->in_surge != surge ||
		    !x->within_limit)
			continue;
		out->within_limit++;
		out->served += !x->error;
		out->refused += x->error == ERR_RATE_LIMITED;
	}
}

static double percent(uint32_t part, uint32_t whole, double if_empty)
{
	return whole ? 100.0 * part / whole : if_empty;
}

static void add_served(struct figures *f, const char *workspace,
		       const char *period, const struct limit_counts *counts)
{
	char *name;

	if (!counts->within_limit)
		return;
	name = g_strdup_printf("served_%s_%s", period, workspace);
	figures_add(f, name, percent(counts->served, counts->within_limit, 100),
		    "%");
	g_free(name);
}

/* Adds the admitted part of the limit of a workspace in its surge. */
static void add_surge_admissions(const struct records *r, const struct plan *p,
				 uint32_t workspace, struct figures *f)
{
	const struct plan_workspace *w = &p->workspaces[workspace];
	double seconds = (double)(w->surge_to_us - w->surge_from_us) / US_PER_S;
	uint32_t count = 0;

	for (guint i = 0; i < r->admitted[workspace]->len; i++) {
		const struct admitted_request *t =
			&g_array_index(r->admitted[workspace],
				       struct admitted_request, i);
		int64_t at_us = t->sent_us - r->start_us;

		count += at_us >= w->surge_from_us && at_us < w->surge_to_us;
	}
	figures_add(f, "surging_got_of_limit",
		    100.0 * count / (w->limit_per_s * seconds), "%");
}

static void add_period(const struct records *r, const struct plan *p,
		       bool surge, struct figures *f)
{
	const char *period = surge ? "surge" : "calm";
	char *worst_name = g_strdup_printf("worst_served_%s", period);
	char *refused_name = g_strdup_printf("wrongful_refusals_%s", period);
	double worst = 100;
	struct limit_counts sum = { 0 };

	for (uint32_t i = 0; i < p->workspace_count; i++) {
		struct limit_counts counts;

		count_within_limit(r, i, surge, &counts);
		if (surge && has_surge(&p->workspaces[i])) {
			add_surge_admissions(r, p, i, f);
			continue;
		}
		add_served(f, p->workspaces[i].name, period, &counts);
		worst = MIN(worst,
			    percent(counts.served, counts.within_limit, 100));
		sum.within_limit += counts.within_limit;
		sum.refused += counts.refused;
	}
	if (sum.within_limit) {
		figures_add_with_target(f, worst_name, worst, "%",
					BOUND_AT_LEAST, served_min_percent);
		figures_add_with_target(f, refused_name,
					percent(sum.refused, sum.within_limit,
						0),
					"%", BOUND_AT_MOST,
					refused_max_percent);
	}
	g_free(worst_name);
	g_free(refused_name);
}

void summary_add_limits(const struct records *r, const struct plan *p,
			struct figures *f)
{
	int64_t end_us = r->start_us + p->duration_us;
	double worst = 0;

	add_period(r, p, false, f);
	add_period(r, p, true, f);
	for (uint32_t i = 0; i < p->workspace_count; i++) {
		struct rate_check c;

		rate_check_init(&c, p->workspaces[i].limit_per_s,
				p->workspaces[i].limit_burst, r->start_us);
		worst = MAX(worst, rate_check_excess(&c, r->admitted[i],
						     r->start_us, end_us));
	}
	figures_add_with_target(f, "over_admission", worst, "requests",
				BOUND_AT_MOST, 0);
}
