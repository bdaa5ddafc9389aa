#include "proxy/failover.h"

#include "proxy/dispatch.h"
#include "proxy/engine_state.h"
#include "proxy/primary_fence.h"
#include "proxy/promotion_choices.h"
#include "proxy/failure_reports.h"
#include "proxy/failover_plan.h"
#include "proxy/unsettled_order.h"

#include <inttypes.h>
#include <string.h>

enum {
	/* Between rounds in which operators ask to move a primary. */
	MOVE_INTERVAL_US = 120 * 1000 * 1000,
	/* Time between messages to an endpoint, and before short retries. */
	POLL_INTERVAL_US = 100 * 1000,
	/* A control connection without an answer for this long is closed. */
	REPORT_TIMEOUT_US = 1000 * 1000,
	/*
	 * A planned change waits this long for the primary to step down, and
	 * again for a replica to catch up with its log. After that replication
	 * is paused on all replicas instead.
	 */
	CATCH_UP_TIMEOUT_US = 300 * 1000,
	/* Failover starts when no primary has been known for this long. */
	NO_PRIMARY_DELAY_US = 1000 * 1000,
	/*
	 * The promotion order is resent if the endpoint is not the primary by
	 * then.
	 */
	ORDER_RETRY_US = 500 * 1000,
	/*
	 * Maximum age of this instance's view of the store. While the store
	 * answers, probes confirm the view every seventh of the key limit,
	 * which is 0.7 s by default; see PROBES_PER_KEY_LIMIT in engine.c.
	 */
	STORE_AGE_MAX_US = 2000 * 1000,
	/* The platform may take a few seconds to carry out a promotion. */
	PROMOTION_TIMEOUT_US = 4000 * 1000,
	/*
	 * Adjusting replication stops after this if an endpoint does not
	 * answer, and is tried again after ADJUST_RETRY_US.
	 */
	ADJUST_TIMEOUT_US = 1500 * 1000,
	ADJUST_RETRY_US = 2000 * 1000,
	/* Minimum time between the end of a round and the next one. */
	NEXT_ROUND_DELAY_US = 1000 * 1000,
	WAIT_LOG_INTERVAL_US = 1000 * 1000,
};

enum failover_state {
	FAILOVER_IDLE,
	FAILOVER_GETTING_TOKEN, /* requests a fencing token */
	FAILOVER_COLLECTING, /* collects reports and pauses replication */
	FAILOVER_SAVING_CHOICE, /* writes its choice to the store */
	FAILOVER_PROMOTING, /* waits until the chosen endpoint is primary */
	/*
	 * Between rounds: resumes replication that a round left paused, and
	 * pauses it to leaving replicas.
	 */
	FAILOVER_ADJUSTING,
};

/* An endpoint of the service in the current round. */
struct round_endpoint {
	struct upstream *upstream;
	struct upstream_conn *conn; /* control connection; NULL: none */
	int64_t sent_us; /* last message, or opening of the connection */
	int64_t conn_opened_us;
	bool has_report;
	int64_t reported_us; /* when the latest report came */
	struct upstream_report report; /* the latest */
	bool was_primary; /* when the round began */
	bool demote_sent; /* DEMOTE was sent in this round */
	enum proxy_statement logged_command; /* the last one that was logged */
	bool stepped_down; /* reported to be a replica after DEMOTE */
	/* was_primary, only because of an unsettled order; no report yet */
	bool presumed_primary;
	bool pause_wanted; /* between rounds */
};

/* The failover of one service, which runs one round at a time. */
struct failover {
	struct failovers *failovers;
	struct service *service;
	enum failover_state state;
	const char *reason; /* of the round */
	bool planned; /* the primary still answers; e.g. it is leaving */
	uint64_t token; /* fencing token of the round */
	uint64_t term; /* of the new primary: above every known term */
	GArray *endpoints; /* struct round_endpoint */
	int64_t state_since_us;
	int64_t wait_logged_us; /* last PROMOTION_WAITING of the round */
	/* When the previous primary stepped down; 0: not yet. */
	int64_t stepped_down_us;
	char chosen[NAME_BYTES]; /* endpoint; "": none yet */
	struct unsettled_order unsettled; /* of the last round */
	bool order_pending; /* a promotion order has no answer yet */
	bool save_pending; /* writing the choice has no answer yet */
	int64_t ordered_us; /* when the last order was sent */
	int64_t not_before_us; /* earliest start of the next round */
	/* Operators' requests move no primary away from there until then. */
	char move_tried[NAME_BYTES]; /* endpoint */
	int64_t move_after_us;
	/* A primary has reported its term since the duty was taken. */
	bool term_known;
	/* Replication may have to be paused or resumed somewhere. */
	bool adjust_due;
	int64_t adjust_not_before_us;
	uint64_t adjusted_state; /* see hash_replication_state() */
};

/* The failovers of all services. */
struct failovers {
	struct engine *engine;
	GHashTable *by_service; /* struct service to struct failover */
	struct failure_reports *failure_reports;
	struct promotion_choices *choices;
	/* The one with a pending call to the store, or NULL; others wait. */
	struct failover *using_store;
	bool had_duty; /* at the last run */
};

static void failover_free(gpointer p)
{
	struct failover *f = p;

	g_array_free(f->endpoints, TRUE);
	g_free(f);
}

