/* session.h - a caller's session, used on any instance. */
#ifndef BENCH_SESSION_H
#define BENCH_SESSION_H

#include "record.h"

enum { SESSION_TOKEN_BYTES = 4096 };

struct session {
	char token[SESSION_TOKEN_BYTES]; /* "" before the first answer */
	char last_order_id[ORDER_ID_BYTES]; /* id of its last confirmed write */
	uint32_t last_group; /* of that write, index in the plan */
	int64_t written_us; /* when that write was confirmed */
	uint64_t version; /* number of tokens stored so far */
};

/*
 * Stores the token of a confirmed write; later reads of the session must see
 * this write. Does nothing if the token is empty.
 */
void session_update_after_write(struct session *s, const char *token,
				const char *order_id, uint32_t group,
				int64_t now_us);

/*
 * Stores the token of a read that was sent when the session had `version`,
 * unless another answer has changed the token since.
 */
void session_update_after_read(struct session *s, const char *token,
			       uint64_t version);

#endif
