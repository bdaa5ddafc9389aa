/* options.h - command-line options that the commands for operators share. */
#ifndef CLI_OPTIONS_H
#define CLI_OPTIONS_H

#include <argp.h>
#include <stdbool.h>
#include <stdint.h>

enum { SERVER_COUNT_MAX = 16, NO_REVISION = -1 };

/* Filled by the parsers below; cleared with options_clear(). */
struct options {
	const char *servers[SERVER_COUNT_MAX]; /* "ip:port", from argv */
	uint32_t server_count;
	char *operator_key; /* NULL if none is given */
	uint32_t timeout_ms; /* of one request to one server */
	bool json; /* print JSON */
	int64_t revision; /* NO_REVISION: whichever is stored */
	bool no_wait; /* return before the change is in force */
	uint32_t wait_ms; /* longest wait until a change is in force */
	const char *key_file; /* "-": standard input; NULL if not given */
};

/* Sets the defaults, with the operator key from the environment. */
void options_init(struct options *o);
void options_clear(struct options *o);

/* The following are argp children whose input is a struct options. */

/* --server, --operator-key-file, --timeout-ms, --json */
extern const struct argp options_client_argp;
extern const struct argp options_wait_argp; /* --wait-ms */
extern const struct argp options_change_argp; /* --revision, --no-wait */
extern const struct argp options_key_argp; /* --key-file */

/*
 * Reads a secret from the first line of a file, "-" for standard input, and
 * strips the blanks around it. Returns it, freed with g_free(), or NULL with
 * a message printed.
 */
char *options_read_secret(const char *path);

/* Parses a decimal number from 0 to `max`; returns false if it is not one. */
bool options_parse_number(const char *text, int64_t max, int64_t *out);

#endif
