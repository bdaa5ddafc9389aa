#include "proxy/quota.h"

#include "core/bucket.h"
#include "limits/size_class.h"
#include "proxy/quota_homes.h"

#include <errno.h>
#include <string.h>
#include <xxhash.h>

enum {
	OPERATION_MILLI = 1000,
	MILLI = 1000,
	PERCENT = 100,
	/* Percentage of the tolerance that serves as burst. */
	BURST_TOLERANCE_PERCENT = PERCENT - QUOTA_SURPLUS_PERCENT,
	/*
	 * A new process starts with half of the burst, as its predecessor may
	 * have spent all of it in the same window.
	 */
	INITIAL_TOKENS_PERCENT = 50,
	/* A new measurement of the demand counts for one fourth. */
	DEMAND_WEIGHT = 4,
	RETRY_MAX_US = 5000 * 1000,
	/* An even part of a tolerance below this hardly admits operations. */
	HOME_TOKENS_MIN_MILLI = 2 * OPERATION_MILLI,
	/*
	 * A home answers this many requests per second with a few percent of a
	 * core. Larger limits are divided, whatever the size of the fleet.
	 */
	HOME_RATE_MAX_MILLI = 500 * MILLI,
	/*
	 * Percentage of its tolerance with which a new home starts: several
	 * homes may have spent all of it shortly before.
	 */
	HOME_INITIAL_TOKENS_PERCENT = 10,
	/* Pause after no instance had an operation to lend. */
	NO_LENDER_MIN_US = 10 * 1000,
	NO_LENDER_MAX_US = 200 * 1000,
};

/* A part of a small limit, for when this instance is its home. */
struct quota_count {
	uint64_t hash;
	char zone[NAME_BYTES]; /* "": a half */
	struct bucket bucket;
	bool acting; /* this instance is its home and counts it */
};

/* The limit of a workspace at this instance. */
struct quota_row {
	char *name; /* the key of this row */
	uint64_t hash;
	uint32_t rate_milli_per_s; /* of the whole limit */
	uint32_t burst_milli;
	bool configured; /* in the current configuration */
	/* Counted by the homes of its parts; otherwise divided. */
	bool counted_at_homes;
	uint32_t zones_version; /* of its parts; 0: they are halves */
	/* When one of these last changed; INT64_MIN: never. */
	int64_t mode_since_us;
	struct quota_count parts[QUOTA_PARTS_MAX];
	uint32_t part_count;
	struct bucket bucket; /* for a divided limit */
	uint32_t granted_milli_per_s;
	int64_t granted_until_us;
	/* Tokens from before the limit was lowered; see retain_tokens(). */
	uint32_t retained_milli;
	int64_t retained_until_us;
	uint64_t requested_milli; /* operations since the last report */
	int64_t measured_since_us;
	uint32_t demand_milli_per_s;
	/* Whom to ask first for an operation of a divided limit, and when. */
	uint32_t first_lender;
	int64_t no_lender_until_us;
	uint32_t admitted; /* since quota_for_each() */
	uint32_t refused;
};

struct quota {
	struct quota_tolerance tolerance;
	GHashTable *rows; /* workspace name to struct quota_row */
	/* &hash of a workspace or a part to struct quota_row */
	GHashTable *by_hash;
	char instance[NAME_BYTES]; /* this instance */
	char zone[NAME_BYTES]; /* of this instance */
	struct quota_fleet fleet;
	struct size_class size_class;
	/* As recorded in the store; before, as listed. */
	struct zone_list zones;
	uint32_t zones_version; /* grows with each change of zones */
	uint32_t applied_version; /* by quota_set_fleet() */
	bool recorded;
	bool record_settled; /* as the store's record says of these */
	struct quota_homes *homes;
};

