#include "core/world.h"

#include "core/admission.h"
#include "core/answer.h"
#include "core/apply.h"
#include "core/dispatch.h"
#include "core/endpoint_set.h"
#include "core/exchange.h"
#include "core/expiry.h"
#include "core/probe.h"
#include "core/world_state.h"

enum {
	CONNS_MAX = 4096,
	TRANSACTIONS_MAX = 1024,
	TICK_US = 5 * 1000,
	FAST_TICK_US = 1 * 1000,
	/*
	 * Maximum wait at shutdown until the shares are released; after that
	 * they expire with the lease.
	 */
	SHARE_RETURN_TIMEOUT_US = 3000 * 1000,
};

/* Separates ids of promotions' platform operations from those of limits. */
#define PROMOTION_OPERATION_ID_BASE (UINT64_C(1) << 62)

struct world_opts world_opts_default(void)
{
	return (struct world_opts){
		.seed = 1,
		.requests_max = 4096,
		.share_cells = 1,
		.probe_interval_us = 100 * US_PER_MS,
		.silence_us = 1000 * US_PER_MS,
		.suspect_us = 400 * US_PER_MS,
		.key_grace_us = 2500 * US_PER_MS,
		.transaction_idle_us = 10 * US_PER_S,
	};
}

static void create_members_and_limits(struct world *w)
{
	struct member_opts member = {
		.instance = w->opts.instance,
		.zone = w->opts.zone,
		.incarnation = w->opts.incarnation,
		.seed = w->opts.seed,
	};
	struct key_guard_opts guard = {
		.key_grace_us = w->opts.key_grace_us,
	};
	struct limits_opts limits = {
		.instance = w->opts.instance,
		.incarnation = w->opts.incarnation,
		.seed = w->opts.seed + 1,
		.share_cells = w->opts.share_cells,
	};

	w->members = member_table_new(&member);
	w->keys = key_guard_new(&guard, w->members);
	limits.members = w->members;
	limits.guard = w->keys;
	w->limits = limits_new(&limits);
}

struct world *world_new(const struct world_opts *opts, int64_t now_us)
{
	struct world *w = g_new0(struct world, 1);

	w->opts = *opts;
	w->rand = g_rand_new_with_seed((guint32)opts->seed);
	w->actions = action_queue_new();
	catalog_init(&w->catalog);
	w->endpoints = g_array_new(FALSE, TRUE, sizeof(struct endpoint));
	w->groups = g_array_new(FALSE, TRUE, sizeof(struct group));
	w->promotions = g_array_new(FALSE, TRUE, sizeof(struct promotion));
	w->group_rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	conn_table_init(&w->conns, CONNS_MAX);
	request_table_init(&w->requests, opts->requests_max);
	transaction_table_init(&w->transactions, TRANSACTIONS_MAX);
	retry_budget_init(&w->retries);
	w->last_operation_id = PROMOTION_OPERATION_ID_BASE;
	w->instances = 1;
	create_members_and_limits(w);
	return w;
}

void world_free(struct world *w)
{
	for (uint32_t i = 0; i < w->endpoints->len; i++)
		queue_clear(&world_endpoint(w, i)->queue);
	limits_free(w->limits);
	key_guard_free(w->keys);
	member_table_free(w->members);
	transaction_table_clear(&w->transactions);
	request_table_clear(&w->requests);
	conn_table_clear(&w->conns);
	g_hash_table_destroy(w->group_rows);
	g_array_free(w->promotions, TRUE);
	g_array_free(w->groups, TRUE);
	g_array_free(w->endpoints, TRUE);
	catalog_clear(&w->catalog);
	action_queue_free(w->actions);
	g_rand_free(w->rand);
	g_free(w);
}

uint32_t world_find_group(const struct world *w, const char *name)
{
	gpointer p = g_hash_table_lookup(w->group_rows, name);
	uint32_t row;

	if (!p)
		return NO_INDEX;
	row = GPOINTER_TO_UINT(p) - 1;
	return world_group(w, row)->endpoint_count ? row : NO_INDEX;
}

uint32_t world_find_primary(const struct world *w, const struct group *g)
{
	if (g->primary == NO_INDEX ||
	    !endpoint_is_usable(world_endpoint(w, g->primary)))
		return NO_INDEX;
	return g->primary;
}

static void handle_caller_disconnected(struct world *w, uint64_t caller_id,
				       int64_t now_us)
{
	uint32_t row = request_find(&w->requests, caller_id);
	const struct request *r;
	uint32_t transaction;

	if (row == NO_INDEX)
		return;
	r = &w->requests.rows[row];
	transaction = r->transaction;
	/*
	 * A running request outside a transaction is left to finish: closing
	 * its connection would not undo a write.
	 */
	if (r->state == REQUEST_RUNNING && transaction == NO_INDEX)
		return;
	answer_disconnected_caller(w, row, now_us);
	if (transaction != NO_INDEX && w->transactions.rows[transaction].id)
		exchange_close_conn(w, w->transactions.rows[transaction].conn,
				    now_us);
}

static void handle_platform(struct world *w, const struct platform_result *p,
			    int64_t now_us)
{
	if (promotion_handle_platform(w, p, now_us))
		return;
	limits_handle_platform(w->limits, p, now_us, w->actions);
}

