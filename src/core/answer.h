/* answer.h - the only way out of a request. */
#ifndef CORE_ANSWER_H
#define CORE_ANSWER_H

#include "core/error.h"
#include "core/world.h"

/*
 * Answers a request that failed, with the verdict that its sends allow, and
 * frees its row. retry_after_us 0 gives no hint. A connection with an
 * unfinished exchange of the request is closed.
 */
void answer_error(struct world *w, uint32_t request, int32_t error,
		  int64_t retry_after_us, int64_t now_us);

/* Answers a request that ran; ERR_SQL and the like may be its outcome. */
void answer_ran(struct world *w, uint32_t request, int32_t error,
		int64_t now_us);

/*
 * Ends a request whose caller went away. The host still gets its reply, so
 * that it can free what it keeps for the request.
 */
void answer_nobody(struct world *w, uint32_t request, int64_t now_us);

/* Answers a request that never got a row. */
void answer_refused(struct world *w, const struct request_opts *o,
		    int32_t error, int64_t retry_after_us);

/* Takes a waiting request out of its list or queue; state becomes NEW. */
void answer_detach(struct world *w, uint32_t request, int64_t now_us);

#endif
