#include "cli/options.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OPERATOR_KEY_ENV "ZINNIALINE_OPERATOR_KEY"

enum {
	TIMEOUT_DEFAULT_MS = 2000,
	WAIT_DEFAULT_MS = 4000,
	DURATION_MAX_MS = 3600000,
	SECRET_BYTES_MAX = 4096,
};

enum option_key {
	OPT_SERVER = 's',
	OPT_JSON = 'j',
	OPT_REVISION = 'r',
	OPT_KEY_FILE = 'k',
	OPT_OPERATOR_KEY_FILE = 256,
	OPT_TIMEOUT_MS,
	OPT_NO_WAIT,
	OPT_WAIT_MS,
};

void options_init(struct options *o)
{
	const char *key = getenv(OPERATOR_KEY_ENV);

	memset(o, 0, sizeof(*o));
	o->timeout_ms = TIMEOUT_DEFAULT_MS;
	o->wait_ms = WAIT_DEFAULT_MS;
	o->revision = NO_REVISION;
	if (key && key[0])
		o->operator_key = g_strdup(key);
}

void options_clear(struct options *o)
{
	g_free(o->operator_key);
	o->operator_key = NULL;
}

bool options_parse_number(const char *text, int64_t max, int64_t *out)
{
	char *end;
	int64_t n;

	errno = 0;
	n = g_ascii_strtoll(text, &end, 10);
	if (!g_ascii_isdigit(text[0]) || *end || errno || n > max)
		return false;
	*out = n;
	return true;
}

char *options_read_secret(const char *path)
{
	char line[SECRET_BYTES_MAX] = "";
	FILE *f = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *first_line;

	if (!f) {
		fprintf(stderr, "zinnialine: %s: %s\n", path, strerror(errno));
		return NULL;
	}
	first_line = fgets(line, sizeof(line), f);
	if (f != stdin)
		fclose(f);
	g_strstrip(line);
	if (!first_line || !line[0]) {
		fprintf(stderr, "zinnialine: %s: the first line is empty\n",
			path);
		return NULL;
	}
	return g_strdup(line);
}

static uint32_t parse_duration(const char *arg, const char *name,
			       struct argp_state *state)
{
	int64_t n = 0;

	if (!options_parse_number(arg, DURATION_MAX_MS, &n) || !n)
		argp_error(state, "--%s must be a number from 1 to %d", name,
			   DURATION_MAX_MS);
	return (uint32_t)n;
}

static void add_server(struct options *o, const char *arg,
		       struct argp_state *state)
{
	const char *colon = strrchr(arg, ':');

	if (!colon || colon == arg || !colon[1])
		argp_error(state, "--server must be ip:port");
	if (o->server_count == SERVER_COUNT_MAX)
		argp_error(state, "--server can be given at most %d times",
			   SERVER_COUNT_MAX);
	else
		o->servers[o->server_count++] = arg;
}

static error_t parse_client(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case OPT_SERVER:
		add_server(o, arg, state);
		return 0;
	case OPT_OPERATOR_KEY_FILE:
		g_free(o->operator_key);
		o->operator_key = options_read_secret(arg);
		if (!o->operator_key)
			argp_error(state, "cannot read the operator key");
		return 0;
	case OPT_TIMEOUT_MS:
		o->timeout_ms = parse_duration(arg, "timeout-ms", state);
		return 0;
	case OPT_JSON:
		o->json = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_wait(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	if (key != OPT_WAIT_MS)
		return ARGP_ERR_UNKNOWN;
	o->wait_ms = parse_duration(arg, "wait-ms", state);
	return 0;
}

static error_t parse_change(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case OPT_REVISION:
		if (!options_parse_number(arg, INT64_MAX, &o->revision))
			argp_error(state, "--revision must be a number");
		return 0;
	case OPT_NO_WAIT:
		o->no_wait = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t parse_key(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	if (key != OPT_KEY_FILE)
		return ARGP_ERR_UNKNOWN;
	o->key_file = arg;
	return 0;
}

static const struct argp_option client_options[] = {
	{ "server", OPT_SERVER, "IP:PORT", 0,
	  "Address of an instance's operator listener; can be given several "
	  "times, the instances are tried in this order",
	  1 },
	{ "operator-key-file", OPT_OPERATOR_KEY_FILE, "FILE", 0,
	  "File with the operator key, - for standard input (default: the key "
	  "in the environment variable " OPERATOR_KEY_ENV ")",
	  1 },
	{ "timeout-ms", OPT_TIMEOUT_MS, "N", 0,
	  "Timeout of one request to one instance in milliseconds (default "
	  "2000)",
	  1 },
	{ "json", OPT_JSON, NULL, 0, "Print JSON", 1 },
	{ 0 },
};

static const struct argp_option wait_options[] = {
	{ "wait-ms", OPT_WAIT_MS, "N", 0,
	  "Wait at most N milliseconds until the revision is in force on all "
	  "instances (default 4000)",
	  2 },
	{ 0 },
};

static const struct argp_option change_options[] = {
	{ "revision", OPT_REVISION, "N", 0,
	  "Change the entry only if it has this revision; 0: it must not "
	  "exist (default: the revision that is stored now)",
	  2 },
	{ "no-wait", OPT_NO_WAIT, NULL, 0,
	  "Return when the change is stored, without waiting until it is in "
	  "force",
	  2 },
	{ 0 },
};

static const struct argp_option key_options[] = {
	{ "key-file", OPT_KEY_FILE, "FILE", 0,
	  "For withdraw: file with the key, - for standard input", 3 },
	{ 0 },
};

const struct argp options_client_argp = { .options = client_options,
					  .parser = parse_client };
const struct argp options_wait_argp = { .options = wait_options,
					.parser = parse_wait };
const struct argp options_change_argp = { .options = change_options,
					  .parser = parse_change };
const struct argp options_key_argp = { .options = key_options,
				       .parser = parse_key };
