#include "proxy/failover.h"

#include "proxy/dispatch.h"
#include "proxy/engine_state.h"
#include "proxy/promotion_choices.h"
#include "proxy/failure_reports.h"
#include "proxy/failover_plan.h"

#include <string.h>

enum {
	STEP_US = 100 * 1000, /* a copy is asked again after this */
	ANSWER_US = 1000 * 1000, /* a control connection is given up */
	/*
	 * A planned change waits so long for the primary to step down, and then
	 * for its log to reach a copy, before the copies are stopped instead.
	 */
	CATCH_UP_US = 300 * 1000,
	/* A service without a known primary is surveyed after this. */
	UNKNOWN_US = 1000 * 1000,
	/* An ordered promotion that does not show is ordered again. */
	ORDER_AGAIN_US = 500 * 1000,
	/* A little more than two watches of a store that answers. */
	KNOWN_MAX_US = 2000 * 1000,
	/* The platform's promotions take up to a few seconds to show. */
	SETTLE_US = 4000 * 1000,
	/* A check gives up on copies that do not answer, and comes back. */
	CHECK_US = 1500 * 1000,
	CHECK_AGAIN_US = 2000 * 1000,
	/* After a round, until the next one of the service. */
	PAUSE_US = 1000 * 1000,
};

enum takeover_state {
	TAKEOVER_IDLE,
	TAKEOVER_DRAWING, /* a token */
	TAKEOVER_SURVEY, /* asks, stops and compares the copies */
	TAKEOVER_NOTING, /* writes its choice to the store */
	TAKEOVER_ORDERED, /* the promotion */
	TAKEOVER_CHECKING, /* that no copy is still held by an earlier round */
};

/* One copy in the present round. */
struct round_copy {
	struct upstream *upstream;
	struct upstream_conn *conn; /* NULL: none */
	int64_t asked_us;
	int64_t conn_us; /* when the connection was opened */
	bool reported;
	struct upstream_report report;
	bool was_primary;
	bool demote_sent; /* in this round */
	bool stepped_down; /* by that */
};

struct takeover {
	struct takeovers *owner;
	struct service *service;
	enum takeover_state state;
	const char *reason;
	bool planned; /* the primary works, but is leaving */
	uint64_t token;
	uint64_t term; /* the one after the newest that is known */
	GArray *copies; /* struct round_copy */
	int64_t since_us; /* of the state */
	int64_t stepped_down_us; /* the earlier primary; 0: not yet */
	char chosen[NAME_BYTES];
	bool ordering; /* a call is under way */
	bool noting; /* the same */
	int64_t ordered_us;
	int64_t not_before_us;
	/* The primary told its term since the duty was taken. */
	bool term_known;
	bool check_due; /* a round may have left copies that receive nothing */
	int64_t check_from_us;
};

struct takeovers {
	struct engine *engine;
	GHashTable *by_service; /* struct service to struct takeover */
	struct silence_views *views;
	struct promotion_choices *choices;
	struct takeover *storing; /* one call of a round at a time */
	bool was_held; /* the duty, at the last run */
};

static void takeover_free(gpointer p)
{
	struct takeover *t = p;

	g_array_free(t->copies, TRUE);
	g_free(t);
}

struct takeovers *takeovers_new(struct engine *e)
{
	struct takeovers *t = g_new0(struct takeovers, 1);

	t->engine = e;
	t->by_service = g_hash_table_new_full(NULL, NULL, NULL, takeover_free);
	t->views = silence_views_new();
	t->choices = promotion_choices_new();
	return t;
}

void takeovers_free(struct takeovers *t)
{
	g_hash_table_destroy(t->by_service);
	silence_views_free(t->views);
	promotion_choices_free(t->choices);
	g_free(t);
}

/* Returns why the service needs another primary, or NULL. */
static const char *need_of(const struct takeover *t, int64_t now_us)
{
	const struct takeovers *ts = t->owner;
	const struct service *svc = t->service;
	const struct upstream *u = svc->primary;

	if (!svc->upstreams->len)
		return NULL;
	if (!u)
		return now_us - svc->primary_lost_us >= UNKNOWN_US ?
			       "no primary is known" :
			       NULL;
	if (!u->listed)
		return "the primary's entry is gone";
	if (u->entry.leaving)
		return "the primary is leaving";
	if (silence_views_miss(ts->views, u, now_us))
		return "the primary does not answer";
	if (t->term_known &&
	    promotion_choices_open(ts->choices, svc->name, svc->term))
		return "an earlier order may still be carried out";
	return NULL;
}