uint64_t quota_workspace_hash(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

uint64_t quota_half_hash(const char *workspace, uint32_t half)
{
	return XXH64(workspace, strlen(workspace), half + 1);
}

uint64_t quota_zone_part_hash(const char *workspace, const char *zone)
{
	return XXH64(zone, strlen(zone), quota_workspace_hash(workspace));
}

struct quota *quota_new(const struct quota_tolerance *tolerance,
			const char *instance, const char *zone)
{
	struct quota *q = g_new0(struct quota, 1);

	q->tolerance = *tolerance;
	q->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	q->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_strlcpy(q->instance, instance, sizeof(q->instance));
	g_strlcpy(q->zone, zone, sizeof(q->zone));
	q->homes = quota_homes_new(instance, zone);
	q->zones_version = 1;
	zone_list_add(&q->zones, zone);
	q->fleet.lease_until_us = INT64_MIN;

	q->fleet.confirmed_us = INT64_MIN;
	return q;
}

void quota_free(struct quota *q)
{
	g_hash_table_destroy(q->by_hash);
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

/* Returns by how much one window may exceed the limit. */
static uint64_t calculate_tolerance_milli(const struct quota *q,
					  const struct quota_row *r)
{
	uint64_t window_milli =
		(uint64_t)r->rate_milli_per_s *
			(uint64_t)(q->tolerance.window_us / US_PER_MS) / MILLI +
		r->burst_milli;

	return window_milli * q->tolerance.overrun_milli / MILLI +
	       q->tolerance.slack_milli;
}

static uint32_t get_instance_divisor(const struct quota *q)
{
	return MAX(q->fleet.instances, 1);
}

/* Returns this instance's part of the tolerance that serves as burst. */
static uint64_t calculate_local_burst_milli(const struct quota *q,
					    const struct quota_row *r)
{
	return calculate_tolerance_milli(q, r) * BURST_TOLERANCE_PERCENT /
	       PERCENT / get_instance_divisor(q);
}

static bool is_small(const struct quota *q, const struct quota_row *r)
{
	return r->rate_milli_per_s <= HOME_RATE_MAX_MILLI &&
	       calculate_tolerance_milli(q, r) * BURST_TOLERANCE_PERCENT /
			       PERCENT /
			       size_class_typical(q->size_class.number) <
		       HOME_TOKENS_MIN_MILLI;
}

/* Returns true once no instance can be using the limit in its previous mode. */
static bool is_settled(const struct quota *q, const struct quota_row *r,
		       int64_t now_us)
{
	return r->mode_since_us == INT64_MIN ||
	       now_us - r->mode_since_us >=
		       quota_home_settle_us(q->fleet.lease_ttl_us);
}

/*
 * Returns true while this instance knows how the others count, or they know
 * that it does not count any more.
 */
static bool knows_fleet(const struct quota_fleet *f, int64_t now_us)
{
	return now_us < f->lease_until_us && f->confirmed_us != INT64_MIN &&
	       now_us - f->confirmed_us <
		       quota_home_max_view_age_us(f->lease_ttl_us);
}

static const char *find_founder(const struct quota *q, int64_t now_us)
{
	return quota_homes_find_founder(q->homes, q->fleet.lease_ttl_us,
					now_us);
}

/*
 * Returns true if this instance is the founder. The others can't settle before
 * their entries are older than a lease, and this one's is older than theirs.
 */
static bool acts_as_founder(const struct quota *q, int64_t now_us)
{
	const struct quota_fleet *f = &q->fleet;

	return q->record_settled && f->entry_asked_us != INT64_MIN &&
	       f->confirmed_us >= f->entry_written_us &&
	       now_us - f->entry_asked_us <
		       quota_home_max_view_age_us(f->lease_ttl_us) &&
	       !g_strcmp0(find_founder(q, now_us), q->instance);
}

static bool acts_as_home(const struct quota *q, const struct quota_row *r,
			 const struct quota_count *c, int64_t now_us)
{
	const struct quota_fleet *f = &q->fleet;
	const struct quota_part part = { c->hash, c->zone };

	if (!r->counted_at_homes || !knows_fleet(f, now_us) ||
	    !is_settled(q, r, now_us))
		return false;
	if (!f->settled)
		return acts_as_founder(q, now_us);
	return now_us <
	       quota_homes_valid_until_us(q->homes, &part, f->lease_ttl_us);
}

static uint32_t calculate_local_rate(const struct quota *q,
				     const struct quota_row *r, int64_t now_us)
{
	uint64_t rate = (uint64_t)r->rate_milli_per_s * QUOTA_STANDING_PERCENT /
			PERCENT / get_instance_divisor(q);

	if (now_us < r->granted_until_us)
		rate += r->granted_milli_per_s;
	return (uint32_t)MIN(rate, r->rate_milli_per_s);
}

/* Returns the tokens that all parts of a small limit hold at most. */
static uint64_t calculate_home_burst_milli(const struct quota *q,
					   const struct quota_row *r)
{
	return r->burst_milli + calculate_tolerance_milli(q, r) *
					BURST_TOLERANCE_PERCENT / PERCENT;
}

static void update_part_bucket(const struct quota *q, struct quota_row *r,
			       struct quota_count *c, int64_t now_us)
{
	bool acted = c->acting;
	uint64_t capacity = calculate_home_burst_milli(q, r) / r->part_count;
	uint64_t initial = calculate_tolerance_milli(q, r) / r->part_count *
			   HOME_INITIAL_TOKENS_PERCENT / PERCENT;

	c->acting = acts_as_home(q, r, c, now_us);
	bucket_advance(&c->bucket, now_us);
	if (!c->acting) {
		bucket_resize(&c->bucket, 0, 0);
		return;
	}
	bucket_resize(&c->bucket, r->rate_milli_per_s / r->part_count,
		      (uint32_t)MIN(capacity, UINT32_MAX / 2));
	if (!acted)
		bucket_add(&c->bucket, (uint32_t)initial);
}

/* Returns the version of the zones that have parts of the limit, or 0. */
static uint32_t choose_zones_version(const struct quota *q,
				     const struct quota_row *r)
{
	uint32_t zones = q->zones.count;

	return zones >= QUOTA_HALVES &&
			       calculate_home_burst_milli(q, r) / zones >=
				       OPERATION_MILLI ?
		       q->zones_version :
		       0;
}

static void set_parts(struct quota *q, struct quota_row *r, const char *name,
		      int64_t now_us)
{
	bool zoned = r->zones_version != 0;

	for (uint32_t i = 0; i < r->part_count; i++)
		g_hash_table_remove(q->by_hash, &r->parts[i].hash);
	r->part_count = zoned ? q->zones.count : QUOTA_HALVES;
	for (uint32_t i = 0; i < r->part_count; i++) {
		struct quota_count *c = &r->parts[i];

		memset(c, 0, sizeof(*c));
		c->bucket.updated_us = now_us;
		if (zoned)
			g_strlcpy(c->zone, q->zones.names[i], sizeof(c->zone));
		c->hash = zoned ? quota_zone_part_hash(name, c->zone) :
				  quota_half_hash(name, i);
		g_hash_table_insert(q->by_hash, &c->hash, r);
	}
}

/*
 * Decides by the size and the zones of the fleet how the limit is counted.
 * Returns true if that changed.
 */
static bool choose_mode(struct quota *q, struct quota_row *r, int64_t now_us)
{
	bool counted_at_homes = !is_unlimited(r) && is_small(q, r);
	uint32_t version = counted_at_homes ? choose_zones_version(q, r) : 0;

	if (counted_at_homes == r->counted_at_homes &&
	    version == r->zones_version)
		return false;
	r->counted_at_homes = counted_at_homes;
	r->zones_version = version;
	set_parts(q, r, r->name, now_us);
	return true;
}

static void update_mode(struct quota *q, struct quota_row *r, int64_t now_us)
{
	if (!q->fleet.instances || !choose_mode(q, r, now_us))
		return;
	r->mode_since_us = now_us;
	r->granted_until_us = INT64_MIN;
	r->retained_until_us = INT64_MIN;
	bucket_clear(&r->bucket, now_us);
}

/* Updates rate and burst to the current limits, grants and fleet. */
static void update_bucket(struct quota *q, struct quota_row *r, int64_t now_us)
{
	uint64_t capacity;
	uint32_t rate;

	update_mode(q, r, now_us);
	if (r->counted_at_homes) {
		for (uint32_t i = 0; i < r->part_count; i++)
			update_part_bucket(q, r, &r->parts[i], now_us);
		return;
	}
	rate = calculate_local_rate(q, r, now_us);
	capacity = calculate_local_burst_milli(q, r);
	bucket_advance(&r->bucket, now_us);
	if (r->rate_milli_per_s)
		capacity +=
			(uint64_t)r->burst_milli * rate / r->rate_milli_per_s;
	if (now_us < r->retained_until_us)
		capacity = MAX(capacity, r->retained_milli);
	bucket_resize(&r->bucket, rate,
		      (uint32_t)MIN(capacity, UINT32_MAX / 2));
}

static struct quota_row *row_new(struct quota *q, const char *name,
				 int64_t now_us)
{
	struct quota_row *r = g_new0(struct quota_row, 1);

	r->hash = quota_workspace_hash(name);
	r->bucket.updated_us = now_us;
	r->measured_since_us = now_us;
	r->mode_since_us = INT64_MIN;
	r->name = g_strdup(name);
	g_hash_table_insert(q->rows, r->name, r);
	g_hash_table_insert(q->by_hash, &r->hash, r);
	set_parts(q, r, r->name, now_us);
	return r;
}

/*
 * A lowered limit refills at the new rate at once. Tokens earned under the
 * previous limit may still be spent for the length of a window, so that callers
 * are not cut off in the middle of their work.
 */
static void retain_tokens(struct quota *q, struct quota_row *r, int64_t now_us)
{
	update_bucket(q, r, now_us);
	r->retained_milli = r->bucket.level_milli;
	r->retained_until_us = now_us + q->tolerance.window_us;
}

/*
 * This process has counted nothing yet. Others that divide the limit may not
 * know yet that it is counted at homes, unless the record is settled.
 */
static void start_mode(const struct quota *q, struct quota_row *r,
		       int64_t now_us)
{
	r->mode_since_us =
		r->counted_at_homes && !q->record_settled ? now_us : INT64_MIN;
}

static void configure_row(struct quota *q, const struct workspace_config *w,
			  int64_t now_us)
{
	struct quota_row *r = g_hash_table_lookup(q->rows, w->name);
	bool is_new = !r;

	if (is_new)
		r = row_new(q, w->name, now_us);
	r->configured = true;
	if (!is_new && w->burst_milli < r->burst_milli && !is_unlimited(r))
		retain_tokens(q, r, now_us);
	r->rate_milli_per_s = w->rate_milli_per_s;
	r->burst_milli = w->burst_milli;
	if (is_unlimited(r))
		return;
	if (is_new) {
		choose_mode(q, r, now_us);
		start_mode(q, r, now_us);
	}
	update_bucket(q, r, now_us);
	if (is_new && !r->counted_at_homes)
		bucket_add(&r->bucket,
			   (uint32_t)(calculate_local_burst_milli(q, r) *
				      INITIAL_TOKENS_PERCENT / PERCENT));
}

void quota_configure(struct quota *q, const struct fleet_config *c,
		     int64_t now_us)
{
	GHashTableIter it;
	gpointer row;

	g_hash_table_iter_init(&it, q->rows);
	while (g_hash_table_iter_next(&it, NULL, &row))
		((struct quota_row *)row)->configured = false;
	for (guint i = 0; i < c->workspaces->len; i++)
		configure_row(q, g_ptr_array_index(c->workspaces, i), now_us);
}

static void update_rows(struct quota *q, int64_t now_us)
{
	GHashTableIter it;
	gpointer row;

	g_hash_table_iter_init(&it, q->rows);
	while (g_hash_table_iter_next(&it, NULL, &row))
		update_bucket(q, row, now_us);
}

void quota_set_fleet(struct quota *q, const struct quota_fleet *f,
		     int64_t now_us)
{
	bool same = f->instances == q->fleet.instances;
	bool fleet_was_unknown = !q->fleet.instances;
	GHashTableIter it;
	gpointer row;

	q->fleet = *f;
	if (same && q->applied_version == q->zones_version)
		return;
	q->applied_version = q->zones_version;
	size_class_count(&q->size_class, f->instances);
	update_rows(q, now_us);
	if (!fleet_was_unknown)
		return;
	g_hash_table_iter_init(&it, q->rows);
	while (g_hash_table_iter_next(&it, NULL, &row))
		start_mode(q, row, now_us);
}

/* The first record replaces the zones listed; later ones add to it. */
static bool record_zones(struct quota *q, const struct zone_list *zones)
{
	bool changed;

	if (q->recorded) {
		changed = zone_list_merge(&q->zones, zones);
	} else {
		changed = !zone_list_equal(&q->zones, zones);
		q->zones = *zones;
		q->recorded = true;
	}
	q->zones_version += changed;
	return changed;
}

void quota_set_record(struct quota *q, const struct limit_entry *l,
		      int64_t now_us)
{
	bool changed = size_class_record(&q->size_class, l->size_class);

	changed |= record_zones(q, &l->zones);
	if (l->size_class == q->size_class.number &&
	    zone_list_equal(&l->zones, &q->zones))
		q->record_settled = l->settled;
	if (changed)
		update_rows(q, now_us);
}

void quota_put_instance(struct quota *q, const struct instance_entry *e,
			int64_t position, int64_t absent_us, int64_t now_us)
{
	const struct quota_home_entry entry = { .instance = e->name,
						.zone = e->zone,
						.settled = e->settled,
						.absent_us = absent_us,
						.position = position,
						.seen_us = now_us };

	quota_homes_put(q->homes, &entry);
	if (!q->recorded && zone_list_add(&q->zones, e->zone))
		q->zones_version++;
}

void quota_remove_instance(struct quota *q, const char *instance)
{
	quota_homes_remove(q->homes, instance);
}

static int take_operation(struct quota_row *r, struct bucket *b,
			  int64_t *retry_us)
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

static const char *find_home(const struct quota *q, const struct quota_count *c)
{
	const struct quota_part part = { c->hash, c->zone };

	return quota_homes_find(q->homes, &part);
}

static bool is_founded_elsewhere(const struct quota *q, int64_t now_us)
{
	const char *founder = find_founder(q, now_us);

	return founder && strcmp(founder, q->instance) != 0;
}

/*
 * Takes an operation from a part that is counted here. Returns -EINPROGRESS if
 * that fails and another instance is the home of a part.
 */
static int take_from_parts(struct quota *q, struct quota_row *r, int64_t now_us,
			   int64_t *retry_us)
{
	bool elsewhere = false;
	int rc = -ESTALE;

	for (uint32_t i = 0; i < r->part_count; i++) {
		struct quota_count *c = &r->parts[i];

		if (c->acting) {
			rc = take_operation(r, &c->bucket, retry_us);
			if (!rc)
				return 0;
		}
		elsewhere |= strcmp(find_home(q, c), q->instance) != 0 ||
			     is_founded_elsewhere(q, now_us);
	}
	return elsewhere ? -EINPROGRESS : rc;
}

static uint32_t get_lenders(struct quota *q, const struct quota_row *r,
			    struct quota_source *out)
{
	const char *names[QUOTA_LENDERS_MAX];
	uint32_t n = quota_homes_list_others(q->homes, r->first_lender, names,
					     QUOTA_LENDERS_MAX);

	for (uint32_t i = 0; i < n; i++)
		out[i] = (struct quota_source){ .part = r->hash,
						.home = names[i] };
	return n;
}

uint32_t quota_get_sources(struct quota *q, const char *workspace,
			   int64_t now_us, struct quota_source *out)
{
	const struct quota_row *r = g_hash_table_lookup(q->rows, workspace);
	const char *founder = find_founder(q, now_us);
	uint32_t n = 0;

	if (r && !r->counted_at_homes)
		return get_lenders(q, r, out);
	for (uint32_t i = 0; r && i < r->part_count; i++) {
		const struct quota_count *c = &r->parts[i];
		struct quota_source s = { .part = c->hash, .home = founder };

		s.near = *c->zone && !strcmp(c->zone, q->zone);
		if (founder)
			out[n++] = s;
		s.home = find_home(q, c);
		s.after_founder = founder != NULL;
		if (g_strcmp0(s.home, founder) != 0)
			out[n++] = s;
	}
	return n;
}

/* Takes an operation from this instance's share of a divided limit. */
static int take_from_share(const struct quota *q, struct quota_row *r,
			   int64_t now_us, int64_t *retry_us)
{
	return is_settled(q, r, now_us) && knows_fleet(&q->fleet, now_us) ?
		       take_operation(r, &r->bucket, retry_us) :
		       -ESTALE;
}

int quota_take(struct quota *q, const char *workspace, int64_t now_us,
	       int64_t *retry_us)
{
	struct quota_row *r = g_hash_table_lookup(q->rows, workspace);
	int rc;

	if (!r || is_unlimited(r))
		return 0;
	r->requested_milli += OPERATION_MILLI;
	update_bucket(q, r, now_us);
	if (!q->fleet.instances || now_us >= q->fleet.lease_until_us)
		return -ESTALE;
	if (r->counted_at_homes)
		return take_from_parts(q, r, now_us, retry_us);
	rc = take_from_share(q, r, now_us, retry_us);
	return rc == -EAGAIN && now_us >= r->no_lender_until_us &&
			       q->fleet.instances > 1 ?
		       -EDQUOT :
		       rc;
}

void quota_note_no_lender(struct quota *q, const char *workspace,
			  int64_t now_us, int64_t retry_us)
{
	struct quota_row *r = g_hash_table_lookup(q->rows, workspace);

	if (!r || r->counted_at_homes)
		return;
	r->first_lender += QUOTA_LENDERS_MAX;
	r->no_lender_until_us =
		now_us + CLAMP(retry_us, NO_LENDER_MIN_US, NO_LENDER_MAX_US);
}

int quota_take_for_peer(struct quota *q, uint64_t part, int64_t now_us,
			int64_t *retry_us)
{
	struct quota_row *r = g_hash_table_lookup(q->by_hash, &part);

	if (!r || is_unlimited(r))
		return -ESTALE;
	update_bucket(q, r, now_us);
	if (part == r->hash && !r->counted_at_homes &&
	    now_us < q->fleet.lease_until_us)
		return take_from_share(q, r, now_us, retry_us);
	for (uint32_t i = 0; i < r->part_count; i++) {
		struct quota_count *c = &r->parts[i];

		if (c->hash == part && c->acting)
			return take_operation(r, &c->bucket, retry_us);
	}
	return -ESTALE;
}

void quota_count_refused(struct quota *q, const char *workspace)
{
	struct quota_row *r = g_hash_table_lookup(q->rows, workspace);

	if (r)
		r->refused++;
}

uint32_t quota_get_demand_milli_per_s(const struct quota *q,
				      const char *workspace)
{
	const struct quota_row *r = g_hash_table_lookup(q->rows, workspace);

	return r ? r->demand_milli_per_s : 0;
}

void quota_apply_grant(struct quota *q, uint64_t workspace,
		       uint32_t rate_milli_per_s, int64_t until_us,
		       int64_t now_us)
{
	struct quota_row *r = g_hash_table_lookup(q->by_hash, &workspace);

	if (!r || r->counted_at_homes)
		return;
	bucket_advance(&r->bucket, now_us);
	r->granted_milli_per_s = rate_milli_per_s;
	r->granted_until_us = until_us;
	update_bucket(q, r, now_us);
}

void quota_for_each(struct quota *q, int64_t now_us, quota_state_fn fn,
		    void *data)
{
	GHashTableIter it;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&it, q->rows);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		struct quota_row *r = value;
		struct quota_state s = { .workspace = name };

		if (is_unlimited(r) || !r->configured)
			continue;
		update_bucket(q, r, now_us);
		s.limit_milli_per_s = r->rate_milli_per_s;
		s.rate_milli_per_s = r->bucket.rate_milli_per_s;
		if (now_us < r->granted_until_us)
			s.granted_milli_per_s = r->granted_milli_per_s;
		s.level_milli = r->bucket.level_milli;
		for (uint32_t i = 0; r->counted_at_homes && i < r->part_count;
		     i++) {
			s.rate_milli_per_s +=
				r->parts[i].bucket.rate_milli_per_s;
			s.level_milli += r->parts[i].bucket.level_milli;
		}
		s.admitted = r->admitted;
		s.refused = r->refused;
		r->admitted = 0;
		r->refused = 0;
		fn(data, &s);
	}
}