struct failovers *failovers_new(struct engine *e)
{
	struct failovers *fs = g_new0(struct failovers, 1);

	fs->engine = e;
	fs->by_service = g_hash_table_new_full(NULL, NULL, NULL, failover_free);
	fs->failure_reports = failure_reports_new();
	fs->choices = promotion_choices_new();
	return fs;
}

void failovers_free(struct failovers *fs)
{
	g_hash_table_destroy(fs->by_service);
	failure_reports_free(fs->failure_reports);
	promotion_choices_free(fs->choices);
	g_free(fs);
}

/* Returns true if an endpoint other than the primary could serve. */
static bool has_candidate(const struct service *svc)
{
	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		if (u != svc->primary && u->listed)
			return true;
	}
	return false;
}

/* Returns why the primary's term must end, or NULL. */
static const char *find_fence_reason(const struct failover *f)
{
	const struct service *svc = f->service;

	if (!f->term_known)
		return NULL;
	if (promotion_choices_is_pending(f->failovers->choices, svc->name,
					 svc->term))
		return "an earlier promotion order may still be carried out";
	return service_is_fenced(svc) ?
		       "an order of an earlier choice was carried out" :
		       NULL;
}

/* Returns true if operators ask that the endpoint does not lead. */
static bool is_moved_away(const struct failover *f, const struct upstream *u)
{
	const struct engine *e = f->failovers->engine;

	return steer_applies(e->steer, STEER_MOVE_PRIMARY, u->entry.id,
			     engine_now(e));
}

/* A round that left it there is not repeated at once: commits wait in it. */
static bool may_move(const struct failover *f, const struct upstream *u,
		     int64_t now_us)
{
	return (now_us >= f->move_after_us ||
		strcmp(f->move_tried, u->entry.id) != 0) &&
	       is_moved_away(f, u);
}

/* Returns true if an endpoint is chosen only if no other is as good. */
static bool is_unwanted(const struct failover *f, const struct upstream *u)
{
	return is_moved_away(f, u) ||
	       engine_avoids_endpoint(f->failovers->engine, u);
}

/* Returns the reason to replace the service's primary, or NULL. */
static const char *find_failover_reason(const struct failover *f,
					int64_t now_us)
{
	const struct failovers *fs = f->failovers;
	const struct service *svc = f->service;
	const struct upstream *u = svc->primary;

	/* Without another endpoint the primary can only lead again. */
	if (!has_candidate(svc))
		return u && u->listed ? find_fence_reason(f) : NULL;
	if (!u)
		return now_us - svc->primary_lost_us >= NO_PRIMARY_DELAY_US ?
			       "no primary is known" :
			       NULL;
	if (!u->listed)
		return "the primary's entry is missing from the store";
	if (u->entry.leaving)
		return "the primary is leaving";
	if (may_move(f, u, now_us))
		return "operators ask to move the primary";
	if (failure_reports_confirm_silence(fs->failure_reports, u, now_us))
		return "at least half of the instances cannot reach the primary";
	return find_fence_reason(f);
}

static struct failover *get_or_create_failover(struct failovers *fs,
					       struct service *svc)
{
	struct failover *f = g_hash_table_lookup(fs->by_service, svc);

	if (f)
		return f;
	f = g_new0(struct failover, 1);
	f->failovers = fs;
	f->service = svc;
	/*
	 * A previous holder of the duty may have left replication paused, and
	 * this instance may have taken the duty before it knew the service.
	 */
	f->adjust_due = true;
	f->endpoints = g_array_new(FALSE, TRUE, sizeof(struct round_endpoint));
	g_hash_table_insert(fs->by_service, svc, f);
	return f;
}

static void log_failover(const struct failover *f, enum log_event event,
			 int64_t value, const char *what)
{
	engine_log(f->failovers->engine, event, 0, f->service->name, value,
		   "%s%s%s", what, f->chosen[0] ? " " : "", f->chosen);
}

static const char *get_command_name(enum proxy_statement command)
{
	switch (command) {
	case PROXY_STATEMENT_DEMOTE:
		return "demote";
	case PROXY_STATEMENT_PAUSE:
		return "pause";
	case PROXY_STATEMENT_RESUME:
		return "resume";
	default:
		return NULL;
	}
}

/* Logs a command once, however often it is repeated in a round. */
static void log_command(const struct failover *f, struct round_endpoint *ep,
			enum proxy_statement command)
{
	const char *name = get_command_name(command);

	if (!name || ep->logged_command == command)
		return;
	ep->logged_command = command;
	engine_log(f->failovers->engine, LOG_PROMOTION_COMMAND, 0,
		   ep->upstream->entry.id, (int64_t)f->term, "%s: %s",
		   f->service->name, name);
}

static const char *get_entry_state(const struct upstream *u)
{
	if (u->listed)
		return "";
	return upstream_has_ended(u) ? ", new id" : ", unlisted";
}

static void log_counted_endpoint(const struct failover *f,
				 const struct round_endpoint *ep,
				 int64_t now_us)
{
	const struct upstream_report *r = &ep->report;

	engine_log(f->failovers->engine, LOG_PROMOTION_ENDPOINT, 0,
		   ep->upstream->entry.id,
		   ep->has_report ? now_us - ep->reported_us : -1,
		   "%s: %s, term %" PRIu64 ", log %" PRIu64 ".%" PRIu64
		   ", paused %" PRIu64 "%s%s%s%s",
		   f->service->name,
		   !ep->has_report	   ? "no report" :
		   r->role == ROLE_PRIMARY ? "primary" :
					     "replica",
		   r->term, r->received.term, r->received.offset,
		   r->paused_below_term, ep->was_primary ? ", was primary" : "",
		   ep->stepped_down ? ", stepped down" : "",
		   ep->upstream->entry.leaving ? ", leaving" : "",
		   get_entry_state(ep->upstream));
}

