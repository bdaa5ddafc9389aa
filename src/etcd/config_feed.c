#include "etcd/config_feed.h"

#include "core/sizes.h"
#include "etcd/backoff.h"
#include "etcd/etcd_json.h"
#include "etcd/etcd_load.h"
#include "etcd/etcd_watch.h"
#include "etcd/key_table.h"
#include "etcd/record_codec.h"
#include "etcd/record_kv.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define SYNC_CHECK_INTERVAL_US US_PER_S
/* After an incomplete check; gives the watch time to deliver the changes. */
#define SYNC_RECHECK_INTERVAL_US (200 * US_PER_MS)
#define WATCH_LAG_MAX_US (400 * US_PER_MS)

enum {
	PREFIX_COUNT = 2,
	WATCH_REOPENS_MAX = 3, /* of a lagging watch, before a new load */
	SYNC_CHECK_KEYS_MAX = 100, /* a check with more changed keys fails */
};

/* One of the prefixes that the feed follows. */
struct watched_prefix {
	struct config_feed *feed;
	const char *prefix;
	/* Replaces `prefix` in a key to form the path of the record. */
	const char *path_prefix;
	struct key_table *keys; /* delivered, including rejected records */
	struct etcd_watch *watch;
	/* When checks began to find changes missing; 0: none is missing. */
	int64_t incomplete_since_us;
	uint32_t watch_reopens;
};

struct config_feed {
	struct config_feed_opts opts;
	struct watched_prefix prefixes[PREFIX_COUNT];
	struct etcd_load *load; /* in progress, or NULL */
	struct loop_timer *load_timer;
	struct loop_timer *check_timer;
	struct backoff load_backoff;
	bool check_pending; /* a check was sent and not answered yet */
	uint64_t load_generation; /* number of loads started */
	/* load_generation at the last check; older answers are dropped. */
	uint64_t check_generation;
};

static void start_load(struct config_feed *f);

static void emit_record(struct watched_prefix *p, enum event_type type,
			const struct record *r)
{
	struct event e = { .type = type, .record = r };

	p->feed->opts.on_event(p->feed->opts.data, &e);
}

static void write_record_path(const struct watched_prefix *p, const char *key,
			      char *out, size_t size)
{
	snprintf(out, size, "%s%s", p->path_prefix, key + strlen(p->prefix));
}

/*
 * Instance records exist only below the platform's prefix, which has a path
 * prefix, and all other kinds only below the proxy's own.
 */
static bool is_kind_allowed(const struct watched_prefix *p,
			    const struct record *r)
{
	return (r->kind == RECORD_INSTANCE) == (p->path_prefix[0] != '\0');
}

static void report_rejected_record(const struct watched_prefix *p,
				   const char *key, const char *reason)
{
	p->feed->opts.on_record_rejected(p->feed->opts.data, key, reason);
}

static void handle_put(struct watched_prefix *p, const struct etcd_kv *kv)
{
	char path[RECORD_PATH_BYTES];
	char reason[RECORD_REASON_BYTES];
	struct record r;

	if (!key_table_put(p->keys, kv->key, kv->mod_revision))
		return;
	write_record_path(p, kv->key, path, sizeof(path));
	if (record_from_kv(path, kv, &r, reason, sizeof(reason)))
		report_rejected_record(p, kv->key, reason);
	else if (!is_kind_allowed(p, &r))
		report_rejected_record(p, kv->key, "not below this prefix");
	else
		emit_record(p, EVENT_RECORD_PUT, &r);
}

static void handle_delete(struct watched_prefix *p, const char *key,
			  int64_t revision)
{
	char path[RECORD_PATH_BYTES];
	struct record r;

	if (!key_table_delete(p->keys, key, revision))
		return;
	write_record_path(p, key, path, sizeof(path));
	if (record_from_path(path, &r) || !is_kind_allowed(p, &r))
		return;
	r.revision = revision;
	emit_record(p, EVENT_RECORD_DELETED, &r);
}

static void on_watch_change(void *data, const struct etcd_kv *kv, bool deleted)
{
	struct watched_prefix *p = data;

	if (!g_str_has_prefix(kv->key, p->prefix))
		return;
	if (deleted)
		handle_delete(p, kv->key, kv->mod_revision);
	else
		handle_put(p, kv);
}

static void on_watch_compacted(void *data)
{
	struct watched_prefix *p = data;

	start_load(p->feed);
}

static void emit_synced(struct config_feed *f, int64_t revision,
			int64_t asked_us)
{
	struct event e = {
		.type = EVENT_CONFIG_SYNCED,
		.synced = { .revision = revision, .requested_us = asked_us },
	};

	f->opts.on_event(f->opts.data, &e);
}

