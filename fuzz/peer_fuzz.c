/*
 * peer_fuzz.c - libFuzzer target for messages of peers. A message that is
 * accepted must be encoded, decoded and encoded again without a change.
 */
#include "peer/peer_codec.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct peer_message m;
	uint8_t first[PEER_MESSAGE_MAX_BYTES];
	uint8_t second[PEER_MESSAGE_MAX_BYTES];
	int len;

	if (peer_decode(data, size, &m))
		return 0;
	len = peer_encode(&m, m.peer, first, sizeof(first));
	if (len < 0 || peer_decode(first, (size_t)len, &m))
		abort();
	if (peer_encode(&m, m.peer, second, sizeof(second)) != len ||
	    memcmp(first, second, (size_t)len) != 0)
		abort();
	return 0;
}
