/* answer.h - replies to requests; every request ends here. */
#ifndef CORE_ANSWER_H
#define CORE_ANSWER_H

#include "core/error.h"
#include "core/world.h"

/*
 * Replies to a failed request with `error` and the verdict derived from what
 * was sent so far, and frees its row. retry_after_us is how long the caller
 * should wait before a retry; 0: no hint. Closes the connection if an exchange
 * of the request is still in progress.
 */
void answer_error(struct world *w, uint32_t request, int32_t error,
		  int64_t retry_after_us, int64_t now_us);

/*
 * Replies to a request that was executed, with the last exchange's result, and
 * frees its row. `error` may be an outcome such as ERR_SQL.
 */
void answer_completed(struct world *w, uint32_t request, int32_t error,
		      int64_t now_us);

/*
 * Ends a request whose caller has disconnected and frees its row. The host
 * still gets a reply, so that it can free what it stores for the request.
 */
void answer_disconnected_caller(struct world *w, uint32_t request,
				int64_t now_us);

/* Replies to a request that was refused before it got a row. */
void answer_refused(struct world *w, const struct request_opts *o,
		    int32_t error, int64_t retry_after_us);

/*
 * Removes a request from the list or queue of its state and makes it
 * REQUEST_NEW. Closes the connection of a running one.
 */
void answer_detach_request(struct world *w, uint32_t request, int64_t now_us);

#endif
