/* session.h - a caller's session that moves between instances. */
#ifndef BENCH_SESSION_H
#define BENCH_SESSION_H

#include "record.h"

enum { SESSION_TOKEN_BYTES = 4096 };

struct session {
	char token[SESSION_TOKEN_BYTES]; /* "" at first */
	char last_order[ORDER_ID_BYTES]; /* its last confirmed write */
	uint32_t last_group;
	int64_t wrote_us; /* when that write was confirmed */
	uint64_t version; /* counts the tokens taken over */
};

/* Takes the token of a confirmed write, which the session must then see. */
void session_wrote(struct session *s, const char *token, const char *order_id,
		   uint32_t group, int64_t now_us);

/*
 * Takes the token of a read that was sent at `version`, unless a later
 * answer came first.
 */
void session_read(struct session *s, const char *token, uint64_t version);

#endif
