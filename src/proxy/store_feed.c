#include "proxy/store_feed.h"

#include "proxy/store_position.h"

#include <glib.h>
#include <string.h>

enum {
	/* Backoff after a failure: doubled each time, plus jitter. */
	RETRY_MIN_US = 100 * 1000,
	RETRY_MAX_US = 400 * 1000,
	RENEWALS_PER_LEASE = 4,
	/* Leaves several attempts before the lease ends. */
	LEASE_RETRY_MAX_US = 800 * 1000,
	/*
	 * Each change answers the pending watch of every instance, and calls to
	 * the store are rate limited and cost money. So after WATCH_BURST
	 * watches in quick succession, changes are collected: all instances
	 * together make about this many watches per second, a fortieth of what
	 * a store for seven instances allows.
	 */
	WATCHES_PER_S = 50,
	WATCH_GAP_MIN_US = 250 * 1000,
	/* Half of the shortest time allowed to apply a configuration. */
	WATCH_GAP_MAX_US = 1500 * 1000,
	WATCH_BURST = 4,
	/* Reports of the duty's holder to wait for; one of them may be lost. */
	REPORTS_AWAITED = 2,
	/* The holder sends no changes if as many reports are missing. */
	REPORTS_MISSING_MAX = 3,
	/* Maximum drift between two clocks, in percent of a lease. */
	CLOCK_MARGIN_PERCENT = 2,
};

struct store_feed {
	struct store_feed_opts opts;

	/* Following the store. */
	uint64_t call; /* pending list or watch; 0: none */
	int64_t list_revision; /* of the list's first page */
	int64_t list_requested_us; /* when that page was requested */
	/* All changes up to it were delivered; 0 until the first list ends. */
	int64_t revision;
	int64_t retry_due_us; /* end of the backoff; 0: none */
	int64_t watch_sent_us; /* when the last watch was sent */
	bool relay_lost; /* that watch was sent as reports stayed away */
	int64_t relayed_us; /* last report of the duty's holder */
	int64_t watch_gap_us; /* minimum average time between watches */
	/* When the next watch would be due if all were watch_gap_us apart. */
	int64_t paced_due_us;
	int64_t probe_sent_us; /* when the last probe was sent */
	/* Since when the feed is known to lack a revision; 0: it is not. */
	int64_t behind_since_us;
	int64_t behind_revision; /* the latest that it lacks */
	int64_t confirmed_us; /* nothing was missed up to then */
	int64_t answered_us; /* last sign of life of the store */

	/* Maintaining this instance's entry. */
	uint64_t lease; /* 0: none */
	int64_t lease_until_us; /* end of the lease, less the margin */
	int64_t lease_due_us; /* next call for the lease or the entry */
	int64_t entry_asked_us; /* when the write was sent */
	int64_t entry_written_us; /* when the write was answered */
	int64_t entry_revision; /* as written by this process */
	/* Revision of an entry left by a previous process; 0: none. */
	int64_t previous_revision;

	uint32_t era; /* latest of the store's eras; 0: not known */
	int64_t era_since_us; /* since when it is known */
	uint32_t failures; /* consecutive failed calls */
	uint32_t lease_failures; /* likewise, for the lease or the entry */
	bool listed; /* the list is complete; watches follow */
	bool probe_pending;
	bool duty_held; /* this instance holds the singleton duty */
	bool reachable; /* as last reported */
	bool reachable_reported; /* at least once */
	bool lease_call_pending;
	bool entry_written;
	bool settled; /* as written in the entry */
	bool previous_settled; /* that entry is settled */
	bool taking_over; /* the pending write replaces that entry */
	bool entry_removed;
	char list_after[256]; /* where the next page begins; "": the first */
};

struct store_feed *store_feed_new(const struct store_feed_opts *opts)
{
	struct store_feed *f = g_new0(struct store_feed, 1);

	f->opts = *opts;
	f->confirmed_us = INT64_MIN;
	f->answered_us = INT64_MIN;
	f->watch_gap_us = WATCH_GAP_MIN_US;
	f->lease_until_us = INT64_MIN;
	return f;
}

