#include "core/loan.h"

#include <glib.h>
#include <string.h>

/* Clocks of two instances differ by less than 1%. */
static const int64_t DRIFT_PARTS = 100;

static const int64_t DURATION_MIN_US = 50 * US_PER_MS;
static const int64_t DURATION_MAX_US = 10 * US_PER_S;

enum { LENT_MAX = 64, BORROWED_MAX = 64, ASKS_MAX = 256 };

struct ask {
	char peer[NAME_BYTES];
	struct peer_loan_request ask;
	int64_t sent_us;
};

struct loan_book {
	GArray *lent; /* of struct loan */
	GArray *borrowed; /* of struct loan */
	GArray *asks; /* of struct ask, not answered yet */
};

bool loan_is_for_tokens(uint32_t rate_milli_per_s, int64_t duration_us)
{
	return !rate_milli_per_s && duration_us <= LOAN_TOKENS_US;
}

struct loan_book *loan_book_new(void)
{
	struct loan_book *b = g_new0(struct loan_book, 1);

	b->lent = g_array_new(FALSE, TRUE, sizeof(struct loan));
	b->borrowed = g_array_new(FALSE, TRUE, sizeof(struct loan));
	b->asks = g_array_new(FALSE, TRUE, sizeof(struct ask));
	return b;
}

void loan_book_free(struct loan_book *b)
{
	g_array_free(b->lent, TRUE);
	g_array_free(b->borrowed, TRUE);
	g_array_free(b->asks, TRUE);
	g_free(b);
}

static struct loan *at(const GArray *loans, uint32_t i)
{
	return &g_array_index(loans, struct loan, i);
}

static void drop_expired(GArray *loans, int64_t now_us)
{
	for (uint32_t i = loans->len; i-- > 0;) {
		if (at(loans, i)->expires_us <= now_us)
			g_array_remove_index_fast(loans, i);
	}
}

void loan_expire(struct loan_book *b, int64_t now_us)
{
	drop_expired(b->lent, now_us);
	drop_expired(b->borrowed, now_us);
	for (uint32_t i = b->asks->len; i-- > 0;) {
		const struct ask *a = &g_array_index(b->asks, struct ask, i);

		if (a->sent_us + a->ask.duration_us <= now_us)
			g_array_remove_index(b->asks, i);
	}
}

bool loan_book_is_empty(const struct loan_book *b)
{
	return !b->lent->len && !b->borrowed->len;
}

static struct amount sum(const GArray *loans, int64_t at_us)
{
	struct amount total = { 0 };

	for (uint32_t i = 0; i < loans->len; i++) {
		const struct loan *l = at(loans, i);

		if (l->expires_us > at_us)
			total = amount_add(total, l->amount);
	}
	return total;
}

struct amount loan_lent(const struct loan_book *b, int64_t at_us)
{
	return sum(b->lent, at_us);
}

struct amount loan_borrowed(const struct loan_book *b, int64_t at_us)
{
	return sum(b->borrowed, at_us);
}

int64_t loan_next_end_us(const struct loan_book *b, int64_t after_us)
{
	int64_t end = INT64_MAX;

	for (uint32_t i = 0; i < b->borrowed->len; i++) {
		int64_t t = at(b->borrowed, i)->expires_us;

		if (t > after_us)
			end = MIN(end, t);
	}
	return end;
}

const struct loan *loan_borrowed_at(const struct loan_book *b, uint32_t i)
{
	return i < b->borrowed->len ? at(b->borrowed, i) : NULL;
}

const struct loan *loan_from(const struct loan_book *b, const char *peer)
{
	for (uint32_t i = 0; i < b->borrowed->len; i++) {
		if (!strcmp(at(b->borrowed, i)->peer, peer))
			return at(b->borrowed, i);
	}
	return NULL;
}

bool loan_is_asked(const struct loan_book *b, const char *peer,
		   int64_t after_us)
{
	for (uint32_t i = 0; i < b->asks->len; i++) {
		const struct ask *a = &g_array_index(b->asks, struct ask, i);

		if (a->sent_us > after_us && !strcmp(a->peer, peer))
			return true;
	}
	return false;
}

void loan_note_ask(struct loan_book *b, const char *peer,
		   const struct peer_loan_request *ask, int64_t now_us)
{
	struct ask a = { .ask = *ask, .sent_us = now_us };

	if (b->asks->len == ASKS_MAX)
		g_array_remove_index(b->asks, 0);
	g_strlcpy(a.peer, peer, sizeof(a.peer));
	g_array_append_val(b->asks, a);
}