static void schedule_sync_check(struct config_feed *f, int64_t interval_us)
{
	double jitter = g_rand_double_range(f->opts.rand, 0.9, 1.1);

	loop_timer_set(f->check_timer,
		       loop_now_us() + (int64_t)((double)interval_us * jitter));
}

/* Loading */

static struct watched_prefix *find_prefix(struct config_feed *f,
					  const char *key)
{
	for (int i = 0; i < PREFIX_COUNT; i++) {
		if (g_str_has_prefix(key, f->prefixes[i].prefix))
			return &f->prefixes[i];
	}
	return NULL;
}

static GHashTable *collect_keys(const GPtrArray *kvs)
{
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < kvs->len; i++) {
		const struct etcd_kv *kv = g_ptr_array_index(kvs, i);

		g_hash_table_add(keys, kv->key);
	}
	return keys;
}

/*
 * Delivers the deletion of keys that the load did not find: they were deleted
 * while no watch was running. The revision of the deletion is unknown, so the
 * revision of the load is used. Loaded keys have no higher revision, so they
 * are delivered first.
 */
static void delete_missing_keys(struct watched_prefix *p, GHashTable *loaded,
				int64_t revision)
{
	GPtrArray *missing = key_table_list_missing(p->keys, loaded);

	for (guint i = 0; i < missing->len; i++)
		handle_delete(p, g_ptr_array_index(missing, i), revision);
	g_ptr_array_unref(missing);
}

static void handle_loaded_keys(struct config_feed *f,
			       const struct etcd_load_result *r)
{
	GHashTable *loaded = collect_keys(r->kvs);

	for (guint i = 0; i < r->kvs->len; i++) {
		const struct etcd_kv *kv = g_ptr_array_index(r->kvs, i);
		struct watched_prefix *p = find_prefix(f, kv->key);

		if (p)
			handle_put(p, kv);
	}
	for (int i = 0; i < PREFIX_COUNT; i++)
		delete_missing_keys(&f->prefixes[i], loaded, r->revision);
	g_hash_table_destroy(loaded);
}

static void on_loaded(void *data, const struct etcd_load_result *r)
{
	struct config_feed *f = data;

	f->load = NULL;
	if (r->error) {
		int64_t delay_us =
			backoff_next_us(&f->load_backoff, f->opts.rand);

		loop_timer_set(f->load_timer, loop_now_us() + delay_us);
		return;
	}
	backoff_reset(&f->load_backoff);
	handle_loaded_keys(f, r);
	for (int i = 0; i < PREFIX_COUNT; i++) {
		f->prefixes[i].incomplete_since_us = 0;
		f->prefixes[i].watch_reopens = 0;
		etcd_watch_start(f->prefixes[i].watch, r->revision);
	}
	emit_synced(f, r->revision, r->asked_us);
	schedule_sync_check(f, SYNC_CHECK_INTERVAL_US);
}

static void start_load(struct config_feed *f)
{
	struct etcd_load_opts opts = {
		.etcd = f->opts.etcd,
		.prefix_count = PREFIX_COUNT,
		.on_done = on_loaded,
		.data = f,
	};

	if (f->load)
		return;
	f->load_generation++;
	loop_timer_set(f->check_timer, -1);
	for (int i = 0; i < PREFIX_COUNT; i++) {
		etcd_watch_stop(f->prefixes[i].watch);
		opts.prefixes[i] = f->prefixes[i].prefix;
	}
	f->load = etcd_load_start(&opts);
}

static void on_load_timer(void *data, int64_t now_us)
{
	start_load(data);
}

/* Sync checks */

static bool are_changes_delivered(const struct watched_prefix *p,
				  const json_t *kvs)
{
	const json_t *j;
	size_t i;

	json_array_foreach(kvs, i, j)
	{
		struct etcd_kv kv;
		bool delivered;

		if (!etcd_kv_read(j, &kv))
			return false;
		delivered = key_table_get_revision(p->keys, kv.key) >=
			    kv.mod_revision;
		etcd_kv_clear(&kv);
		if (!delivered)
			return false;
	}
	return true;
}

/* Returns whether all changes up to the answer's revision were delivered. */
static bool is_prefix_complete(const struct watched_prefix *p,
			       const json_t *range)
{
	return range && !json_is_true(json_object_get(range, "more")) &&
	       are_changes_delivered(p, json_object_get(range, "kvs")) &&
	       etcd_json_get_int(range, "count") == key_table_count(p->keys);
}