void store_feed_free(struct store_feed *f)
{
	g_free(f);
}

static void notify_reachable(struct store_feed *f, bool reachable,
			     const char *reason)
{
	if (f->reachable_reported && f->reachable == reachable)
		return;
	f->reachable_reported = true;
	f->reachable = reachable;
	f->opts.on_reachable(f->opts.data, reachable, reason);
}

static int64_t get_backoff_us(const struct store_feed *f, uint32_t failures,
			      int64_t max_us)
{
	int64_t us = RETRY_MIN_US << MIN(failures, 3);

	us = MIN(us, max_us);
	/* Jitter, so that the instances do not all retry at the same time. */
	return us + us * (int64_t)(f->opts.self.incarnation % 100) / 200;
}

static void handle_failure(struct store_feed *f, enum store_outcome outcome)
{
	int64_t now_us = f->opts.now_us(f->opts.data);

	notify_reachable(f, false,
			 outcome == STORE_UNKNOWN ?
				 "no answer; retrying" :
				 "the call failed; retrying");
	f->retry_due_us = now_us + get_backoff_us(f, f->failures, RETRY_MAX_US);
	f->failures++;
}

static void restart_list(struct store_feed *f)
{
	f->listed = false;
	f->list_after[0] = '\0';
}

static void clear_lease(struct store_feed *f)
{
	f->lease = 0;
	f->entry_written = false;
	f->settled = false;
}

/*
 * Records the era of an answer. In a new era the store lacks what it had
 * acknowledged last, and all leases: everything is listed and written again.
 * Nothing that was read before is taken back; see fleet_handle_item().
 */
static void record_era(struct store_feed *f, const struct store_answer *a)
{
	bool first = !f->era;

	if (a->era <= f->era)
		return;
	f->era = a->era;
	f->era_since_us = f->opts.now_us(f->opts.data);
	if (first)
		return;
	if (f->call)
		f->opts.store->ops->cancel(f->opts.store, f->call);
	f->call = 0;
	f->behind_since_us = 0;
	restart_list(f);
	clear_lease(f);
	/* The others no longer list this instance and count without it. */
	f->lease_until_us = INT64_MIN;
	f->previous_revision = 0;
	if (f->opts.on_restored)
		f->opts.on_restored(f->opts.data, f->era);
}

/* Returns true if the store has begun a later era since it answered. */
static bool is_outdated(const struct store_feed *f,
			const struct store_answer *a)
{
	return a->era && a->era < f->era;
}

static void handle_success(struct store_feed *f)
{
	f->answered_us = f->opts.now_us(f->opts.data);
	f->failures = 0;
	if (f->lease_failures) {
		f->lease_failures = 0;
		f->lease_due_us = f->answered_us;
	}
	f->retry_due_us = 0;
	notify_reachable(f, true, "the store answers");
}

/*
 * Remembers the entry that a previous process of this name left, until this
 * process writes its own.
 */
static void track_own_entry(struct store_feed *f, const struct store_item *i)
{
	if (i->kind != ITEM_INSTANCE || strcmp(i->name, f->opts.self.name) != 0)
		return;
	if (i->removed || !i->readable ||
	    i->instance.incarnation == f->opts.self.incarnation) {
		f->previous_revision = 0;
		return;
	}
	f->previous_revision = i->revision;
	/* In another zone it counts other parts; see quota_homes.h. */
	f->previous_settled = i->instance.settled &&
			      !strcmp(i->instance.zone, f->opts.self.zone);
}

static void deliver_items(struct store_feed *f, const struct store_answer *a)
{
	for (uint32_t i = 0; i < a->item_count; i++) {
		struct store_item *item = &a->items[i];

		/* It may have been passed on while the watch was pending. */
		if (f->listed && item->revision <= f->revision)
			continue;
		if (f->listed && f->opts.on_change)
			f->opts.on_change(f->opts.data, item->revision,
					  item->text);
		track_own_entry(f, item);
		f->opts.on_item(f->opts.data, item);
	}
}

