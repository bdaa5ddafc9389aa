#include "proxy/duty.h"

#include <glib.h>
#include <string.h>

enum {
	RETRY_US = 200 * 1000,
	/* Longer than a change takes to reach the others. */
	RANK_DELAY_US = 40 * 1000,
	RANKS_MAX = 10, /* later ones do not wait longer */
	RENEWALS = 4, /* in one lease */
	/* The lease is not relied on in its last part. */
	MARGIN_PERCENT = 10,
};

struct duty {
	struct duty_opts opts;
	/* As the store last said. */
	bool present;
	bool seen_in_list;
	struct duty_entry entry;
	int64_t revision;
	int64_t absent_since_us;

	uint64_t lease; /* 0: none */
	int64_t lease_until_us;
	uint64_t token; /* 0: not held */
	bool calling;
	bool drawing;
	int64_t due_us;
	bool resigned;
	bool told_held;
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

static int64_t now(const struct duty *d)
{
	return d->opts.now_us(d->opts.data);
}

static bool is_own(const struct duty *d)
{
	return d->present && !strcmp(d->entry.holder, d->opts.instance) &&
	       d->entry.incarnation == d->opts.incarnation;
}

static void tell(struct duty *d)
{
	bool held = duty_is_held(d, now(d));

	if (held == d->told_held)
		return;
	d->told_held = held;
	d->opts.on_change(d->opts.data, held);
}

static void lose(struct duty *d)
{
	d->token = 0;
	d->lease = 0;
	d->lease_until_us = INT64_MIN;
	tell(d);
}

void duty_handle_entry(struct duty *d, const struct store_item *item)
{
	if (item->revision < d->revision)
		return;
	d->revision = item->removed ? d->revision : item->revision;
	if (item->removed || !item->readable) {
		d->present = false;
		d->absent_since_us = now(d);
		if (d->token)
			lose(d);
		return;
	}
	d->present = true;
	d->seen_in_list = true;
	d->entry = item->duty;
	if (!is_own(d) && d->token)
		lose(d);
	else if (is_own(d) && d->lease)
		d->token = (uint64_t)item->revision;
	tell(d);
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
	d->absent_since_us = now(d);
	if (d->token)
		lose(d);
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

static void note_lease(struct duty *d, const struct store_answer *a)
{
	int64_t ttl_us = a->ttl_us ? a->ttl_us : d->opts.ttl_us;

	d->lease_until_us =
		a->asked_us + ttl_us - ttl_us * MARGIN_PERCENT / 100;
}

static void later(struct duty *d, int64_t delay_us)
{
	d->due_us = now(d) + delay_us;
}

static void on_taken(void *data, const struct store_answer *a)
{
	struct duty *d = data;
	bool drew = d->drawing;

	d->calling = false;
	d->drawing = false;
	later(d,
	      a->outcome == STORE_DONE ? d->opts.ttl_us / RENEWALS : RETRY_US);
	if (a->outcome == STORE_DONE) {
		d->token = (uint64_t)a->revision;
		d->revision = a->revision;
		d->present = true;
		g_strlcpy(d->entry.holder, d->opts.instance,
			  sizeof(d->entry.holder));
		d->entry.incarnation = d->opts.incarnation;
	} else if (a->outcome == STORE_REFUSED) {
		/* Another was first, or the lease has ended. */
		lose(d);
	}
	tell(d);
	if (drew)
		d->opts.on_token(d->opts.data,
				 a->outcome == STORE_DONE ? d->token : 0);
}

static void put(struct duty *d)
{
	struct duty_entry entry = { .incarnation = d->opts.incarnation };
	const struct store_change c = { .put_duty = &entry,
					.if_duty = true,
					.duty_revision =
						d->present ? d->revision : 0,
					.lease = d->lease };

	g_strlcpy(entry.holder, d->opts.instance, sizeof(entry.holder));
	d->calling = true;
	d->opts.store->ops->change(d->opts.store, &c, on_taken, d);
}

static void on_lease(void *data, const struct store_answer *a)
{
	struct duty *d = data;

	d->calling = false;
	if (a->outcome != STORE_DONE) {
		later(d, RETRY_US);
		return;
	}
	d->lease = a->lease;
	note_lease(d, a);
	later(d, 0);
}

static void on_renewed(void *data, const struct store_answer *a)
{
	struct duty *d = data;

	d->calling = false;
	if (a->outcome == STORE_REFUSED) {
		lose(d);
		later(d, RETRY_US);
		return;
	}
	if (a->outcome == STORE_DONE)
		note_lease(d, a);
	later(d,
	      a->outcome == STORE_DONE ? d->opts.ttl_us / RENEWALS : RETRY_US);
	tell(d);
}

/* Nobody has it, or an earlier process of this instance. */
static bool is_free(const struct duty *d)
{
	return !d->present || !strcmp(d->entry.holder, d->opts.instance);
}

void duty_run(struct duty *d, uint32_t rank, int64_t now_us)
{
	int64_t wait_us = (int64_t)MIN(rank, RANKS_MAX) * RANK_DELAY_US;

	if (d->token && !duty_is_held(d, now_us))
		lose(d);
	if (d->calling || d->resigned || now_us < d->due_us)
		return;
	if (d->token) {
		d->calling = true;
		d->opts.store->ops->renew(d->opts.store, d->lease, on_renewed,
					  d);
		return;
	}
	if (!is_free(d) || now_us < d->absent_since_us + wait_us)
		return;
	if (d->lease && now_us < d->lease_until_us) {
		put(d);
		return;
	}
	d->calling = true;
	d->opts.store->ops->lease(d->opts.store, d->opts.ttl_us, on_lease, d);
}

int64_t duty_due_us(const struct duty *d)
{
	if (d->calling || d->resigned)
		return INT64_MAX;
	if (!d->token && !is_free(d))
		return INT64_MAX;
	return d->due_us;
}

void duty_request_token(struct duty *d)
{
	if (d->calling || !d->token || !duty_is_held(d, now(d))) {
		d->opts.on_token(d->opts.data, 0);
		return;
	}
	d->drawing = true;
	put(d);
}

static void on_resigned(void *data, const struct store_answer *a)
{
	/* If it was not done, the entry ends with its lease. */
}

void duty_release(struct duty *d)
{
	if (d->resigned)
		return;
	d->resigned = true;
	if (d->lease)
		d->opts.store->ops->end_lease(d->opts.store, d->lease,
					      on_resigned, d);
	d->token = 0;
	tell(d);
}