static struct round_endpoint *get_round_endpoint(const struct failover *f,
						 guint i)
{
	return &g_array_index(f->endpoints, struct round_endpoint, i);
}

static struct round_endpoint *
find_round_endpoint_by_conn(const struct failover *f,
			    const struct upstream_conn *c)
{
	for (guint i = 0; i < f->endpoints->len; i++) {
		if (get_round_endpoint(f, i)->conn == c)
			return get_round_endpoint(f, i);
	}
	return NULL;
}

/*
 * Forgets what was reported on a connection that is lost: a process that has
 * started again is neither paused nor has it stepped down.
 */
static void handle_control_conn_loss(struct round_endpoint *ep)
{
	ep->conn = NULL;
	ep->has_report = false;
	ep->demote_sent = false;
	ep->stepped_down = false;
}

static void close_control_conn(struct round_endpoint *ep)
{
	struct upstream_conn *conn = ep->conn;

	handle_control_conn_loss(ep);
	if (conn)
		dispatch_close_conn(conn);
}

static void end_round(struct failover *f, int64_t now_us)
{
	if (f->state == FAILOVER_GETTING_TOKEN &&
	    f->failovers->using_store == f)
		f->failovers->using_store = NULL;
	for (guint i = 0; i < f->endpoints->len; i++)
		close_control_conn(get_round_endpoint(f, i));
	g_array_set_size(f->endpoints, 0);
	f->state = FAILOVER_IDLE;
	f->chosen[0] = '\0';
	f->stepped_down_us = 0;
	f->not_before_us = now_us + NEXT_ROUND_DELAY_US;
	if (f->reason)
		f->move_after_us = now_us + MOVE_INTERVAL_US;
}

static void set_state(struct failover *f, enum failover_state state,
		      int64_t now_us)
{
	f->state = state;
	f->state_since_us = now_us;
}

static struct round_endpoint *find_round_endpoint(const struct failover *f,
						  const char *id)
{
	for (guint i = 0; i < f->endpoints->len; i++) {
		if (!strcmp(get_round_endpoint(f, i)->upstream->entry.id, id))
			return get_round_endpoint(f, i);
	}
	return NULL;
}

/*
 * Returns the primary that the round replaces, or NULL. A primary whose entry
 * has expired is one only if no other endpoint may have been promoted since.
 */
static const struct upstream *find_replaced_primary(const struct failover *f)
{
	const struct service *svc = f->service;
	const char *last =
		promotion_choices_last(f->failovers->choices, svc->name);

	if (svc->primary || !svc->expired_primary)
		return svc->primary;
	return !last || !strcmp(last, svc->expired_primary->entry.id) ?
		       svc->expired_primary :
		       NULL;
}

/*
 * Adds the endpoints of the service that are not in the round yet; new ones
 * may become known during a round.
 */
static void add_round_endpoints(struct failover *f)
{
	struct service *svc = f->service;
	const struct upstream *presumed = NULL;
	const struct upstream *replaced = NULL;

	if (!f->endpoints->len) {
		presumed = unsettled_order_find(&f->unsettled, svc);
		replaced = presumed ? presumed : find_replaced_primary(f);
	}
	for (guint i = 0; i < svc->upstreams->len; i++) {
		struct round_endpoint ep = { 0 };

		ep.upstream = g_ptr_array_index(svc->upstreams, i);
		if (find_round_endpoint(f, ep.upstream->entry.id))
			continue;
		ep.was_primary = ep.upstream == replaced;
		ep.presumed_primary = ep.upstream == presumed;
		g_array_append_val(f->endpoints, ep);
	}
}

static void request_token(struct failover *f, int64_t now_us)
{
	if (f->failovers->using_store)
		return;
	f->failovers->using_store = f;
	set_state(f, FAILOVER_GETTING_TOKEN, now_us);
	duty_request_token(f->failovers->engine->duty);
}

void failover_handle_token(struct failovers *fs, uint64_t token, int64_t now_us)
{
	struct failover *f = fs->using_store;

	if (!f || f->save_pending)
		return;
	fs->using_store = NULL;
	if (!token) {
		set_state(f, FAILOVER_IDLE, now_us);
		f->not_before_us = now_us + POLL_INTERVAL_US;
		return;
	}
	f->token = token;
	f->term = f->service->term + 1;
	f->chosen[0] = '\0';
	f->stepped_down_us = 0;
	add_round_endpoints(f);
	set_state(f, FAILOVER_COLLECTING, now_us);
	log_failover(f, LOG_PROMOTION_STARTED, (int64_t)token, f->reason);
}

/*
 * Replication stays paused until a primary has reported its term: while an
 * earlier promotion order may still be carried out, no commit may be
 * acknowledged that the endpoint named in the order lacks.
 */
static bool may_resume(const struct failover *f)
{
	return f->term_known || !f->service->confirms_writes;
}