static void record_confirmation(struct store_feed *f, int64_t requested_us)
{
	f->confirmed_us = MAX(f->confirmed_us, requested_us);
	f->opts.on_confirmed(f->opts.data, f->confirmed_us);
}

static void on_list_answer(void *data, const struct store_answer *a)
{
	struct store_feed *f = data;

	bool is_first_page = !f->list_after[0];

	f->call = 0;
	if (a->outcome != STORE_DONE || is_outdated(f, a)) {
		/* The same page is requested again. */
		handle_failure(f, a->outcome);
		return;
	}
	record_era(f, a);
	handle_success(f);
	if (!is_first_page && !f->list_after[0])
		return; /* the pages before it are of an earlier era */
	if (is_first_page) {
		/*
		 * Later pages may be newer, so the watch starts from the
		 * revision of the first one.
		 */
		f->list_revision = a->revision;
		f->list_requested_us = a->requested_us;
		f->opts.on_list(f->opts.data, false);
	}
	deliver_items(f, a);
	g_strlcpy(f->list_after, a->more ? a->after : "",
		  sizeof(f->list_after));
	if (a->more)
		return;
	f->listed = true;
	f->revision = f->list_revision;
	f->opts.on_list(f->opts.data, true);
	record_confirmation(f, f->list_requested_us);
}

static int64_t find_newest_revision(const struct store_answer *a)
{
	int64_t newest = 0;

	for (uint32_t i = 0; i < a->item_count; i++)
		newest = MAX(newest, a->items[i].revision);
	return newest;
}

static void on_watch_answer(void *data, const struct store_answer *a)
{
	struct store_feed *f = data;

	f->call = 0;
	f->behind_since_us = 0;
	f->relay_lost = false;
	if (a->outcome == STORE_COMPACTED)
		restart_list(f);
	if ((a->outcome != STORE_DONE && a->outcome != STORE_COMPACTED) ||
	    is_outdated(f, a)) {
		handle_failure(f, a->outcome);
		return;
	}
	record_era(f, a);
	handle_success(f);
	if (!f->listed)
		return;
	deliver_items(f, a);
	if (a->revision > MAX(find_newest_revision(a), f->revision)) {
		/* The watch missed changes: list everything again. */
		restart_list(f);
		return;
	}
	f->revision = MAX(f->revision, a->revision);
	record_confirmation(f, a->requested_us);
}

/* Returns the age of a confirmation at which the store is probed. */
static int64_t get_probe_age_us(const struct store_feed *f)
{
	/* The holder's confirmation arrives with one of its next reports. */
	return f->opts.probe_us +
	       (f->duty_held ? 0 : REPORTS_AWAITED * f->opts.report_us);
}

/*
 * Returns until when this instance need not watch, because the holder of the
 * duty passes changes on; INT64_MIN: it has to.
 */
static int64_t get_relayed_until_us(const struct store_feed *f)
{
	int64_t until_us = INT64_MAX;

	if (f->duty_held || !f->listed || !f->relayed_us)
		return INT64_MIN;
	/* The last watch has not delivered what the store is known to have. */
	if (!f->behind_since_us && f->behind_revision > f->revision)
		return INT64_MIN;
	if (f->behind_since_us)
		until_us = f->behind_since_us + STORE_FEED_LAG_US;
	until_us = MIN(until_us,
		       f->relayed_us + REPORTS_MISSING_MAX * f->opts.report_us);
	return MIN(until_us, f->confirmed_us + get_probe_age_us(f));
}

static int64_t get_list_or_watch_due_us(const struct store_feed *f)
{
	int64_t gap_us = f->duty_held ? WATCH_GAP_MIN_US : f->watch_gap_us;
	int64_t due_us = f->retry_due_us;

	if (!f->listed)
		return due_us;
	due_us = MAX(due_us, f->paced_due_us - gap_us * (WATCH_BURST - 1));
	return MAX(due_us, get_relayed_until_us(f));
}

