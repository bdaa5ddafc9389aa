#include "cli/verb.h"

#include "cli/command.h"

#include <glib.h>
#include <string.h>

enum { ARGP_CHILDREN_MAX = 5 };

/* State of noun_run() while argp parses the arguments. */
struct parse_state {
	const struct noun *noun;
	const struct verb *verb; /* NULL until the verb is parsed */
	struct cli *cli;
};

static bool needs_verb(const struct noun *n)
{
	return n->verbs[0].name[0] != '\0';
}

static const struct verb *find_verb(const struct noun *n, const char *name)
{
	for (const struct verb *v = n->verbs; v->name; v++) {
		if (!strcmp(v->name, name))
			return v;
	}
	return NULL;
}

static void add_argument(struct parse_state *p, char *arg,
			 struct argp_state *state)
{
	if (!p->verb) {
		p->verb = find_verb(p->noun, arg);
		if (!p->verb)
			argp_error(state, "unknown verb '%s'", arg);
		return;
	}
	if (p->cli->arg_count == VERB_ARGS_MAX)
		argp_error(state, "too many arguments");
	else
		p->cli->args[p->cli->arg_count++] = arg;
}

static void check_arguments(const struct parse_state *p,
			    struct argp_state *state)
{
	const struct cli *x = p->cli;

	if (!p->verb) {
		argp_error(state, "a verb is required");
		return;
	}
	if (x->arg_count < p->verb->args_min ||
	    x->arg_count > p->verb->args_max)
		argp_error(state, "usage: %s %s %s", p->noun->name,
			   p->verb->name, p->verb->args_doc);
	if (!x->options.server_count)
		argp_error(state, "--server is required");
	if (p->verb->one_server && x->options.server_count != 1)
		argp_error(state, "exactly one --server is required");
}

static error_t parse_noun(int key, char *arg, struct argp_state *state)
{
	struct parse_state *p = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		for (int i = 0; i < ARGP_CHILDREN_MAX - 1; i++)
			state->child_inputs[i] = &p->cli->options;
		return 0;
	case ARGP_KEY_ARG:
		add_argument(p, arg, state);
		return 0;
	case ARGP_KEY_END:
		check_arguments(p, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Returns the --help text: the summary and a paragraph for each verb. */
static char *make_help_text(const struct noun *n)
{
	GString *s = g_string_new(n->summary);

	if (!needs_verb(n))
		return g_string_free(s, FALSE);
	g_string_append(s, "\n\nVerbs:\n");
	for (const struct verb *v = n->verbs; v->name; v++)
		g_string_append_printf(s, "  %s%s%s\n      %s\n", v->name,
				       v->args_doc[0] ? " " : "", v->args_doc,
				       v->summary);
	g_string_append(s, "\nOptions:");
	return g_string_free(s, FALSE);
}

/* Fills in the parsers of the noun's options and returns their number. */
static int set_argp_children(const struct noun *n, struct argp_child *out)
{
	int count = 0;

	out[count++].argp = &options_client_argp;
	if (n->options & NOUN_OPTS_CHANGE)
		out[count++].argp = &options_change_argp;
	if (n->options & (NOUN_OPTS_CHANGE | NOUN_OPTS_WAIT))
		out[count++].argp = &options_wait_argp;
	if (n->options & NOUN_OPTS_KEY)
		out[count++].argp = &options_key_argp;
	return count;
}

static int run_verb(const struct verb *v, struct cli *x)
{
	struct client_opts opts = { 0 };
	int rc;

	opts.servers = x->options.servers;
	opts.server_count = x->options.server_count;
	opts.operator_key = x->options.operator_key;
	opts.timeout_ms = x->options.timeout_ms;
	x->client = client_new(&opts);
	rc = v->run(x);
	client_free(x->client);
	return rc;
}

int noun_run(const struct noun *n, int argc, char **argv)
{
	struct argp_child children[ARGP_CHILDREN_MAX] = { { 0 } };
	g_autofree char *doc = make_help_text(n);
	struct argp argp = { .parser = parse_noun, .doc = doc };
	struct cli x = { .noun = n };
	struct parse_state p = { .noun = n, .cli = &x };
	g_autofree char *name = g_strdup_printf("zinnialine %s", n->name);
	int rc;

	set_argp_children(n, children);
	argp.children = children;
	argp.args_doc = needs_verb(n) ? "VERB [ARGUMENT...]" : NULL;
	if (!needs_verb(n))
		p.verb = n->verbs;
	argv[0] = name;
	options_init(&x.options);
	rc = argp_parse(&argp, argc, argv, 0, NULL, &p) ? EXIT_USAGE :
							  run_verb(p.verb, &x);
	options_clear(&x.options);
	return rc;
}