static struct takeover *takeover_of(struct takeovers *ts, struct service *svc)
{
	struct takeover *t = g_hash_table_lookup(ts->by_service, svc);

	if (t)
		return t;
	t = g_new0(struct takeover, 1);
	t->owner = ts;
	t->service = svc;
	/* The duty may be held before the service is known. */
	t->check_due = true;
	t->copies = g_array_new(FALSE, TRUE, sizeof(struct round_copy));
	g_hash_table_insert(ts->by_service, svc, t);
	return t;
}

static void say(const struct takeover *t, enum log_event event, int64_t value,
		const char *what)
{
	engine_log(t->owner->engine, event, 0, t->service->name, value,
		   "%s%s%s", what, t->chosen[0] ? " " : "", t->chosen);
}

static struct round_copy *copy_at(const struct takeover *t, guint i)
{
	return &g_array_index(t->copies, struct round_copy, i);
}

static struct round_copy *copy_of_conn(const struct takeover *t,
				       const struct upstream_conn *c)
{
	for (guint i = 0; i < t->copies->len; i++) {
		if (copy_at(t, i)->conn == c)
			return copy_at(t, i);
	}
	return NULL;
}

static void drop_conn(struct round_copy *c)
{
	struct upstream_conn *conn = c->conn;

	c->conn = NULL;
	if (conn)
		dispatch_close(conn);
}

static void end_round(struct takeover *t, int64_t now_us)
{
	if (t->state == TAKEOVER_DRAWING && t->owner->storing == t)
		t->owner->storing = NULL;
	for (guint i = 0; i < t->copies->len; i++)
		drop_conn(copy_at(t, i));
	g_array_set_size(t->copies, 0);
	t->state = TAKEOVER_IDLE;
	t->chosen[0] = '\0';
	t->stepped_down_us = 0;
	t->not_before_us = now_us + PAUSE_US;
}

static void enter(struct takeover *t, enum takeover_state state, int64_t now_us)
{
	t->state = state;
	t->since_us = now_us;
}

static struct round_copy *copy_of(const struct takeover *t, const char *id)
{
	for (guint i = 0; i < t->copies->len; i++) {
		if (!strcmp(copy_at(t, i)->upstream->entry.id, id))
			return copy_at(t, i);
	}
	return NULL;
}

/* Takes in the copies that are known by now; some come during a round. */
static void add_copies(struct takeover *t)
{
	struct service *svc = t->service;
	bool is_start = !t->copies->len;

	for (guint i = 0; i < svc->upstreams->len; i++) {
		struct round_copy c = { 0 };

		c.upstream = g_ptr_array_index(svc->upstreams, i);
		if (copy_of(t, c.upstream->entry.id))
			continue;
		c.was_primary = is_start && c.upstream == svc->primary;
		g_array_append_val(t->copies, c);
	}
}

static void draw(struct takeover *t, int64_t now_us)
{
	if (t->owner->storing)
		return;
	t->owner->storing = t;
	enter(t, TAKEOVER_DRAWING, now_us);
	duty_draw_token(t->owner->engine->duty);
}

void takeover_token(struct takeovers *ts, uint64_t token, int64_t now_us)
{
	struct takeover *t = ts->storing;

	if (!t || t->noting)
		return;
	ts->storing = NULL;
	if (!token) {
		enter(t, TAKEOVER_IDLE, now_us);
		t->not_before_us = now_us + STEP_US;
		return;
	}
	t->token = token;
	t->term = t->service->term + 1;
	t->chosen[0] = '\0';
	t->stepped_down_us = 0;
	add_copies(t);
	enter(t, TAKEOVER_SURVEY, now_us);
	say(t, LOG_PROMOTION_STARTED, (int64_t)token, t->reason);
}

/*
 * Copies stay stopped until the primary has told its term: while an earlier
 * order is outstanding, nothing may be acknowledged that its choice lacks.
 */
static bool may_release(const struct takeover *t)
{
	return t->term_known || !t->service->confirms_writes;
}

/* What a copy is told or asked next. */
static struct own_message next_message(const struct takeover *t,
				       const struct round_copy *c)
{
	struct own_message m = { .statement = OWN_STATUS, .term = t->term };

	if (t->state == TAKEOVER_CHECKING && c->reported &&
	    c->report.held_term && may_release(t))
		m.statement = OWN_RELEASE;
	if (!c->reported || t->state != TAKEOVER_SURVEY)
		return m;
	if (c->report.role == ROLE_PRIMARY)
		/* Another one that leads already ends the round instead. */
		m.statement = c->was_primary ? OWN_DEMOTE : OWN_STATUS;
	else if (!t->planned)
		m.statement = OWN_HOLD;
	return m;
}

