#include "core/borrow.h"

#include <string.h>
#include <xxhash.h>

static const int64_t LOAN_DURATION_US = US_PER_S;

/* A loan is renewed once half of it has passed. */
static const int64_t RENEW_BEFORE_US = 500 * US_PER_MS;

/* A peer that did not grant is asked again after so long. */
static const int64_t ASK_AGAIN_US = 150 * US_PER_MS;

/* The same for tokens, which a peer may have a moment later. */
static const int64_t ASK_TOKENS_AGAIN_US = 20 * US_PER_MS;

/* The level must last so long at the present demand. */
static const int64_t LOOKAHEAD_US = 100 * US_PER_MS;

struct asking {
	struct limit_row *row;
	const struct borrow_env *env;
	int64_t now_us;
	struct amount want; /* still to be asked for */
	uint32_t sent;
	int64_t ask_again_us; /* a peer that did not grant is left so long */
	bool gathers; /* the home of a small workspace wants all parts */
};

static bool may_hold(const struct borrow_env *env, const struct share_holder *h)
{
	const struct member *m = member_find(env->members, h->instance);

	if (!strcmp(h->instance, env->instance))
		return h->ppm > 0;
	return h->ppm && m && m->alive && m->incarnation == h->incarnation &&
	       !m->report.draining;
}

const char *borrow_home(const struct limit_row *w, const struct borrow_env *env)
{
	const struct share_record *r = share_record_of(env->share, w->cell);
	uint64_t name = XXH64(w->record.name, strlen(w->record.name), 0);
	uint64_t best = 0;
	const char *home = NULL;

	for (uint32_t i = 0; i < r->holder_count; i++) {
		const char *holder = r->holders[i].instance;
		uint64_t score = XXH64(holder, strlen(holder), name);

		if (!may_hold(env, &r->holders[i]) || (home && score <= best))
			continue;
		home = holder;
		best = score;
	}
	return home;
}

static bool is_home(const struct limit_row *w, const struct borrow_env *env)
{
	const char *home = borrow_home(w, env);

	return home && !strcmp(home, env->instance);
}

static void send_ask(struct asking *k, const char *peer, struct amount amount,
		     uint64_t renews, int64_t duration_us)
{
	struct peer_message m = { .type = PEER_LOAN_REQUEST };
	struct action a = { .type = ACTION_PEER_SEND, .peer = &m };
	struct peer_loan_request *ask = &m.loan_request;

	g_strlcpy(m.peer, peer, sizeof(m.peer));
	m.incarnation = k->env->incarnation;
	ask->loan_id = ++*k->env->last_loan_id;
	ask->renews = renews;
	g_strlcpy(ask->workspace, k->row->record.name, sizeof(ask->workspace));
	ask->rate_milli_per_s = amount.rate_milli_per_s;
	ask->burst_milli = amount.burst_milli;
	ask->duration_us = duration_us;
	loan_note_ask(k->row->loans, peer, ask, k->now_us);
	action_queue_push(k->env->out, &a);
	k->sent++;
}

static struct amount whole_of(const struct limit_row *w)
{
	return (struct amount){ w->record.rate_milli_per_s,
				w->record.burst_milli };
}

/* Returns what the demand needs beyond what is there. */
static struct amount wanted(const struct limit_row *w, struct amount have)
{
	uint64_t need = (uint64_t)w->demand_milli_per_s * 5 / 4;
	struct amount want = {
		.rate_milli_per_s =
			(uint32_t)MIN(need, w->record.rate_milli_per_s),
	};
	uint64_t burst = 0;

	if (w->record.rate_milli_per_s)
		burst = (uint64_t)w->record.burst_milli *
			want.rate_milli_per_s / w->record.rate_milli_per_s;
	burst = MAX(burst, w->cost_max_milli);
	want.burst_milli = (uint32_t)MIN(burst, w->record.burst_milli);
	return amount_minus(want, have);
}

static struct amount available(const struct asking *k)
{
	return limit_row_whole(k->row, k->env->share, k->now_us);
}

static bool is_needed(const struct asking *k, const struct loan *l,
		      struct amount have)
{
	if (k->gathers)
		return true;
	if (!k->row->demand_milli_per_s)
		return false;
	return !amount_is_zero(wanted(k->row, amount_minus(have, l->amount)));
}

