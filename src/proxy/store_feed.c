#include "proxy/store_feed.h"

#include <glib.h>
#include <string.h>

enum {
	/* After a failure; doubled each time, with jitter by the instance. */
	RETRY_US = 100 * 1000,
	RETRY_MAX_US = 400 * 1000,
	RENEWALS = 4, /* in one lease */
	/*
	 * All instances are woken by each change, and calls are limited and
	 * priced. So after a few in a row changes are taken together, and all
	 * instances make about so many calls a second for it: a fortieth of
	 * what a store for seven instances allows.
	 */
	WATCHES_PER_S = 50,
	WATCH_GAP_MIN_US = 250 * 1000,
	/* Half of the shortest time to apply a configuration. */
	WATCH_GAP_MAX_US = 1500 * 1000,
	WATCHES_IN_A_ROW = 4,
	/* Of the leader, one of which may be lost. */
	REPORTS_HEARD = 2,
	/* Clocks differ in rate by less than this part of a lease. */
	CLOCK_MARGIN_PERCENT = 2,
};

struct store_feed {
	struct store_feed_opts opts;

	/* Following the store. */
	GHashTable *calls; /* set of struct feed_call without an answer */
	uint64_t call; /* the last list or watch; earlier ones are void */
	int64_t list_revision; /* of the first page */
	int64_t list_asked_us;
	/* All changes up to it were passed on; 0 until the first list ends. */
	int64_t revision;
	int64_t due_us;
	int64_t watched_us; /* when the last watch was asked for */
	int64_t watch_gap_us;
	int64_t paced_us; /* when it was due, had all been that far apart */
	int64_t probed_us; /* when it asked last */
	int64_t behind_since_us; /* the store had a newer revision; 0: no */
	int64_t confirmed_us;

	/* The own entry. */
	uint64_t lease; /* 0: none */
	int64_t lease_until_us;
	int64_t lease_due_us;
	int64_t entered_us; /* when the entry was known to be there */
	int64_t entry_revision; /* as written by this process */
	/* What another process of this name left; 0: nothing. */
	int64_t left_revision;

	uint32_t failures; /* in a row */
	bool calling; /* a list or watch is under way */
	bool listed;
	bool probing;
	bool leads;
	bool reachable;
	bool reported;
	bool lease_calling;
	bool entry_written;
	bool settled; /* the entry says so */
	bool left_settled; /* so did the one that was left */
	bool taking_over; /* the write under way goes on from that */
	bool left;
	char list_after[256];
};

struct store_feed *store_feed_new(const struct store_feed_opts *opts)
{
	struct store_feed *f = g_new0(struct store_feed, 1);

	f->opts = *opts;
	f->calls = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	f->confirmed_us = INT64_MIN;
	f->watch_gap_us = WATCH_GAP_MIN_US;
	f->lease_until_us = INT64_MIN;
	return f;
}

void store_feed_free(struct store_feed *f)
{
	g_hash_table_destroy(f->calls);
	g_free(f);
}

static void report(struct store_feed *f, bool reachable, const char *why)
{
	if (f->reported && f->reachable == reachable)
		return;
	f->reported = true;
	f->reachable = reachable;
	f->opts.on_reachable(f->opts.data, reachable, why);
}

static int64_t retry_us(const struct store_feed *f)
{
	int64_t us = RETRY_US << MIN(f->failures, 3);

	us = MIN(us, RETRY_MAX_US);
	/* Instances that lost the store together return one by one. */
	return us + us * (int64_t)(f->opts.self.incarnation % 100) / 200;
}

static void failed(struct store_feed *f, enum store_outcome outcome)
{
	int64_t now_us = f->opts.now_us(f->opts.data);

	report(f, false,
	       outcome == STORE_UNKNOWN ? "no answer" : "refused the call");
	f->due_us = now_us + retry_us(f);
	f->failures++;
}

static void list_again(struct store_feed *f)
{
	f->listed = false;
	f->list_after[0] = '\0';
}