static void ask(struct takeover *t, struct round_copy *c, int64_t now_us)
{
	struct upstream_conn *conn = c->conn;
	const struct own_message m = next_message(t, c);

	if (conn->step_count || conn->state == CONN_STARTING)
		return;
	c->asked_us = now_us;
	c->demote_sent |= m.statement == OWN_DEMOTE;
	conn->state = CONN_PROBING;
	upstream_conn_put(conn, t->owner->engine->opts.wire, &m, STEP_REPORT,
			  now_us);
	engine_conn_flush(conn);
}

static void connect_copy(struct takeover *t, struct round_copy *c,
			 int64_t now_us)
{
	struct engine *e = t->owner->engine;

	c->conn = dispatch_open(e, c->upstream, e->opts.instance, true, now_us);
	c->conn_us = now_us;
	c->asked_us = now_us;
}

static void ask_copies(struct takeover *t, int64_t now_us)
{
	for (guint i = 0; i < t->copies->len; i++) {
		struct round_copy *c = copy_at(t, i);

		if (c->conn && c->conn->step_count &&
		    now_us - c->asked_us > ANSWER_US)
			drop_conn(c);
		if (!c->conn) {
			if (now_us - c->conn_us >= STEP_US)
				connect_copy(t, c, now_us);
		} else if (now_us - c->asked_us >= STEP_US) {
			ask(t, c, now_us);
		}
	}
}

static void on_order(void *data, enum promotion_outcome outcome)
{
	struct takeover *t = data;
	struct engine *e = t->owner->engine;
	int64_t now_us = engine_now(e);

	t->ordering = false;
	engine_log(e, LOG_PROMOTION_STEP, 0, t->service->name,
		   (int64_t)t->token, "order %s: outcome %d", t->chosen,
		   outcome);
	if (t->state != TAKEOVER_ORDERED)
		return;
	if (outcome == PROMOTION_REFUSED) {
		/* Fenced off, or it does not run: start over. */
		end_round(t, now_us);
		t->not_before_us = now_us + STEP_US;
	} else if (outcome != PROMOTION_ORDERED) {
		t->ordered_us = now_us - ORDER_AGAIN_US + STEP_US;
	}
}

static void order(struct takeover *t, int64_t now_us)
{
	struct engine *e = t->owner->engine;
	const struct promotion_order o = { .service = t->service->name,
					   .endpoint = t->chosen,
					   .holder = e->opts.instance,
					   .token = t->token };

	t->ordering = true;
	t->ordered_us = now_us;
	e->opts.promoter->ops->order(e->opts.promoter, &o, on_order, t);
}

static void on_noted(void *data, const struct store_answer *a)
{
	struct takeover *t = data;
	int64_t now_us = engine_now(t->owner->engine);

	t->noting = false;
	t->owner->storing = NULL;
	if (t->state != TAKEOVER_NOTING)
		return;
	if (a->outcome == STORE_DONE) {
		enter(t, TAKEOVER_ORDERED, now_us);
		order(t, now_us);
		return;
	}
	say(t, LOG_PROMOTION_FAILED, a->outcome, "the store did not take");
	/* It may be written later; the next token keeps that from counting. */
	end_round(t, now_us);
	t->not_before_us = now_us + STEP_US;
}

/* Writes the choice down, so that a later holder makes the same one. */
static void note_choice(struct takeover *t)
{
	struct engine *e = t->owner->engine;
	struct choice_entry entry = { .term = t->term };
	const struct store_change c = { .put_choice = &entry,
					.service = t->service->name,
					.if_duty = true,
					.duty_revision =
						(int64_t)duty_token(e->duty) };

	g_strlcpy(entry.endpoint, t->chosen, sizeof(entry.endpoint));
	t->noting = true;
	t->owner->storing = t;
	e->opts.store->ops->change(e->opts.store, &c, on_noted, t);
}

static bool is_held(const struct takeover *t, const struct round_copy *c)
{
	return c->reported && c->report.role == ROLE_REPLICA &&
	       c->report.held_term >= t->term;
}

static enum takeover_verdict choose(struct takeover *t, uint32_t *chosen)
{
	const struct engine *e = t->owner->engine;
	const char *named = promotion_choices_named(t->owner->choices,
						    t->service->name, t->term);
	struct takeover_copy *copies =
		g_newa0(struct takeover_copy, t->copies->len);

