/*
 * sealing.h - when answers that an endpoint may have given twice count.
 *
 * The position of a BEGIN and a report count once they are sealed: a signed
 * answer, or that to a RESET, has come after them. After an error a connection is
 * used with care; see replies/reply_check.h.
 */
#ifndef PROXY_SEALING_H
#define PROXY_SEALING_H

#include "proxy/upstream_conn.h"

/* Times of a usual statement after which its answer does not come. */
enum { OWN_ANSWER_TIMES = 4 };

/* Records the log position of a primary, for a request sent at requested_us. */
void sealing_record_mark(struct upstream_conn *c, int64_t requested_us,
			 struct position position);

/* Keeps the position that a BEGIN was answered with. */
void sealing_keep_mark(struct upstream_conn *c,
		       const struct conn_request *request,
		       const struct wire_reply *ready);

/* Records the position that is kept, if there is one, as a mark. */
void sealing_apply_mark(struct upstream_conn *c);

/* Applies all that the unsigned answers before this one said. */
void sealing_apply(struct upstream_conn *c, int64_t now_us);

/*
 * Notes an error. It may be a copy if the connection had one before, and the
 * request's own answer then follows.
 */
void sealing_note_error(struct upstream_conn *c, int64_t now_us);

#endif
