#include "cli/command.h"

#include "base/log.h"
#include "serve/instance.h"
#include "serve/signals.h"

#include <apr_general.h>
#include <argp.h>
#include <sodium.h>
#include <stdio.h>

enum { ERRBUF_BYTES = 512 };

struct serve_args {
	const char *settings;
};

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0, "Settings file of this instance (YAML)",
	  0 },
	{ 0 },
};

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
	struct serve_args *a = state->input;

	switch (key) {
	case 's':
		a->settings = arg;
		return 0;
	case ARGP_KEY_END:
		if (!a->settings)
			argp_error(state, "--settings is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void on_stop(void *data)
{
	instance_drain(data);
}

static const struct signal_ops signal_ops = { .on_stop = on_stop };

static int run_instance(const struct settings *s)
{
	apr_pool_t *pool = NULL;
	struct instance *in = NULL;
	char errbuf[ERRBUF_BYTES];
	int rc;

	apr_pool_create(&pool, NULL);
	log_setup(log_format_from_name(s->log.format),
		  log_level_from_name(s->log.level), s->instance.name);
	rc = instance_new(&in, s, pool, errbuf, sizeof(errbuf));
	if (rc) {
		fprintf(stderr, "zinnialine: cannot start: %s\n", errbuf);
		apr_pool_destroy(pool);
		return EXIT_FAILED;
	}
	rc = signals_watch(instance_loop(in), &signal_ops, in);
	if (!rc)
		rc = instance_run(in);
	apr_pool_destroy(pool);
	return rc ? EXIT_FAILED : EXIT_OK;
}

int serve_command(int argc, char **argv)
{
	static const struct argp argp = {
		options,
		parse_opt,
		NULL,
		"Run an instance until SIGTERM, SIGINT or an operator's drain request.",
		NULL,
		NULL,
		NULL
	};
	struct serve_args args = { 0 };
	struct settings *s = NULL;
	char errbuf[ERRBUF_BYTES];
	int rc;

	if (argp_parse(&argp, argc, argv, 0, NULL, &args))
		return EXIT_USAGE;
	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0)
		return EXIT_FAILED;
	if (settings_load(args.settings, &s, errbuf, sizeof(errbuf))) {
		fprintf(stderr, "zinnialine: cannot load settings: %s\n",
			errbuf);
		return EXIT_SETTINGS;
	}
	rc = run_instance(s);
	settings_free(s);
	apr_terminate();
	return rc;
}
