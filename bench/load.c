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

enum { SETTLE_S = 1 };

struct load_opts {
	const char *plan;
	const char *json;
	const char *label;
	const char *faults;
	bool verify;
};

static const struct argp_option options[] = {
	{ "plan", KEY_PLAN, "FILE", 0, "what to send", 0 },
	{ "json", KEY_JSON, "FILE", 0, "append the figures", 0 },
	{ "label", KEY_LABEL, "TEXT", 0, "name of the run", 0 },
	{ "faults", KEY_FAULTS, "FILE", 0, "lines WALL_US GROUP WHAT", 0 },
	{ "verify", KEY_VERIFY, NULL, 0, "compare with what is stored", 0 },
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

static const struct argp parser = { options, parse_option,
				    NULL,    "Sends a plan's work by schedule.",
				    NULL,    NULL,
				    NULL };

static int report(const struct load_opts *o, const struct plan *p,
		  const struct records *r)
{
	struct figures *f = figures_new();
	int rc = 0;

	summary_traffic(r, p, f);
	/* Roles are not known while primaries change. */
	if (!o->faults)
		summary_reads(r, p, f);
	summary_limits(r, p, f);
	summary_gaps(r, p, o->faults, f);
	if (o->verify) {
		sleep(SETTLE_S);
		ledger_verify(r, p, f);
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
