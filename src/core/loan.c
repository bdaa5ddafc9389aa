#include "core/loan.h"

#include <glib.h>
#include <string.h>

/* The clocks of two instances differ by less than 1/100 of elapsed time. */
static const int64_t CLOCK_DRIFT_DIVISOR = 100;

static const int64_t DURATION_MIN_US = 50 * US_PER_MS;
static const int64_t DURATION_MAX_US = 10 * US_PER_S;

enum { LENT_MAX = 64, BORROWED_MAX = 64, REQUESTS_MAX = 256 };

/* A request that this instance sent to a lender. */
struct loan_request {
	char peer[NAME_BYTES];
	struct peer_loan_request message;
	int64_t sent_us;
};

struct loan_book {
	GArray *lent; /* of struct loan */
	GArray *borrowed; /* of struct loan */
	GArray *requests; /* of struct loan_request, unanswered, oldest first */
};

bool loan_is_for_tokens(uint32_t rate_milli_per_s, int64_t duration_us)
{
	return !rate_milli_per_s && duration_us <= TOKEN_LOAN_DURATION_US;
}

struct loan_book *loan_book_new(void)
{
	struct loan_book *b = g_new0(struct loan_book, 1);

	b->lent = g_array_new(FALSE, TRUE, sizeof(struct loan));
	b->borrowed = g_array_new(FALSE, TRUE, sizeof(struct loan));
	b->requests = g_array_new(FALSE, TRUE, sizeof(struct loan_request));
	return b;
}

void loan_book_free(struct loan_book *b)
{
	g_array_free(b->lent, TRUE);
	g_array_free(b->borrowed, TRUE);
	g_array_free(b->requests, TRUE);
	g_free(b);
}

static struct loan *loan_at(const GArray *loans, uint32_t i)
{
	return &g_array_index(loans, struct loan, i);
}

static void drop_expired(GArray *loans, int64_t now_us)
{
	for (uint32_t i = loans->len; i-- > 0;) {
		if (loan_at(loans, i)->expires_us <= now_us)
			g_array_remove_index_fast(loans, i);
	}
}

void loan_expire(struct loan_book *b, int64_t now_us)
{
	drop_expired(b->lent, now_us);
	drop_expired(b->borrowed, now_us);
	for (uint32_t i = b->requests->len; i-- > 0;) {
		const struct loan_request *r =
			&g_array_index(b->requests, struct loan_request, i);

		if (r->sent_us + r->message.duration_us <= now_us)
			g_array_remove_index(b->requests, i);
	}
}

bool loan_book_is_empty(const struct loan_book *b)
{
	return !b->lent->len && !b->borrowed->len;
}

static struct amount sum_in_force(const GArray *loans, int64_t at_us)
{
	struct amount total = { 0 };

	for (uint32_t i = 0; i < loans->len; i++) {
		const struct loan *l = loan_at(loans, i);

		if (l->expires_us > at_us)
			total = amount_add(total, l->amount);
	}
	return total;
}

struct amount loan_sum_lent(const struct loan_book *b, int64_t at_us)
{
	return sum_in_force(b->lent, at_us);
}

struct amount loan_sum_borrowed(const struct loan_book *b, int64_t at_us)
{
	return sum_in_force(b->borrowed, at_us);
}

int64_t loan_next_expiry_us(const struct loan_book *b, int64_t after_us)
{
	int64_t end = INT64_MAX;

	for (uint32_t i = 0; i < b->borrowed->len; i++) {
		int64_t t = loan_at(b->borrowed, i)->expires_us;

		if (t > after_us)
			end = MIN(end, t);
	}
	return end;
}

const struct loan *loan_get_borrowed(const struct loan_book *b, uint32_t i)
{
	return i < b->borrowed->len ? loan_at(b->borrowed, i) : NULL;
}

const struct loan *loan_find_from_peer(const struct loan_book *b,
				       const char *peer)
{
	for (uint32_t i = 0; i < b->borrowed->len; i++) {
		if (!strcmp(loan_at(b->borrowed, i)->peer, peer))
			return loan_at(b->borrowed, i);
	}
	return NULL;
}

bool loan_is_requested_since(const struct loan_book *b, const char *peer,
			     int64_t after_us)
{
	for (uint32_t i = 0; i < b->requests->len; i++) {
		const struct loan_request *r =
			&g_array_index(b->requests, struct loan_request, i);

		if (r->sent_us > after_us && !strcmp(r->peer, peer))
			return true;
	}
	return false;
}

void loan_add_request(struct loan_book *b, const char *peer,
		      const struct peer_loan_request *request, int64_t now_us)
{
	struct loan_request r = { .message = *request, .sent_us = now_us };

	if (b->requests->len == REQUESTS_MAX)
		g_array_remove_index(b->requests, 0);
	g_strlcpy(r.peer, peer, sizeof(r.peer));
	g_array_append_val(b->requests, r);
}

static bool remove_matching_request(struct loan_book *b,
				    const struct peer_message *m,
				    struct loan_request *out)
{
	for (uint32_t i = 0; i < b->requests->len; i++) {
		*out = g_array_index(b->requests, struct loan_request, i);
		if (out->message.loan_id != m->loan_grant.loan_id ||
		    strcmp(out->peer, m->peer) != 0 ||
		    strcmp(out->message.workspace, m->loan_grant.workspace) !=
			    0)
			continue;
		g_array_remove_index(b->requests, i);
		return true;
	}
	return false;
}

