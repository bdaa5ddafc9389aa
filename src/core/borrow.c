#include "core/borrow.h"

#include <string.h>
#include <xxhash.h>

static const int64_t LOAN_DURATION_US = US_PER_S;

/* A loan is renewed when less than this is left: half of its duration. */
static const int64_t RENEW_BEFORE_US = 500 * US_PER_MS;

/* Time before the next request to a peer that has not granted the last one. */
static const int64_t LOAN_REQUEST_RETRY_US = 150 * US_PER_MS;

/* The same for tokens, which a peer may have again soon. */
static const int64_t TOKENS_REQUEST_RETRY_US = 20 * US_PER_MS;

/* A loan is requested when the level does not last this long. */
static const int64_t LOOKAHEAD_US = 100 * US_PER_MS;

/* One pass over the holders that may lend to a workspace. */
struct borrow_pass {
	struct limit_row *row;
	const struct borrow_env *env;
	int64_t now_us;
	struct amount missing; /* not yet requested in this pass */
	uint32_t requests_sent;
	int64_t request_retry_us; /* minimum between requests to one peer */
	bool consolidates; /* this is the home: it borrows all shares */
};

static bool is_active_holder(const struct borrow_env *env,
			     const struct share_holder *h)
{
	const struct member *m = member_find(env->members, h->instance);

	if (!strcmp(h->instance, env->instance))
		return h->ppm > 0;
	return h->ppm && m && m->alive && m->incarnation == h->incarnation &&
	       !m->report.draining;
}

const char *borrow_find_home(const struct limit_row *w,
			     const struct borrow_env *env)
{
	const struct share_record *r = share_get_record(env->share, w->cell);
	uint64_t name = XXH64(w->record.name, strlen(w->record.name), 0);
	uint64_t best = 0;
	const char *home = NULL;

	for (uint32_t i = 0; i < r->holder_count; i++) {
		const char *holder = r->holders[i].instance;
		uint64_t score = XXH64(holder, strlen(holder), name);

		if (!is_active_holder(env, &r->holders[i]) ||
		    (home && score <= best))
			continue;
		home = holder;
		best = score;
	}
	return home;
}

static bool is_home(const struct limit_row *w, const struct borrow_env *env)
{
	const char *home = borrow_find_home(w, env);

	return home && !strcmp(home, env->instance);
}

static void send_loan_request(struct borrow_pass *p, const char *peer,
			      struct amount amount, uint64_t renews,
			      int64_t duration_us)
{
	struct peer_message m = { .type = PEER_LOAN_REQUEST };
	struct action a = { .type = ACTION_PEER_SEND, .peer = &m };
	struct peer_loan_request *request = &m.loan_request;

	g_strlcpy(m.peer, peer, sizeof(m.peer));
	m.incarnation = p->env->incarnation;
	request->loan_id = ++*p->env->last_loan_id;
	request->renews = renews;
	g_strlcpy(request->workspace, p->row->record.name,
		  sizeof(request->workspace));
	request->rate_milli_per_s = amount.rate_milli_per_s;
	request->burst_milli = amount.burst_milli;
	request->duration_us = duration_us;
	loan_add_request(p->row->loans, peer, request, p->now_us);
	action_queue_push(p->env->out, &a);
	p->requests_sent++;
}

static struct amount get_full_limit(const struct limit_row *w)
{
	return (struct amount){ w->record.rate_milli_per_s,
				w->record.burst_milli };
}

/* Returns what is needed beyond `have` to serve the demand plus 25%. */
static struct amount compute_missing_amount(const struct limit_row *w,
					    struct amount have)
{
	uint64_t need = (uint64_t)w->demand_milli_per_s * 5 / 4;
	struct amount target = {
		.rate_milli_per_s =
			(uint32_t)MIN(need, w->record.rate_milli_per_s),
	};
	uint64_t burst = 0;

	if (w->record.rate_milli_per_s)
		burst = (uint64_t)w->record.burst_milli *
			target.rate_milli_per_s / w->record.rate_milli_per_s;
	burst = MAX(burst, w->request_cost_max_milli);
	target.burst_milli = (uint32_t)MIN(burst, w->record.burst_milli);
	return amount_subtract(target, have);
}

static struct amount get_available(const struct borrow_pass *p)
{
	return limit_row_get_available(p->row, p->env->share, p->now_us);
}

static bool is_renewal_needed(const struct borrow_pass *p, const struct loan *l,
			      struct amount have)
{
	if (p->consolidates)
		return true;
	if (!p->row->demand_milli_per_s)
		return false;
	return !amount_is_zero(
		compute_missing_amount(p->row,
				       amount_subtract(have, l->amount)));
}

static void renew_due_loans(struct borrow_pass *p)
{
	struct amount have = get_available(p);
	const struct loan *l;

	for (uint32_t i = 0; p->requests_sent < BORROW_REQUESTS_MAX; i++) {
		l = loan_get_borrowed(p->row->loans, i);
		if (!l)
			break;
		if (loan_is_for_tokens(l->amount.rate_milli_per_s,
				       l->duration_us))
			continue;
		if (l->expires_us - p->now_us < RENEW_BEFORE_US &&
		    !loan_is_requested_since(p->row->loans, l->peer,
					     p->now_us -
						     LOAN_REQUEST_RETRY_US) &&
		    is_renewal_needed(p, l, have))
			send_loan_request(p, l->peer, l->amount, l->first_id,
					  LOAN_DURATION_US);
	}
}