static int64_t probe_due_us(const struct store_feed *f)
{
	int64_t since_us = MAX(f->confirmed_us, f->probe_sent_us);

	/* A watch that has changes to deliver confirms as well as a probe. */
	if (!f->relay_lost)
		since_us = MAX(since_us, f->watch_sent_us);
	return MAX(f->retry_due_us, since_us + get_probe_age_us(f));
}

static void send_list_or_watch(struct store_feed *f, int64_t now_us)
{
	if (f->call || now_us < get_list_or_watch_due_us(f))
		return;
	if (f->listed) {
		f->relay_lost = f->relayed_us != 0;
		f->watch_sent_us = now_us;
		f->paced_due_us =
			MAX(f->paced_due_us, now_us) +
			(f->duty_held ? WATCH_GAP_MIN_US : f->watch_gap_us);
		f->call = f->opts.store->ops->watch(f->opts.store, f->revision,
						    f->opts.watch_us,
						    on_watch_answer, f);
	} else {
		f->call = f->opts.store->ops->list(f->opts.store, f->list_after,
						   on_list_answer, f);
	}
}

void store_feed_apply_change(struct store_feed *f, const struct peer_change *c,
			     int64_t now_us)
{
	struct store_item item;

	if (!f->listed || c->after > f->revision ||
	    c->position <= f->revision ||
	    store_position_era(c->position) != f->era)
		return;
	if (!f->opts.store->ops->read_change(f->opts.store, c->text,
					     c->position, &item)) {
		if (f->opts.on_change)
			f->opts.on_change(f->opts.data, c->position, c->text);
		track_own_entry(f, &item);
		f->opts.on_item(f->opts.data, &item);
		f->revision = c->position;
		if (f->revision >= f->behind_revision)
			f->behind_since_us = 0;
	}
	store_item_clear(&item);
}

void store_feed_observe_revision(struct store_feed *f, int64_t revision,
				 int64_t at_us, int64_t now_us)
{
	if (!f->listed)
		return;
	if (now_us - at_us < get_probe_age_us(f))
		f->relayed_us = now_us;
	/*
	 * A report of a revision already delivered does not clear
	 * behind_since_us: the reporter may be behind the store as well.
	 */
	if (revision <= f->revision)
		record_confirmation(f, at_us);
	else if (!f->behind_since_us)
		f->behind_since_us = now_us;
	f->behind_revision = MAX(f->behind_revision, revision);
}

void store_feed_set_instances(struct store_feed *f, uint32_t instances)
{
	f->watch_gap_us = CLAMP(instances * US_PER_S / WATCHES_PER_S,
				WATCH_GAP_MIN_US, WATCH_GAP_MAX_US);
}

void store_feed_set_duty_held(struct store_feed *f, bool duty_held)
{
	f->duty_held = duty_held;
}

int64_t store_feed_revision(const struct store_feed *f)
{
	return f->revision;
}

static void on_probe_answer(void *data, const struct store_answer *a)
{
	struct store_feed *f = data;

	f->probe_pending = false;
	if (a->outcome != STORE_DONE) {
		handle_failure(f, a->outcome);
		return;
	}
	record_era(f, a);
	handle_success(f);
	store_feed_observe_revision(f, a->revision, a->requested_us,
				    f->opts.now_us(f->opts.data));
}

/* Returns when the pending watch should have delivered missing changes. */
static int64_t get_watch_deadline_us(const struct store_feed *f)
{
	return f->watch_sent_us < f->behind_since_us ?
		       f->behind_since_us + STORE_FEED_LAG_US :
		       f->watch_sent_us + f->opts.call_us;
}

static bool is_answer_arriving(const struct store_feed *f)
{
	return f->call &&
	       f->opts.store->ops->is_arriving(f->opts.store, f->call);
}

/*
 * A pending watch gives no sign of whether its connection is alive until its
 * answer begins to arrive: abandons it if changes are overdue, and probes the
 * store if it was not confirmed.
 */
