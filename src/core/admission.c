#include "core/admission.h"

#include "core/answer.h"
#include "core/exchange.h"
#include "core/route.h"
#include "core/world_state.h"

#include <string.h>

enum {
	CONFIG_RETRY_US = 500 * 1000,
	DRAIN_RETRY_US = 100 * 1000,
	TABLE_FULL_RETRY_US = 200 * 1000,
	TRANSACTION_BUSY_RETRY_US = 20 * 1000,
	/* Hint to callers: borrowing from another instance may take this. */
	BORROW_RETRY_US = 100 * 1000,
	/* Maximum wait of a request for tokens from other instances. */
	TOKEN_WAIT_US = 100 * 1000,
	/* Interval between token requests for one waiting request. */
	BORROW_INTERVAL_US = 5 * 1000,
	TOKEN_WAITERS_MAX = 64, /* requests waiting for tokens */
};

/* Result of the checks: an error, or what the request needs to be routed. */
struct admission {
	int32_t error; /* ERR_NONE: admitted */
	int64_t retry_after_us;
	bool may_wait; /* over the rate, but peers may lend tokens */
	const struct profile_record *profile;
	uint32_t workspace;
	uint32_t group;
	uint32_t transaction;
};

/* Stores the error and returns false. */
static bool reject(struct admission *a, int32_t error, int64_t retry_us)
{
	a->error = error;
	a->retry_after_us = retry_us;
	return false;
}

static bool ends_transaction(enum request_kind kind)
{
	return kind == REQUEST_COMMIT || kind == REQUEST_ROLLBACK;
}

/* Returns true if a shutdown no longer lets such a request go on. */
static bool is_refused_by_drain(const struct world *w, enum request_kind kind,
				int64_t now_us)
{
	int64_t until_us = w->drain_limits.transactions_until_us;

	if (w->draining && !request_in_transaction(kind))
		return true;
	return until_us && now_us >= until_us && !ends_transaction(kind);
}

static bool check_instance_state(const struct world *w,
				 const struct request_opts *o,
				 struct admission *a, int64_t now_us)
{
	if (is_refused_by_drain(w, o->kind, now_us))
		return reject(a, ERR_SHUTTING_DOWN, DRAIN_RETRY_US);
	if (!w->config_known)
		return reject(a, ERR_NO_CONFIG, CONFIG_RETRY_US);
	return true;
}

static bool check_key(const struct world *w, const struct request_opts *o,
		      struct admission *a, int64_t now_us)
{
	const struct key_record *k;
	int64_t retry_us = 0;
	int32_t rc;

	if (!o->has_key)
		return reject(a, ERR_NO_KEY, 0);
	rc = key_guard_check(w->keys, now_us, &retry_us);
	if (rc)
		return reject(a, rc, retry_us);
	k = catalog_find_key(&w->catalog, o->key_digest);
	if (!k)
		return reject(a, ERR_BAD_KEY, 0);
	a->workspace = catalog_find_workspace(&w->catalog, k->workspace);
	if (a->workspace == NO_INDEX)
		return reject(a, ERR_BAD_KEY, 0);
	return true;
}

static bool check_profile(const struct world *w, const struct request_opts *o,
			  struct admission *a, int64_t now_us)
{
	a->profile = catalog_find_profile(&w->catalog, o->profile);
	if (!a->profile)
		return reject(a, ERR_UNKNOWN_PROFILE, 0);
	if (!a->profile->open)
		return check_key(w, o, a, now_us);
	a->workspace =
		catalog_find_workspace(&w->catalog, a->profile->open_workspace);
	if (a->workspace == NO_INDEX)
		return reject(a, ERR_UNKNOWN_PROFILE, 0);
	return true;
}

/* Only the workspace, group and API key of its BEGIN may use a transaction. */
static bool owns_transaction(const struct transaction *x,
			     const struct admission *a,
			     const struct request_opts *o)
{
	return x->workspace == a->workspace && x->group == a->group &&
	       x->keyless == a->profile->open &&
	       (x->keyless ||
		!memcmp(x->key_digest, o->key_digest, DIGEST_BYTES));
}

static bool check_target(const struct world *w, const struct request_opts *o,
			 struct admission *a)
{
	const struct transaction *x;