static struct loan *find_borrowed(const struct loan_book *b, const char *peer,
				  uint64_t first_id)
{
	for (uint32_t i = 0; i < b->borrowed->len; i++) {
		struct loan *l = loan_at(b->borrowed, i);

		if (l->first_id == first_id && !strcmp(l->peer, peer))
			return l;
	}
	return NULL;
}

static struct amount get_requested_amount(const struct peer_loan_request *r)
{
	return (struct amount){ r->rate_milli_per_s, r->burst_milli };
}

bool loan_accept_grant(struct loan_book *b, const struct peer_message *m,
		       int64_t now_us, uint32_t *tokens_milli)
{
	const struct peer_loan_grant *g = &m->loan_grant;
	struct loan l = { .loan_id = g->loan_id,
			  .amount = { g->rate_milli_per_s, g->burst_milli },
			  .duration_us = g->duration_us };
	struct loan *old;
	struct loan_request request;

	if (!remove_matching_request(b, m, &request) ||
	    g->duration_us > request.message.duration_us)
		return false;
	l.expires_us = request.sent_us + g->duration_us -
		       g->duration_us / CLOCK_DRIFT_DIVISOR;
	if (l.expires_us <= now_us)
		return false;
	l.first_id =
		request.message.renews ? request.message.renews : g->loan_id;
	l.fully_granted =
		amount_covers(l.amount, get_requested_amount(&request.message));
	old = find_borrowed(b, m->peer, l.first_id);
	if (old && old->expires_us >= l.expires_us)
		return false;
	if (!old && b->borrowed->len == BORROWED_MAX)
		return false;
	g_strlcpy(l.peer, m->peer, sizeof(l.peer));
	if (old)
		*old = l;
	else
		g_array_append_val(b->borrowed, l);
	*tokens_milli = MIN(g->tokens_milli, g->burst_milli);
	return true;
}

static struct loan *find_lent(const struct loan_book *b,
			      const struct peer_message *m)
{
	const struct peer_loan_request *r = &m->loan_request;
	uint64_t first_id = r->renews ? r->renews : r->loan_id;

	for (uint32_t i = 0; i < b->lent->len; i++) {
		struct loan *l = loan_at(b->lent, i);

		if (l->first_id == first_id &&
		    l->incarnation == m->incarnation &&
		    !strcmp(l->peer, m->peer))
			return l;
	}
	return NULL;
}

/*
 * Returns the requested duration, shortened so that the loan ends before the
 * lease by the lender's count; 0 if it is too short to be useful.
 */
static int64_t compute_granted_duration_us(const struct peer_loan_request *r,
					   int64_t lease_end_us, int64_t now_us)
{
	int64_t longest = lease_end_us > now_us ?
				  (lease_end_us - now_us) /
					  (CLOCK_DRIFT_DIVISOR + 2) *
					  CLOCK_DRIFT_DIVISOR :
				  0;
	int64_t d = MIN(MIN(r->duration_us, DURATION_MAX_US), longest);

	return d < DURATION_MIN_US ? 0 : d;
}

/* Renews a loan that is in force; it may grow by up to `lendable`. */
static void extend_loan(struct loan *l, const struct peer_loan_request *r,
			struct amount lendable)
{
	struct amount most = amount_add(l->amount, lendable);

	l->amount = amount_max(l->amount,
			       amount_min(most, get_requested_amount(r)));
}

static struct loan *add_lent(struct loan_book *b, const struct peer_message *m,
			     struct amount lendable)
{
	const struct peer_loan_request *r = &m->loan_request;
	struct loan l = { .incarnation = m->incarnation,
			  .first_id = r->loan_id,
			  .amount = amount_min(get_requested_amount(r),
					       lendable) };

	if (b->lent->len == LENT_MAX || r->renews || amount_is_zero(l.amount))
		return NULL;
	g_strlcpy(l.peer, m->peer, sizeof(l.peer));
	g_array_append_val(b->lent, l);
	return loan_at(b->lent, b->lent->len - 1);
}

enum loan_answer loan_handle_request(struct loan_book *b,
				     const struct peer_message *m,
				     const struct amount *lendable,
				     int64_t lease_end_us, int64_t now_us,
				     struct loan **out)
{
	const struct peer_loan_request *r = &m->loan_request;
	int64_t d = compute_granted_duration_us(r, lease_end_us, now_us);
	struct loan *l = find_lent(b, m);

	if (l && l->loan_id >= r->loan_id) {
		*out = l;
		return l->loan_id == r->loan_id ? LOAN_REPEATED : LOAN_REFUSED;
	}
	if (!d || !lendable)
		return LOAN_REFUSED;
	if (l)
		extend_loan(l, r, *lendable);
	else
		l = add_lent(b, m, *lendable);
	if (!l)
		return LOAN_REFUSED;
	l->loan_id = r->loan_id;
	l->tokens_milli = 0;
	l->duration_us = d;
	l->expires_us =
		MAX(l->expires_us, now_us + d + d / CLOCK_DRIFT_DIVISOR);
	*out = l;
	return LOAN_GRANTED;
}
