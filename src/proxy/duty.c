#include "proxy/duty.h"

#include <glib.h>
#include <string.h>

enum {
	RETRY_DELAY_US = 200 * 1000, /* after a failed call */
	/*
	 * Longer than a change of the store takes to reach the other instances,
	 * so that usually only one tries to take the duty.
	 */
	DELAY_PER_RANK_US = 40 * 1000,
	RANK_MAX = 10, /* higher ranks wait no longer than this one */
	RENEWALS_PER_LEASE = 4,
	/*
	 * Percentage of the lease by which the holder treats the duty as lost
	 * before the lease ends.
	 */
	LEASE_MARGIN_PERCENT = 10,
};

struct duty {
	struct duty_opts opts;
	/* The entry as last read from the store or written to it. */
	bool present;
	bool seen_in_list; /* since the last list began */
	struct duty_entry entry;
	int64_t revision;
	int64_t absent_since_us;

	uint64_t lease; /* 0: none */
	int64_t lease_until_us; /* end of the lease, less the margin */
	uint64_t token; /* 0: not held */
	bool call_pending; /* a call to the store has no answer yet */
	bool token_requested; /* the pending call answers a request */
	int64_t next_call_us;
	bool released;
	bool reported_held; /* last value given to on_change() */
};

struct duty *duty_new(const struct duty_opts *opts)
{
	struct duty *d = g_new0(struct duty, 1);

	d->opts = *opts;
	d->lease_until_us = INT64_MIN;
	return d;
}

void duty_free(struct duty *d)
{
	g_free(d);
}

static int64_t read_clock(const struct duty *d)
{
	return d->opts.now_us(d->opts.data);
}

static bool is_own_entry(const struct duty *d)
{
	return d->present && !strcmp(d->entry.holder, d->opts.instance) &&
	       d->entry.incarnation == d->opts.incarnation;
}

static void notify_change(struct duty *d)
{
	bool held = duty_is_held(d, read_clock(d));

	if (held == d->reported_held)
		return;
	d->reported_held = held;
	d->opts.on_change(d->opts.data, held);
}

static void clear_held(struct duty *d)
{
	d->token = 0;
	d->lease = 0;
	d->lease_until_us = INT64_MIN;
	notify_change(d);
}

void duty_handle_entry(struct duty *d, const struct store_item *item)
{
	if (item->revision < d->revision)
		return;
	d->revision = item->removed ? d->revision : item->revision;
	if (item->removed || !item->readable) {
		d->present = false;
		d->absent_since_us = read_clock(d);
		if (d->token)
			clear_held(d);
		return;
	}
	d->present = true;
	d->seen_in_list = true;
	d->entry = item->duty;
	if (!is_own_entry(d) && d->token)
		clear_held(d);
	else if (is_own_entry(d) && d->lease)
		d->token = (uint64_t)item->revision;
	notify_change(d);
}

void duty_handle_list(struct duty *d, bool ends)
{
	if (!ends) {
		d->seen_in_list = false;
		return;
	}
	if (d->seen_in_list)
		return;
	d->present = false;
	d->absent_since_us = read_clock(d);
	if (d->token)
		clear_held(d);
}

bool duty_is_held(const struct duty *d, int64_t now_us)
{
	return d->token && now_us < d->lease_until_us;
}

uint64_t duty_token(const struct duty *d)
{
	return d->token;
}

const char *duty_holder(const struct duty *d)
{
	return d->present ? d->entry.holder : "";
}

int64_t duty_position(const struct duty *d)
{
	return d->revision;
}

static void record_lease(struct duty *d, const struct store_answer *a)
{
	int64_t ttl_us = a->ttl_us ? a->ttl_us : d->opts.ttl_us;

	d->lease_until_us =
		a->requested_us + ttl_us - ttl_us * LEASE_MARGIN_PERCENT / 100;
}

static void schedule_call(struct duty *d, int64_t delay_us)
{
	d->next_call_us = read_clock(d) + delay_us;
}