	for (guint i = 0; i < t->copies->len; i++) {
		const struct round_copy *c = copy_at(t, i);

		copies[i].was_primary = c->was_primary;
		copies[i].stepped_down = c->stepped_down;
		copies[i].held = is_held(t, c);
		copies[i].leaving = c->upstream->entry.leaving;
		copies[i].named = !g_strcmp0(named, c->upstream->entry.id);
		copies[i].local =
			!strcmp(c->upstream->entry.zone, e->opts.zone);
		copies[i].received = c->report.received;
	}
	return takeover_choose(copies, t->copies->len,
			       t->service->confirms_writes, chosen);
}

/*
 * A copy whose entry lapsed with the store may still come back; and what an
 * instance knew before it stood still is not what the store has.
 */
static bool knows_copies(const struct engine *e, int64_t now_us)
{
	return now_us >= e->entries_settle_us &&
	       store_feed_age_us(e->feed, now_us) <= KNOWN_MAX_US;
}

static void survey(struct takeover *t, int64_t now_us)
{
	uint32_t chosen = NO_INDEX;

	if (!need_of(t, now_us) && !t->stepped_down_us) {
		say(t, LOG_PROMOTION_FAILED, now_us - t->since_us,
		    "the primary is there again");
		/* The copies that were stopped have to receive again. */
		for (guint i = 0; i < t->copies->len; i++)
			copy_at(t, i)->reported = false;
		enter(t, TAKEOVER_CHECKING, now_us);
		return;
	}
	/* It may have died since, or its log does not get through. */
	if (now_us - MAX(t->stepped_down_us, t->since_us) > CATCH_UP_US)
		t->planned = false;
	add_copies(t);
	ask_copies(t, now_us);
	if (t->owner->storing || !knows_copies(t->owner->engine, now_us) ||
	    choose(t, &chosen) != TAKEOVER_CHOSEN)
		return;
	g_strlcpy(t->chosen, copy_at(t, chosen)->upstream->entry.id,
		  sizeof(t->chosen));
	say(t, LOG_PROMOTION_STEP, now_us - t->since_us, "chose");
	enter(t, TAKEOVER_NOTING, now_us);
	note_choice(t);
}

static bool all_are_released(const struct takeover *t)
{
	for (guint i = 0; i < t->copies->len; i++) {
		const struct round_copy *c = copy_at(t, i);

		if (!c->reported || c->report.held_term)
			return false;
	}
	return true;
}

/* Lets go of copies that an earlier round stopped and nobody promoted. */
static void check(struct takeover *t, int64_t now_us)
{
	if (all_are_released(t)) {
		t->check_due = false;
		end_round(t, now_us);
		t->not_before_us = now_us;
		return;
	}
	if (need_of(t, now_us) || now_us - t->since_us >= CHECK_US) {
		/* A takeover comes first; the rest is looked at again. */
		end_round(t, now_us);
		t->not_before_us = now_us;
		t->check_due = true;
		t->check_from_us = now_us + CHECK_AGAIN_US;
		return;
	}
	ask_copies(t, now_us);
}

static bool chosen_leads(const struct takeover *t)
{
	const struct round_copy *c = copy_of(t, t->chosen);

	return c && c->reported && c->report.role == ROLE_PRIMARY;
}

static void settle(struct takeover *t, int64_t now_us)
{
	struct round_copy *c = copy_of(t, t->chosen);

	if (chosen_leads(t)) {
		say(t, LOG_PROMOTION_DONE, now_us - t->since_us, "leads");
		engine_note_lead(t->owner->engine, c->upstream, LEAD_TAKEN,
				 "was promoted");
		end_round(t, now_us);
		/* An order of before may have won while copies were stopped. */
		t->check_due = true;
		t->check_from_us = now_us + STEP_US;
		return;
	}
	ask_copies(t, now_us);
	if (!t->ordering && now_us - t->ordered_us >= ORDER_AGAIN_US)
		order(t, now_us);
	if (!t->ordering && now_us - t->since_us >= SETTLE_US) {
		say(t, LOG_PROMOTION_FAILED, now_us - t->since_us,
		    "it does not lead");
		end_round(t, now_us);
	}
}