static void succeeded(struct store_feed *f)
{
	f->failures = 0;
	f->due_us = 0;
	report(f, true, "answers");
}

/* What a process of this name left is noted until this one writes. */
static void note_own(struct store_feed *f, const struct store_item *i)
{
	if (i->kind != ITEM_INSTANCE || strcmp(i->name, f->opts.self.name) != 0)
		return;
	if (i->removed || !i->readable ||
	    i->instance.incarnation == f->opts.self.incarnation) {
		f->left_revision = 0;
		return;
	}
	f->left_revision = i->revision;
	f->left_settled = i->instance.settled;
}

static void pass_on(struct store_feed *f, const struct store_answer *a)
{
	for (uint32_t i = 0; i < a->item_count; i++) {
		note_own(f, &a->items[i]);
		f->opts.on_item(f->opts.data, &a->items[i]);
	}
}

static void confirm(struct store_feed *f, int64_t asked_us)
{
	f->confirmed_us = MAX(f->confirmed_us, asked_us);
	f->opts.on_confirmed(f->opts.data, f->confirmed_us);
}

/* Which call an answer belongs to; a watch may have been given up. */
struct feed_call {
	struct store_feed *feed;
	uint64_t number;
};

static struct feed_call *begin_call(struct store_feed *f)
{
	struct feed_call *c = g_new0(struct feed_call, 1);

	c->feed = f;
	c->number = ++f->call;
	g_hash_table_add(f->calls, c);
	f->calling = true;
	return c;
}

/* Returns NULL if the call was given up. */
static struct store_feed *end_call(struct feed_call *c)
{
	struct store_feed *f = c->feed;
	bool given_up = c->number != f->call;

	g_hash_table_remove(f->calls, c);
	if (given_up)
		return NULL;
	f->calling = false;
	return f;
}

static void on_list(void *data, const struct store_answer *a)
{
	struct store_feed *f = end_call(data);

	if (!f)
		return;
	if (a->outcome != STORE_DONE) {
		f->list_after[0] = '\0';
		failed(f, a->outcome);
		return;
	}
	succeeded(f);
	if (!f->list_after[0]) {
		/* Later pages may be newer; the watch begins with the first. */
		f->list_revision = a->revision;
		f->list_asked_us = a->asked_us;
		f->opts.on_list(f->opts.data, false);
	}
	pass_on(f, a);
	g_strlcpy(f->list_after, a->more ? a->after : "",
		  sizeof(f->list_after));
	if (a->more)
		return;
	f->listed = true;
	f->revision = f->list_revision;
	f->opts.on_list(f->opts.data, true);
	confirm(f, f->list_asked_us);
}

static int64_t newest_revision(const struct store_answer *a)
{
	int64_t newest = 0;

	for (uint32_t i = 0; i < a->item_count; i++)
		newest = MAX(newest, a->items[i].revision);
	return newest;
}

static void on_watch(void *data, const struct store_answer *a)
{
	struct store_feed *f = end_call(data);

	if (!f)
		return;
	f->behind_since_us = 0;
	if (a->outcome == STORE_COMPACTED)
		list_again(f);
	if (a->outcome != STORE_DONE && a->outcome != STORE_COMPACTED) {
		failed(f, a->outcome);
		return;
	}
	succeeded(f);
	if (a->outcome == STORE_COMPACTED)
		return;
	pass_on(f, a);
	if (a->revision > MAX(newest_revision(a), f->revision)) {
		/* Changes that were not told: the history has a gap. */
		list_again(f);
		return;
	}
	f->revision = MAX(f->revision, a->revision);
	confirm(f, a->asked_us);
}

static int64_t follow_due_us(const struct store_feed *f)
{
	int64_t ahead_us = f->watch_gap_us * (WATCHES_IN_A_ROW - 1);

	return f->listed ? MAX(f->due_us, f->paced_us - ahead_us) : f->due_us;
}

