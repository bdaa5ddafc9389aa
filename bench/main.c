#include "direct.h"
#include "idle.h"
#include "load.h"
#include "ports.h"
#include "slopes.h"

#include <stdio.h>
#include <string.h>

/* A subcommand of bench-load. */
struct bench_command {
	const char *name;
	int (*run)(int argc, char **argv);
};

static const struct bench_command commands[] = {
	{ "direct", direct_main }, { "idle", idle_main },
	{ "load", load_main },	   { "ports", ports_main },
	{ "slopes", slopes_main }, { NULL, NULL },
};

int main(int argc, char **argv)
{
	for (const struct bench_command *c = commands; c->name; c++) {
		if (argc > 1 && !strcmp(argv[1], c->name))
			return c->run(argc - 1, argv + 1);
	}
	fprintf(stderr, "usage: bench-load direct|idle|load|ports|slopes "
			"ARGUMENT...\n");
	return 2;
}
