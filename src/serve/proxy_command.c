#include "cli/command.h"

#include "base/log.h"
#include "serve/session_host.h"
#include "serve/signals.h"

#include <apr_general.h>
#include <argp.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum { ERRBUF_BYTES = 512 };

/* Environment variable with the settings file; used without --settings. */
static const char SETTINGS_VARIABLE[] = "ZINNIALINE_SETTINGS";

struct proxy_args {
	const char *settings;
	bool check;
};

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0,
	  "Settings file of this instance (YAML); default: $ZINNIALINE_SETTINGS",
	  0 },
	{ "check", 'c', NULL, 0, "Check the settings file and exit", 0 },
	{ 0 },
};

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
	struct proxy_args *a = state->input;

	switch (key) {
	case 's':
		a->settings = arg;
		return 0;
	case 'c':
		a->check = true;
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
	session_host_drain(data);
}

static void on_reload(void *data)
{
	session_host_reload(data);
}

static const struct signal_ops signal_ops = { .on_stop = on_stop,
					      .on_reload = on_reload };

static int run_instance(const char *path, const struct proxy_settings *s)
{
	const struct log_rate_limit limit = { .fd = STDOUT_FILENO,
					      .lines_per_s =
						      s->log.lines_per_s };
	struct session_host *h = NULL;
	apr_pool_t *pool = NULL;
	char errbuf[ERRBUF_BYTES];
	int rc;

	apr_pool_create(&pool, NULL);
	log_setup(log_format_from_name(s->log.format),
		  log_level_from_name(s->log.level), s->instance.name);
	log_set_rate_limit(&limit);
	rc = session_host_new(&h, path, s, pool, errbuf, sizeof(errbuf));
	if (rc) {
		fprintf(stderr, "zinnialine: cannot start: %s\n", errbuf);
		apr_pool_destroy(pool);
		return EXIT_FAILED;
	}
	rc = signals_watch(session_host_loop(h), &signal_ops, h);
	if (!rc)
		rc = session_host_run(h);
	log_flush();
	apr_pool_destroy(pool);
	log_flush(); /* what the clean-up has logged */
	return rc ? EXIT_FAILED : EXIT_OK;
}

int proxy_command(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse_opt,
		NULL,	 "Run an instance that serves sessions.",
		NULL,	 NULL,
		NULL
	};
	struct proxy_args args = { .settings = getenv(SETTINGS_VARIABLE) };
	struct proxy_settings *s = NULL;
	char errbuf[ERRBUF_BYTES];
	int rc = EXIT_OK;

	if (argp_parse(&argp, argc, argv, 0, NULL, &args))
		return EXIT_USAGE;
	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0)
		return EXIT_FAILED;
	if (proxy_settings_load(args.settings, &s, errbuf, sizeof(errbuf))) {
		fprintf(stderr, "zinnialine: cannot load settings: %s\n",
			errbuf);
		return EXIT_SETTINGS;
	}
	if (!args.check)
		rc = run_instance(args.settings, s);
	proxy_settings_free(s);
	apr_terminate();
	return rc;
}
