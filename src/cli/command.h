/* command.h - the subcommands of the zinnialine binary. */
#ifndef CLI_COMMAND_H
#define CLI_COMMAND_H

/* Exit codes of every subcommand; documented in docs/OPERATORS.md. */
enum exit_code {
	EXIT_OK = 0,
	EXIT_USAGE = 2, /* bad arguments */
	EXIT_SETTINGS = 3, /* bad settings file */
	EXIT_REFUSED = 4, /* request refused, nothing changed */
	EXIT_CONFLICT = 5, /* somebody else changed the entry first */
	EXIT_UNREACHABLE = 6, /* no instance answered */
	EXIT_UNKNOWN = 7, /* the change may have taken effect */
	EXIT_NOT_IN_FORCE = 8, /* stored, maybe not in force everywhere */
	EXIT_FAILED = 9, /* any other failure */
};

struct command {
	const char *name;
	const char *summary; /* one line for --help */
	/*
	 * Parses its own arguments; argv[0] is the subcommand's name. Returns
	 * an enum exit_code.
	 */
	int (*run)(int argc, char **argv);
};

/* Returns the table of subcommands, ended by a row without a name. */
const struct command *command_registry(void);

/* `zinnialine serve --settings FILE`, defined in src/serve. */
int serve_command(int argc, char **argv);

/* `zinnialine proxy --settings FILE`, defined in src/serve. */
int proxy_command(int argc, char **argv);

#endif