static bool take_ask(struct loan_book *b, const struct peer_message *m,
		     struct ask *out)
{
	for (uint32_t i = 0; i < b->asks->len; i++) {
		*out = g_array_index(b->asks, struct ask, i);
		if (out->ask.loan_id != m->loan_grant.loan_id ||
		    strcmp(out->peer, m->peer) != 0 ||
		    strcmp(out->ask.workspace, m->loan_grant.workspace) != 0)
			continue;
		g_array_remove_index(b->asks, i);
		return true;
	}
	return false;
}

static struct loan *find_borrowed(const struct loan_book *b, const char *peer,
				  uint64_t first_id)
{
	for (uint32_t i = 0; i < b->borrowed->len; i++) {
		struct loan *l = at(b->borrowed, i);

		if (l->first_id == first_id && !strcmp(l->peer, peer))
			return l;
	}
	return NULL;
}

static struct amount asked_amount(const struct peer_loan_request *a)
{
	return (struct amount){ a->rate_milli_per_s, a->burst_milli };
}

bool loan_take_grant(struct loan_book *b, const struct peer_message *m,
		     int64_t now_us, uint32_t *tokens_milli)
{
	const struct peer_loan_grant *g = &m->loan_grant;
	struct loan l = { .loan_id = g->loan_id,
			  .amount = { g->rate_milli_per_s, g->burst_milli },
			  .duration_us = g->duration_us };
	struct loan *old;
	struct ask a;

	if (!take_ask(b, m, &a) || g->duration_us > a.ask.duration_us)
		return false;
	l.expires_us =
		a.sent_us + g->duration_us - g->duration_us / DRIFT_PARTS;
	if (l.expires_us <= now_us)
		return false;
	l.first_id = a.ask.renews ? a.ask.renews : g->loan_id;
	l.full = amount_covers(l.amount, asked_amount(&a.ask));
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
	const struct peer_loan_request *a = &m->loan_request;
	uint64_t first_id = a->renews ? a->renews : a->loan_id;

	for (uint32_t i = 0; i < b->lent->len; i++) {
		struct loan *l = at(b->lent, i);

		if (l->first_id == first_id &&
		    l->incarnation == m->incarnation &&
		    !strcmp(l->peer, m->peer))
			return l;
	}
	return NULL;
}

/* Returns the duration that ends before the lease; 0: too short. */
static int64_t duration(const struct peer_loan_request *a, int64_t lease_end_us,
			int64_t now_us)
{
	int64_t longest = lease_end_us > now_us ?
				  (lease_end_us - now_us) / (DRIFT_PARTS + 2) *
					  DRIFT_PARTS :
				  0;
	int64_t d = MIN(MIN(a->duration_us, DURATION_MAX_US), longest);

	return d < DURATION_MIN_US ? 0 : d;
}

/* Extends a loan that still runs; it grows by what is spare. */
static void renew(struct loan *l, const struct peer_loan_request *a,
		  struct amount spare)
{
	struct amount most = amount_add(l->amount, spare);

	l->amount = amount_max(l->amount, amount_min(most, asked_amount(a)));
}

static struct loan *add_lent(struct loan_book *b, const struct peer_message *m,
			     struct amount spare)
{
	const struct peer_loan_request *a = &m->loan_request;
	struct loan l = { .incarnation = m->incarnation,
			  .first_id = a->loan_id,
			  .amount = amount_min(asked_amount(a), spare) };

	if (b->lent->len == LENT_MAX || a->renews || amount_is_zero(l.amount))
		return NULL;
	g_strlcpy(l.peer, m->peer, sizeof(l.peer));
	g_array_append_val(b->lent, l);
	return at(b->lent, b->lent->len - 1);
}

enum loan_answer loan_lend(struct loan_book *b, const struct peer_message *m,
			   const struct amount *spare, int64_t lease_end_us,
			   int64_t now_us, struct loan **out)
{
	const struct peer_loan_request *a = &m->loan_request;
	int64_t d = duration(a, lease_end_us, now_us);
	struct loan *l = find_lent(b, m);

	if (l && l->loan_id >= a->loan_id) {
		*out = l;
		return l->loan_id == a->loan_id ? LOAN_REPEATED : LOAN_REFUSED;
	}
	if (!d || !spare)
		return LOAN_REFUSED;
	if (l)
		renew(l, a, *spare);
	else
		l = add_lent(b, m, *spare);
	if (!l)
		return LOAN_REFUSED;
	l->loan_id = a->loan_id;
	l->tokens_milli = 0;
	l->duration_us = d;
	l->expires_us = MAX(l->expires_us, now_us + d + d / DRIFT_PARTS);
	*out = l;
	return LOAN_GRANTED;
}
