#include "core/sizes.h"
#include "rate_check.h"
#include "summary.h"

static const double served_target = 99;
static const double wrongful_target = 0.1;

/* Counts of one workspace, in calm or while another one surges. */
struct fare {
	uint32_t in_rate;
	uint32_t served;
	uint32_t wrongful; /* refused for the rate, though inside it */
};

static bool surges(const struct plan_workspace *w)
{
	return w->surge_to_us > w->surge_from_us;
}

static void count(const struct records *r, uint32_t workspace, bool surge,
		  struct fare *out)
{
	*out = (struct fare){ 0 };
	for (guint i = 0; i < r->rows->len; i++) {
		const struct record *x =
			&g_array_index(r->rows, struct record, i);

		if (x->workspace != workspace || x->in_surge != surge ||
		    !x->in_rate)
			continue;
		out->in_rate++;
		out->served += !x->error;
		out->wrongful += x->error == ERR_RATE_LIMITED;
	}
}

static double percent(uint32_t part, uint32_t whole, double none)
{
	return whole ? 100.0 * part / whole : none;
}

static void add_served(struct figures *f, const char *workspace,
		       const char *when, const struct fare *one)
{
	char *name;

	if (!one->in_rate)
		return;
	name = g_strdup_printf("served_%s_%s", when, workspace);
	figures_add(f, name, percent(one->served, one->in_rate, 100), "%");
	g_free(name);
}

/* What a workspace got of its limit while it sent more. */
static void add_surging(const struct records *r, const struct plan *p,
			uint32_t workspace, struct figures *f)
{
	const struct plan_workspace *w = &p->workspaces[workspace];
	double seconds = (double)(w->surge_to_us - w->surge_from_us) / US_PER_S;
	uint32_t count = 0;

	for (guint i = 0; i < r->taken[workspace]->len; i++) {
		const struct taken *t =
			&g_array_index(r->taken[workspace], struct taken, i);
		int64_t at_us = t->sent_us - r->start_us;

		count += at_us >= w->surge_from_us && at_us < w->surge_to_us;
	}
	figures_add(f, "surging_got_of_limit",
		    100.0 * count / (w->limit_per_s * seconds), "%");
}

static void add_period(const struct records *r, const struct plan *p,
		       bool surge, struct figures *f)
{
	const char *when = surge ? "surge" : "calm";
	char *worst_name = g_strdup_printf("worst_served_%s", when);
	char *wrong_name = g_strdup_printf("wrongful_refusals_%s", when);
	double worst = 100;
	struct fare sum = { 0 };

	for (uint32_t i = 0; i < p->workspace_count; i++) {
		struct fare one;

		count(r, i, surge, &one);
		if (surge && surges(&p->workspaces[i])) {
			add_surging(r, p, i, f);
			continue;
		}
		add_served(f, p->workspaces[i].name, when, &one);
		worst = MIN(worst, percent(one.served, one.in_rate, 100));
		sum.in_rate += one.in_rate;
		sum.wrongful += one.wrongful;
	}
	if (sum.in_rate) {
		figures_target(f, worst_name, worst, "%", BOUND_AT_LEAST,
			       served_target);
		figures_target(f, wrong_name,
			       percent(sum.wrongful, sum.in_rate, 0), "%",
			       BOUND_AT_MOST, wrongful_target);
	}
	g_free(worst_name);
	g_free(wrong_name);
}

void summary_limits(const struct records *r, const struct plan *p,
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
		worst = MAX(worst, rate_check_excess(&c, r->taken[i],
						     r->start_us, end_us));
	}
	figures_target(f, "over_admission", worst, "requests", BOUND_AT_MOST,
		       0);
}
