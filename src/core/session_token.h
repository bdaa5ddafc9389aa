/*
 * session_token.h - read-your-writes without state on the proxies.
 *
 * A token carries the latest log position that its session has seen of
 * each database group. It is bound to one workspace and authenticated with
 * a key that all instances share, so any instance can accept it.
 *
 * Groups are told apart by a 64-bit hash of their name. Two groups whose
 * hashes are equal share the later position, which asks for fresher data
 * than needed but never for less.
 *
 * A token never forgets a group, for that would break read-your-writes. One
 * that covers TOKEN_GROUPS_MAX groups takes no other: the request for a
 * further group has to be refused before it runs, and the caller continues
 * that group in another session.
 */
#ifndef CORE_SESSION_TOKEN_H
#define CORE_SESSION_TOKEN_H

#include "core/position.h"
#include "core/sizes.h"

#include <stdbool.h>
#include <stdint.h>

enum {
	TOKEN_KEY_BYTES = 32,
	TOKEN_MAC_BYTES = 32,
	TOKEN_HEAD_BYTES = 2, /* version and number of groups */
	TOKEN_GROUP_BYTES = 24, /* hash, term and offset */
	TOKEN_BYTES_MAX = TOKEN_HEAD_BYTES +
			  TOKEN_GROUPS_MAX * TOKEN_GROUP_BYTES +
			  TOKEN_MAC_BYTES,
	/* Longest base64url text without padding, with the NUL. */
	TOKEN_TEXT_BYTES = (TOKEN_BYTES_MAX * 4 + 2) / 3 + 1,
};

struct token_group {
	uint64_t name_hash;
	struct position position;
};

/* All zero is the token of a new session. */
struct session_token {
	uint32_t group_count;
	struct token_group groups[TOKEN_GROUPS_MAX];
};

/* Returns the group's position, zero if the token does not cover it. */
struct position session_token_get(const struct session_token *t,
				  const char *group);

/* Returns true if session_token_merge() can take in the group. */
bool session_token_has_room(const struct session_token *t, const char *group);

/*
 * Keeps the later of the group's position in the token and `p`. Returns 0,
 * or -ENOSPC if the token is full and does not cover the group.
 */
int session_token_merge(struct session_token *t, const char *group,
			struct position p);

/* Writes the token's text for `workspace`. */
void session_token_encode(const struct session_token *t, const char *workspace,
			  const uint8_t key[TOKEN_KEY_BYTES],
			  char out[TOKEN_TEXT_BYTES]);

/*
 * Reads a token's text. Returns 0, or ERR_BAD_TOKEN if it is malformed,
 * forged or of another workspace; *out is then the token of a new session.
 */
int32_t session_token_decode(const char *text, const char *workspace,
			     const uint8_t key[TOKEN_KEY_BYTES],
			     struct session_token *out);

#endif
