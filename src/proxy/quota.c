#include "proxy/quota.h"

#include "core/bucket.h"

#include <errno.h>
#include <string.h>
#include <xxhash.h>

enum {
	OPERATION_MILLI = 1000,
	MILLI = 1000,
	PERCENT = 100,
	/* Part of the tolerance that serves as burst. */
	TOLERANCE_PERCENT = PERCENT - QUOTA_SURPLUS_PERCENT,
	/*
	 * A new process starts with half of it: the one before it may have
	 * spent all of it in the same window.
	 */
	START_PERCENT = 50,
	/* Demand is averaged over a few reports. */
	DEMAND_WEIGHT = 4,
	RETRY_MAX_US = 5000 * 1000,
};

/* One workspace's bucket here. */
struct quota_row {
	uint64_t number;
	uint32_t rate_milli_per_s; /* of the whole limit */
	uint32_t burst_milli;
	bool known; /* by the present configuration */
	struct bucket bucket;
	uint32_t granted_milli_per_s;
	int64_t granted_until_us;
	/* Of before a limit was lowered; see keep_tokens(). */
	uint32_t kept_milli;
	int64_t kept_until_us;
	uint64_t asked_milli; /* since the last report */
	int64_t asked_since_us;
	uint32_t demand_milli_per_s;
	uint32_t admitted; /* since quota_each() */
	uint32_t refused;
};

struct quota {
	struct quota_tolerance tolerance;
	GHashTable *rows; /* name to struct quota_row */
	GHashTable *by_number; /* &number to struct quota_row */
	uint32_t instances;
	int64_t lease_until_us;
};

