/* token_fuzz.c - libFuzzer target for session tokens. */
#include "core/error.h"
#include "core/session_token.h"

#include <stdlib.h>
#include <string.h>

static const uint8_t key[TOKEN_KEY_BYTES] = { 7 };

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The fuzzer cannot produce a valid MAC, so every input must be refused. */
static void check_refused(const uint8_t *data, size_t size)
{
	struct session_token token;
	char *text = malloc(size + 1);

	memcpy(text, data, size);
	text[size] = '\0';
	if (session_token_decode(text, "w", key, &token) != ERR_BAD_TOKEN)
		abort();
	free(text);
}

/* Encodes a token with positions from the input, decodes and encodes it. */
static void check_round_trip(const uint8_t *data, size_t size)
{
	struct session_token token = { 0 };
	struct session_token decoded;
	char text[TOKEN_TEXT_BYTES];
	char again[TOKEN_TEXT_BYTES];

	for (; size > sizeof(struct position); size--, data++) {
		char group[2] = { (char)('a' + *data % TOKEN_GROUPS_MAX) };
		struct position p;

		memcpy(&p, data + 1, sizeof(p));
		if (session_token_merge(&token, group, p))
			abort();
	}
	session_token_encode(&token, "w", key, text);
	if (session_token_decode(text, "w", key, &decoded))
		abort();
	session_token_encode(&decoded, "w", key, again);
	if (strcmp(text, again) != 0)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	check_refused(data, size);
	check_round_trip(data, size);
	return 0;
}
