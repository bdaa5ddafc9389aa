/* verb.h - commands of the form `zinnialine NOUN VERB ARGUMENT...`. */
#ifndef CLI_VERB_H
#define CLI_VERB_H

#include "cli/client.h"
#include "cli/options.h"

#include <stdbool.h>

enum { VERB_ARGS_MAX = 32 };

/* What a verb works with; owned by noun_run(). */
struct cli {
	struct options options;
	struct client *client;
	const struct noun *noun;
	int arg_count; /* after the verb */
	char *args[VERB_ARGS_MAX];
};

/* A row of a noun's verbs. */
struct verb {
	const char *name; /* "": the noun needs no verb */
	const char *args_doc;
	const char *summary;
	int args_min;
	int args_max;
	bool one_server; /* concerns one instance: exactly one --server */
	int (*run)(struct cli *x); /* returns an enum exit_code */
};

/* Option groups of a noun; a bit set. */
enum { NOUN_CHANGES = 1, NOUN_WAITS = 2, NOUN_READS_KEYS = 4 };

struct noun {
	const char *name;
	const char *summary;
	const struct verb *verbs; /* ended by a row without a name */
	int options;
	const void *data; /* for its verbs */
};

/* Parses the arguments, connects and runs a verb. Returns its exit code. */
int noun_run(const struct noun *n, int argc, char **argv);

#endif
