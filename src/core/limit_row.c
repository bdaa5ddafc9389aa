#include "core/limit_row.h"

#include <glib.h>

static const int64_t DEMAND_INTERVAL_US = 100 * US_PER_MS;
static const int64_t DEMAND_INTERVAL_MAX_US = US_PER_S;
enum {
	DEMAND_REQUESTS_MIN = 4, /* in an interval, to compute a rate from it */
	HOT_INTERVALS = 3, /* a single one may be a random peak */
};

/* A lender retains this much of its own share, and a burst for one request. */
enum { RETAINED_PPM = SHARE_WHOLE_PPM / 16, RETAINED_BURST_MILLI = 1000 };

/*
 * A workspace is small when a holder's part of the burst covers fewer requests
 * than this; a request is assumed to cost at least REQUEST_COST_MIN_MILLI.
 */
enum { SMALL_REQUESTS_MAX = 4, REQUEST_COST_MIN_MILLI = 1000 };

/*
 * How long a lender must be able to do without lent tokens: it counts the loan
 * 1% longer than granted, and the clocks may differ by another 1%.
 */
static const int64_t TOKEN_LOAN_LENT_US = TOKEN_LOAN_DURATION_US * 102 / 100;

/* How long the home keeps a small workspace consolidated after a request. */
static const int64_t ACTIVE_US = 5 * US_PER_S;

/*
 * The duration of two loans: one until the borrowed shares are back at their
 * holders, one for which they can be lent to the instance that requested them.
 */
static const int64_t CONTESTED_US = 2 * US_PER_S;

struct limit_row *limit_row_new(const char *workspace, uint32_t cell,
				int64_t now_us)
{
	struct limit_row *w = g_new0(struct limit_row, 1);

	g_strlcpy(w->record.name, workspace, sizeof(w->record.name));
	w->cell = cell;
	w->bucket.updated_us = now_us;
	w->demand_since_us = now_us;
	w->loans = loan_book_new();
	return w;
}

void limit_row_free(struct limit_row *w)
{
	loan_book_free(w->loans);
	g_free(w);
}

static struct amount get_own_share(const struct limit_row *w,
				   const struct share *s, int64_t at_us)
{
	struct amount whole = { w->record.rate_milli_per_s,
				w->record.burst_milli };

	return amount_scale_ppm(whole, share_get_usable_ppm(s, w->cell, at_us));
}

struct amount limit_row_get_unlent(const struct limit_row *w,
				   const struct share *s, int64_t now_us)
{
	return amount_subtract(get_own_share(w, s, now_us),
			       loan_sum_lent(w->loans, now_us));
}

struct amount limit_row_get_available(const struct limit_row *w,
				      const struct share *s, int64_t now_us)
{
	return amount_subtract(amount_add(get_own_share(w, s, now_us),
					  loan_sum_borrowed(w->loans, now_us)),
			       loan_sum_lent(w->loans, now_us));
}

static void resize_bucket(struct limit_row *w, const struct share *s,
			  int64_t at_us)
{
	struct amount all = limit_row_get_available(w, s, at_us);

	bucket_resize(&w->bucket, all.rate_milli_per_s, all.burst_milli);
}

/*
 * Credits tokens up to now. The rate drops when a borrowed loan or the lease
 * ends, so time after such an end is credited at the lower rate, even if this
 * process was paused in between.
 */
static void advance_bucket(struct limit_row *w, const struct share *s,
			   int64_t now_us)
{
	int64_t lease_end = share_valid_until_us(s);

	for (;;) {
		int64_t from = w->bucket.updated_us;
		int64_t to = loan_next_expiry_us(w->loans, from);

		if (lease_end > from)
			to = MIN(to, lease_end);
		if (to > now_us)
			break;
		bucket_advance(&w->bucket, to);
		resize_bucket(w, s, to);
	}
	bucket_advance(&w->bucket, now_us);
}

void limit_row_refresh(struct limit_row *w, const struct share *s,
		       int64_t now_us)
{
	if (w->epoch != share_epoch(s)) {
		bucket_clear(&w->bucket, now_us);
		w->epoch = share_epoch(s);
	} else {
		advance_bucket(w, s, now_us);
	}
	loan_expire(w->loans, now_us);
	resize_bucket(w, s, now_us);
}

/* Returns how much of the own share is retained for the demand plus 25%. */
static struct amount compute_retained_amount(const struct limit_row *w,
					     struct amount whole)
{
	uint64_t need = (uint64_t)w->demand_milli_per_s * 5 / 4;
	struct amount keep = amount_scale_ppm(whole, RETAINED_PPM);

	keep.rate_milli_per_s =
		MAX(keep.rate_milli_per_s,
		    (uint32_t)MIN(need, whole.rate_milli_per_s));
	if (whole.rate_milli_per_s)
		keep.burst_milli = (uint32_t)((uint64_t)whole.burst_milli *
					      keep.rate_milli_per_s /
					      whole.rate_milli_per_s);
	if (whole.burst_milli >= RETAINED_BURST_MILLI)
		keep.burst_milli = MAX(keep.burst_milli, RETAINED_BURST_MILLI);
	return keep;
}

