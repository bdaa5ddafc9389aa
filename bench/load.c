#include "load.h"

#include "driver.h"
#include "order_check.h"
#include "summary.h"

#include <argp.h>
#include <stdbool.h>
#include <curl/curl.h>
#include <unistd.h>

enum option_key {
	KEY_PLAN = 256,
	KEY_JSON,
	KEY_LABEL,
	KEY_FAULTS,
	KEY_VERIFY,
};

/* Wait for writes in progress before the stored orders are read. */
enum { SETTLE_S = 1 };

struct load_opts {
	const char *plan;
	const char *json;
	const char *label;
	const char *faults;
	bool verify;
};

static const struct argp_option options[] = {
	{ "plan", KEY_PLAN, "FILE", 0, "JSON file with the workload", 0 },
	{ "json", KEY_JSON, "FILE", 0, "append the figures as a JSON line", 0 },
	{ "label", KEY_LABEL, "TEXT", 0, "name of the run in the JSON line",
	  0 },
	{ "faults", KEY_FAULTS, "FILE", 0,
	  "injected faults: lines WALL_US GROUP WHAT", 0 },
	{ "verify", KEY_VERIFY, NULL, 0,
	  "compare the answers with the stored orders", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct load_opts *o = state->input;

	switch (key) {
	case KEY_PLAN:
		o->plan = arg;
		return 0;
	case KEY_JSON:
		o->json = arg;
		return 0;
	case KEY_LABEL:
		o->label = arg;
		return 0;
	case KEY_FAULTS:
		o->faults = arg;
		return 0;
	case KEY_VERIFY:
		o->verify = true;
		return 0;
	case ARGP_KEY_END:
		if (!o->plan)
			argp_error(state, "--plan is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp parser = {
	options, parse_option,
	NULL,	 "Sends the workload of a plan on schedule.",
	NULL,	 NULL,
	NULL
};

static int report(const struct load_opts *o, const struct plan *p,
		  const struct records *r)
{
	struct figures *f = figures_new();
	int rc = 0;

	summary_add_traffic(r, p, f);
	/* With faults, primaries change and reads have no clear role. */
	if (!o->faults)
		summary_add_reads(r, p, f);
	summary_add_limits(r, p, f);
	summary_add_gaps(r, p, o->faults, f);
	if (o->verify) {
		sleep(SETTLE_S);
		order_check_run(r, p, f);
	}
	figures_print(f);
	if (o->json)
		rc = figures_append(f, o->json, o->label);
	figures_free(f);
	return rc ? 1 : 0;
}

int load_main(int argc, char **argv)
{
	struct load_opts o = { .label = "load" };
	struct plan *p = g_new0(struct plan, 1);
	struct records *r;
	int rc = 1;

	argp_parse(&parser, argc, argv, 0, NULL, &o);
	if (!plan_load(p, o.plan)) {
		curl_global_init(CURL_GLOBAL_ALL);
		r = driver_run(p);
		rc = report(&o, p, r);
		records_free(r);
		curl_global_cleanup();
	}
	g_free(p);
	return rc;
}
