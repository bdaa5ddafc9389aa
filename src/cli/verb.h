/*
 * verb.h - commands of the form `zinnialine NOUN VERB ARGUMENT...`, such as
 * `zinnialine key add WORKSPACE`. A noun is a subcommand (cli/command.h) with
 * verbs, or with one unnamed verb.
 */
#ifndef CLI_VERB_H
#define CLI_VERB_H

#include "cli/client.h"
#include "cli/options.h"

#include <stdbool.h>

enum { VERB_ARGS_MAX = 32 };

/* Parsed arguments and HTTP client for a verb; owned by noun_run(). */
struct cli {
	struct options options;
	struct client *client;
	const struct noun *noun;
	int arg_count; /* arguments after the verb, without options */
	char *args[VERB_ARGS_MAX];
};

struct verb {
	const char *name; /* "": runs without a verb on the command line */
	const char *args_doc; /* names of the arguments, for --help */
	const char *summary; /* one line for --help */
	int args_min;
	int args_max;
	bool one_server; /* concerns one instance: needs exactly one --server */
	int (*run)(struct cli *x); /* returns an enum exit_code */
};

/* Options of a noun besides options_client_argp; a bit set. */
enum { NOUN_OPTS_CHANGE = 1, NOUN_OPTS_WAIT = 2, NOUN_OPTS_KEY = 4 };

struct noun {
	const char *name;
	const char *summary;
	const struct verb *verbs; /* ended by a row without a name */
	int options; /* NOUN_OPTS_ bits */
	const void *data; /* for use by its verbs */
};

/* Parses the arguments and runs a verb. Returns an exit code. */
int noun_run(const struct noun *n, int argc, char **argv);

#endif