/*
 * Returns true if replication to the endpoint is paused or not, as it should be
 * between rounds.
 */
static bool is_adjusted(const struct failover *f,
			const struct round_endpoint *ep)
{
	const struct upstream_report *r = &ep->report;

	/* One that cannot be reached is adjusted when its entry returns. */
	if (!ep->has_report)
		return ep->upstream->expired;
	if (r->role == ROLE_PRIMARY)
		return true;
	return ep->pause_wanted ? r->paused_below_term >= f->term :
				  !r->paused_below_term;
}

/*
 * Returns true if a replica that stays lags so little that it will soon have
 * the whole log of a primary that steps down.
 */
static bool has_near_replica(const struct failover *f, int64_t now_us)
{
	for (guint i = 0; i < f->endpoints->len; i++) {
		const struct round_endpoint *ep = get_round_endpoint(f, i);

		if (!ep->was_primary && ep->has_report &&
		    upstream_is_usable(ep->upstream) &&
		    mark_ring_min_lag_us(&f->service->marks,
					 ep->report.received,
					 now_us) <= CATCH_UP_TIMEOUT_US)
			return true;
	}
	return false;
}

/*
 * A planned change demotes the primary only if another can take over soon; the
 * primary serves until then. One that is fenced does not serve.
 */
static bool may_demote(const struct failover *f, int64_t now_us)
{
	return !f->planned || has_near_replica(f, now_us) ||
	       service_is_fenced(f->service);
}

/*
 * Returns true if the endpoint must stop confirming or acknowledging commits:
 * until the chosen endpoint leads, also one that starts or joins only now.
 */
static bool stops_commits(const struct failover *f,
			  const struct round_endpoint *ep)
{
	if (f->state == FAILOVER_COLLECTING)
		return true;
	return (f->state == FAILOVER_SAVING_CHOICE ||
		f->state == FAILOVER_PROMOTING) &&
	       strcmp(ep->upstream->entry.id, f->chosen) != 0 &&
	       ep->report.term < f->term;
}

/* Returns the next command or status request for an endpoint. */
static struct proxy_message choose_next_message(const struct failover *f,
						const struct round_endpoint *ep,
						int64_t now_us)
{
	struct proxy_message m = { .statement = PROXY_STATEMENT_STATUS,
				   .term = f->term };

	if (f->state == FAILOVER_ADJUSTING && ep->has_report &&
	    !is_adjusted(f, ep)) {
		if (ep->pause_wanted)
			m.statement = PROXY_STATEMENT_PAUSE;
		else if (may_resume(f))
			m.statement = PROXY_STATEMENT_RESUME;
	}
	if (!ep->has_report || !stops_commits(f, ep))
		return m;
	if (ep->report.role == ROLE_PRIMARY)
		/*
		 * A primary that was a replica when the round began is the new
		 * primary; its report ends the round.
		 */
		m.statement = ep->was_primary && may_demote(f, now_us) ?
				      PROXY_STATEMENT_DEMOTE :
				      PROXY_STATEMENT_STATUS;
	else if (!f->planned)
		m.statement = PROXY_STATEMENT_PAUSE;
	return m;
}

static void send_next_message(struct failover *f, struct round_endpoint *ep,
			      int64_t now_us)
{
	struct upstream_conn *conn = ep->conn;
	const struct proxy_message m = choose_next_message(f, ep, now_us);

	if (conn->request_count || conn->state == CONN_STATE_STARTING)
		return;
	ep->sent_us = now_us;
	ep->demote_sent |= m.statement == PROXY_STATEMENT_DEMOTE;
	log_command(f, ep, m.statement);
	conn->state = CONN_STATE_PROBING;
	upstream_conn_put_message(conn, f->failovers->engine->opts.wire, &m,
				  CONN_REQUEST_REPORT, now_us);
	upstream_conn_put_seal(conn, f->failovers->engine->opts.wire, now_us);
	engine_conn_flush(conn);
}

static void open_control_conn(struct failover *f, struct round_endpoint *ep,
			      int64_t now_us)
{
	struct engine *e = f->failovers->engine;

	ep->conn = dispatch_open_conn(e, ep->upstream, e->opts.instance, true,
				      now_us);
	ep->conn_opened_us = now_us;
	ep->sent_us = now_us;
}

static void poll_endpoints(struct failover *f, int64_t now_us)
{
	for (guint i = 0; i < f->endpoints->len; i++) {
		struct round_endpoint *ep = get_round_endpoint(f, i);

		if (ep->conn && ep->conn->request_count &&
		    now_us - ep->sent_us > REPORT_TIMEOUT_US)
			close_control_conn(ep);
		if (!ep->conn) {
			if (now_us - ep->conn_opened_us >= POLL_INTERVAL_US)
				open_control_conn(f, ep, now_us);
		} else if (now_us - ep->sent_us >= POLL_INTERVAL_US) {
			send_next_message(f, ep, now_us);
		}
	}
}

/* Remembers the round's order for the next round, which may need it. */
static void record_unsettled_order(struct failover *f)
{
	for (guint i = 0; i < f->endpoints->len; i++) {
		const struct round_endpoint *ep = get_round_endpoint(f, i);

		if (ep->stepped_down &&
		    strcmp(ep->upstream->entry.id, f->chosen) != 0)
			unsettled_order_record(&f->unsettled, f->chosen,
					       ep->upstream);
	}
}