static void check_call(struct store_feed *f, int64_t now_us)
{
	if (!f->call)
		return;
	if (is_answer_arriving(f)) {
		f->answered_us = now_us;
		return;
	}
	if (!f->listed)
		return;
	if (f->behind_since_us && now_us >= get_watch_deadline_us(f)) {
		f->opts.store->ops->cancel(f->opts.store, f->call);
		f->call = 0;
		if (f->opts.on_watch_abandoned)
			f->opts.on_watch_abandoned(f->opts.data,
						   now_us - f->watch_sent_us);
		return;
	}
	if (f->probe_pending || now_us < probe_due_us(f))
		return;
	f->probe_pending = true;
	f->probe_sent_us = now_us;
	f->opts.store->ops->probe(f->opts.store, on_probe_answer, f);
}

static void schedule_lease_call(struct store_feed *f, int64_t delay_us)
{
	f->lease_failures = 0;
	f->lease_due_us = f->opts.now_us(f->opts.data) + delay_us;
}

/*
 * Each instance fails on its own while the store refuses or is away, and every
 * call counts against the store's rate. The other calls show when it is back:
 * see handle_success().
 */
static void schedule_lease_retry(struct store_feed *f)
{
	uint32_t failures = f->lease_failures;

	schedule_lease_call(f, get_backoff_us(f, failures, LEASE_RETRY_MAX_US));
	f->lease_failures = failures + 1;
}

/* Schedules the next call for the lease or the entry after an answer. */
static void schedule_after(struct store_feed *f, enum store_outcome outcome,
			   int64_t done_us)
{
	if (outcome == STORE_DONE)
		schedule_lease_call(f, done_us);
	else if (outcome == STORE_REFUSED)
		schedule_lease_call(f, RETRY_MIN_US);
	else
		schedule_lease_retry(f);
}

static void on_entry_written(void *data, const struct store_answer *a)
{
	struct store_feed *f = data;

	f->lease_call_pending = false;
	record_era(f, a);
	if (a->outcome == STORE_REFUSED)
		clear_lease(f);
	/* After an unknown outcome the entry is written and settles again. */
	f->entry_written = a->outcome == STORE_DONE && f->lease;
	f->settled = f->entry_written && f->taking_over;
	f->previous_revision = 0;
	if (f->entry_written) {
		f->entry_asked_us = a->requested_us;
		f->entry_written_us = f->opts.now_us(f->opts.data);
		f->entry_revision = a->revision;
	}
	schedule_after(f, a->outcome,
		       f->opts.lease_ttl_us / RENEWALS_PER_LEASE);
}

static void on_entry_settled(void *data, const struct store_answer *a)
{
	struct store_feed *f = data;

	f->lease_call_pending = false;
	record_era(f, a);
	if (a->outcome == STORE_DONE) {
		f->settled = true;
		f->entry_revision = a->revision;
	} else if (a->outcome == STORE_REFUSED) {
		clear_lease(f);
	}
	schedule_after(f, a->outcome, RETRY_MIN_US);
}

static void record_lease(struct store_feed *f, const struct store_answer *a)
{
	f->answered_us = f->opts.now_us(f->opts.data);
	int64_t ttl_us = a->ttl_us ? a->ttl_us : f->opts.lease_ttl_us;

	f->lease_until_us =
		a->requested_us + ttl_us - ttl_us * CLOCK_MARGIN_PERCENT / 100;
}

static void on_lease_granted(void *data, const struct store_answer *a)
{
	struct store_feed *f = data;

	f->lease_call_pending = false;
	record_era(f, a);
	if (a->outcome != STORE_DONE || is_outdated(f, a)) {
		schedule_lease_retry(f);
		return;
	}
	f->lease = a->lease;
	record_lease(f, a);
	schedule_lease_call(f, 0);
}

static void on_lease_renewed(void *data, const struct store_answer *a)
{
	struct store_feed *f = data;
	bool renewed;

	f->lease_call_pending = false;
	record_era(f, a);
	renewed = a->outcome == STORE_DONE && f->lease && !is_outdated(f, a);
	if (a->outcome == STORE_REFUSED)
		clear_lease(f);
	if (renewed)
		record_lease(f, a);
	schedule_after(f,
		       renewed || a->outcome != STORE_DONE ? a->outcome :
							     STORE_REFUSED,
		       f->opts.lease_ttl_us / RENEWALS_PER_LEASE);
}