static void on_entry_written(void *data, const struct store_answer *a)
{
	struct duty *d = data;
	bool requested = d->token_requested;
	enum store_outcome outcome;

	d->call_pending = false;
	d->token_requested = false;
	/* A write of an earlier era is undone, and so is its lease. */
	outcome = a->outcome == STORE_DONE && a->revision < d->revision ?
			  STORE_REFUSED :
			  a->outcome;
	schedule_call(d, outcome == STORE_DONE ?
				 d->opts.ttl_us / RENEWALS_PER_LEASE :
				 RETRY_DELAY_US);
	if (outcome == STORE_DONE) {
		d->token = (uint64_t)a->revision;
		d->revision = a->revision;
		d->present = true;
		g_strlcpy(d->entry.holder, d->opts.instance,
			  sizeof(d->entry.holder));
		d->entry.incarnation = d->opts.incarnation;
	} else if (outcome == STORE_REFUSED) {
		/* Another instance was first, or the lease has ended. */
		clear_held(d);
	}
	notify_change(d);
	if (requested)
		d->opts.on_token(d->opts.data,
				 outcome == STORE_DONE ? d->token : 0);
}

static void write_entry(struct duty *d)
{
	struct duty_entry entry = { .incarnation = d->opts.incarnation };
	const struct store_change c = { .put_duty = &entry,
					.if_duty = true,
					.duty_revision =
						d->present ? d->revision : 0,
					.lease = d->lease };

	g_strlcpy(entry.holder, d->opts.instance, sizeof(entry.holder));
	d->call_pending = true;
	d->opts.store->ops->change(d->opts.store, &c, on_entry_written, d);
}

static void on_lease_granted(void *data, const struct store_answer *a)
{
	struct duty *d = data;

	d->call_pending = false;
	if (a->outcome != STORE_DONE) {
		schedule_call(d, RETRY_DELAY_US);
		return;
	}
	d->lease = a->lease;
	record_lease(d, a);
	schedule_call(d, 0);
}

static void on_lease_renewed(void *data, const struct store_answer *a)
{
	struct duty *d = data;

	d->call_pending = false;
	if (a->outcome == STORE_REFUSED) {
		clear_held(d);
		schedule_call(d, RETRY_DELAY_US);
		return;
	}
	if (a->outcome == STORE_DONE)
		record_lease(d, a);
	schedule_call(d, a->outcome == STORE_DONE ?
				 d->opts.ttl_us / RENEWALS_PER_LEASE :
				 RETRY_DELAY_US);
	notify_change(d);
}

/* Returns true if there is no holder but an earlier process of this name. */
static bool can_take(const struct duty *d)
{
	return !d->present || !strcmp(d->entry.holder, d->opts.instance);
}

void duty_run(struct duty *d, uint32_t rank, int64_t now_us)
{
	int64_t rank_delay_us =
		(int64_t)MIN(rank, RANK_MAX) * DELAY_PER_RANK_US;

	if (d->token && !duty_is_held(d, now_us))
		clear_held(d);
	if (d->call_pending || d->released || now_us < d->next_call_us)
		return;
	if (d->token) {
		d->call_pending = true;
		d->opts.store->ops->renew(d->opts.store, d->lease,
					  on_lease_renewed, d);
		return;
	}
	if (!can_take(d) || now_us < d->absent_since_us + rank_delay_us)
		return;
	if (d->lease && now_us < d->lease_until_us) {
		write_entry(d);
		return;
	}
	d->call_pending = true;
	d->opts.store->ops->lease(d->opts.store, d->opts.ttl_us,
				  on_lease_granted, d);
}

int64_t duty_due_us(const struct duty *d)
{
	if (d->call_pending || d->released)
		return INT64_MAX;
	if (!d->token && !can_take(d))
		return INT64_MAX;
	return d->next_call_us;
}

void duty_request_token(struct duty *d)
{
	if (d->call_pending || !d->token || !duty_is_held(d, read_clock(d))) {
		d->opts.on_token(d->opts.data, 0);
		return;
	}
	d->token_requested = true;
	write_entry(d);
}

static void on_lease_ended(void *data, const struct store_answer *a)
{
	/* If the call failed, the entry expires with its lease. */
}

void duty_release(struct duty *d)
{
	if (d->released)
		return;
	d->released = true;
	if (d->lease)
		d->opts.store->ops->end_lease(d->opts.store, d->lease,
					      on_lease_ended, d);
	d->token = 0;
	notify_change(d);
}
