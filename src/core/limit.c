#include "core/limit.h"

#include "core/borrow.h"
#include "core/limit_row.h"
#include "core/share.h"

#include <glib.h>
#include <string.h>

static const int64_t RUN_INTERVAL_US = 20 * US_PER_MS;

/*
 * For this long after a waiting request received no tokens, requests are
 * refused at once instead of waiting.
 */
static const int64_t WAIT_SUSPENDED_US = 50 * US_PER_MS;

struct limits {
	char name[NAME_BYTES];
	uint64_t incarnation;
	bool own_member_seen;
	bool draining;
	const struct member_table *members; /* not owned */
	struct share *share;
	uint64_t share_version; /* at the last refresh of rows */
	uint64_t last_loan_id;
	GRand *rand;
	int64_t next_run_us;
	GHashTable *by_name; /* workspace name to struct limit_row */
	GPtrArray *rows; /* struct limit_row, owned */
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
				    .removal_delay_us =
					    opts->removal_delay_us };

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

static struct limit_row *find_row(const struct limits *l, const char *workspace)
{
	return g_hash_table_lookup(l->by_name, workspace);
}

/*
 * Refreshes all rows when the shares have changed. This must happen at each
 * change: a share that shrinks and grows again between two refreshes of a
 * row would keep tokens that it has to lose.
 */
static void refresh_rows(struct limits *l, int64_t now_us)
{
	if (l->share_version == share_version(l->share))
		return;
	l->share_version = share_version(l->share);
	for (uint32_t i = 0; i < l->rows->len; i++)
		limit_row_refresh(row_at(l, i), l->share, now_us);
}

static struct limit_row *add_row(struct limits *l, const char *workspace,
				 int64_t now_us)
{
	struct limit_row *w =
		limit_row_new(workspace, share_find_cell(l->share, workspace),
			      now_us);

	w->epoch = share_epoch(l->share);
	g_ptr_array_add(l->rows, w);
	g_hash_table_insert(l->by_name, w->record.name, w);
	return w;
}

/* A deleted row is kept at rate 0 because its loans may still be in force. */
static void update_row(struct limits *l, const struct workspace_record *r,
		       int64_t revision, bool deleted, int64_t now_us)
{
	struct limit_row *w = find_row(l, r->name);

	if (!w)
		w = add_row(l, r->name, now_us);
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
	update_row(l, &r->workspace, r->revision, false, now_us);
}

void limits_delete_workspace(struct limits *l, const char *workspace,
			     int64_t revision, int64_t now_us)
{
	struct workspace_record none = { .rate_milli_per_s = 0 };

	g_strlcpy(none.name, workspace, sizeof(none.name));
	update_row(l, &none, revision, true, now_us);
}

void limits_put_share(struct limits *l, const struct record *r, int64_t now_us)
{
	share_put_record(l->share, r);
	refresh_rows(l, now_us);
}

void limits_handle_own_member(struct limits *l, const struct member_record *r,
			      bool deleted, int64_t now_us)
{
	bool own = r->incarnation == l->incarnation;

	if (!deleted && own)
		l->own_member_seen = true;
	else if (l->own_member_seen)
		share_handle_member_key_lost(l->share, !deleted);
	refresh_rows(l, now_us);
}

void limits_handle_lease(struct limits *l, const struct lease_renewal *lease,
			 int64_t now_us)
{
	/* If the old lease has ended, the rows lose their shares first. */
	for (uint32_t i = 0; i < l->rows->len; i++)
		limit_row_refresh(row_at(l, i), l->share, now_us);
	share_handle_lease(l->share, lease, now_us);
	refresh_rows(l, now_us);
}

bool limits_handle_platform(struct limits *l, const struct platform_result *r,
			    int64_t now_us, struct action_queue *out)
{
	bool handled = share_handle_platform(l->share, r, now_us, out);

	refresh_rows(l, now_us);
	return handled;
}

static void send_grant(struct limits *l, const struct peer_message *request,
		       const struct loan *loan, struct action_queue *out)
{
	struct peer_message m = { .type = PEER_LOAN_GRANT };
	struct action a = { .type = ACTION_PEER_SEND, .peer = &m };
	struct peer_loan_grant *g = &m.loan_grant;

	g_strlcpy(m.peer, request->peer, sizeof(m.peer));
	m.incarnation = l->incarnation;
	g->loan_id = loan->loan_id;
	g_strlcpy(g->workspace, request->loan_request.workspace,
		  sizeof(g->workspace));
	g->rate_milli_per_s = loan->amount.rate_milli_per_s;
	g->burst_milli = loan->amount.burst_milli;
	g->tokens_milli = loan->tokens_milli;
	g->duration_us = loan->duration_us;
	action_queue_push(out, &a);
}

