/* bearer.h - bearer keys of callers and operators, and their digests. */
#ifndef HTTP_BEARER_H
#define HTTP_BEARER_H

#include "core/sizes.h"

#include <stdbool.h>
#include <stdint.h>

/* Writes the digest of a key; keys are stored only in this form. */
void bearer_hash_key(const char *key, uint8_t out[DIGEST_BYTES]);

/*
 * Writes the digest of the key in an Authorization header "Bearer KEY".
 * Returns false if the value is not of that form.
 */
bool bearer_parse(const char *authorization, uint8_t out[DIGEST_BYTES]);

#endif