static void handle_incomplete(struct watched_prefix *p, int64_t now_us)
{
	if (!p->incomplete_since_us)
		p->incomplete_since_us = now_us;
	/* While something arrives, a new stream would transfer it again. */
	p->incomplete_since_us = MAX(p->incomplete_since_us,
				     etcd_watch_get_received_us(p->watch));
	if (now_us - p->incomplete_since_us < WATCH_LAG_MAX_US)
		return;
	p->incomplete_since_us = now_us;
	p->watch_reopens++;
	if (p->watch_reopens > WATCH_REOPENS_MAX)
		start_load(p->feed);
	else
		etcd_watch_reopen(p->watch);
}

static bool check_prefix(struct watched_prefix *p, const json_t *range,
			 int64_t revision)
{
	/*
	 * The watch has already delivered changes after the answer's revision,
	 * so the numbers of keys cannot be compared.
	 */
	if (etcd_watch_get_revision(p->watch) > revision)
		return false;
	if (!is_prefix_complete(p, range)) {
		handle_incomplete(p, loop_now_us());
		return false;
	}
	p->incomplete_since_us = 0;
	p->watch_reopens = 0;
	etcd_watch_advance(p->watch, revision);
	return true;
}

static void on_sync_checked(void *data, const struct etcd_answer *a)
{
	struct config_feed *f = data;
	bool complete = true;

	f->check_pending = false;
	if (f->check_generation != f->load_generation || f->load)
		return;
	schedule_sync_check(f, SYNC_CHECK_INTERVAL_US);
	if (a->error)
		return;
	for (int i = 0; i < PREFIX_COUNT && !f->load; i++) {
		const json_t *range =
			etcd_json_get_response(a->body, i, "response_range");

		if (!check_prefix(&f->prefixes[i], range, a->revision))
			complete = false;
	}
	if (f->load)
		return;
	if (complete)
		emit_synced(f, a->revision, a->asked_us);
	else
		schedule_sync_check(f, SYNC_RECHECK_INTERVAL_US);
}

static void on_check_timer(void *data, int64_t now_us)
{
	struct config_feed *f = data;
	json_t *ops = json_array();

	if (f->check_pending || f->load) {
		json_decref(ops);
		return;
	}
	for (int i = 0; i < PREFIX_COUNT; i++) {
		const struct watched_prefix *p = &f->prefixes[i];
		struct etcd_range r = {
			.key = p->prefix,
			.prefix = true,
			.limit = SYNC_CHECK_KEYS_MAX,
			.min_mod_revision =
				etcd_watch_get_revision(p->watch) + 1,
			.keys_only = true,
		};

		json_array_append_new(ops, etcd_json_new_op("request_range",
							    etcd_json_new_range(
								    &r)));
	}
	f->check_pending = true;
	f->check_generation = f->load_generation;
	etcd_call(f->opts.etcd, "/v3/kv/txn",
		  etcd_json_new_txn(NULL, ops, NULL), on_sync_checked, f);
}

void config_feed_check_sync(struct config_feed *f)
{
	if (!f->load && f->load_generation)
		loop_timer_set(f->check_timer, loop_now_us());
}

/* Construction */

static void init_prefix(struct config_feed *f, struct watched_prefix *p,
			const char *prefix, const char *path_prefix)
{
	p->feed = f;
	p->prefix = prefix;
	p->path_prefix = path_prefix;
	p->keys = key_table_new();
	p->watch = etcd_watch_new(&(struct etcd_watch_opts){
		.etcd = f->opts.etcd,
		.loop = f->opts.loop,
		.rand = f->opts.rand,
		.first_answer_timeout_us = f->opts.call_timeout_us,
		.prefix = prefix,
		.on_change = on_watch_change,
		.on_compacted = on_watch_compacted,
		.data = p,
	});
}

struct config_feed *config_feed_new(const struct config_feed_opts *opts)
{
	struct config_feed *f = g_new0(struct config_feed, 1);

	f->opts = *opts;
	f->load_timer = loop_timer_add(opts->loop, on_load_timer, f);
	f->check_timer = loop_timer_add(opts->loop, on_check_timer, f);
	init_prefix(f, &f->prefixes[0], opts->prefix, "");
	init_prefix(f, &f->prefixes[1], opts->instances_prefix, "instance/");
	start_load(f);
	return f;
}

void config_feed_free(struct config_feed *f)
{
	loop_timer_set(f->load_timer, -1);
	loop_timer_set(f->check_timer, -1);
	if (f->load)
		etcd_load_free(f->load);
	for (int i = 0; i < PREFIX_COUNT; i++) {
		etcd_watch_free(f->prefixes[i].watch);
		key_table_free(f->prefixes[i].keys);
	}
	g_free(f);
}
