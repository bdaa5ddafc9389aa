#include "proxy/limit_record.h"

#include "limits/size_class.h"
#include "proxy/engine_state.h"
#include "proxy/quota_homes.h"

enum {
	/* Instances that start together are counted together. */
	WRITE_DELAY_US = 1000 * 1000,
	WRITE_RETRY_US = 200 * 1000,
};

struct limit_record {
	struct engine *engine;
	/* The store's entry; .revision 0: none. */
	int64_t revision;
	struct limit_entry stored;
	bool readable; /* that entry is; otherwise .stored is zero */
	int64_t stored_since_us; /* when that revision was delivered */
	bool listed; /* the entry was in the list so far */
	struct limit_entry seen; /* highest class and all zones seen there */
	struct limit_entry wanted; /* what the entry should have */
	int64_t outdated_since_us; /* 0: it is not */
	int64_t write_not_before_us;
	bool write_pending;
};

struct limit_record *limit_record_new(struct engine *e)
{
	struct limit_record *r = g_new0(struct limit_record, 1);

	r->engine = e;
	return r;
}

void limit_record_free(struct limit_record *r)
{
	g_free(r);
}

static void forget_stored(struct limit_record *r, int64_t revision)
{
	const struct limit_entry none = { 0 };

	r->revision = revision;
	r->stored = none;
	r->readable = false;
}

void limit_record_handle_item(struct limit_record *r,
			      const struct store_item *item, int64_t now_us)
{
	struct engine *e = r->engine;

	r->listed |= !item->removed;
	if (item->revision == r->revision)
		return;
	if (item->removed || !item->readable) {
		engine_log(e, LOG_LIMIT_RECORD_UNREADABLE, 0, "limits",
			   item->revision,
			   "record of the limits is missing or malformed; "
			   "it is ignored");
		forget_stored(r, item->removed ? 0 : item->revision);
		return;
	}
	r->revision = item->revision;
	r->stored = item->limits;
	r->readable = true;
	r->stored_since_us = now_us;
	r->seen.size_class = MAX(r->seen.size_class, item->limits.size_class);
	zone_list_merge(&r->seen.zones, &item->limits.zones);
	quota_set_record(e->quota, &item->limits, now_us);
}

void limit_record_handle_list(struct limit_record *r, bool ends)
{
	if (ends && !r->listed)
		forget_stored(r, 0);
	if (!ends)
		r->listed = false;
}

static void on_written(void *data, const struct store_answer *a)
{
	struct limit_record *r = data;

	r->write_pending = false;
	/* The entry counts as stored once the store feed delivers it. */
	r->write_not_before_us =
		engine_now(r->engine) +
		(a->outcome == STORE_DONE ? WRITE_DELAY_US : WRITE_RETRY_US);
}

static void write_record(struct limit_record *r, bool settled)
{
	struct engine *e = r->engine;
	struct limit_entry entry = r->wanted;
	const struct store_change c = {
		.put_limits = &entry,
		.limits_revision = r->revision,
		.if_duty = true,
		.duty_revision = (int64_t)duty_token(e->duty),
	};

	entry.settled = settled;
	r->write_pending = true;
	engine_log(e, LOG_LIMIT_RECORD_WRITTEN, 0, "limits", entry.size_class,
		   "%u instances, %u zones, settled: %d", e->instance_count,
		   entry.zones.count, (int)settled);
	e->opts.store->ops->change(e->opts.store, &c, on_written, r);
}

static bool settle_is_due(const struct limit_record *r, int64_t now_us)
{
	return !r->stored.settled &&
	       now_us - r->stored_since_us >=
		       quota_home_settle_us(engine_lease_ttl_us(r->engine));
}

/* The entry should have what was seen there, and what is listed now. */
static void fill_wanted(const struct limit_record *r, struct limit_entry *out)
{
	const struct engine *e = r->engine;
	GHashTableIter it;
	gpointer instance;

	*out = r->seen;
	out->size_class =
		MAX(out->size_class, size_class_of(e->instance_count));
	zone_list_add(&out->zones, e->opts.zone);
	g_hash_table_iter_init(&it, e->instances);
	while (g_hash_table_iter_next(&it, NULL, &instance))
		zone_list_add(&out->zones,
			      ((struct instance_entry *)instance)->zone);
}

static bool counts_alike(const struct limit_entry *a,
			 const struct limit_entry *b)
{
	return a->size_class == b->size_class &&
	       zone_list_equal(&a->zones, &b->zones);
}

/* Determines whether the entry is outdated, and since when. */
static void compare_with_stored(struct limit_record *r, int64_t now_us)
{
	struct limit_entry wanted;

	fill_wanted(r, &wanted);
	if (r->readable && counts_alike(&r->stored, &wanted))
		r->outdated_since_us = 0;
	else if (!r->outdated_since_us || !counts_alike(&r->wanted, &wanted))
		r->outdated_since_us = now_us;
	r->wanted = wanted;
}

void limit_record_run(struct limit_record *r, int64_t now_us)
{
	if (!store_feed_revision(r->engine->feed))
		return;
	compare_with_stored(r, now_us);
	if (!duty_is_held(r->engine->duty, now_us) || r->write_pending ||
	    now_us < r->write_not_before_us)
		return;
	if (!r->outdated_since_us && settle_is_due(r, now_us))
		write_record(r, true);
	else if (r->outdated_since_us &&
		 now_us - r->outdated_since_us >= WRITE_DELAY_US)
		write_record(r, false);
}
