#include "http/bearer.h"

#include <sodium.h>
#include <string.h>
#include <strings.h>

#define SCHEME "Bearer "

void bearer_hash_key(const char *key, uint8_t out[DIGEST_BYTES])
{
	crypto_generichash(out, DIGEST_BYTES, (const uint8_t *)key, strlen(key),
			   NULL, 0);
}

bool bearer_parse(const char *authorization, uint8_t out[DIGEST_BYTES])
{
	size_t len = strlen(SCHEME);

	if (strncasecmp(authorization, SCHEME, len) != 0)
		return false;
	if (!authorization[len])
		return false;
	bearer_hash_key(authorization + len, out);
	return true;
}