static void handle_peer(struct world *w, const struct peer_message *m,
			int64_t now_us)
{
	if (member_handle_message(w->members, m, now_us, w->actions))
		return;
	if (limits_handle_peer(w->limits, m, now_us, w->actions)) {
		admission_run(w, now_us);
		return;
	}
	promotion_handle_peer(w, m, now_us);
}

/* Requests whose deadlines are later would be cut by the end of the process. */
static void limit_deadlines(struct world *w, int64_t until_us)
{
	for (uint32_t i = 0; i < w->requests.high_water; i++) {
		struct request *r = &w->requests.rows[i];

		if (r->state != REQUEST_FREE)
			r->opts.deadline_us =
				MIN(r->opts.deadline_us, until_us);
	}
	request_schedule_check(&w->requests, until_us);
}

static void start_drain(struct world *w, const struct drain_limits *limits)
{
	if (w->draining)
		return;
	w->draining = true;
	w->drain_limits = *limits;
	if (limits->answers_until_us)
		limit_deadlines(w, limits->answers_until_us);
	action_queue_log(w->actions, LOG_STOPPING, 0, w->opts.instance,
			 w->requests.used,
			 "finishing the requests in progress");
}

void world_handle_event(struct world *w, const struct event *e, int64_t now_us)
{
	switch (e->type) {
	case EVENT_REQUEST:
		admission_handle_request(w, &e->request, now_us);
		break;
	case EVENT_CALLER_DISCONNECTED:
		handle_caller_disconnected(w, e->caller_id, now_us);
		break;
	case EVENT_CONN_OPENED:
		exchange_handle_conn_opened(w, e->conn_id, now_us);
		break;
	case EVENT_CONN_LOST:
		exchange_handle_conn_lost(w, e->conn_id, now_us);
		break;
	case EVENT_EXCHANGE_RESULT:
		exchange_handle_result(w, &e->result, now_us);
		break;
	case EVENT_RECORD_PUT:
		apply_record(w, e->record, false, now_us);
		break;
	case EVENT_RECORD_DELETED:
		apply_record(w, e->record, true, now_us);
		break;
	case EVENT_CONFIG_SYNCED:
		apply_config_synced(w, &e->synced, now_us);
		break;
	case EVENT_LEASE_RENEWED:
		limits_handle_lease(w->limits, &e->lease, now_us);
		break;
	case EVENT_PLATFORM_RESULT:
		handle_platform(w, e->platform, now_us);
		break;
	case EVENT_PEER_MESSAGE:
		handle_peer(w, e->peer, now_us);
		break;
	case EVENT_DRAIN:
		start_drain(w, &e->drain);
		break;
	}
}

static void log_key_rule(struct world *w, int64_t now_us)
{
	bool confirmed = key_guard_rule(w->keys, now_us) != KEY_RULE_NONE;

	if (confirmed == w->keys_confirmed)
		return;
	w->keys_confirmed = confirmed;
	action_queue_log(w->actions,
			 confirmed ? LOG_KEYS_CONFIRMED : LOG_KEYS_UNCONFIRMED,
			 0, w->opts.instance, w->revision, "%s",
			 confirmed ? "requests with a key are served" :
				     "requests with a key are refused");
}

static void members_run(struct world *w, int64_t now_us)
{
	struct member_self self = key_guard_get_self(w->keys, w->draining);

	member_set_self(w->members, &self);
	member_run(w->members, now_us, w->actions);
	log_key_rule(w, now_us);
}

static void limits_system_run(struct world *w, int64_t now_us)
{
	limits_run(w->limits, now_us, w->actions);
}

/*
 * Reports the end of a shutdown once no request or transaction is open and
 * the shares are released. Shares that cannot be released in time expire with
 * the lease.
 */
static void drain_run(struct world *w, int64_t now_us)
{
	struct action a = { .type = ACTION_DRAINED };

	if (!w->draining || w->drained || w->requests.used ||
	    w->transactions.open.count)
		return;
	/* Not before: statements of open transactions need the shares. */
	limits_drain(w->limits);
	if (!w->idle_since_us)
		w->idle_since_us = now_us;
	a.drained.lease_revocable = limits_is_drained(w->limits, now_us);
	if (!a.drained.lease_revocable &&
	    now_us - w->idle_since_us < SHARE_RETURN_TIMEOUT_US)
		return;
	w->drained = true;
	action_queue_push(w->actions, &a);
}

typedef void (*system_fn)(struct world *w, int64_t now_us);

/* The order in which systems run in each tick. */
static const system_fn systems[] = {
	members_run, limits_system_run, admission_run,
	probe_run,   promotion_run,	endpoint_set_run,
	expiry_run,  dispatch_run,	drain_run,
};

void world_tick(struct world *w, int64_t now_us)
{
	for (size_t i = 0; i < G_N_ELEMENTS(systems); i++)
		systems[i](w, now_us);
}

bool world_next_action(struct world *w, struct action *out)
{
	return action_queue_pop(w->actions, out);
}

int64_t world_next_tick_us(const struct world *w, int64_t now_us)
{
	for (uint32_t i = 0; i < w->groups->len; i++) {
		if (world_group(w, i)->unconfirmed.count)
			return now_us + FAST_TICK_US;
	}
	return now_us + TICK_US;
}
