#include "core/limit.h"

#include "core/borrow.h"
#include "core/limit_row.h"
#include "core/share.h"

#include <glib.h>
#include <string.h>

static const int64_t RUN_INTERVAL_US = 20 * US_PER_MS;

/* After tokens did not come, requests are refused at once so long. */
static const int64_t NO_WAIT_US = 50 * US_PER_MS;

struct limits {
	char name[NAME_BYTES];
	uint64_t incarnation;
	bool own_member_seen;
	bool draining;
	const struct member_table *members; /* borrowed */
	struct share *share;
	uint64_t share_version; /* that the rows were refreshed for */
	uint64_t last_loan_id;
	GRand *rand;
	int64_t next_run_us;
	GHashTable *by_name; /* workspace to struct limit_row */
	GPtrArray *rows; /* owns them */
};

static void row_free(gpointer p)
{
	limit_row_free(p);
}

struct limits *limits_new(const struct limits_opts *opts)
{
	struct limits *l = g_new0(struct limits, 1);
	struct share_opts share = { .instance = opts->instance,
				    .incarnation = opts->incarnation,
				    .seed = opts->seed,
				    .cells = opts->share_cells,
				    .members = opts->members,
				    .guard = opts->guard,
				    .settle_us = opts->settle_us };

	g_strlcpy(l->name, opts->instance, sizeof(l->name));
	l->incarnation = opts->incarnation;
	l->members = opts->members;
	l->share = share_new(&share);
	l->rand = g_rand_new_with_seed((guint32)opts->seed + 1);
	l->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	l->rows = g_ptr_array_new_with_free_func(row_free);
	return l;
}

void limits_free(struct limits *l)
{
	g_hash_table_destroy(l->by_name);
	g_ptr_array_free(l->rows, TRUE);
	g_rand_free(l->rand);
	share_free(l->share);
	g_free(l);
}

static struct limit_row *row_at(const struct limits *l, uint32_t i)
{
	return g_ptr_array_index(l->rows, i);
}

static struct limit_row *find(const struct limits *l, const char *workspace)
{
	return g_hash_table_lookup(l->by_name, workspace);
}

/* A part that shrank and grew again in between must not go unnoticed. */
static void refresh_all(struct limits *l, int64_t now_us)
{
	if (l->share_version == share_version(l->share))
		return;
	l->share_version = share_version(l->share);
	for (uint32_t i = 0; i < l->rows->len; i++)
		limit_row_refresh(row_at(l, i), l->share, now_us);
}

static struct limit_row *add(struct limits *l, const char *workspace,
			     int64_t now_us)
{
	struct limit_row *w =
		limit_row_new(workspace, share_cell(l->share, workspace),
			      now_us);

	w->epoch = share_epoch(l->share);
	g_ptr_array_add(l->rows, w);
	g_hash_table_insert(l->by_name, w->record.name, w);
	return w;
}

/* A deleted row stays, at rate 0, because its loans may still run. */
static void set(struct limits *l, const struct workspace_record *r,
		int64_t revision, bool deleted, int64_t now_us)
{
	struct limit_row *w = find(l, r->name);

	if (!w)
		w = add(l, r->name, now_us);
	if (revision <= w->revision)
		return;
	limit_row_refresh(w, l->share, now_us);
	w->record = *r;
	w->revision = revision;
	w->deleted = deleted;
	limit_row_refresh(w, l->share, now_us);
}

void limits_put_workspace(struct limits *l, const struct record *r,
			  int64_t now_us)
{
	set(l, &r->workspace, r->revision, false, now_us);
}

void limits_delete_workspace(struct limits *l, const char *workspace,
			     int64_t revision, int64_t now_us)
{
	struct workspace_record none = { .rate_milli_per_s = 0 };

	g_strlcpy(none.name, workspace, sizeof(none.name));
	set(l, &none, revision, true, now_us);
}

void limits_put_share(struct limits *l, const struct record *r, int64_t now_us)
{
	share_put_record(l->share, r);
	refresh_all(l, now_us);
}

