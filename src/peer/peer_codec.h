/*
 * peer_codec.h - peer messages as msgpack.
 *
 * A message is a sequence of scalars without any array or map: version,
 * sender, incarnation, type, and the fields in the order of the structs in
 * core/peer_message.h. So no header can make a reader reserve memory. Reading
 * is strict: types, ranges and lengths of the fields and the end of the input
 * must fit exactly.
 */
#ifndef PEER_PEER_CODEC_H
#define PEER_PEER_CODEC_H

#include "core/peer_message.h"

#include <stddef.h>

/* No message is longer. */
enum { PEER_MESSAGE_MAX_BYTES = 4096 };

/*
 * Writes m with `sender` in place of m->peer. Returns the number of bytes,
 * -EMSGSIZE when `size` is too small, or -EINVAL for a value that no reader
 * accepts.
 */
int peer_encode(const struct peer_message *m, const char *sender, uint8_t *out,
		size_t size);

/*
 * Reads a message; m->peer is the sender. Returns 0, -EMSGSIZE, -EPROTO
 * for another version, or -EINVAL.
 */
int peer_decode(const uint8_t *data, size_t size, struct peer_message *m);

#endif
