/* limit_row.h - one workspace's bucket at this instance and its sources. */
#ifndef CORE_LIMIT_ROW_H
#define CORE_LIMIT_ROW_H

#include "core/bucket.h"
#include "core/loan.h"
#include "core/record.h"
#include "core/share.h"

#include <stdbool.h>
#include <stdint.h>

struct limit_row {
	struct workspace_record record; /* rate and burst 0 once deleted */
	int64_t revision;
	bool deleted;
	uint32_t cell;
	uint64_t epoch; /* of the share that the tokens belong to */
	struct bucket bucket;
	struct loan_book *loans;
	/* Demand, including what was refused. */
	uint64_t arrived_cost_milli; /* since demand_since_us */
	int64_t demand_since_us;
	uint32_t demand_milli_per_s;
	uint32_t hot_intervals; /* in a row, with more than half of the rate */
	uint32_t request_cost_max_milli; /* of one request so far */
	bool short_of_tokens; /* a request was refused since the last run */
	int64_t no_wait_until_us; /* no request waits for others' tokens */
	int64_t active_until_us; /* requests here or an ask for tokens came */
	int64_t contested_until_us; /* another instance asked for the rate */
};

/* Freed by its owner with limit_row_free(). */
struct limit_row *limit_row_new(const char *workspace, uint32_t cell,
				int64_t now_us);
void limit_row_free(struct limit_row *w);

/* Brings bucket, part and loans up to now. */
void limit_row_refresh(struct limit_row *w, const struct share *s,
		       int64_t now_us);

/* Returns the own part without what is lent. */
struct amount limit_row_unlent(const struct limit_row *w, const struct share *s,
			       int64_t now_us);

/* Returns the own part and what is borrowed, without what is lent. */
struct amount limit_row_available(const struct limit_row *w,
				  const struct share *s, int64_t now_us);

/*
 * Sets *out to what may be lent beside the recent demand. Returns false
 * when not even the loans that run can be spared.
 */
bool limit_row_lendable(const struct limit_row *w, const struct share *s,
			int64_t now_us, struct amount *out);

/* The same where the own demand keeps nothing back. */
bool limit_row_lendable_all(const struct limit_row *w, const struct share *s,
			    int64_t now_us, struct amount *out);

/*
 * Returns true when the burst, divided by the holders of the cell, is but a
 * few requests: tokens that fill up in one place are missing in another.
 */
bool limit_row_is_small(const struct limit_row *w, const struct share *s);

/* Somebody wants tokens of it now. */
void limit_row_mark_active(struct limit_row *w, int64_t now_us);

/*
 * Most of its requests come to one other instance, which is better off with
 * the parts themselves: for a while they are not gathered here.
 */
void limit_row_mark_contested(struct limit_row *w, int64_t now_us);

/* Returns true when more than half of the rate is asked for here. */
bool limit_row_is_hot(const struct limit_row *w);

/* Returns true while the home gathers its parts. */
bool limit_row_is_consolidated(const struct limit_row *w, const struct share *s,
			       int64_t now_us);

/*
 * Sets *out to the tokens that may be given away for a moment, with the
 * capacity that they fill. What is borrowed counts as far as it outlasts
 * such a loan.
 */
void limit_row_lendable_tokens(const struct limit_row *w, const struct share *s,
			       int64_t now_us, struct amount *out);

/* Returns the least part of the cell that covers what is lent. */
uint32_t limit_row_reserved_ppm(const struct limit_row *w, int64_t now_us);

/* Updates the demand once enough time has passed. */
void limit_row_update_demand(struct limit_row *w, int64_t now_us);

#endif
