#include "cli/command.h"

#include "base/log.h"
#include "serve/instance.h"

#include <apr_general.h>
#include <argp.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum { WHY_BYTES = 512 };

struct serve_args {
	const char *settings;
};

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0, "Settings of this instance (YAML)", 0 },
	{ 0 },
};

static error_t parse(int key, char *arg, struct argp_state *state)
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

/* Written by the signal handler, read by the loop. */
static int signal_pipe[2];

static void on_signal(int number)
{
	int saved = errno;

	(void)!write(signal_pipe[1], "s", 1);
	errno = saved;
}

static void on_signal_pipe(void *data, int events)
{
	char byte;

	(void)!read(signal_pipe[0], &byte, 1);
	instance_drain(data);
}

static int watch_signals(struct instance *in)
{
	struct sigaction sa = { .sa_handler = on_signal };

	if (pipe2(signal_pipe, O_CLOEXEC | O_NONBLOCK))
		return -errno;
	sigaction(SIGTERM, &sa, NULL);
	sigaction(SIGINT, &sa, NULL);
	signal(SIGPIPE, SIG_IGN);
	return loop_watch(instance_loop(in), signal_pipe[0], LOOP_READ,
			  on_signal_pipe, in);
}

static enum log_level level_of(const char *name)
{
	static const char *const names[] = { "debug", "info", "warning",
					     "error" };

	for (int i = 0; i < 4; i++) {
		if (!strcmp(names[i], name))
			return (enum log_level)i;
	}
	return LOG_INFO;
}

static int run(const struct settings *s)
{
	apr_pool_t *pool = NULL;
	struct instance *in = NULL;
	char why[WHY_BYTES];
	int rc;

	apr_pool_create(&pool, NULL);
	log_setup(strcmp(s->log.format, "json") ? LOG_FORMAT_TEXT :
						  LOG_FORMAT_JSON,
		  level_of(s->log.level), s->instance.name);
	rc = instance_new(&in, s, pool, why, sizeof(why));
	if (rc) {
		fprintf(stderr, "zinnialine: %s\n", why);
		apr_pool_destroy(pool);
		return EXIT_FAILED;
	}
	rc = watch_signals(in);
	if (!rc)
		rc = instance_run(in);
	apr_pool_destroy(pool);
	return rc ? EXIT_FAILED : EXIT_OK;
}

int serve_command(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse,
		NULL,	 "Run one instance until it is told to stop.",
		NULL,	 NULL,
		NULL
	};
	struct serve_args args = { 0 };
	struct settings *s = NULL;
	char why[WHY_BYTES];
	int rc;

	if (argp_parse(&argp, argc, argv, 0, NULL, &args))
		return EXIT_USAGE;
	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0)
		return EXIT_FAILED;
	if (settings_load(args.settings, &s, why, sizeof(why))) {
		fprintf(stderr, "zinnialine: %s\n", why);
		return EXIT_SETTINGS;
	}
	rc = run(s);
	settings_free(s);
	apr_terminate();
	return rc;
}
