/*
 * peer_codec.h - encodes and decodes peer messages as msgpack.
 *
 * A message is a sequence of scalars: version, sender, incarnation, type, and
 * the fields in the order of the structs in core/peer_message.h. It contains
 * no array or map, so no length field can make the decoder allocate memory.
 * Decoding is strict: each field must have the expected type, range and
 * length, and the input must end with the last field.
 */
#ifndef PEER_PEER_CODEC_H
#define PEER_PEER_CODEC_H

#include "core/peer_message.h"

#include <stddef.h>

/* Maximum size of an encoded message. */
enum { PEER_MESSAGE_MAX_BYTES = 4096 };

/*
 * Encodes m, with `sender` in place of m->peer. Returns the number of bytes,
 * -EMSGSIZE if `size` is too small, or -EINVAL for a value that the decoder
 * would reject.
 */
int peer_encode(const struct peer_message *m, const char *sender, uint8_t *out,
		size_t size);

/*
 * Decodes a message; m->peer is the sender. Returns 0, -EMSGSIZE for a message
 * over the maximum size, -EPROTO for another protocol version, or -EINVAL for a
 * malformed message. *m is undefined after an error.
 */
int peer_decode(const uint8_t *data, size_t size, struct peer_message *m);

#endif
