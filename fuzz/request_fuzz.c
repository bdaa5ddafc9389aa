/* request_fuzz.c - libFuzzer target for the requests of callers. */
#include "http/caller_request.h"

#include <stdlib.h>
#include <string.h>

enum { STATEMENT_MAX_BYTES = 256 };

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Removes the next line; returns NULL for "-", a header that is absent. */
static const char *next_line(char **rest)
{
	char *line = strsep(rest, "\n");

	return line && strcmp(line, "-") != 0 ? line : NULL;
}

/*
 * A refused request must hold no statement; an accepted one must name a group
 * and a profile, and keep the limits on statement size and deadline.
 */
static void check_request(int32_t error, const struct caller_request *r)
{
	if (error) {
		if (r->statement)
			abort();
		return;
	}
	if (!r->opts.group[0] || !r->opts.profile[0])
		abort();
	if (strlen(r->statement->sql) > STATEMENT_MAX_BYTES)
		abort();
	if (r->opts.deadline_us <= 0 || r->opts.deadline_us > US_PER_S)
		abort();
}

/*
 * The first six lines of the input are the path and the headers, in the order
 * below; the rest is the body.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct caller_request r;
	struct caller_request_input in = {
		.method = "POST",
		.statement_max_bytes = STATEMENT_MAX_BYTES,
		.deadline_default_us = US_PER_MS,
		.deadline_max_us = US_PER_S,
	};
	char *text = malloc(size + 1);
	char *rest = text;
	const char *path;
	const char *detail;

	memcpy(text, data, size);
	text[size] = '\0';
	path = next_line(&rest);
	in.path = path ? path : "";
	in.headers.authorization = next_line(&rest);
	in.headers.profile = next_line(&rest);
	in.headers.request_id = next_line(&rest);
	in.headers.repeatable = next_line(&rest);
	in.headers.deadline_ms = next_line(&rest);
	if (rest) {
		in.body = rest;
		in.body_len = size - (size_t)(rest - text);
	}
	check_request(caller_request_parse(&in, &r, &detail), &r);
	statement_free(r.statement);
	free(text);
	return 0;
}