static void on_order_answer(void *data, enum promotion_outcome outcome)
{
	struct failover *f = data;
	struct engine *e = f->failovers->engine;
	int64_t now_us = engine_now(e);

	f->order_pending = false;
	engine_log(e, LOG_PROMOTION_STEP, 0, f->service->name,
		   (int64_t)f->token, "promotion order for %s: outcome %d",
		   f->chosen, outcome);
	if (f->state != FAILOVER_PROMOTING)
		return;
	if (outcome == PROMOTION_REFUSED) {
		/*
		 * A later token was used, or the endpoint is not running: start
		 * a new round.
		 */
		record_unsettled_order(f);
		end_round(f, now_us);
		f->not_before_us = now_us + POLL_INTERVAL_US;
	} else if (outcome != PROMOTION_ORDERED) {
		f->ordered_us = now_us - ORDER_RETRY_US + POLL_INTERVAL_US;
	}
}

static void send_order(struct failover *f, int64_t now_us)
{
	struct engine *e = f->failovers->engine;
	const struct promotion_order o = { .service = f->service->name,
					   .endpoint = f->chosen,
					   .holder = e->opts.instance,
					   .token = f->token };

	f->order_pending = true;
	f->ordered_us = now_us;
	e->opts.promoter->ops->order(e->opts.promoter, &o, on_order_answer, f);
}

static void on_choice_saved(void *data, const struct store_answer *a)
{
	struct failover *f = data;
	struct engine *e = f->failovers->engine;
	int64_t now_us = engine_now(e);
	struct peer_choice choice = { .term = f->term };

	f->save_pending = false;
	f->failovers->using_store = NULL;
	if (f->state != FAILOVER_SAVING_CHOICE)
		return;
	if (a->outcome == STORE_DONE) {
		set_state(f, FAILOVER_PROMOTING, now_us);
		g_strlcpy(choice.service, f->service->name,
			  sizeof(choice.service));
		g_strlcpy(choice.endpoint, f->chosen, sizeof(choice.endpoint));
		primary_fence_announce(e, &choice);
		send_order(f, now_us);
		return;
	}
	log_failover(f, LOG_PROMOTION_FAILED, a->outcome,
		     "round ended: cannot store the choice of");
	/*
	 * The choice may still be written later. The write is conditional on
	 * the current token, so the next token prevents that.
	 */
	end_round(f, now_us);
	f->not_before_us = now_us + POLL_INTERVAL_US;
}

/*
 * Writes the choice to the store, so that a later holder of the duty makes the
 * same choice.
 */
static void save_choice(struct failover *f)
{
	struct engine *e = f->failovers->engine;
	struct choice_entry entry = { .term = f->term };
	const struct store_change c = { .put_choice = &entry,
					.service = f->service->name,
					.if_duty = true,
					.duty_revision =
						(int64_t)duty_token(e->duty) };

	g_strlcpy(entry.endpoint, f->chosen, sizeof(entry.endpoint));
	f->save_pending = true;
	f->failovers->using_store = f;
	e->opts.store->ops->change(e->opts.store, &c, on_choice_saved, f);
}

static bool is_paused(const struct failover *f, const struct round_endpoint *ep)
{
	return ep->has_report && ep->report.role == ROLE_REPLICA &&
	       ep->report.paused_below_term >= f->term;
}

static enum failover_decision choose_primary(struct failover *f,
					     uint32_t *chosen)
{
	const struct engine *e = f->failovers->engine;
	const char *pending = promotion_choices_find(f->failovers->choices,
						     f->service->name, f->term);
	struct failover_candidate *candidates =
		g_newa0(struct failover_candidate, f->endpoints->len);

	for (guint i = 0; i < f->endpoints->len; i++) {
		const struct round_endpoint *ep = get_round_endpoint(f, i);

		candidates[i].was_primary = ep->was_primary;
		candidates[i].stepped_down = ep->stepped_down;
		candidates[i].paused = is_paused(f, ep);
		candidates[i].leaving = ep->upstream->entry.leaving;
		candidates[i].unwanted = is_unwanted(f, ep->upstream);
		candidates[i].unlisted = !ep->upstream->listed;
		candidates[i].id_unknown = upstream_has_ended(ep->upstream);
		candidates[i].id_awaited = candidates[i].id_unknown &&
					   engine_now(e) - f->state_since_us <
						   e->opts.replica_wait_us;
		candidates[i].is_pending_choice =
			!g_strcmp0(pending, ep->upstream->entry.id);
		candidates[i].local =
			!strcmp(ep->upstream->entry.zone, e->opts.zone);
		candidates[i].received = ep->report.received;
	}
	return failover_choose_primary(candidates, f->endpoints->len,
				       f->service->confirms_writes, chosen);
}

/*
 * Returns true if all live endpoints are known. Entries that expired while the
 * store was unavailable may not be back yet, and an instance that was suspended
 * for a while has an outdated view of the store.
 */
static bool endpoint_list_is_current(const struct engine *e, int64_t now_us)
{
	return now_us >= e->entries_settle_us &&
	       store_feed_age_us(e->feed, now_us) <= STORE_AGE_MAX_US;
}

