/*
 * borrow.h - requests loans of a workspace's limit from other instances.
 *
 * Decides when to request a loan, from which holders and how much.
 */
#ifndef CORE_BORROW_H
#define CORE_BORROW_H

#include "core/action_queue.h"
#include "core/limit_row.h"
#include "core/member.h"

#include <glib.h>

/* What the functions need in addition to the row. No pointer is owned. */
struct borrow_env {
	const struct share *share;
	const struct member_table *members;
	const char *instance; /* own name */
	uint64_t incarnation; /* of this process */
	uint64_t *last_loan_id; /* increased by each request */
	GRand *rand;
	struct action_queue *out; /* gets the requests */
};

/*
 * Renews loans that are due and requests further ones when the bucket's
 * level does not last for the expected demand. Sends at most
 * BORROW_REQUESTS_MAX requests.
 */
enum { BORROW_REQUESTS_MAX = 8, BORROW_TOKEN_REQUESTS_MAX = 1 };
void borrow_run(struct limit_row *w, const struct borrow_env *env,
		int64_t now_us);

/*
 * Returns the home of a small workspace: the instance that borrows the shares
 * of all holders while there are requests for it. It is chosen by rendezvous
 * hashing among the holders that are alive. Instances may disagree for a
 * moment; then each of the two homes collects some of the shares. Returns
 * NULL when there is no such holder. The name belongs to env->share.
 */
const char *borrow_find_home(const struct limit_row *w,
			     const struct borrow_env *env);

/*
 * Requests the tokens that a waiting request lacks from up to
 * BORROW_TOKEN_REQUESTS_MAX holders, as loans with rate 0 for 100 ms. For a
 * small workspace this is its home, unless no request can be sent there now.
 */
void borrow_request_tokens(struct limit_row *w, const struct borrow_env *env,
			   uint32_t missing_milli, int64_t now_us);

#endif
