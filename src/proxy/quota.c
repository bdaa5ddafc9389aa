#include "proxy/quota.h"

#include "core/bucket.h"
#include "proxy/quota_homes.h"

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
	/* An even part that holds less serves hardly any operation. */
	HOME_TOKENS_MILLI = 2 * OPERATION_MILLI,
	/*
	 * A home answers so many asks a second in a few hundredths of a core;
	 * larger limits are divided whatever the fleet's size.
	 */
	HOME_RATE_MAX_MILLI = 500 * MILLI,
	/* Classes of the fleet's size: 3 to 11, 12 to 47, 48 to 191 ... */
	SIZE_CLASS_FIRST = 3,
	SIZE_CLASS_FACTOR = 4,
	/* A new home may follow on some that spent everything. */
	HOME_START_PERCENT = 10,
};

/* Half of a small limit, where this instance is its home. */
struct quota_half {
	uint64_t number;
	struct bucket bucket;
	bool acting; /* this instance is the home, and counts */
};

/* One workspace's limit here. */
struct quota_row {
	uint64_t number;
	uint32_t rate_milli_per_s; /* of the whole limit */
	uint32_t burst_milli;
	bool known; /* by the present configuration */
	bool homed; /* counted by the homes of its halves; else divided */
	int64_t homed_since_us; /* or divided since */
	struct quota_half halves[QUOTA_HALVES];
	struct bucket bucket; /* of a divided one */
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
	GHashTable *by_number; /* &number, of a half too, to struct quota_row */
	char instance[NAME_BYTES]; /* this one */
	struct quota_fleet fleet;
	struct quota_homes *homes;
};