	a->transaction = NO_INDEX;
	a->group = world_find_group(w, o->group);
	if (a->group == NO_INDEX)
		return reject(a, ERR_UNKNOWN_GROUP, 0);
	if (!request_in_transaction(o->kind))
		return true;
	a->transaction = transaction_find(&w->transactions, o->transaction_id);
	x = a->transaction == NO_INDEX ? NULL :
					 &w->transactions.rows[a->transaction];
	if (x && owns_transaction(x, a, o)) {
		if (x->request != NO_INDEX)
			return reject(a, ERR_TRANSACTION_BUSY,
				      TRANSACTION_BUSY_RETRY_US);
		return true;
	}
	a->transaction = NO_INDEX;
	/* The outcome of a repeated commit can be looked up by request id. */
	if (o->kind == REQUEST_COMMIT && o->has_request_id)
		return true;
	return reject(a, ERR_UNKNOWN_TRANSACTION, 0);
}

static bool check_rate_limit(struct world *w, const struct request_opts *o,
			     struct admission *a, int64_t now_us)
{
	const char *name =
		catalog_get_workspace(&w->catalog, a->workspace)->name;
	int64_t retry_us = 0;
	int32_t rc;

	/* Ending a transaction frees resources, so it is never limited. */
	if (ends_transaction(o->kind))
		return true;
	rc = limit_admit(w->limits, name, a->profile->cost_milli, now_us,
			 &retry_us);
	if (!rc)
		return true;
	a->may_wait = rc == ERR_RATE_LIMITED &&
		      w->requests.awaiting_tokens.count < TOKEN_WAITERS_MAX &&
		      limit_may_wait(w->limits, name, now_us);
	return reject(a, rc, retry_us ? retry_us : BORROW_RETRY_US);
}

static bool may_repeat(const struct request_opts *o,
		       const struct profile_record *p)
{
	if (!o->repeatable || p->repeat == REPEAT_NEVER)
		return false;
	if (o->kind == REQUEST_WRITE || o->kind == REQUEST_COMMIT)
		return p->repeat == REPEAT_BY_ID && o->has_request_id;
	return true;
}

static enum exchange_plan choose_plan(const struct request *r)
{
	switch (r->opts.kind) {
	case REQUEST_READ:
		return PLAN_READ;
	case REQUEST_WRITE:
		return r->opts.has_request_id ? PLAN_WRITE_BY_ID : PLAN_WRITE;
	case REQUEST_BEGIN:
		return PLAN_BEGIN;
	case REQUEST_STATEMENT:
		return PLAN_STATEMENT;
	case REQUEST_COMMIT:
		return r->transaction == NO_INDEX ? PLAN_LOOKUP : PLAN_COMMIT;
	case REQUEST_ROLLBACK:
		return PLAN_ROLLBACK;
	}
	return PLAN_READ;
}

static void init_request(struct world *w, uint32_t row,
			 const struct admission *a)
{
	struct request *r = &w->requests.rows[row];

	r->workspace = a->workspace;
	r->weight = catalog_get_workspace(&w->catalog, a->workspace)->weight;
	r->cost_milli =
		ends_transaction(r->opts.kind) ? 0 : a->profile->cost_milli;
	r->group = a->group;
	r->transaction = a->transaction;
	r->max_age_us = a->profile->max_age_us;
	r->may_repeat = may_repeat(&r->opts, a->profile);
	r->keyless = a->profile->open;
	r->plan = choose_plan(r);
}

static const char *workspace_name(const struct world *w,
				  const struct request *r)
{
	return catalog_get_workspace(&w->catalog, r->workspace)->name;
}

static void request_tokens(struct world *w, struct request *r, int64_t now_us)
{
	limit_request_tokens(w->limits, workspace_name(w, r), r->awaited_milli,
			     now_us, w->actions);
	r->resume_at_us = now_us + BORROW_INTERVAL_US;
}

