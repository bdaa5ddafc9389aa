/* borrow.h - whom to ask for a loan, and how much. */
#ifndef CORE_BORROW_H
#define CORE_BORROW_H

#include "core/action_queue.h"
#include "core/limit_row.h"
#include "core/member.h"

#include <glib.h>

/* What asking needs beside the row; all pointers are borrowed. */
struct borrow_env {
	const struct share *share;
	const struct member_table *members;
	const char *instance;
	uint64_t incarnation;
	uint64_t *last_loan_id;
	GRand *rand;
	struct action_queue *out;
};

/*
 * Asks for renewals that are due, and for more when the level does not
 * last for the expected demand. At most BORROW_REQUESTS_MAX asks are sent.
 */
enum { BORROW_REQUESTS_MAX = 8, BORROW_TOKEN_REQUESTS_MAX = 1 };
void borrow_run(struct limit_row *w, const struct borrow_env *env,
		int64_t now_us);

/*
 * Returns the instance that gathers the parts of a small workspace while
 * somebody wants them, chosen by hash among the holders that answer. Two
 * instances may differ for a moment: then two gather a part each.
 */
const char *borrow_find_home(const struct limit_row *w,
			     const struct borrow_env *env);

/*
 * Asks up to BORROW_TOKEN_REQUESTS_MAX holders for tokens that a waiting
 * request lacks, without any rate and for 100 ms only; the home of a small
 * workspace first.
 */
void borrow_request_tokens(struct limit_row *w, const struct borrow_env *env,
			   uint32_t missing_milli, int64_t now_us);

#endif
