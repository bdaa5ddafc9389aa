#include "base/crash.h"
#include "cli/command.h"

#include <argp.h>
#include <glib.h>
#include <string.h>

const char *argp_program_version = "zinnialine 0.1";

/* Result of parsing the arguments up to the subcommand's name. */
struct selection {
	const struct command *command;
	int name_index; /* position of the subcommand's name in argv */
};

static const struct command *find_command(const char *name)
{
	for (const struct command *c = command_registry(); c->name; c++) {
		if (!strcmp(c->name, name))
			return c;
	}
	return NULL;
}

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
	struct selection *selection = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		selection->command = find_command(arg);
		if (!selection->command)
			argp_error(state, "unknown command '%s'", arg);
		selection->name_index = state->next - 1;
		/* Stops here: the subcommand parses the other arguments. */
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "a command is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static char *format_help(void)
{
	GString *s = g_string_new("Database proxy with session consistency."
				  "\n\nCommands:\n");

	for (const struct command *c = command_registry(); c->name; c++)
		g_string_append_printf(s, "  %-10s %s\n", c->name, c->summary);
	g_string_append(s,
			"\n`zinnialine COMMAND --help' shows help for a command."
			"\n\nOptions:");
	return g_string_free(s, FALSE);
}

int main(int argc, char **argv)
{
	g_autofree char *doc = format_help();
	const struct argp argp = { .parser = parse_opt,
				   .args_doc = "COMMAND [ARGUMENT...]",
				   .doc = doc };
	struct selection selection = { 0 };

	crash_install();
	argp_err_exit_status = EXIT_USAGE;
	if (argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &selection) ||
	    !selection.command)
		return EXIT_USAGE;
	return selection.command->run(argc - selection.name_index,
				      argv + selection.name_index);
}