/*
 * Moves tokens from the bucket into the granted loan: in proportion to the
 * lent capacity, or as many as were requested for a loan of tokens only.
 */
static void move_tokens(struct limits *l, struct limit_row *w,
			struct loan *loan, uint32_t capacity_before,
			int64_t now_us)
{
	struct bucket *b = &w->bucket;
	struct amount left = limit_row_get_available(w, l->share, now_us);

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

static struct borrow_env make_borrow_env(struct limits *l,
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

/*
 * Returns true when the sender is the home of a small workspace, which may
 * borrow this instance's whole share.
 */
static bool is_request_from_home(struct limits *l, const struct limit_row *w,
				 const struct peer_message *m,
				 struct action_queue *out)
{
	struct borrow_env env = make_borrow_env(l, out);
	const char *home;

	if (!limit_row_is_small(w, l->share))
		return false;
	home = borrow_find_home(w, &env);
	return home && !strcmp(home, m->peer);
}

static void handle_loan_request(struct limits *l, const struct peer_message *m,
				int64_t now_us, struct action_queue *out)
{
	struct limit_row *w = find_row(l, m->loan_request.workspace);
	struct amount lendable;
	struct loan *loan = NULL;
	bool may_lend;
	uint32_t capacity;

	if (!w || l->draining)
		return;
	limit_row_refresh(w, l->share, now_us);
	may_lend = limit_row_get_lendable(w, l->share, now_us, &lendable);
	if (is_request_from_home(l, w, m, out))
		may_lend = limit_row_get_lendable_max(w, l->share, now_us,
						      &lendable);
	if (loan_is_for_tokens(m->loan_request.rate_milli_per_s,
			       m->loan_request.duration_us)) {
		limit_row_mark_active(w, now_us);
		limit_row_get_lendable_tokens(w, l->share, now_us, &lendable);
		/*
		 * In a small workspace a loan of fewer tokens than requested
		 * would split the tokens between two waiting requests, so
		 * that neither is served.
		 */
		may_lend = limit_row_is_small(w, l->share) ?
				   lendable.burst_milli >=
					   m->loan_request.burst_milli :
				   lendable.burst_milli > 0;
	}
	if (m->loan_request.rate_milli_per_s && !m->loan_request.renews)
		limit_row_mark_contested(w, now_us);
	capacity = w->bucket.capacity_milli;
	switch (loan_handle_request(w->loans, m, may_lend ? &lendable : NULL,
				    share_valid_until_us(l->share), now_us,
				    &loan)) {
	case LOAN_REFUSED:
		return;
	case LOAN_GRANTED:
		move_tokens(l, w, loan, capacity, now_us);
		action_queue_log(out, LOG_LOAN_GIVEN, 0, w->record.name,
				 loan->amount.rate_milli_per_s,
				 "milli-tokens/s lent to %s", m->peer);
		break;
	case LOAN_REPEATED:
		break;
	}
	send_grant(l, m, loan, out);
}

static void handle_loan_grant(struct limits *l, const struct peer_message *m,
			      int64_t now_us, struct action_queue *out)
{
	struct limit_row *w = find_row(l, m->loan_grant.workspace);
	uint32_t tokens = 0;

	if (!w)
		return;
	limit_row_refresh(w, l->share, now_us);
	if (!loan_accept_grant(w->loans, m, now_us, &tokens))
		return;
	limit_row_refresh(w, l->share, now_us);
	bucket_add(&w->bucket, tokens);
	action_queue_log(out, LOG_LOAN_TAKEN, 0, w->record.name,
			 m->loan_grant.rate_milli_per_s,
			 "milli-tokens/s borrowed from %s", m->peer);
}

bool limits_handle_peer(struct limits *l, const struct peer_message *m,
			int64_t now_us, struct action_queue *out)
{
	switch (m->type) {
	case PEER_LOAN_REQUEST:
		handle_loan_request(l, m, now_us, out);
		return true;
	case PEER_LOAN_GRANT:
		handle_loan_grant(l, m, now_us, out);
		return true;
	default:
		return false;
	}
}

/* Sets the share that must be kept in each cell because it is lent. */
static void update_reservations(struct limits *l, int64_t now_us)
{
	uint32_t ppm;

	for (uint32_t i = 0; i < l->rows->len; i++)
		share_set_reserved(l->share, row_at(l, i)->cell, 0);
	for (uint32_t i = 0; i < l->rows->len; i++) {
		ppm = limit_row_get_reserved_ppm(row_at(l, i), now_us);
		share_raise_reserved(l->share, row_at(l, i)->cell, ppm);
	}
}

static void run_row(struct limits *l, struct limit_row *w, int64_t now_us,
		    struct action_queue *out)
{
	struct borrow_env env = make_borrow_env(l, out);

	limit_row_refresh(w, l->share, now_us);
	limit_row_update_demand(w, now_us);
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
	update_reservations(l, now_us);
	share_run(l->share, now_us, out);
	refresh_rows(l, now_us);
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

static int64_t estimate_retry_us(const struct limits *l, struct limit_row *w,
				 uint32_t cost_milli, int64_t now_us)
{
	struct amount own = limit_row_get_unlent(w, l->share, now_us);
	struct bucket b = w->bucket;
	int64_t wait;

	/*
	 * Borrowed capacity may expire before then, so only this instance's
	 * own share counts.
	 */
	b.capacity_milli = own.burst_milli;
	wait = bucket_wait_us(&b, cost_milli, own.rate_milli_per_s);
	return wait < 0 ? 0 : wait;
}

int32_t limit_admit(struct limits *l, const char *workspace,
		    uint32_t cost_milli, int64_t now_us,
		    int64_t *retry_after_us)
{
	struct limit_row *w = find_row(l, workspace);

	*retry_after_us = 0;
	if (!w || w->deleted)
		return ERR_NO_CONFIG;
	limit_row_refresh(w, l->share, now_us);
	w->arrived_cost_milli += cost_milli;
	limit_row_mark_active(w, now_us);
	w->request_cost_max_milli = MAX(w->request_cost_max_milli, cost_milli);
	return limit_admit_retry(l, workspace, cost_milli, now_us,
				 retry_after_us);
}

int32_t limit_admit_retry(struct limits *l, const char *workspace,
			  uint32_t cost_milli, int64_t now_us,
			  int64_t *retry_after_us)
{
	struct limit_row *w = find_row(l, workspace);

	*retry_after_us = 0;
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
	*retry_after_us = estimate_retry_us(l, w, cost_milli, now_us);
	return ERR_RATE_LIMITED;
}

/*
 * No request waits when this instance alone receives more than the whole
 * rate of the workspace.
 */
bool limit_may_wait(struct limits *l, const char *workspace, int64_t now_us)
{
	const struct limit_row *w = find_row(l, workspace);

	return w && !l->draining && now_us >= w->no_wait_until_us &&
	       w->demand_milli_per_s <= w->record.rate_milli_per_s;
}

void limit_request_tokens(struct limits *l, const char *workspace,
			  uint32_t cost_milli, int64_t now_us,
			  struct action_queue *out)
{
	struct limit_row *w = find_row(l, workspace);
	struct borrow_env env = make_borrow_env(l, out);

	if (!w)
		return;
	limit_row_refresh(w, l->share, now_us);
	if (w->bucket.level_milli >= cost_milli)
		return;
	/*
	 * In a small workspace the tokens in the bucket may expire with an
	 * earlier loan, so the whole cost is requested.
	 */
	if (!limit_row_is_small(w, l->share))
		cost_milli -= w->bucket.level_milli;
	borrow_request_tokens(w, &env, cost_milli, now_us);
}

void limit_suspend_waiting(struct limits *l, const char *workspace,
			   int64_t now_us)
{
	struct limit_row *w = find_row(l, workspace);

	if (w)
		w->no_wait_until_us = now_us + WAIT_SUSPENDED_US;
}

void limit_commit(struct limits *l, const char *workspace, uint32_t cost_milli,
		  int64_t now_us)
{
	struct limit_row *w = find_row(l, workspace);

	if (!w)
		return;
	limit_row_refresh(w, l->share, now_us);
	bucket_commit(&w->bucket, cost_milli);
}

void limit_refund(struct limits *l, const char *workspace, uint32_t cost_milli,
		  int64_t now_us)
{
	struct limit_row *w = find_row(l, workspace);

	if (!w)
		return;
	limit_row_refresh(w, l->share, now_us);
	bucket_refund(&w->bucket, cost_milli);
}

struct limit_status limit_get_status(struct limits *l, const char *workspace,
				     int64_t now_us)
{
	struct limit_row *w = find_row(l, workspace);
	struct limit_status s = { 0 };

	if (!w)
		return s;
	limit_row_refresh(w, l->share, now_us);
	s.rate_milli_per_s = w->bucket.rate_milli_per_s;
	s.burst_milli = w->bucket.capacity_milli;
	s.level_milli = w->bucket.level_milli;
	s.lent_milli_per_s = loan_sum_lent(w->loans, now_us).rate_milli_per_s;
	s.borrowed_milli_per_s =
		loan_sum_borrowed(w->loans, now_us).rate_milli_per_s;
	return s;
}
