#include "core/session_token.h"

#include "core/error.h"

#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

enum { TOKEN_VERSION = 1, WORD_BYTES = 8 };

static uint64_t hash_name(const char *group)
{
	return XXH64(group, strlen(group), 0);
}

/* Returns the index of the group, or NO_INDEX if it is not in the token. */
static uint32_t find_group(const struct session_token *t, uint64_t name_hash)
{
	for (uint32_t i = 0; i < t->group_count; i++) {
		if (t->groups[i].name_hash == name_hash)
			return i;
	}
	return NO_INDEX;
}

struct position session_token_get(const struct session_token *t,
				  const char *group)
{
	uint32_t i = find_group(t, hash_name(group));

	if (i == NO_INDEX)
		return (struct position){ 0 };
	return t->groups[i].position;
}

bool session_token_has_room(const struct session_token *t, const char *group)
{
	return t->group_count < TOKEN_GROUPS_MAX ||
	       find_group(t, hash_name(group)) != NO_INDEX;
}

int session_token_merge(struct session_token *t, const char *group,
			struct position p)
{
	uint64_t hash = hash_name(group);
	uint32_t i = find_group(t, hash);

	if (i != NO_INDEX) {
		t->groups[i].position = position_max(t->groups[i].position, p);
		return 0;
	}
	if (t->group_count == TOKEN_GROUPS_MAX)
		return -ENOSPC;
	t->groups[t->group_count++] = (struct token_group){
		.name_hash = hash,
		.position = p,
	};
	return 0;
}

static uint8_t *write_u64(uint8_t *at, uint64_t word)
{
	for (int i = 0; i < WORD_BYTES; i++)
		at[i] = (uint8_t)(word >> (8 * i));
	return at + WORD_BYTES;
}

static const uint8_t *read_u64(const uint8_t *at, uint64_t *word)
{
	*word = 0;
	for (int i = 0; i < WORD_BYTES; i++)
		*word |= (uint64_t)at[i] << (8 * i);
	return at + WORD_BYTES;
}

/*
 * The MAC covers the body followed by the workspace. The body states its own
 * length, so no other body and workspace give the same bytes.
 */
static void compute_mac(const uint8_t *body, size_t len, const char *workspace,
			const uint8_t key[TOKEN_KEY_BYTES],
			uint8_t mac[TOKEN_MAC_BYTES])
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, key, TOKEN_KEY_BYTES, TOKEN_MAC_BYTES);
	crypto_generichash_update(&state, body, len);
	crypto_generichash_update(&state, (const uint8_t *)workspace,
				  strlen(workspace));
	crypto_generichash_final(&state, mac, TOKEN_MAC_BYTES);
}

void session_token_encode(const struct session_token *t, const char *workspace,
			  const uint8_t key[TOKEN_KEY_BYTES],
			  char out[TOKEN_TEXT_BYTES])
{
	uint8_t bytes[TOKEN_BYTES_MAX];
	uint8_t *at = bytes + TOKEN_HEADER_BYTES;
	size_t len;

	bytes[0] = TOKEN_VERSION;
	bytes[1] = (uint8_t)t->group_count;
	for (uint32_t i = 0; i < t->group_count; i++) {
		at = write_u64(at, t->groups[i].name_hash);
		at = write_u64(at, t->groups[i].position.term);
		at = write_u64(at, t->groups[i].position.offset);
	}
	len = (size_t)(at - bytes);
	compute_mac(bytes, len, workspace, key, at);
	sodium_bin2base64(out, TOKEN_TEXT_BYTES, bytes, len + TOKEN_MAC_BYTES,
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
}

/* Returns the length of the part before the MAC, or 0 if it is malformed. */
static size_t get_body_length(const uint8_t *bytes, size_t len)
{
	size_t body_len;

	if (len < TOKEN_HEADER_BYTES + TOKEN_MAC_BYTES)
		return 0;
	if (bytes[0] != TOKEN_VERSION || bytes[1] > TOKEN_GROUPS_MAX)
		return 0;
	body_len = TOKEN_HEADER_BYTES + (size_t)bytes[1] * TOKEN_GROUP_BYTES;
	return len == body_len + TOKEN_MAC_BYTES ? body_len : 0;
}

static void read_groups(const uint8_t *bytes, struct session_token *out)
{
	const uint8_t *at = bytes + TOKEN_HEADER_BYTES;

	out->group_count = bytes[1];
	for (uint32_t i = 0; i < out->group_count; i++) {
		at = read_u64(at, &out->groups[i].name_hash);
		at = read_u64(at, &out->groups[i].position.term);
		at = read_u64(at, &out->groups[i].position.offset);
	}
}

int32_t session_token_decode(const char *text, const char *workspace,
			     const uint8_t key[TOKEN_KEY_BYTES],
			     struct session_token *out)
{
	uint8_t bytes[TOKEN_BYTES_MAX];
	uint8_t mac[TOKEN_MAC_BYTES];
	size_t len;
	size_t body_len;

	*out = (struct session_token){ 0 };
	if (sodium_base642bin(bytes, sizeof(bytes), text, strlen(text), NULL,
			      &len, NULL,
			      sodium_base64_VARIANT_URLSAFE_NO_PADDING))
		return ERR_BAD_TOKEN;
	body_len = get_body_length(bytes, len);
	if (!body_len)
		return ERR_BAD_TOKEN;
	compute_mac(bytes, body_len, workspace, key, mac);
	if (sodium_memcmp(mac, bytes + body_len, TOKEN_MAC_BYTES))
		return ERR_BAD_TOKEN;
	read_groups(bytes, out);
	return 0;
}