static bool can_request_from(const struct borrow_pass *p,
			     const struct share_holder *h)
{
	return strcmp(h->instance, p->env->instance) != 0 &&
	       is_active_holder(p->env, h) &&
	       !loan_is_requested_since(p->row->loans, h->instance,
					p->now_us - p->request_retry_us);
}

/*
 * Requests as much of what is missing as the holder's share allows. `l` is the
 * loan from that holder, which is then renewed and enlarged, or NULL.
 */
static void request_from_holder(struct borrow_pass *p,
				const struct share_holder *h,
				const struct loan *l)
{
	struct amount amount =
		amount_min(p->missing,
			   amount_scale_ppm(get_full_limit(p->row), h->ppm));

	if (amount_is_zero(amount))
		return;
	p->missing = amount_subtract(p->missing, amount);
	if (l)
		amount = amount_add(amount, l->amount);
	send_loan_request(p, h->instance, amount, l ? l->first_id : 0,
			  LOAN_DURATION_US);
}

/*
 * Requests what is missing from the holders that already lend to this
 * instance, or from the others. Holders that lent less than requested are
 * skipped unless the shares are consolidated here.
 */
static void request_from_holders(struct borrow_pass *p, bool lending)
{
	const struct share_record *r =
		share_get_record(p->env->share, p->row->cell);
	uint32_t start = r->holder_count ? g_rand_int(p->env->rand) : 0;

	for (uint32_t i = 0; i < r->holder_count; i++) {
		const struct share_holder *h =
			&r->holders[(start + i) % r->holder_count];
		const struct loan *l =
			loan_find_from_peer(p->row->loans, h->instance);

		if (p->requests_sent == BORROW_REQUESTS_MAX)
			return;
		if ((l != NULL) != lending ||
		    (l && !l->fully_granted && !p->consolidates) ||
		    !can_request_from(p, h))
			continue;
		request_from_holder(p, h, l);
	}
}

static bool is_level_low(const struct limit_row *w)
{
	uint64_t need = (uint64_t)w->demand_milli_per_s *
			(uint64_t)LOOKAHEAD_US / (uint64_t)US_PER_S;

	return w->short_of_tokens ||
	       w->bucket.level_milli < need + w->request_cost_max_milli;
}

void borrow_run(struct limit_row *w, const struct borrow_env *env,
		int64_t now_us)
{
	struct borrow_pass p = { .row = w,
				 .env = env,
				 .now_us = now_us,
				 .request_retry_us = LOAN_REQUEST_RETRY_US };
	bool small = limit_row_is_small(w, env->share);

	if (w->deleted || (!w->request_cost_max_milli && !small))
		return;
	p.consolidates = limit_row_is_consolidated(w, env->share, now_us) &&
			 is_home(w, env);
	/* Else only waiting requests borrow: see borrow_request_tokens(). */
	if (small && !p.consolidates && !limit_row_is_hot(w))
		return;
	renew_due_loans(&p);
	if (!p.consolidates && !is_level_low(w))
		return;
	w->short_of_tokens = false;
	p.missing =
		p.consolidates ?
			amount_subtract(get_full_limit(w), get_available(&p)) :
			compute_missing_amount(w, get_available(&p));
	/* Loans without a rate are requested only for waiting requests. */
	if (!p.missing.rate_milli_per_s)
		return;
	request_from_holders(&p, true);
	request_from_holders(&p, false);
}

void borrow_request_tokens(struct limit_row *w, const struct borrow_env *env,
			   uint32_t missing_milli, int64_t now_us)
{
	struct borrow_pass p = { .row = w,
				 .env = env,
				 .now_us = now_us,
				 .request_retry_us = TOKENS_REQUEST_RETRY_US };
	const struct share_record *r = share_get_record(env->share, w->cell);
	uint32_t start = r->holder_count ? g_rand_int(env->rand) : 0;
	struct amount amount = { .burst_milli = missing_milli };
	const char *home = NULL;

	if (limit_row_is_small(w, env->share))
		home = borrow_find_home(w, env);
	for (uint32_t i = 0; home && i < r->holder_count; i++) {
		const struct share_holder *h = &r->holders[i];

		if (!strcmp(h->instance, home) && can_request_from(&p, h)) {
			send_loan_request(&p, home, amount, 0,
					  TOKEN_LOAN_DURATION_US);
			return;
		}
	}
	for (uint32_t i = 0; i < r->holder_count; i++) {
		const struct share_holder *h =
			&r->holders[(start + i) % r->holder_count];

		if (p.requests_sent == BORROW_TOKEN_REQUESTS_MAX)
			return;
		if (can_request_from(&p, h))
			send_loan_request(&p, h->instance, amount, 0,
					  TOKEN_LOAN_DURATION_US);
	}
}