/* Returns true if the primary reported lately, and not that it stepped down. */
static bool primary_still_leads(const struct failover *f, int64_t now_us)
{
	for (guint i = 0; i < f->endpoints->len; i++) {
		const struct round_endpoint *ep = get_round_endpoint(f, i);

		if (ep->was_primary)
			return ep->has_report &&
			       ep->report.role == ROLE_PRIMARY &&
			       now_us - ep->reported_us <= REPORT_TIMEOUT_US;
	}
	return false;
}

/* Logs from time to time what a round that cannot choose yet waits for. */
static void log_wait(struct failover *f, int64_t now_us)
{
	if (now_us - MAX(f->state_since_us, f->wait_logged_us) <
	    WAIT_LOG_INTERVAL_US)
		return;
	f->wait_logged_us = now_us;
	if (!endpoint_list_is_current(f->failovers->engine, now_us))
		log_failover(f, LOG_PROMOTION_WAITING,
			     now_us - f->state_since_us,
			     "the list of endpoints is not confirmed");
	for (guint i = 0; i < f->endpoints->len; i++) {
		const struct round_endpoint *ep = get_round_endpoint(f, i);

		if (!upstream_has_ended(ep->upstream) &&
		    (ep->was_primary || is_paused(f, ep)))
			continue;
		engine_log(f->failovers->engine, LOG_PROMOTION_WAITING, 0,
			   f->service->name, now_us - f->state_since_us,
			   "%s of %s%s",
			   !ep->has_report  ? "status report" :
			   is_paused(f, ep) ? "entry" :
					      "pause",
			   ep->upstream->entry.id,
			   get_entry_state(ep->upstream));
	}
}

/* Returns true if the round has left the service without a primary. */
static bool has_stepped_down(const struct failover *f)
{
	for (guint i = 0; i < f->endpoints->len; i++) {
		if (get_round_endpoint(f, i)->stepped_down)
			return true;
	}
	return false;
}

static void collect_reports(struct failover *f, int64_t now_us)
{
	uint32_t chosen = NO_INDEX;

	if (!find_failover_reason(f, now_us) && !has_stepped_down(f)) {
		log_failover(f, LOG_PROMOTION_FAILED,
			     now_us - f->state_since_us,
			     "no longer needed; replication resumes");
		/* Replication may have been paused on some replicas. */
		for (guint i = 0; i < f->endpoints->len; i++)
			get_round_endpoint(f, i)->has_report = false;
		set_state(f, FAILOVER_ADJUSTING, now_us);
		return;
	}
	/* The primary may have failed, or replicas cannot get its log. */
	if (now_us - MAX(f->stepped_down_us, f->state_since_us) >
		    CATCH_UP_TIMEOUT_US &&
	    !primary_still_leads(f, now_us))
		f->planned = false;
	add_round_endpoints(f);
	poll_endpoints(f, now_us);
	if (f->failovers->using_store ||
	    !endpoint_list_is_current(f->failovers->engine, now_us) ||
	    choose_primary(f, &chosen) != FAILOVER_CHOSEN) {
		log_wait(f, now_us);
		return;
	}
	g_strlcpy(f->chosen, get_round_endpoint(f, chosen)->upstream->entry.id,
		  sizeof(f->chosen));
	for (guint i = 0; i < f->endpoints->len; i++)
		log_counted_endpoint(f, get_round_endpoint(f, i), now_us);
	log_failover(f, LOG_PROMOTION_STEP, now_us - f->state_since_us,
		     "chose new primary");
	set_state(f, FAILOVER_SAVING_CHOICE, now_us);
	save_choice(f);
}

/* Returns true if a replica that stays can confirm commits. */
static bool has_staying_replica(const struct service *svc, int64_t now_us)
{
	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);

		if (u != svc->primary && upstream_is_usable(u) &&
		    !upstream_is_silent(u, now_us))
			return true;
	}
	return false;
}

/*
 * Returns true if replication to the endpoint is to be paused between rounds. A
 * leaving replica takes its log with it, so it must not be the only one that
 * confirms a commit.
 */
static bool should_be_paused(const struct service *svc,
			     const struct upstream *u, int64_t now_us)
{
	return svc->confirms_writes && u->entry.leaving && u != svc->primary &&
	       has_staying_replica(svc, now_us);
}

/*
 * Returns a hash that changes with the term, the processes of the service, those
 * that are to be paused and those that cannot be reached. Replication is
 * adjusted again then: an endpoint may come back as a round left it.
 */
static uint64_t hash_replication_state(const struct service *svc,
				       int64_t now_us)
{
	uint64_t hash = svc->term;

	for (guint i = 0; i < svc->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(svc->upstreams, i);
		uint64_t weight = 1;

		if (should_be_paused(svc, u, now_us))
			weight = 2;
		else if (u->expired)
			weight = 3;
		hash += weight *
			(upstream_id_hash(u) + (uint64_t)u->entry.started_ms);
	}
	return hash;
}

static void schedule_adjustment(struct failover *f, int64_t at_us)
{
	f->adjust_due = true;
	f->adjust_not_before_us = at_us;
}

static bool all_are_adjusted(const struct failover *f)
{
	for (guint i = 0; i < f->endpoints->len; i++) {
		if (!is_adjusted(f, get_round_endpoint(f, i)))
			return false;
	}
	return true;
}