uint64_t quota_workspace_number(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

struct quota *quota_new(const struct quota_tolerance *tolerance)
{
	struct quota *q = g_new0(struct quota, 1);

	q->tolerance = *tolerance;
	q->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	q->by_number = g_hash_table_new(g_int64_hash, g_int64_equal);
	q->instances = 1;
	q->lease_until_us = INT64_MIN;
	return q;
}

void quota_free(struct quota *q)
{
	g_hash_table_destroy(q->by_number);
	g_hash_table_destroy(q->rows);
	g_free(q);
}

void quota_set_tolerance(struct quota *q,
			 const struct quota_tolerance *tolerance)
{
	q->tolerance = *tolerance;
}

static bool is_unlimited(const struct quota_row *r)
{
	return r->rate_milli_per_s == UINT32_MAX;
}

/* This instance's part of what may be used beyond the limit. */
static uint64_t extra_milli(const struct quota *q, const struct quota_row *r)
{
	uint64_t window_milli =
		(uint64_t)r->rate_milli_per_s *
			(uint64_t)(q->tolerance.window_us / US_PER_MS) / MILLI +
		r->burst_milli;
	uint64_t all = window_milli * q->tolerance.overrun_milli / MILLI +
		       q->tolerance.slack_milli;

	return all * TOLERANCE_PERCENT / PERCENT / q->instances;
}

static uint32_t rate_here(const struct quota *q, const struct quota_row *r,
			  int64_t now_us)
{
	uint64_t rate = (uint64_t)r->rate_milli_per_s * QUOTA_STANDING_PERCENT /
			PERCENT / q->instances;

	if (now_us < r->granted_until_us)
		rate += r->granted_milli_per_s;
	return (uint32_t)MIN(rate, r->rate_milli_per_s);
}

/* Brings rate and burst in line with limits, grants and the fleet. */
static void refresh(const struct quota *q, struct quota_row *r, int64_t now_us)
{
	uint32_t rate = rate_here(q, r, now_us);
	uint64_t capacity = extra_milli(q, r);

	bucket_advance(&r->bucket, now_us);
	if (r->rate_milli_per_s)
		capacity +=
			(uint64_t)r->burst_milli * rate / r->rate_milli_per_s;
	if (now_us < r->kept_until_us)
		capacity = MAX(capacity, r->kept_milli);
	bucket_resize(&r->bucket, rate,
		      (uint32_t)MIN(capacity, UINT32_MAX / 2));
}

static struct quota_row *row_new(struct quota *q, const char *name,
				 int64_t now_us)
{
	struct quota_row *r = g_new0(struct quota_row, 1);

	r->number = quota_workspace_number(name);
	r->bucket.updated_us = now_us;
	r->asked_since_us = now_us;
	g_hash_table_insert(q->rows, g_strdup(name), r);
	g_hash_table_insert(q->by_number, &r->number, r);
	return r;
}

/*
 * A lower limit refills at its lower rate at once. What was earned under the
 * earlier one may still be spent, for as long as a window of it lasts:
 * callers in the middle of their work are not cut off.
 */
static void keep_tokens(const struct quota *q, struct quota_row *r,
			int64_t now_us)
{
	refresh(q, r, now_us);
	r->kept_milli = r->bucket.level_milli;
	r->kept_until_us = now_us + q->tolerance.window_us;
}

static void configure_row(struct quota *q, const struct workspace_config *w,
			  int64_t now_us)
{
	struct quota_row *r = g_hash_table_lookup(q->rows, w->name);
	bool is_new = !r;

	if (is_new)
		r = row_new(q, w->name, now_us);
	r->known = true;
	if (!is_new && w->burst_milli < r->burst_milli && !is_unlimited(r))
		keep_tokens(q, r, now_us);
	r->rate_milli_per_s = w->rate_milli_per_s;
	r->burst_milli = w->burst_milli;
	if (is_unlimited(r))
		return;
	refresh(q, r, now_us);
	if (is_new)
		bucket_add(&r->bucket, (uint32_t)(extra_milli(q, r) *
						  START_PERCENT / PERCENT));
}

void quota_configure(struct quota *q, const struct fleet_config *c,
		     int64_t now_us)
{
	GHashTableIter it;
	gpointer row;

	g_hash_table_iter_init(&it, q->rows);
	while (g_hash_table_iter_next(&it, NULL, &row))
		((struct quota_row *)row)->known = false;
	for (guint i = 0; i < c->workspaces->len; i++)
		configure_row(q, g_ptr_array_index(c->workspaces, i), now_us);
}

void quota_set_fleet(struct quota *q, uint32_t instances,
		     int64_t lease_until_us, int64_t now_us)
{
	GHashTableIter it;
	gpointer row;

	q->lease_until_us = lease_until_us;
	if (instances == q->instances)
		return;
	q->instances = MAX(instances, 1);
	g_hash_table_iter_init(&it, q->rows);
	while (g_hash_table_iter_next(&it, NULL, &row))
		refresh(q, row, now_us);
}

int quota_take(struct quota *q, const char *workspace, int64_t now_us,
	       int64_t *retry_us)
{
	struct quota_row *r = g_hash_table_lookup(q->rows, workspace);

	if (!r || is_unlimited(r))
		return 0;
	r->asked_milli += OPERATION_MILLI;
	refresh(q, r, now_us);
	if (now_us >= q->lease_until_us)
		return -ESTALE;
	if (!bucket_take(&r->bucket, OPERATION_MILLI)) {
		bucket_commit(&r->bucket, OPERATION_MILLI);
		r->admitted++;
		return 0;
	}
	r->refused++;
	*retry_us = bucket_wait_us(&r->bucket, OPERATION_MILLI,
				   r->bucket.rate_milli_per_s);
	if (*retry_us < 0 || *retry_us > RETRY_MAX_US)
		*retry_us = RETRY_MAX_US;
	return -EAGAIN;
}

uint32_t quota_demand_milli_per_s(const struct quota *q, const char *workspace)
{
	const struct quota_row *r = g_hash_table_lookup(q->rows, workspace);

	return r ? r->demand_milli_per_s : 0;
}

void quota_grant(struct quota *q, uint64_t workspace, uint32_t rate_milli_per_s,
		 int64_t until_us, int64_t now_us)
{
	struct quota_row *r = g_hash_table_lookup(q->by_number, &workspace);

	if (!r)
		return;
	bucket_advance(&r->bucket, now_us);
	r->granted_milli_per_s = rate_milli_per_s;
	r->granted_until_us = until_us;
	refresh(q, r, now_us);
}

void quota_each(struct quota *q, int64_t now_us, quota_state_fn fn, void *data)
{
	GHashTableIter it;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&it, q->rows);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		struct quota_row *r = value;
		struct quota_state s = { .workspace = name };

		if (is_unlimited(r) || !r->known)
			continue;
		refresh(q, r, now_us);
		s.limit_milli_per_s = r->rate_milli_per_s;
		s.rate_milli_per_s = r->bucket.rate_milli_per_s;
		if (now_us < r->granted_until_us)
			s.granted_milli_per_s = r->granted_milli_per_s;
		s.level_milli = r->bucket.level_milli;
		s.admitted = r->admitted;
		s.refused = r->refused;
		r->admitted = 0;
		r->refused = 0;
		fn(data, &s);
	}
}

static void measure(struct quota_row *r, int64_t now_us)
{
	int64_t took_us = MAX(now_us - r->asked_since_us, 1);
	int64_t rate = (int64_t)(r->asked_milli * (uint64_t)US_PER_S /
				 (uint64_t)took_us);
	int64_t before = r->demand_milli_per_s;

	r->demand_milli_per_s =
		(uint32_t)(before + (rate - before) / DEMAND_WEIGHT);
	r->asked_milli = 0;
	r->asked_since_us = now_us;
}

uint32_t quota_needs(struct quota *q, struct quota_need *out, uint32_t max,
		     int64_t now_us)
{
	GHashTableIter it;
	gpointer row;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, q->rows);
	while (g_hash_table_iter_next(&it, NULL, &row)) {
		struct quota_row *r = row;
		uint32_t in_use;

		if (is_unlimited(r) || !r->known)
			continue;
		measure(r, now_us);
		in_use = now_us < r->granted_until_us ? r->granted_milli_per_s :
							0;
		if ((!r->demand_milli_per_s && !in_use) || n == max)
			continue;
		out[n].workspace = r->number;
		out[n].in_use_milli_per_s = in_use;
		out[n++].demand_milli_per_s = r->demand_milli_per_s;
	}
	return n;
}