static int64_t probe_due_us(const struct store_feed *f)
{
	int64_t after_us = f->opts.probe_us;

	/* What the leader asked for arrives with its next two answers. */
	if (!f->leads)
		after_us += REPORTS_HEARD * f->opts.report_us;
	return MAX(f->due_us,
		   MAX(MAX(f->confirmed_us, f->watched_us), f->probed_us) +
			   after_us);
}

static void follow(struct store_feed *f, int64_t now_us)
{
	if (f->calling || now_us < follow_due_us(f))
		return;
	if (f->listed) {
		f->watched_us = now_us;
		f->paced_us = MAX(f->paced_us, now_us) + f->watch_gap_us;
		f->opts.store->ops->watch(f->opts.store, f->revision,
					  f->opts.watch_us, on_watch,
					  begin_call(f));
	} else {
		f->opts.store->ops->list(f->opts.store, f->list_after, on_list,
					 begin_call(f));
	}
}

void store_feed_observe_revision(struct store_feed *f, int64_t revision,
				 int64_t at_us, int64_t now_us)
{
	if (!f->listed)
		return;
	/* One who lags as well is no proof against one who does not. */
	if (revision <= f->revision)
		confirm(f, at_us);
	else if (!f->behind_since_us)
		f->behind_since_us = now_us;
}

void store_feed_set_instances(struct store_feed *f, uint32_t instances)
{
	f->watch_gap_us = CLAMP(instances * US_PER_S / WATCHES_PER_S,
				WATCH_GAP_MIN_US, WATCH_GAP_MAX_US);
}

void store_feed_set_duty_held(struct store_feed *f, bool leads)
{
	f->leads = leads;
}

int64_t store_feed_revision(const struct store_feed *f)
{
	return f->revision;
}

static void on_probe(void *data, const struct store_answer *a)
{
	struct store_feed *f = data;

	f->probing = false;
	if (a->outcome != STORE_DONE) {
		failed(f, a->outcome);
		return;
	}
	succeeded(f);
	store_feed_observe_revision(f, a->revision, a->asked_us,
				    f->opts.now_us(f->opts.data));
}

/* When the watch under way should have told what is missing. */
static int64_t give_up_us(const struct store_feed *f)
{
	return f->watched_us < f->behind_since_us ?
		       f->behind_since_us + STORE_FEED_LAG_US :
		       f->watched_us + f->opts.call_us;
}

/* A watch that waits says nothing of what it may have missed. */
static void check_watch(struct store_feed *f, int64_t now_us)
{
	if (!f->listed || !f->calling)
		return;
	if (f->behind_since_us && now_us >= give_up_us(f)) {
		f->call++;
		f->calling = false;
		return;
	}
	if (f->probing || now_us < probe_due_us(f))
		return;
	f->probing = true;
	f->probed_us = now_us;
	f->opts.store->ops->probe(f->opts.store, on_probe, f);
}

static void lease_later(struct store_feed *f, int64_t delay_us)
{
	f->lease_due_us = f->opts.now_us(f->opts.data) + delay_us;
}

static void lose_lease(struct store_feed *f)
{
	f->lease = 0;
	f->entry_written = false;
	f->settled = false;
}

static void on_entry(void *data, const struct store_answer *a)
{
	struct store_feed *f = data;

	f->lease_calling = false;
	if (a->outcome == STORE_REFUSED)
		lose_lease(f);
	/* Without an answer it is written anew, and settles again. */
	f->entry_written = a->outcome == STORE_DONE;
	f->settled = f->entry_written && f->taking_over;
	f->left_revision = 0;
	if (f->entry_written) {
		f->entered_us = f->opts.now_us(f->opts.data);
		f->entry_revision = a->revision;
	}
	lease_later(f, f->entry_written ? f->opts.lease_ttl_us / RENEWALS :
					  RETRY_US);
}