static void renew_due(struct asking *k)
{
	struct amount have = available(k);
	const struct loan *l;

	for (uint32_t i = 0; k->sent < BORROW_ASKS_MAX; i++) {
		l = loan_borrowed_at(k->row->loans, i);
		if (!l)
			break;
		if (loan_is_for_tokens(l->amount.rate_milli_per_s,
				       l->duration_us))
			continue;
		if (l->expires_us - k->now_us < RENEW_BEFORE_US &&
		    !loan_is_asked(k->row->loans, l->peer,
				   k->now_us - ASK_AGAIN_US) &&
		    is_needed(k, l, have))
			send_ask(k, l->peer, l->amount, l->first_id,
				 LOAN_DURATION_US);
	}
}

static bool may_lend(const struct asking *k, const struct share_holder *h)
{
	return strcmp(h->instance, k->env->instance) != 0 &&
	       may_hold(k->env, h) &&
	       !loan_is_asked(k->row->loans, h->instance,
			      k->now_us - k->ask_again_us);
}

/* Asks one holder for as much of the rest as its own part can give. */
static void ask_holder(struct asking *k, const struct share_holder *h,
		       const struct loan *l)
{
	struct amount amount =
		amount_min(k->want, amount_part(whole_of(k->row), h->ppm));

	if (amount_is_zero(amount))
		return;
	k->want = amount_minus(k->want, amount);
	if (l)
		amount = amount_add(amount, l->amount);
	send_ask(k, h->instance, amount, l ? l->first_id : 0, LOAN_DURATION_US);
}

/* Those that lend already and had all that was asked for come first. */
static void ask_holders(struct asking *k, bool lending)
{
	const struct share_record *r =
		share_record_of(k->env->share, k->row->cell);
	uint32_t start = r->holder_count ? g_rand_int(k->env->rand) : 0;

	for (uint32_t i = 0; i < r->holder_count; i++) {
		const struct share_holder *h =
			&r->holders[(start + i) % r->holder_count];
		const struct loan *l = loan_from(k->row->loans, h->instance);

		if (k->sent == BORROW_ASKS_MAX)
			return;
		if ((l != NULL) != lending || (l && !l->full && !k->gathers) ||
		    !may_lend(k, h))
			continue;
		ask_holder(k, h, l);
	}
}

static bool is_short(const struct limit_row *w)
{
	uint64_t need = (uint64_t)w->demand_milli_per_s *
			(uint64_t)LOOKAHEAD_US / (uint64_t)US_PER_S;

	return w->short_of_tokens ||
	       w->bucket.level_milli < need + w->cost_max_milli;
}

void borrow_run(struct limit_row *w, const struct borrow_env *env,
		int64_t now_us)
{
	struct asking k = { .row = w,
			    .env = env,
			    .now_us = now_us,
			    .ask_again_us = ASK_AGAIN_US };
	bool small = limit_row_is_small(w, env->share);

	if (w->deleted || (!w->cost_max_milli && !small))
		return;
	k.gathers =
		limit_row_is_gathered(w, env->share, now_us) && is_home(w, env);
	/* The requests themselves ask the home for tokens. */
	if (small && !k.gathers && !limit_row_is_hot(w))
		return;
	renew_due(&k);
	if (!k.gathers && !is_short(w))
		return;
	w->short_of_tokens = false;
	k.want = k.gathers ? amount_minus(whole_of(w), available(&k)) :
			     wanted(w, available(&k));
	/* Tokens alone are asked for by the requests that wait for them. */
	if (!k.want.rate_milli_per_s)
		return;
	ask_holders(&k, true);
	ask_holders(&k, false);
}

void borrow_tokens(struct limit_row *w, const struct borrow_env *env,
		   uint32_t missing_milli, int64_t now_us)
{
	struct asking k = { .row = w,
			    .env = env,
			    .now_us = now_us,
			    .ask_again_us = ASK_TOKENS_AGAIN_US };
	const struct share_record *r = share_record_of(env->share, w->cell);
	uint32_t start = r->holder_count ? g_rand_int(env->rand) : 0;
	struct amount amount = { .burst_milli = missing_milli };
	const char *home = NULL;

	if (limit_row_is_small(w, env->share))
		home = borrow_home(w, env);
	for (uint32_t i = 0; home && i < r->holder_count; i++) {
		const struct share_holder *h = &r->holders[i];

		if (!strcmp(h->instance, home) && may_lend(&k, h)) {
			send_ask(&k, home, amount, 0, LOAN_TOKENS_US);
			return;
		}
	}
	for (uint32_t i = 0; i < r->holder_count; i++) {
		const struct share_holder *h =
			&r->holders[(start + i) % r->holder_count];

		if (k.sent == BORROW_TOKEN_ASKS_MAX)
			return;
		if (may_lend(&k, h))
			send_ask(&k, h->instance, amount, 0, LOAN_TOKENS_US);
	}
}