bool limit_row_get_lendable(const struct limit_row *w, const struct share *s,
			    int64_t now_us, struct amount *out)
{
	struct amount whole = get_own_share(w, s, now_us);
	struct amount used = amount_add(loan_sum_lent(w->loans, now_us),
					compute_retained_amount(w, whole));

	*out = amount_subtract(whole, used);
	return amount_covers(whole, used);
}

bool limit_row_get_lendable_max(const struct limit_row *w,
				const struct share *s, int64_t now_us,
				struct amount *out)
{
	*out = limit_row_get_unlent(w, s, now_us);
	return amount_covers(get_own_share(w, s, now_us),
			     loan_sum_lent(w->loans, now_us));
}

bool limit_row_is_small(const struct limit_row *w, const struct share *s)
{
	const struct share_record *r = share_get_record(s, w->cell);
	uint32_t cost = MAX(w->request_cost_max_milli, REQUEST_COST_MIN_MILLI);

	return r->holder_count > 1 && w->record.burst_milli / r->holder_count <
					      SMALL_REQUESTS_MAX * cost;
}

void limit_row_mark_active(struct limit_row *w, int64_t now_us)
{
	w->active_until_us = now_us + ACTIVE_US;
}

void limit_row_mark_contested(struct limit_row *w, int64_t now_us)
{
	w->contested_until_us = now_us + CONTESTED_US;
}

bool limit_row_is_hot(const struct limit_row *w)
{
	return w->hot_intervals >= HOT_INTERVALS;
}

bool limit_row_is_consolidated(const struct limit_row *w, const struct share *s,
			       int64_t now_us)
{
	return limit_row_is_small(w, s) && now_us < w->active_until_us &&
	       (limit_row_is_hot(w) || now_us >= w->contested_until_us);
}

void limit_row_get_lendable_tokens(const struct limit_row *w,
				   const struct share *s, int64_t now_us,
				   struct amount *out)
{
	struct amount all =
		amount_add(get_own_share(w, s, now_us),
			   loan_sum_borrowed(w->loans,
					     now_us + TOKEN_LOAN_LENT_US));
	struct amount left =
		amount_subtract(all, loan_sum_lent(w->loans, now_us));

	out->rate_milli_per_s = 0;
	out->burst_milli = MIN(left.burst_milli, w->bucket.level_milli);
}

static uint32_t ceil_ppm(uint32_t amount, uint32_t whole)
{
	uint64_t ppm = ((uint64_t)amount * SHARE_WHOLE_PPM + whole - 1) / whole;

	return (uint32_t)MIN(ppm, SHARE_WHOLE_PPM);
}

uint32_t limit_row_get_reserved_ppm(const struct limit_row *w, int64_t now_us)
{
	struct amount lent = loan_sum_lent(w->loans, now_us);
	uint32_t ppm = 0;

	if (lent.rate_milli_per_s)
		ppm = w->record.rate_milli_per_s ?
			      ceil_ppm(lent.rate_milli_per_s,
				       w->record.rate_milli_per_s) :
			      SHARE_WHOLE_PPM;
	if (lent.burst_milli)
		ppm = MAX(ppm, w->record.burst_milli ?
				       ceil_ppm(lent.burst_milli,
						w->record.burst_milli) :
				       SHARE_WHOLE_PPM);
	return ppm;
}

void limit_row_update_demand(struct limit_row *w, int64_t now_us)
{
	int64_t elapsed = now_us - w->demand_since_us;
	uint64_t recent;

	if (elapsed < DEMAND_INTERVAL_US)
		return;
	/* Too few arrivals, as in a small workspace, do not give a rate yet. */
	if (elapsed < DEMAND_INTERVAL_MAX_US &&
	    w->arrived_cost_milli <
		    (uint64_t)DEMAND_REQUESTS_MIN * w->request_cost_max_milli)
		return;
	recent = w->arrived_cost_milli * (uint64_t)US_PER_S / (uint64_t)elapsed;
	w->hot_intervals = recent > w->record.rate_milli_per_s / 2 ?
				   w->hot_intervals + 1 :
				   0;
	/*
	 * A rise is followed by half of the difference at once, a fall only
	 * by an eighth, so that a lender does not lend what it needs soon.
	 */
	if (recent > w->demand_milli_per_s)
		recent = (recent + w->demand_milli_per_s) / 2;
	else
		recent = (recent + 7 * (uint64_t)w->demand_milli_per_s) / 8;
	w->demand_milli_per_s = (uint32_t)MIN(recent, UINT32_MAX);
	w->arrived_cost_milli = 0;
	w->demand_since_us = now_us;
}