uint64_t quota_workspace_number(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

uint64_t quota_half_number(const char *workspace, uint32_t half)
{
	return XXH64(workspace, strlen(workspace), half + 1);
}

struct quota *quota_new(const struct quota_tolerance *tolerance,
			const char *instance)
{
	struct quota *q = g_new0(struct quota, 1);

	q->tolerance = *tolerance;
	q->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	q->by_number = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_strlcpy(q->instance, instance, sizeof(q->instance));
	q->homes = quota_homes_new(instance);
	q->fleet.lease_until_us = INT64_MIN;

	q->fleet.confirmed_us = INT64_MIN;
	return q;
}

void quota_free(struct quota *q)
{
	g_hash_table_destroy(q->by_number);
	g_hash_table_destroy(q->rows);
	quota_homes_free(q->homes);
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

/* What the platform tolerates beyond the limit in one window. */
static uint64_t tolerated_milli(const struct quota *q,
				const struct quota_row *r)
{
	uint64_t window_milli =
		(uint64_t)r->rate_milli_per_s *
			(uint64_t)(q->tolerance.window_us / US_PER_MS) / MILLI +
		r->burst_milli;

	return window_milli * q->tolerance.overrun_milli / MILLI +
	       q->tolerance.slack_milli;
}

static uint32_t divisor(const struct quota *q)
{
	return MAX(q->fleet.instances, 1);
}

/* This instance's part of what may be used beyond the limit. */
static uint64_t extra_milli(const struct quota *q, const struct quota_row *r)
{
	return tolerated_milli(q, r) * TOLERANCE_PERCENT / PERCENT / divisor(q);
}

/* Returns a size in the middle of the class that the fleet is in. */
static uint32_t size_class(uint32_t instances)
{
	uint32_t low = SIZE_CLASS_FIRST;

	if (instances < low)
		return 1;
	while (instances / SIZE_CLASS_FACTOR >= low)
		low *= SIZE_CLASS_FACTOR;
	return low * SIZE_CLASS_FACTOR / 2;
}

static bool is_small(const struct quota *q, const struct quota_row *r)
{
	return r->rate_milli_per_s <= HOME_RATE_MAX_MILLI &&
	       tolerated_milli(q, r) * TOLERANCE_PERCENT / PERCENT /
			       size_class(q->fleet.instances) <
		       HOME_TOKENS_MILLI;
}

/* Nobody uses it the other way any more. */
static bool is_settled(const struct quota *q, const struct quota_row *r,
		       int64_t now_us)
{
	return r->homed_since_us == INT64_MIN ||
	       now_us - r->homed_since_us >=
		       quota_home_wait_us(q->fleet.lease_ttl_us);
}

static bool acts_as_home(const struct quota *q, const struct quota_row *r,
			 const struct quota_half *half, int64_t now_us)
{
	const struct quota_fleet *f = &q->fleet;

	return r->homed &&
	       now_us < quota_homes_until_us(q->homes, half->number,
					     f->lease_ttl_us) &&
	       is_settled(q, r, now_us) && now_us < f->lease_until_us &&
	       f->settled && f->confirmed_us != INT64_MIN &&
	       now_us - f->confirmed_us < quota_home_view_us(f->lease_ttl_us);
}

static uint32_t rate_here(const struct quota *q, const struct quota_row *r,
			  int64_t now_us)
{
	uint64_t rate = (uint64_t)r->rate_milli_per_s * QUOTA_STANDING_PERCENT /
			PERCENT / divisor(q);

	if (now_us < r->granted_until_us)
		rate += r->granted_milli_per_s;
	return (uint32_t)MIN(rate, r->rate_milli_per_s);
}

static void refresh_half(const struct quota *q, struct quota_row *r,
			 struct quota_half *h, int64_t now_us)
{
	bool acted = h->acting;
	uint64_t tolerated = tolerated_milli(q, r) / QUOTA_HALVES;
	uint64_t capacity = r->burst_milli / QUOTA_HALVES +
			    tolerated * TOLERANCE_PERCENT / PERCENT;

	h->acting = acts_as_home(q, r, h, now_us);
	bucket_advance(&h->bucket, now_us);
	if (!h->acting) {
		bucket_resize(&h->bucket, 0, 0);
		return;
	}
	bucket_resize(&h->bucket, r->rate_milli_per_s / QUOTA_HALVES,
		      (uint32_t)MIN(capacity, UINT32_MAX / 2));
	if (!acted)
		bucket_add(&h->bucket,
			   (uint32_t)(tolerated * HOME_START_PERCENT /
				      PERCENT));
}

/* Takes note of whether the limit is divided, by what is known now. */
static void choose_mode(const struct quota *q, struct quota_row *r,
			int64_t now_us)
{
	bool homed = !is_unlimited(r) && is_small(q, r);

	if (homed == r->homed || !q->fleet.instances)
		return;
	r->homed = homed;
	r->homed_since_us = now_us;
	r->granted_until_us = INT64_MIN;
	r->kept_until_us = INT64_MIN;
	bucket_clear(&r->bucket, now_us);
	for (uint32_t i = 0; i < QUOTA_HALVES; i++)
		r->halves[i].acting = false;
}

/* Brings rate and burst in line with limits, grants and the fleet. */
static void refresh(const struct quota *q, struct quota_row *r, int64_t now_us)
{
	uint64_t capacity;
	uint32_t rate;

	choose_mode(q, r, now_us);
	if (r->homed) {
		for (uint32_t i = 0; i < QUOTA_HALVES; i++)
			refresh_half(q, r, &r->halves[i], now_us);
		return;
	}
	rate = rate_here(q, r, now_us);
	capacity = extra_milli(q, r);
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
	r->homed_since_us = INT64_MIN;
	g_hash_table_insert(q->rows, g_strdup(name), r);
	g_hash_table_insert(q->by_number, &r->number, r);
	for (uint32_t i = 0; i < QUOTA_HALVES; i++) {
		r->halves[i].number = quota_half_number(name, i);
		r->halves[i].bucket.updated_us = now_us;
		g_hash_table_insert(q->by_number, &r->halves[i].number, r);
	}
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
	if (is_new)
		r->homed = is_small(q, r);
	refresh(q, r, now_us);
	if (is_new && !r->homed)
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

void quota_set_fleet(struct quota *q, const struct quota_fleet *f,
		     int64_t now_us)
{
	bool same = f->instances == q->fleet.instances;
	bool first = !q->fleet.instances;
	GHashTableIter it;
	gpointer value;

	q->fleet = *f;
	if (same)
		return;
	g_hash_table_iter_init(&it, q->rows);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct quota_row *r = value;

		refresh(q, r, now_us);
		/* Nothing was taken of it before. */
		if (first)
			r->homed_since_us = INT64_MIN;
	}
}

void quota_put_instance(struct quota *q, const struct instance_entry *e,
			int64_t absent_us)
{
	quota_homes_put(q->homes, e->name, e->settled, absent_us);
}

void quota_drop_instance(struct quota *q, const char *instance)
{
	quota_homes_leave(q->homes, instance);
}

const char *quota_home(struct quota *q, uint64_t half)
{
	return quota_homes_of(q->homes, half);
}

static int take(struct quota_row *r, struct bucket *b, int64_t *retry_us)
{
	if (!bucket_take(b, OPERATION_MILLI)) {
		bucket_commit(b, OPERATION_MILLI);
		r->admitted++;
		return 0;
	}
	*retry_us = bucket_wait_us(b, OPERATION_MILLI, b->rate_milli_per_s);
	if (*retry_us < 0 || *retry_us > RETRY_MAX_US)
		*retry_us = RETRY_MAX_US;
	return -EAGAIN;
}

/* Of a half that is counted here, or else by asking. */
static int take_half(struct quota *q, struct quota_row *r, int64_t *retry_us)
{
	bool elsewhere = false;
	int rc = -ESTALE;

	for (uint32_t i = 0; i < QUOTA_HALVES; i++) {
		struct quota_half *h = &r->halves[i];

		if (h->acting) {
			rc = take(r, &h->bucket, retry_us);
			if (!rc)
				return 0;
		}
		elsewhere |= strcmp(quota_home(q, h->number), q->instance) != 0;
	}
	return elsewhere ? -EINPROGRESS : rc;
}

int quota_take(struct quota *q, const char *workspace, int64_t now_us,
	       int64_t *retry_us)
{
	struct quota_row *r = g_hash_table_lookup(q->rows, workspace);

	if (!r || is_unlimited(r))
		return 0;
	r->asked_milli += OPERATION_MILLI;
	refresh(q, r, now_us);
	if (!q->fleet.instances || now_us >= q->fleet.lease_until_us)
		return -ESTALE;
	if (r->homed)
		return take_half(q, r, retry_us);
	return is_settled(q, r, now_us) ? take(r, &r->bucket, retry_us) :
					  -ESTALE;
}

int quota_take_for(struct quota *q, uint64_t half, int64_t now_us,
		   int64_t *retry_us)
{
	struct quota_row *r = g_hash_table_lookup(q->by_number, &half);

	if (!r || is_unlimited(r))
		return -ESTALE;
	refresh(q, r, now_us);
	for (uint32_t i = 0; i < QUOTA_HALVES; i++) {
		struct quota_half *h = &r->halves[i];

		if (h->number == half && h->acting)
			return take(r, &h->bucket, retry_us);
	}
	return -ESTALE;
}

void quota_note_refused(struct quota *q, const char *workspace)
{
	struct quota_row *r = g_hash_table_lookup(q->rows, workspace);

	if (r)
		r->refused++;
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

	if (!r || r->homed)
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
		for (uint32_t i = 0; r->homed && i < QUOTA_HALVES; i++) {
			s.rate_milli_per_s +=
				r->halves[i].bucket.rate_milli_per_s;
			s.level_milli += r->halves[i].bucket.level_milli;
		}
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

		if (is_unlimited(r) || !r->known || r->homed)
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
