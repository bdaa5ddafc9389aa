/*
 * limit_row.h - the rate limit of one workspace at this instance.
 *
 * Holds the token bucket, the loans and the measured demand of the workspace.
 * The bucket is sized by this instance's share of the limit, plus what is
 * borrowed, minus what is lent.
 */
#ifndef CORE_LIMIT_ROW_H
#define CORE_LIMIT_ROW_H

#include "core/bucket.h"
#include "core/loan.h"
#include "core/record.h"
#include "core/share.h"

#include <stdbool.h>
#include <stdint.h>

struct limit_row {
	struct workspace_record record; /* rate and burst are 0 once deleted */
	int64_t revision;
	bool deleted;
	uint32_t cell;
	uint64_t epoch; /* share_epoch() in which the tokens were credited */
	struct bucket bucket;
	struct loan_book *loans;
	/* Demand at this instance, including that of refused requests. */
	uint64_t arrived_cost_milli; /* sum of costs since demand_since_us */
	int64_t demand_since_us;
	uint32_t demand_milli_per_s;
	uint32_t hot_intervals; /* consecutive ones above half the rate */
	uint32_t request_cost_max_milli; /* highest one seen so far */
	bool short_of_tokens; /* a request was refused; no loan requested yet */
	int64_t no_wait_until_us; /* until then no request waits for tokens */
	int64_t active_until_us; /* see limit_row_mark_active() */
	int64_t contested_until_us; /* see limit_row_mark_contested() */
};

/* Returns a new row that the caller frees with limit_row_free(). */
struct limit_row *limit_row_new(const char *workspace, uint32_t cell,
				int64_t now_us);
void limit_row_free(struct limit_row *w);

/* Updates the bucket, the share and the loans to now_us. */
void limit_row_refresh(struct limit_row *w, const struct share *s,
		       int64_t now_us);

/* Returns this instance's share minus what is lent. */
struct amount limit_row_get_unlent(const struct limit_row *w,
				   const struct share *s, int64_t now_us);

/* Returns this instance's share plus what is borrowed minus what is lent. */
struct amount limit_row_get_available(const struct limit_row *w,
				      const struct share *s, int64_t now_us);

/*
 * Sets *out to what may be lent in addition to the present loans while the
 * recent demand is still served. Returns false when the demand needs even
 * some of what is lent already.
 */
bool limit_row_get_lendable(const struct limit_row *w, const struct share *s,
			    int64_t now_us, struct amount *out);

/* Like limit_row_get_lendable(), but retains nothing for the demand here. */
bool limit_row_get_lendable_max(const struct limit_row *w,
				const struct share *s, int64_t now_us,
				struct amount *out);

/*
 * Returns true when the burst divided by the number of holders of the cell
 * covers only a few requests. One instance, the home, should then hold all of
 * the burst: if it is spread over the holders, requests are refused at one
 * instance while tokens are unused at another.
 */
bool limit_row_is_small(const struct limit_row *w, const struct share *s);

/*
 * Notes a request of the workspace, or another instance's request for tokens.
 * The workspace counts as active for the next 5 s.
 */
void limit_row_mark_active(struct limit_row *w, int64_t now_us);

/*
 * Notes that another instance requested a loan with a rate. Most requests
 * seem to arrive there, so it should borrow from the holders directly. For the
 * next 2 s the shares are not consolidated here unless the workspace is hot
 * here.
 */
void limit_row_mark_contested(struct limit_row *w, int64_t now_us);

/* Returns true when the demand here stays above half of the rate. */
bool limit_row_is_hot(const struct limit_row *w);

/*
 * Returns true while the workspace is small and its home (core/borrow.h) should
 * borrow the shares of all holders, that is, consolidate them.
 */
bool limit_row_is_consolidated(const struct limit_row *w, const struct share *s,
			       int64_t now_us);

/*
 * Sets *out to the tokens that may be lent for TOKEN_LOAN_DURATION_US, as a
 * burst with rate 0. Borrowed capacity counts only if it outlasts such a loan.
 */
void limit_row_get_lendable_tokens(const struct limit_row *w,
				   const struct share *s, int64_t now_us,
				   struct amount *out);

/* Returns the smallest share of the cell, in ppm, that covers what is lent. */
uint32_t limit_row_get_reserved_ppm(const struct limit_row *w, int64_t now_us);

/* Updates the measured demand; does nothing before the interval has passed. */
void limit_row_update_demand(struct limit_row *w, int64_t now_us);

#endif
