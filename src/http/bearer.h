/* bearer.h - keys of callers and operators in Authorization headers. */
#ifndef HTTP_BEARER_H
#define HTTP_BEARER_H

#include "core/sizes.h"

#include <stdbool.h>
#include <stdint.h>

/* Writes the digest of a key, the only form in which keys are kept. */
void bearer_key_digest(const char *key, uint8_t out[DIGEST_BYTES]);

/*
 * Writes the digest of the key in "Bearer KEY". Returns false if the value
 * is not of that form.
 */
bool bearer_parse(const char *authorization, uint8_t out[DIGEST_BYTES]);

#endif
