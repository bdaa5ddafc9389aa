#include "cli/command.h"

#include <argp.h>
#include <glib.h>
#include <string.h>

const char *argp_program_version = "zinnialine 0.1";

/* What the arguments up to the subcommand's name came to. */
struct choice {
	const struct command *command;
	int first; /* index of the name in argv */
};

static const struct command *find_command(const char *name)
{
	for (const struct command *c = command_registry(); c->name; c++) {
		if (!strcmp(c->name, name))
			return c;
	}
	return NULL;
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct choice *choice = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		choice->command = find_command(arg);
		if (!choice->command)
			argp_error(state, "unknown command '%s'", arg);
		choice->first = state->next - 1;
		/* The rest belongs to the subcommand. */
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "a command is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static char *make_doc(void)
{
	GString *s = g_string_new("Database proxy with session consistency."
				  "\n\nCommands:\n");

	for (const struct command *c = command_registry(); c->name; c++)
		g_string_append_printf(s, "  %-10s %s\n", c->name, c->summary);
	g_string_append(s, "\n`zinnialine COMMAND --help' explains a command."
			   "\n\nOptions:");
	return g_string_free(s, FALSE);
}

int main(int argc, char **argv)
{
	g_autofree char *doc = make_doc();
	const struct argp argp = { .parser = parse,
				   .args_doc = "COMMAND [ARGUMENT...]",
				   .doc = doc };
	struct choice choice = { 0 };

	argp_err_exit_status = EXIT_USAGE;
	if (argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &choice) ||
	    !choice.command)
		return EXIT_USAGE;
	return choice.command->run(argc - choice.first, argv + choice.first);
}
