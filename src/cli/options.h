/* options.h - command-line options that the operators' commands share. */
#ifndef CLI_OPTIONS_H
#define CLI_OPTIONS_H

#include <argp.h>
#include <stdbool.h>
#include <stdint.h>

enum { SERVERS_MAX = 16, NO_REVISION = -1 };

/* Filled by the parsers below; cleared with options_clear(). */
struct options {
	const char *servers[SERVERS_MAX]; /* of argv */
	uint32_t server_count;
	char *operator_key;
	uint32_t timeout_ms;
	bool json;
	int64_t revision; /* NO_REVISION: the one that is stored */
	bool no_wait;
	uint32_t wait_ms;
	const char *key_file; /* "-" is standard input */
};

/* Fills in the defaults and the operator key of the environment. */
void options_init(struct options *o);
void options_clear(struct options *o);

/* Parsers whose input is a struct options; used as argp children. */
extern const struct argp options_client_argp; /* --server and the like */
extern const struct argp options_wait_argp; /* --wait-ms */
extern const struct argp options_change_argp; /* --revision, --no-wait */
extern const struct argp options_key_argp; /* --key-file */

/*
 * Reads the first line of a file, "-" for standard input, without blanks
 * around it. Returns it, freed with g_free(), or NULL with a message
 * printed.
 */
char *options_read_secret(const char *path);

/* Parses a decimal number; returns false if it is not one up to `max`. */
bool options_parse_number(const char *text, int64_t max, int64_t *out);

#endif