static void on_settled(void *data, const struct store_answer *a)
{
	struct store_feed *f = data;

	f->lease_calling = false;
	if (a->outcome == STORE_DONE) {
		f->settled = true;
		f->entry_revision = a->revision;
	} else if (a->outcome == STORE_REFUSED) {
		lose_lease(f);
	}
	lease_later(f, RETRY_US);
}

static void note_lease(struct store_feed *f, const struct store_answer *a)
{
	int64_t ttl_us = a->ttl_us ? a->ttl_us : f->opts.lease_ttl_us;

	f->lease_until_us =
		a->asked_us + ttl_us - ttl_us * CLOCK_MARGIN_PERCENT / 100;
}

static void on_lease(void *data, const struct store_answer *a)
{
	struct store_feed *f = data;

	f->lease_calling = false;
	if (a->outcome != STORE_DONE) {
		lease_later(f, retry_us(f));
		return;
	}
	f->lease = a->lease;
	note_lease(f, a);
	lease_later(f, 0);
}

static void on_renewed(void *data, const struct store_answer *a)
{
	struct store_feed *f = data;

	f->lease_calling = false;
	if (a->outcome == STORE_REFUSED)
		lose_lease(f);
	if (a->outcome == STORE_DONE)
		note_lease(f, a);
	lease_later(f, a->outcome == STORE_DONE ?
			       f->opts.lease_ttl_us / RENEWALS :
			       RETRY_US);
}

static void write_entry(struct store_feed *f, store_answer_fn fn)
{
	struct instance_entry self = f->opts.self;
	struct store_change put = { .put_instance = &self,
				    .instance = self.name,
				    .lease = f->lease };

	f->taking_over =
		!f->entry_written && f->left_revision && f->left_settled;
	self.settled = f->entry_written || f->taking_over;
	put.if_instance = self.settled;
	put.instance_revision =
		f->entry_written ? f->entry_revision : f->left_revision;
	f->opts.store->ops->change(f->opts.store, &put, fn, f);
}

static bool settles_now(const struct store_feed *f, int64_t now_us)
{
	return f->entry_written && !f->settled &&
	       now_us - f->entered_us >= f->opts.settle_us;
}

static void keep_entry(struct store_feed *f, int64_t now_us)
{
	/* The list tells what an earlier process left. */
	if (f->left || !f->revision || f->lease_calling ||
	    now_us < f->lease_due_us)
		return;
	f->lease_calling = true;
	if (!f->lease)
		f->opts.store->ops->lease(f->opts.store, f->opts.lease_ttl_us,
					  on_lease, f);
	else if (!f->entry_written)
		write_entry(f, on_entry);
	else if (settles_now(f, now_us))
		write_entry(f, on_settled);
	else
		f->opts.store->ops->renew(f->opts.store, f->lease, on_renewed,
					  f);
}

void store_feed_run(struct store_feed *f, int64_t now_us)
{
	check_watch(f, now_us);
	follow(f, now_us);
	keep_entry(f, now_us);
}

int64_t store_feed_due_us(const struct store_feed *f)
{
	int64_t due = INT64_MAX;

	if (!f->calling)
		due = follow_due_us(f);
	else if (f->listed && !f->probing)
		due = probe_due_us(f);
	if (!f->left && !f->lease_calling)
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

int64_t store_feed_lease_end_us(const struct store_feed *f)
{
	return f->lease_until_us;
}

bool store_feed_is_settled(const struct store_feed *f, int64_t now_us)
{
	return f->entry_written && !f->left &&
	       (f->settled || now_us - f->entered_us >= f->opts.settle_us);
}

static void on_left(void *data, const struct store_answer *a)
{
	/* If it was not done, the entry ends with its lease. */
}

void store_feed_remove_entry(struct store_feed *f)
{
	if (f->left)
		return;
	f->left = true;
	if (f->lease)
		f->opts.store->ops->end_lease(f->opts.store, f->lease, on_left,
					      f);
}