static void advance(struct takeover *t, int64_t now_us)
{
	switch (t->state) {
	case TAKEOVER_IDLE:
		t->reason = need_of(t, now_us);
		if (!t->reason && t->check_due && now_us >= t->check_from_us) {
			add_copies(t);
			enter(t, TAKEOVER_CHECKING, now_us);
			break;
		}
		if (!t->reason || now_us < t->not_before_us || t->ordering ||
		    t->noting)
			break;
		t->planned = t->service->primary &&
			     !t->service->primary->silent_since_us;
		draw(t, now_us);
		break;
	case TAKEOVER_DRAWING:
		break;
	case TAKEOVER_SURVEY:
		survey(t, now_us);
		break;
	case TAKEOVER_NOTING:
		break;
	case TAKEOVER_ORDERED:
		settle(t, now_us);
		break;
	case TAKEOVER_CHECKING:
		check(t, now_us);
		break;
	}
}

struct silence_views *takeovers_views(struct takeovers *ts)
{
	return ts->views;
}

void takeover_choice(struct takeovers *ts, const struct store_item *item)
{
	promotion_choices_observe(ts->choices, item);
}

void takeovers_run(struct takeovers *ts, int64_t now_us)
{
	struct engine *e = ts->engine;
	bool held = duty_is_held(e->duty, now_us);
	GHashTableIter it;
	gpointer svc;

	g_hash_table_iter_init(&it, e->services);
	while (g_hash_table_iter_next(&it, NULL, &svc)) {
		struct takeover *t = takeover_of(ts, svc);

		if (held && !ts->was_held) {
			t->check_due = true;
			t->term_known = false;
		}
		if (held)
			advance(t, now_us);
		else if (t->state != TAKEOVER_IDLE)
			end_round(t, now_us);
	}
	ts->was_held = held;
}

void takeover_conn_ready(struct takeovers *ts, struct upstream_conn *c,
			 int64_t now_us)
{
	struct takeover *t = takeover_of(ts, c->upstream->service);
	struct round_copy *copy = copy_of_conn(t, c);

	if (copy)
		ask(t, copy, now_us);
}

void takeover_conn_lost(struct takeovers *ts, struct upstream_conn *c,
			int64_t now_us)
{
	struct takeover *t = takeover_of(ts, c->upstream->service);
	struct round_copy *copy = copy_of_conn(t, c);

	if (copy)
		copy->conn = NULL;
}

static void note_step_down(struct takeover *t, struct round_copy *c,
			   int64_t now_us)
{
	if (!c->was_primary || c->report.role != ROLE_REPLICA)
		return;
	if (!c->demote_sent) {
		/*
		 * It led no more when the round began. Another may have led
		 * since, so its last position says nothing of what that one
		 * acknowledged: it counts as any replica.
		 */
		c->was_primary = false;
		return;
	}
	c->stepped_down = true;
	if (!t->stepped_down_us)
		t->stepped_down_us = now_us;
}

void takeover_report(struct takeovers *ts, struct upstream_conn *c,
		     const struct upstream_report *r, int64_t now_us)
{
	struct takeover *t = takeover_of(ts, c->upstream->service);
	struct round_copy *copy = copy_of_conn(t, c);
	bool first;

	if (!copy)
		return;
	first = !copy->reported;
	copy->reported = true;
	copy->report = *r;
	t->service->term = MAX(t->service->term, r->term);
	t->term_known |= r->role == ROLE_PRIMARY;
	if (!copy->was_primary && r->role == ROLE_PRIMARY)
		engine_note_lead(ts->engine, c->upstream, LEAD_TAKEN,
				 "reports that it leads");
	if (t->state == TAKEOVER_SURVEY && r->term >= t->term)
		t->term = r->term + 1;
	note_step_down(t, copy, now_us);
	if ((t->state == TAKEOVER_SURVEY &&
	     (first || r->role == ROLE_PRIMARY)) ||
	    (t->state == TAKEOVER_CHECKING && r->held_term && first))
		ask(t, copy, now_us);
}

void takeover_no_report(struct takeovers *ts, struct upstream_conn *c,
			enum answer_code code, int64_t now_us)
{
	/* Busy or unreadable: it is asked again with the next step. */
	engine_log(ts->engine, LOG_PROMOTION_STEP, 0, c->upstream->entry.id, 0,
		   "no report: %s", answer_code_name(code));
}

void takeover_forget(struct takeovers *ts, const struct upstream *u)
{
	struct takeover *t = takeover_of(ts, u->service);

	for (guint i = 0; i < t->copies->len; i++) {
		struct round_copy *c = copy_at(t, i);

		if (c->upstream != u)
			continue;
		drop_conn(c);
		g_array_remove_index(t->copies, i);
		return;
	}
}