/* Pauses and resumes replication as it should be between rounds. */
static void adjust_replication(struct failover *f, int64_t now_us)
{
	for (guint i = 0; i < f->endpoints->len; i++) {
		struct round_endpoint *ep = get_round_endpoint(f, i);

		ep->pause_wanted =
			should_be_paused(f->service, ep->upstream, now_us);
	}
	if (all_are_adjusted(f)) {
		f->adjust_due = false;
		end_round(f, now_us);
		f->not_before_us = now_us;
		return;
	}
	if (find_failover_reason(f, now_us) ||
	    now_us - f->state_since_us >= ADJUST_TIMEOUT_US) {
		/* A failover has priority; the rest is adjusted later. */
		end_round(f, now_us);
		f->not_before_us = now_us;
		schedule_adjustment(f, now_us + ADJUST_RETRY_US);
		return;
	}
	poll_endpoints(f, now_us);
}

static bool chosen_is_primary(const struct failover *f)
{
	const struct round_endpoint *ep = find_round_endpoint(f, f->chosen);

	return ep && ep->has_report && ep->report.role == ROLE_PRIMARY;
}

static void wait_for_promotion(struct failover *f, int64_t now_us)
{
	struct round_endpoint *ep = find_round_endpoint(f, f->chosen);

	if (chosen_is_primary(f)) {
		log_failover(f, LOG_PROMOTION_DONE, now_us - f->state_since_us,
			     "new primary is");
		engine_update_primary(f->failovers->engine, ep->upstream,
				      PRIMARY_CLAIM_CONFIRMED, "was promoted");
		unsettled_order_clear(&f->unsettled);
		end_round(f, now_us);
		/*
		 * The endpoint may have been promoted by an earlier order while
		 * replication was paused for this round.
		 */
		schedule_adjustment(f, now_us + POLL_INTERVAL_US);
		return;
	}
	add_round_endpoints(f);
	poll_endpoints(f, now_us);
	if (!f->order_pending && now_us - f->ordered_us >= ORDER_RETRY_US)
		send_order(f, now_us);
	if (!f->order_pending &&
	    now_us - f->state_since_us >= PROMOTION_TIMEOUT_US) {
		log_failover(f, LOG_PROMOTION_FAILED,
			     now_us - f->state_since_us,
			     "round ended: the promotion timed out:");
		record_unsettled_order(f);
		end_round(f, now_us);
	}
}

static bool adjustment_is_due(struct failover *f, int64_t now_us)
{
	uint64_t state = hash_replication_state(f->service, now_us);

	if (state != f->adjusted_state) {
		f->adjusted_state = state;
		schedule_adjustment(f, now_us);
	}
	return f->adjust_due && now_us >= f->adjust_not_before_us;
}

/* Remembers which endpoint the round may move the primary away from. */
static void begin_move(struct failover *f)
{
	const struct upstream *u = f->service->primary;

	g_strlcpy(f->move_tried, u ? u->entry.id : "", sizeof(f->move_tried));
	f->move_after_us = 0;
}

static void run_failover(struct failover *f, int64_t now_us)
{
	switch (f->state) {
	case FAILOVER_IDLE:
		f->reason = find_failover_reason(f, now_us);
		if (!f->reason && f->service->primary)
			unsettled_order_clear(&f->unsettled);
		if (!f->reason && adjustment_is_due(f, now_us)) {
			add_round_endpoints(f);
			f->term = f->service->term + 1;
			set_state(f, FAILOVER_ADJUSTING, now_us);
			break;
		}
		if (!f->reason || now_us < f->not_before_us ||
		    f->order_pending || f->save_pending)
			break;
		f->planned = f->service->primary &&
			     !f->service->primary->silent_since_us;
		begin_move(f);
		request_token(f, now_us);
		break;
	case FAILOVER_GETTING_TOKEN:
		break;
	case FAILOVER_COLLECTING:
		collect_reports(f, now_us);
		break;
	case FAILOVER_SAVING_CHOICE:
		break;
	case FAILOVER_PROMOTING:
		wait_for_promotion(f, now_us);
		break;
	case FAILOVER_ADJUSTING:
		adjust_replication(f, now_us);
		break;
	}
}

struct failure_reports *failovers_get_reports(struct failovers *fs)
{
	return fs->failure_reports;
}

void failover_handle_choice(struct failovers *fs, const struct store_item *item,
			    int64_t now_us)
{
	struct peer_choice choice = { .term = item->choice.term };

	promotion_choices_update(fs->choices, item);
	if (item->removed || !item->readable)
		return;
	g_strlcpy(choice.service, item->name, sizeof(choice.service));
	g_strlcpy(choice.endpoint, item->choice.endpoint,
		  sizeof(choice.endpoint));
	primary_fence_handle_choice(fs->engine, &choice, now_us);
}

const char *failovers_get_last_choice(const struct failovers *fs,
				      const char *service)
{
	return promotion_choices_last(fs->choices, service);
}

void failovers_run(struct failovers *fs, int64_t now_us)
{
	struct engine *e = fs->engine;
	bool has_duty = duty_is_held(e->duty, now_us);
	GHashTableIter it;
	gpointer svc;

	g_hash_table_iter_init(&it, e->services);
	while (g_hash_table_iter_next(&it, NULL, &svc)) {
		struct failover *f = get_or_create_failover(fs, svc);

		if (has_duty && !fs->had_duty) {
			f->adjust_due = true;
			f->term_known = false;
			unsettled_order_clear(&f->unsettled);
		}
		if (has_duty)
			run_failover(f, now_us);
		else if (f->state != FAILOVER_IDLE)
			end_round(f, now_us);
	}
	fs->had_duty = has_duty;
}