static void update_demand(struct quota_row *r, int64_t now_us)
{
	int64_t took_us = MAX(now_us - r->measured_since_us, 1);
	int64_t rate = (int64_t)(r->requested_milli * (uint64_t)US_PER_S /
				 (uint64_t)took_us);
	int64_t before = r->demand_milli_per_s;

	r->demand_milli_per_s =
		(uint32_t)(before + (rate - before) / DEMAND_WEIGHT);
	r->requested_milli = 0;
	r->measured_since_us = now_us;
}

uint32_t quota_collect_needs(struct quota *q, struct quota_need *out,
			     uint32_t max, int64_t now_us)
{
	GHashTableIter it;
	gpointer row;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, q->rows);
	while (g_hash_table_iter_next(&it, NULL, &row)) {
		struct quota_row *r = row;
		uint32_t in_use;

		if (is_unlimited(r) || !r->configured || r->counted_at_homes)
			continue;
		update_demand(r, now_us);
		in_use = now_us < r->granted_until_us ? r->granted_milli_per_s :
							0;
		if ((!r->demand_milli_per_s && !in_use) || n == max)
			continue;
		out[n].workspace = r->hash;
		out[n].in_use_milli_per_s = in_use;
		out[n++].demand_milli_per_s = r->demand_milli_per_s;
	}
	return n;
}