static void write_entry(struct store_feed *f, store_answer_fn fn)
{
	struct instance_entry self = f->opts.self;
	struct store_change put = { .put_instance = &self,
				    .instance = self.name,
				    .lease = f->lease };

	f->taking_over = !f->entry_written && f->previous_revision &&
			 f->previous_settled;
	self.settled = f->entry_written || f->taking_over;
	put.if_instance = self.settled;
	put.instance_revision =
		f->entry_written ? f->entry_revision : f->previous_revision;
	f->opts.store->ops->change(f->opts.store, &put, fn, f);
}

static bool settle_is_due(const struct store_feed *f, int64_t now_us)
{
	return f->entry_written && !f->settled &&
	       now_us - f->entry_written_us >= f->opts.settle_us;
}

static void maintain_entry(struct store_feed *f, int64_t now_us)
{
	/* The list shows whether a previous process left an entry. */
	if (f->entry_removed || !f->revision || f->lease_call_pending ||
	    now_us < f->lease_due_us)
		return;
	f->lease_call_pending = true;
	if (!f->lease)
		f->opts.store->ops->lease(f->opts.store, f->opts.lease_ttl_us,
					  on_lease_granted, f);
	else if (!f->entry_written)
		write_entry(f, on_entry_written);
	else if (settle_is_due(f, now_us))
		write_entry(f, on_entry_settled);
	else
		f->opts.store->ops->renew(f->opts.store, f->lease,
					  on_lease_renewed, f);
}

void store_feed_run(struct store_feed *f, int64_t now_us)
{
	check_call(f, now_us);
	send_list_or_watch(f, now_us);
	maintain_entry(f, now_us);
}

int64_t store_feed_due_us(const struct store_feed *f)
{
	int64_t due = INT64_MAX;

	if (!f->call)
		due = get_list_or_watch_due_us(f);
	else if (f->listed && !f->probe_pending && !is_answer_arriving(f))
		due = probe_due_us(f);
	if (!f->entry_removed && !f->lease_call_pending)
		due = MIN(due, f->lease_due_us);
	return due;
}

int64_t store_feed_confirmed_us(const struct store_feed *f)
{
	return f->confirmed_us;
}

int64_t store_feed_age_us(const struct store_feed *f, int64_t now_us)
{
	return f->confirmed_us == INT64_MIN ? INT64_MAX :
					      now_us - f->confirmed_us;
}

int64_t store_feed_answered_us(const struct store_feed *f)
{
	return f->answered_us;
}

int64_t store_feed_lease_end_us(const struct store_feed *f)
{
	return f->lease_until_us;
}

bool store_feed_is_settled(const struct store_feed *f, int64_t now_us)
{
	return f->entry_written && !f->entry_removed &&
	       (f->settled ||
		now_us - f->entry_written_us >= f->opts.settle_us);
}

/* A store in its first era has not come back from a copy yet. */
#define FIRST_ERA 1

int64_t store_feed_entry_asked_us(const struct store_feed *f, int64_t now_us)
{
	bool era_is_young = f->era > FIRST_ERA &&
			    now_us - f->era_since_us < f->opts.settle_us;

	return f->entry_written && !era_is_young ? f->entry_asked_us :
						   INT64_MIN;
}

int64_t store_feed_entry_written_us(const struct store_feed *f)
{
	return f->entry_written_us;
}

static void on_lease_ended(void *data, const struct store_answer *a)
{
	/* If the call failed, the entry expires with its lease. */
}

void store_feed_remove_entry(struct store_feed *f)
{
	if (f->entry_removed)
		return;
	f->entry_removed = true;
	if (f->lease)
		f->opts.store->ops->end_lease(f->opts.store, f->lease,
					      on_lease_ended, f);
}