void limits_note_own_member(struct limits *l, const struct member_record *r,
			    bool deleted, int64_t now_us)
{
	bool own = r->incarnation == l->incarnation;

	if (!deleted && own)
		l->own_member_seen = true;
	else if (l->own_member_seen)
		share_lose_member_key(l->share, !deleted);
	refresh_all(l, now_us);
}

void limits_handle_lease(struct limits *l, const struct lease_renewal *lease,
			 int64_t now_us)
{
	/* Rows first lose what the old lease's end took away. */
	for (uint32_t i = 0; i < l->rows->len; i++)
		limit_row_refresh(row_at(l, i), l->share, now_us);
	share_handle_lease(l->share, lease, now_us);
	refresh_all(l, now_us);
}

bool limits_handle_platform(struct limits *l, const struct platform_result *r,
			    int64_t now_us, struct action_queue *out)
{
	bool taken = share_handle_platform(l->share, r, now_us, out);

	refresh_all(l, now_us);
	return taken;
}

static void send_grant(struct limits *l, const struct peer_message *ask,
		       const struct loan *loan, struct action_queue *out)
{
	struct peer_message m = { .type = PEER_LOAN_GRANT };
	struct action a = { .type = ACTION_PEER_SEND, .peer = &m };
	struct peer_loan_grant *g = &m.loan_grant;

	g_strlcpy(m.peer, ask->peer, sizeof(m.peer));
	m.incarnation = l->incarnation;
	g->loan_id = loan->loan_id;
	g_strlcpy(g->workspace, ask->loan_request.workspace, sizeof(g->workspace));
	g->rate_milli_per_s = loan->amount.rate_milli_per_s;
	g->burst_milli = loan->amount.burst_milli;
	g->tokens_milli = loan->tokens_milli;
	g->duration_us = loan->duration_us;
	action_queue_push(out, &a);
}

/*
 * Takes tokens for the lent capacity out of the bucket: its part of them,
 * or all of them for a loan of tokens.
 */
static void debit(struct limits *l, struct limit_row *w, struct loan *loan,
		  uint32_t capacity_before, int64_t now_us)
{
	struct bucket *b = &w->bucket;
	struct amount left = limit_row_whole(w, l->share, now_us);

	if (capacity_before > left.burst_milli)
		loan->tokens_milli =
			(uint32_t)((uint64_t)b->level_milli *
				   (capacity_before - left.burst_milli) /
				   capacity_before);
	if (loan_is_for_tokens(loan->amount.rate_milli_per_s,
			       loan->duration_us))
		loan->tokens_milli =
			MIN(loan->amount.burst_milli, b->level_milli);
	b->level_milli -= loan->tokens_milli;
	limit_row_refresh(w, l->share, now_us);
}

static struct borrow_env borrow_env_of(struct limits *l,
				       struct action_queue *out)
{
	return (struct borrow_env){ .share = l->share,
				    .members = l->members,
				    .instance = l->name,
				    .incarnation = l->incarnation,
				    .last_loan_id = &l->last_loan_id,
				    .rand = l->rand,
				    .out = out };
}

/* The home of a small workspace gets the whole part. */
static bool is_asked_by_home(struct limits *l, const struct limit_row *w,
			     const struct peer_message *m,
			     struct action_queue *out)
{
	struct borrow_env env = borrow_env_of(l, out);
	const char *home;

	if (!limit_row_is_small(w, l->share))
		return false;
	home = borrow_home(w, &env);
	return home && !strcmp(home, m->peer);
}