static void wait_for_tokens(struct world *w, uint32_t row,
			    int64_t retry_after_us, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];

	r->state = REQUEST_AWAITING_TOKENS;
	r->awaited_milli = r->cost_milli;
	r->cost_milli = 0; /* no tokens to refund yet */
	r->retry_after_us = retry_after_us;
	list_append(&w->requests.awaiting_tokens, w->requests.links, row);
	action_queue_log(w->actions, LOG_HELD, r->opts.caller_id,
			 workspace_name(w, r), r->awaited_milli,
			 "milli-tokens needed");
	request_tokens(w, r, now_us);
}

static void retry_admission(struct world *w, uint32_t row, int64_t now_us)
{
	struct request *r = &w->requests.rows[row];
	const char *name = workspace_name(w, r);
	int64_t retry_us;
	int32_t rc = limit_admit_retry(w->limits, name, r->awaited_milli,
				       now_us, &retry_us);

	if (!rc) {
		answer_detach_request(w, row, now_us);
		r->cost_milli = r->awaited_milli;
		action_queue_log(w->actions, LOG_TOKENS_CAME, r->opts.caller_id,
				 name, now_us - r->arrived_us,
				 "us waited for tokens");
		route_request(w, row, now_us);
	} else if (now_us - r->arrived_us >= TOKEN_WAIT_US) {
		limit_suspend_waiting(w->limits, name, now_us);
		answer_error(w, row, rc, r->retry_after_us, now_us);
	} else if (now_us >= r->resume_at_us) {
		request_tokens(w, r, now_us);
	}
}

void admission_run(struct world *w, int64_t now_us)
{
	uint32_t row = w->requests.awaiting_tokens.head;

	while (row != NO_INDEX) {
		uint32_t next = w->requests.links[row].next;

		retry_admission(w, row, now_us);
		row = next;
	}
}

static void admit_request(struct world *w, const struct request_opts *o,
			  int64_t now_us)
{
	struct admission a = { .error = ERR_NONE };
	uint32_t row;

	if (!check_instance_state(w, o, &a, now_us) ||
	    !check_profile(w, o, &a, now_us) || !check_target(w, o, &a)) {
		answer_refused(w, o, a.error, a.retry_after_us);
		return;
	}
	if (now_us >= o->deadline_us) {
		answer_refused(w, o, ERR_DEADLINE, 0);
		return;
	}
	if (w->requests.used == w->requests.capacity) {
		answer_refused(w, o, ERR_OVERLOADED, TABLE_FULL_RETRY_US);
		return;
	}
	if (!check_rate_limit(w, o, &a, now_us) && !a.may_wait) {
		answer_refused(w, o, a.error, a.retry_after_us);
		return;
	}
	row = request_add(&w->requests, o, now_us);
	init_request(w, row, &a);
	if (a.may_wait)
		wait_for_tokens(w, row, a.retry_after_us, now_us);
	else
		route_request(w, row, now_us);
}

void admission_handle_request(struct world *w, const struct request_opts *o,
			      int64_t now_us)
{
	struct request_opts limited = *o;
	int64_t until_us = w->drain_limits.answers_until_us;

	if (until_us)
		limited.deadline_us = MIN(limited.deadline_us, until_us);
	admit_request(w, &limited, now_us);
}

static void close_key_transactions(struct world *w, const uint8_t *digest,
				   int64_t now_us)
{
	uint32_t row = w->transactions.open.head;

	while (row != NO_INDEX) {
		const struct transaction *x = &w->transactions.rows[row];
		uint32_t next = w->transactions.links[row].next;

		if (!x->keyless && !memcmp(x->key_digest, digest, DIGEST_BYTES))
			exchange_close_conn(w, x->conn, now_us);
		row = next;
	}
}

void admission_handle_key_withdrawn(struct world *w,
				    const uint8_t digest[DIGEST_BYTES],
				    int64_t now_us)
{
	uint32_t ended = 0;

	for (uint32_t i = 0; i < w->requests.high_water; i++) {
		const struct request *r = &w->requests.rows[i];

		if (r->state == REQUEST_FREE || r->keyless ||
		    memcmp(r->opts.key_digest, digest, DIGEST_BYTES) != 0)
			continue;
		answer_error(w, i, ERR_BAD_KEY, 0, now_us);
		ended++;
	}
	close_key_transactions(w, digest, now_us);
	action_queue_log(w->actions, LOG_KEY_WITHDRAWN, 0, "", ended,
			 "requests ended");
}
