/*
 * session_token.h - tokens for read-your-writes without state on the proxies.
 *
 * A token holds the latest log position that its session has seen in each
 * database group. It is bound to one workspace and authenticated with a key
 * that all instances share, so that any instance can verify it.
 *
 * Groups are identified by a 64-bit hash of their name. Two groups with the
 * same hash share the later of their positions, which may require fresher data
 * than needed but never staler data.
 *
 * A group is never removed from a token, as that would break read-your-writes.
 * A token with TOKEN_GROUPS_MAX groups cannot take another one: a request for
 * a further group has to be refused before it runs, and the caller has to use
 * another session for that group.
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
	TOKEN_HEADER_BYTES = 2, /* version, number of groups */
	TOKEN_GROUP_BYTES = 24, /* name hash, term, offset */
	TOKEN_BYTES_MAX = TOKEN_HEADER_BYTES +
			  TOKEN_GROUPS_MAX * TOKEN_GROUP_BYTES +
			  TOKEN_MAC_BYTES,
	/* Longest base64url text without padding, including the NUL. */
	TOKEN_TEXT_BYTES = (TOKEN_BYTES_MAX * 4 + 2) / 3 + 1,
};

struct token_group {
	uint64_t name_hash;
	struct position position;
};

/* The token of a new session is all zero. */
struct session_token {
	uint32_t group_count;
	struct token_group groups[TOKEN_GROUPS_MAX];
};

/* Returns the group's position, or zero if the token does not contain it. */
struct position session_token_get(const struct session_token *t,
				  const char *group);

/* Returns true if session_token_merge() can store a position of the group. */
bool session_token_has_room(const struct session_token *t, const char *group);

/*
 * Stores the later of `p` and the group's position in the token. Returns 0, or
 * -ENOSPC if the token is full and does not contain the group.
 */
int session_token_merge(struct session_token *t, const char *group,
			struct position p);

/* Writes the NUL-terminated text of a token that is valid for `workspace`. */
void session_token_encode(const struct session_token *t, const char *workspace,
			  const uint8_t key[TOKEN_KEY_BYTES],
			  char out[TOKEN_TEXT_BYTES]);

/*
 * Decodes a token's text. Returns 0, or ERR_BAD_TOKEN if it is malformed,
 * forged or of another workspace; *out is then the token of a new session.
 */
int32_t session_token_decode(const char *text, const char *workspace,
			     const uint8_t key[TOKEN_KEY_BYTES],
			     struct session_token *out);

#endif