/* Asks an endpoint without an entry whether it is still paused. */
static void send_status_request(struct engine *e, struct upstream_conn *c,
				int64_t now_us)
{
	const struct proxy_message m = { .statement = PROXY_STATEMENT_STATUS };

	c->state = CONN_STATE_PROBING;
	upstream_conn_put_message(c, e->opts.wire, &m, CONN_REQUEST_REPORT,
				  now_us);
	upstream_conn_put_seal(c, e->opts.wire, now_us);
	engine_conn_flush(c);
}

void failover_handle_conn_ready(struct failovers *fs, struct upstream_conn *c,
				int64_t now_us)
{
	struct failover *f = get_or_create_failover(fs, c->upstream->service);
	struct round_endpoint *ep = find_round_endpoint_by_conn(f, c);

	if (ep)
		send_next_message(f, ep, now_us);
	else if (c == c->upstream->check_conn)
		send_status_request(fs->engine, c, now_us);
}

void failover_handle_conn_lost(struct failovers *fs, struct upstream_conn *c,
			       int64_t now_us)
{
	struct failover *f = get_or_create_failover(fs, c->upstream->service);
	struct round_endpoint *ep = find_round_endpoint_by_conn(f, c);

	if (ep)
		handle_control_conn_loss(ep);
}

static void record_step_down(struct failover *f, struct round_endpoint *ep,
			     int64_t now_us)
{
	if (!ep->was_primary || ep->report.role != ROLE_REPLICA)
		return;
	if (!ep->demote_sent) {
		/*
		 * It was a replica already before the round sent it DEMOTE.
		 * Another endpoint may have been the primary since then, and
		 * the log of this one need not cover what that one
		 * acknowledged. So it is treated like any other replica.
		 */
		ep->was_primary = false;
		return;
	}
	if (!ep->stepped_down)
		f->stepped_down_us = now_us;
	ep->stepped_down = true;
}

/*
 * Makes an endpoint the primary that the round replaces. It leads, but not in
 * the term of the round's order: it started again, or was not known before.
 */
static void set_replaced_primary(struct failover *f, struct round_endpoint *ep)
{
	for (guint i = 0; i < f->endpoints->len; i++)
		get_round_endpoint(f, i)->was_primary = false;
	ep->was_primary = true;
}

static bool is_to_step_down(const struct failover *f,
			    const struct round_endpoint *ep, int64_t now_us)
{
	return choose_next_message(f, ep, now_us).statement ==
	       PROXY_STATEMENT_DEMOTE;
}

static void record_upstream_report(struct upstream *u,
				   const struct upstream_report *r)
{
	u->received = position_max(u->received, r->received);
	u->paused_below_term = r->paused_below_term;
}

void failover_handle_report(struct failovers *fs, struct upstream_conn *c,
			    const struct upstream_report *r, int64_t now_us)
{
	struct failover *f = get_or_create_failover(fs, c->upstream->service);
	struct round_endpoint *ep = find_round_endpoint_by_conn(f, c);
	bool first_report;

	record_upstream_report(c->upstream, r);
	if (!ep)
		return;
	if (ep->presumed_primary) {
		ep->presumed_primary = false;
		ep->was_primary = false;
	}
	first_report = !ep->has_report;
	ep->has_report = true;
	ep->reported_us = now_us;
	ep->report = *r;
	f->service->term = MAX(f->service->term, r->term);
	f->term_known |= r->role == ROLE_PRIMARY;
	if (!ep->was_primary && r->role == ROLE_PRIMARY)
		engine_update_primary(fs->engine, c->upstream,
				      PRIMARY_CLAIM_CONFIRMED,
				      "reports primary role");
	if (f->state == FAILOVER_COLLECTING && r->role == ROLE_PRIMARY &&
	    !ep->was_primary && find_failover_reason(f, now_us))
		set_replaced_primary(f, ep);
	if ((f->state == FAILOVER_COLLECTING ||
	     f->state == FAILOVER_ADJUSTING) &&
	    r->term >= f->term)
		f->term = r->term + 1;
	record_step_down(f, ep, now_us);
	if ((f->state == FAILOVER_COLLECTING &&
	     (first_report || is_to_step_down(f, ep, now_us))) ||
	    (f->state == FAILOVER_ADJUSTING && first_report &&
	     !is_adjusted(f, ep)))
		send_next_message(f, ep, now_us);
}

void failover_handle_report_error(struct failovers *fs, struct upstream_conn *c,
				  enum answer_code code, int64_t now_us)
{
	/* Busy, or a malformed report: the next poll repeats the request. */
	engine_log(fs->engine, LOG_PROMOTION_STEP, 0, c->upstream->entry.id, 0,
		   "no status report: %s; the request is repeated",
		   answer_code_name(code));
}

void failover_remove_upstream(struct failovers *fs, const struct upstream *u)
{
	struct failover *f = get_or_create_failover(fs, u->service);

	for (guint i = 0; i < f->endpoints->len; i++) {
		struct round_endpoint *ep = get_round_endpoint(f, i);

		if (ep->upstream != u)
			continue;
		close_control_conn(ep);
		g_array_remove_index(f->endpoints, i);
		return;
	}
}
