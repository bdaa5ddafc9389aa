#include "slopes.h"

#include "idle_callers.h"
#include "slope_core.h"
#include "slope_fit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int core_main(int argc, char **argv)
{
	slope_core_print(stdout);
	return 0;
}

static int fit_main(int argc, char **argv)
{
	bool json = argc > 1 && !strcmp(argv[1], "json");

	return slope_fit_print(stdin, stdout, json) ? 1 : 0;
}

static int idle_main(int argc, char **argv)
{
	if (argc < 3)
		return 2;
	return idle_callers_hold((uint16_t)strtoul(argv[1], NULL, 10),
				 (uint32_t)strtoul(argv[2], NULL, 10)) ?
		       1 :
		       0;
}

struct subcommand {
	const char *name;
	int (*run)(int argc, char **argv);
};

static const struct subcommand subcommands[] = {
	{ "core", core_main },
	{ "fit", fit_main },
	{ "idle", idle_main },
	{ NULL, NULL },
};

int slopes_main(int argc, char **argv)
{
	for (const struct subcommand *s = subcommands; s->name; s++) {
		if (argc > 1 && !strcmp(argv[1], s->name))
			return s->run(argc - 1, argv + 1);
	}
	fprintf(stderr, "usage: slopes core | fit [json] | idle PORT N\n");
	return 2;
}