static void take_ask(struct limits *l, const struct peer_message *m,
		     int64_t now_us, struct action_queue *out)
{
	struct limit_row *w = find(l, m->loan_request.workspace);
	struct amount spare;
	struct loan *loan = NULL;
	bool may_lend;
	uint32_t capacity;

	if (!w || l->draining)
		return;
	limit_row_refresh(w, l->share, now_us);
	may_lend = limit_row_spare(w, l->share, now_us, &spare);
	if (is_asked_by_home(l, w, m, out))
		may_lend = limit_row_spare_all(w, l->share, now_us, &spare);
	if (loan_is_for_tokens(m->loan_request.rate_milli_per_s,
			       m->loan_request.duration_us)) {
		limit_row_note_wanted(w, now_us);
		limit_row_spare_tokens(w, l->share, now_us, &spare);
		/* Two that wait would share what serves neither. */
		may_lend =
			limit_row_is_small(w, l->share) ?
				spare.burst_milli >= m->loan_request.burst_milli :
				spare.burst_milli > 0;
	}
	if (m->loan_request.rate_milli_per_s && !m->loan_request.renews)
		limit_row_note_contested(w, now_us);
	capacity = w->bucket.capacity_milli;
	switch (loan_lend(w->loans, m, may_lend ? &spare : NULL,
			  share_valid_until_us(l->share), now_us, &loan)) {
	case LOAN_REFUSED:
		return;
	case LOAN_GRANTED:
		debit(l, w, loan, capacity, now_us);
		action_queue_log(out, LOG_LOAN_GIVEN, 0, w->record.name,
				 loan->amount.rate_milli_per_s, "to %s",
				 m->peer);
		break;
	case LOAN_REPEATED:
		break;
	}
	send_grant(l, m, loan, out);
}

static void take_grant(struct limits *l, const struct peer_message *m,
		       int64_t now_us, struct action_queue *out)
{
	struct limit_row *w = find(l, m->loan_grant.workspace);
	uint32_t tokens = 0;

	if (!w)
		return;
	limit_row_refresh(w, l->share, now_us);
	if (!loan_take_grant(w->loans, m, now_us, &tokens))
		return;
	limit_row_refresh(w, l->share, now_us);
	bucket_add(&w->bucket, tokens);
	action_queue_log(out, LOG_LOAN_TAKEN, 0, w->record.name,
			 m->loan_grant.rate_milli_per_s, "from %s", m->peer);
}

bool limits_handle_peer(struct limits *l, const struct peer_message *m,
			int64_t now_us, struct action_queue *out)
{
	switch (m->type) {
	case PEER_LOAN_REQUEST:
		take_ask(l, m, now_us, out);
		return true;
	case PEER_LOAN_GRANT:
		take_grant(l, m, now_us, out);
		return true;
	default:
		return false;
	}
}

/* Tells share what must stay in the own entries because it is lent. */
static void reserve(struct limits *l, int64_t now_us)
{
	uint32_t ppm;

	for (uint32_t i = 0; i < l->rows->len; i++)
		share_reserve(l->share, row_at(l, i)->cell, 0);
	for (uint32_t i = 0; i < l->rows->len; i++) {
		ppm = limit_row_reserved_ppm(row_at(l, i), now_us);
		share_reserve_more(l->share, row_at(l, i)->cell, ppm);
	}
}

static void run_row(struct limits *l, struct limit_row *w, int64_t now_us,
		    struct action_queue *out)
{
	struct borrow_env env = borrow_env_of(l, out);

	limit_row_refresh(w, l->share, now_us);
	limit_row_measure(w, now_us);
	if (!l->draining)
		borrow_run(w, &env, now_us);
}

void limits_run(struct limits *l, int64_t now_us, struct action_queue *out)
{
	if (now_us < l->next_run_us)
		return;
	l->next_run_us = now_us + RUN_INTERVAL_US;
	for (uint32_t i = 0; i < l->rows->len; i++)
		run_row(l, row_at(l, i), now_us, out);
	reserve(l, now_us);
	share_run(l->share, now_us, out);
	refresh_all(l, now_us);
}

void limits_drain(struct limits *l)
{
	l->draining = true;
	share_drain(l->share);
}

bool limits_is_drained(const struct limits *l, int64_t now_us)
{
	return share_is_drained(l->share, now_us);
}

static int64_t retry_after_us(const struct limits *l, struct limit_row *w,
			      uint32_t cost_milli, int64_t now_us)
{
	struct amount own = limit_row_own(w, l->share, now_us);
	struct bucket b = w->bucket;
	int64_t wait;

	/* Loans may end before: only the own part is promised. */
	b.capacity_milli = own.burst_milli;
	wait = bucket_wait_us(&b, cost_milli, own.rate_milli_per_s);
	return wait < 0 ? 0 : wait;
}

