#include "cli/check_command.h"

#include "cli/command.h"
#include "settings/settings.h"

#include <argp.h>
#include <stdio.h>

enum { REASON_BYTES = 512, OPT_SETTINGS = 'f' };

static const struct argp_option options[] = {
	{ "settings", OPT_SETTINGS, "FILE", 0, "Settings file to check", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	const char **path = state->input;

	switch (key) {
	case OPT_SETTINGS:
		*path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!*path)
			argp_error(state, "--settings is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.doc = "Check a settings file and print the first error, if any.",
};

int check_command(int argc, char **argv)
{
	static char name[] = "zinnialine check";
	const char *path = NULL;
	char reason[REASON_BYTES] = "";
	struct settings *s;

	argv[0] = name;
	if (argp_parse(&argp, argc, argv, 0, NULL, &path))
		return EXIT_USAGE;
	if (settings_load(path, &s, reason, sizeof(reason))) {
		fprintf(stderr, "%s\n", reason);
		return EXIT_SETTINGS;
	}
	settings_free(s);
	return EXIT_OK;
}