int32_t limit_admit(struct limits *l, const char *workspace,
		    uint32_t cost_milli, int64_t now_us, int64_t *retry_after)
{
	struct limit_row *w = find(l, workspace);

	*retry_after = 0;
	if (!w || w->deleted)
		return ERR_NO_CONFIG;
	limit_row_refresh(w, l->share, now_us);
	w->arrived_milli += cost_milli;
	limit_row_note_wanted(w, now_us);
	w->cost_max_milli = MAX(w->cost_max_milli, cost_milli);
	return limit_admit_again(l, workspace, cost_milli, now_us, retry_after);
}

int32_t limit_admit_again(struct limits *l, const char *workspace,
			  uint32_t cost_milli, int64_t now_us,
			  int64_t *retry_after)
{
	struct limit_row *w = find(l, workspace);

	*retry_after = 0;
	if (!w || w->deleted)
		return ERR_NO_CONFIG;
	limit_row_refresh(w, l->share, now_us);
	if (!bucket_take(&w->bucket, cost_milli))
		return ERR_NONE;
	w->short_of_tokens = true;
	if (!share_epoch(l->share))
		return ERR_NO_CONFIG;
	if (now_us >= share_valid_until_us(l->share))
		return ERR_PLATFORM;
	*retry_after = retry_after_us(l, w, cost_milli, now_us);
	return ERR_RATE_LIMITED;
}

/* A workspace that sends more here than its whole rate gets no help. */
bool limit_may_wait(struct limits *l, const char *workspace, int64_t now_us)
{
	const struct limit_row *w = find(l, workspace);

	return w && !l->draining && now_us >= w->no_wait_until_us &&
	       w->demand_milli_per_s <= w->record.rate_milli_per_s;
}

void limit_ask_tokens(struct limits *l, const char *workspace,
		      uint32_t cost_milli, int64_t now_us,
		      struct action_queue *out)
{
	struct limit_row *w = find(l, workspace);
	struct borrow_env env = borrow_env_of(l, out);

	if (!w)
		return;
	limit_row_refresh(w, l->share, now_us);
	if (w->bucket.level_milli >= cost_milli)
		return;
	/* What is there of a small one may end with an earlier loan. */
	if (!limit_row_is_small(w, l->share))
		cost_milli -= w->bucket.level_milli;
	borrow_tokens(w, &env, cost_milli, now_us);
}

void limit_stop_waiting(struct limits *l, const char *workspace, int64_t now_us)
{
	struct limit_row *w = find(l, workspace);

	if (w)
		w->no_wait_until_us = now_us + NO_WAIT_US;
}

void limit_commit(struct limits *l, const char *workspace, uint32_t cost_milli,
		  int64_t now_us)
{
	struct limit_row *w = find(l, workspace);

	if (!w)
		return;
	limit_row_refresh(w, l->share, now_us);
	bucket_commit(&w->bucket, cost_milli);
}

void limit_refund(struct limits *l, const char *workspace, uint32_t cost_milli,
		  int64_t now_us)
{
	struct limit_row *w = find(l, workspace);

	if (!w)
		return;
	limit_row_refresh(w, l->share, now_us);
	bucket_refund(&w->bucket, cost_milli);
}

struct limit_status limit_status_of(struct limits *l, const char *workspace,
				    int64_t now_us)
{
	struct limit_row *w = find(l, workspace);
	struct limit_status s = { 0 };

	if (!w)
		return s;
	limit_row_refresh(w, l->share, now_us);
	s.rate_milli_per_s = w->bucket.rate_milli_per_s;
	s.burst_milli = w->bucket.capacity_milli;
	s.level_milli = w->bucket.level_milli;
	s.lent_milli_per_s = loan_lent(w->loans, now_us).rate_milli_per_s;
	s.borrowed_milli_per_s =
		loan_borrowed(w->loans, now_us).rate_milli_per_s;
	return s;
}
