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

#define CONFIRM_INTERVAL_US US_PER_S
/* Time for a change to come through the watch as well. */
#define RECHECK_INTERVAL_US (200 * US_PER_MS)
#define WATCH_LAG_MAX_US (400 * US_PER_MS)

enum {
	PART_COUNT = 2,
	RENEWALS_MAX = 3, /* of a lagging watch, before a new load */
	CONFIRM_KEYS_MAX = 100, /* more changes than this are not checked */
};

/* The keys below one prefix. */
struct feed_part {
	struct config_feed *feed;
	const char *prefix;
	const char *directory; /* put before paths below the prefix, or "" */
	struct key_table *keys;
	struct etcd_watch *watch;
	int64_t behind_since_us; /* 0: nothing is known to be missing */
	uint32_t renewals;
};

struct config_feed {
	struct config_feed_opts opts;
	struct feed_part parts[PART_COUNT];
	struct etcd_load *load; /* NULL unless one runs */
	struct loop_timer *load_timer;
	struct loop_timer *confirm_timer;
	struct backoff load_backoff;
	bool confirming; /* a question is under way */
	uint64_t generation; /* of loads; older answers are dropped */
	uint64_t asked_generation;
};

static void start_load(struct config_feed *f);

static void pass_record(struct feed_part *p, enum event_type type,
			const struct record *r)
{
	struct event e = { .type = type, .record = r };

	p->feed->opts.on_event(p->feed->opts.data, &e);
}

static void path_of(const struct feed_part *p, const char *key, char *out,
		    size_t size)
{
	snprintf(out, size, "%s%s", p->directory, key + strlen(p->prefix));
}

/* The two prefixes hold different kinds of records. */
static bool is_kind_allowed(const struct feed_part *p, const struct record *r)
{
	return (r->kind == RECORD_INSTANCE) == (p->directory[0] != '\0');
}

static void refuse(const struct feed_part *p, const char *key, const char *why)
{
	p->feed->opts.on_refused(p->feed->opts.data, key, why);
}

static void pass_put(struct feed_part *p, const struct etcd_kv *kv)
{
	char path[RECORD_PATH_BYTES];
	char why[RECORD_WHY_BYTES];
	struct record r;

	if (!key_table_put(p->keys, kv->key, kv->mod_revision))
		return;
	path_of(p, kv->key, path, sizeof(path));
	if (record_from_kv(path, kv, &r, why, sizeof(why)))
		refuse(p, kv->key, why);
	else if (!is_kind_allowed(p, &r))
		refuse(p, kv->key, "not below this prefix");
	else
		pass_record(p, EVENT_RECORD_PUT, &r);
}

static void pass_delete(struct feed_part *p, const char *key, int64_t revision)
{
	char path[RECORD_PATH_BYTES];
	struct record r;

	if (!key_table_delete(p->keys, key, revision))
		return;
	path_of(p, key, path, sizeof(path));
	if (record_from_path(path, &r) || !is_kind_allowed(p, &r))
		return;
	r.revision = revision;
	pass_record(p, EVENT_RECORD_DELETED, &r);
}

static void on_change(void *data, const struct etcd_kv *kv, bool deleted)
{
	struct feed_part *p = data;

	if (!g_str_has_prefix(kv->key, p->prefix))
		return;
	if (deleted)
		pass_delete(p, kv->key, kv->mod_revision);
	else
		pass_put(p, kv);
}

static void on_compacted(void *data)
{
	struct feed_part *p = data;

	start_load(p->feed);
}

static void pass_synced(struct config_feed *f, int64_t revision,
			int64_t asked_us)
{
	struct event e = {
		.type = EVENT_CONFIG_SYNCED,
		.synced = { .revision = revision, .asked_us = asked_us },
	};

	f->opts.on_event(f->opts.data, &e);
}

static void confirm_later(struct config_feed *f, int64_t interval_us)
{
	double jitter = g_rand_double_range(f->opts.rand, 0.9, 1.1);

	loop_timer_set(f->confirm_timer,
		       loop_now_us() + (int64_t)((double)interval_us * jitter));
}

/* Loading */

static struct feed_part *part_of(struct config_feed *f, const char *key)
{
	for (int i = 0; i < PART_COUNT; i++) {
		if (g_str_has_prefix(key, f->parts[i].prefix))
			return &f->parts[i];
	}
	return NULL;
}

static GHashTable *keys_of(const GPtrArray *kvs)
{
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < kvs->len; i++) {
		const struct etcd_kv *kv = g_ptr_array_index(kvs, i);

		g_hash_table_add(keys, kv->key);
	}
	return keys;
}

/* Keys that went while nobody watched come last, at the load's revision. */
static void pass_missing(struct feed_part *p, GHashTable *kept,
			 int64_t revision)
{
	GPtrArray *gone = key_table_missing(p->keys, kept);

	for (guint i = 0; i < gone->len; i++)
		pass_delete(p, g_ptr_array_index(gone, i), revision);
	g_ptr_array_unref(gone);
}

static void pass_loaded(struct config_feed *f, const struct etcd_load_result *r)
{
	GHashTable *kept = keys_of(r->kvs);

	for (guint i = 0; i < r->kvs->len; i++) {
		const struct etcd_kv *kv = g_ptr_array_index(r->kvs, i);
		struct feed_part *p = part_of(f, kv->key);

		if (p)
			pass_put(p, kv);
	}
	for (int i = 0; i < PART_COUNT; i++)
		pass_missing(&f->parts[i], kept, r->revision);
	g_hash_table_destroy(kept);
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
	pass_loaded(f, r);
	for (int i = 0; i < PART_COUNT; i++) {
		f->parts[i].behind_since_us = 0;
		f->parts[i].renewals = 0;
		etcd_watch_start(f->parts[i].watch, r->revision);
	}
	pass_synced(f, r->revision, r->asked_us);
	confirm_later(f, CONFIRM_INTERVAL_US);
}

static void start_load(struct config_feed *f)
{
	struct etcd_load_opts opts = {
		.etcd = f->opts.etcd,
		.prefix_count = PART_COUNT,
		.on_done = on_loaded,
		.data = f,
	};

	if (f->load)
		return;
	f->generation++;
	loop_timer_set(f->confirm_timer, -1);
	for (int i = 0; i < PART_COUNT; i++) {
		etcd_watch_stop(f->parts[i].watch);
		opts.prefixes[i] = f->parts[i].prefix;
	}
	f->load = etcd_load_start(&opts);
}

static void on_load_timer(void *data, int64_t now_us)
{
	start_load(data);
}

/* Confirming */

static bool are_delivered(const struct feed_part *p, const json_t *kvs)
{
	const json_t *j;
	size_t i;

	json_array_foreach(kvs, i, j)
	{
		struct etcd_kv kv;
		bool known;

		if (!etcd_kv_read(j, &kv))
			return false;
		known = key_table_get(p->keys, kv.key) >= kv.mod_revision;
		etcd_kv_clear(&kv);
		if (!known)
			return false;
	}
	return true;
}

/* Tells whether nothing below the prefix is missing at the answer. */
static bool is_complete(const struct feed_part *p, const json_t *range)
{
	return range && !json_is_true(json_object_get(range, "more")) &&
	       are_delivered(p, json_object_get(range, "kvs")) &&
	       etcd_json_int(range, "count") == key_table_count(p->keys);
}

static void note_behind(struct feed_part *p, int64_t now_us)
{
	if (!p->behind_since_us)
		p->behind_since_us = now_us;
	if (now_us - p->behind_since_us < WATCH_LAG_MAX_US)
		return;
	p->behind_since_us = now_us;
	p->renewals++;
	if (p->renewals > RENEWALS_MAX)
		start_load(p->feed);
	else
		etcd_watch_renew(p->watch);
}

static bool check_part(struct feed_part *p, const json_t *range,
		       int64_t revision)
{
	/* The watch overtook the answer, so the counts can't be compared. */
	if (etcd_watch_revision(p->watch) > revision)
		return false;
	if (!is_complete(p, range)) {
		note_behind(p, loop_now_us());
		return false;
	}
	p->behind_since_us = 0;
	p->renewals = 0;
	etcd_watch_advance(p->watch, revision);
	return true;
}

static void on_confirmed(void *data, const struct etcd_answer *a)
{
	struct config_feed *f = data;
	bool complete = true;

	f->confirming = false;
	if (f->asked_generation != f->generation || f->load)
		return;
	confirm_later(f, CONFIRM_INTERVAL_US);
	if (a->error)
		return;
	for (int i = 0; i < PART_COUNT && !f->load; i++) {
		const json_t *range =
			etcd_json_response(a->body, i, "response_range");

		if (!check_part(&f->parts[i], range, a->revision))
			complete = false;
	}
	if (f->load)
		return;
	if (complete)
		pass_synced(f, a->revision, a->asked_us);
	else
		confirm_later(f, RECHECK_INTERVAL_US);
}

static void on_confirm_timer(void *data, int64_t now_us)
{
	struct config_feed *f = data;
	json_t *ops = json_array();

	if (f->confirming || f->load) {
		json_decref(ops);
		return;
	}
	for (int i = 0; i < PART_COUNT; i++) {
		const struct feed_part *p = &f->parts[i];
		struct etcd_range r = {
			.key = p->prefix,
			.prefix = true,
			.limit = CONFIRM_KEYS_MAX,
			.least_mod_revision = etcd_watch_revision(p->watch) + 1,
			.keys_only = true,
		};

		json_array_append_new(ops, etcd_json_op("request_range",
							etcd_json_range(&r)));
	}
	f->confirming = true;
	f->asked_generation = f->generation;
	etcd_call(f->opts.etcd, "/v3/kv/txn", etcd_json_txn(NULL, ops, NULL),
		  on_confirmed, f);
}

void config_feed_confirm(struct config_feed *f)
{
	if (!f->load && f->generation)
		loop_timer_set(f->confirm_timer, loop_now_us());
}

/* Construction */

static void part_init(struct config_feed *f, struct feed_part *p,
		      const char *prefix, const char *directory)
{
	p->feed = f;
	p->prefix = prefix;
	p->directory = directory;
	p->keys = key_table_new();
	p->watch = etcd_watch_new(&(struct etcd_watch_opts){
		.etcd = f->opts.etcd,
		.loop = f->opts.loop,
		.rand = f->opts.rand,
		.first_answer_us = f->opts.call_timeout_us,
		.prefix = prefix,
		.on_change = on_change,
		.on_compacted = on_compacted,
		.data = p,
	});
}

struct config_feed *config_feed_new(const struct config_feed_opts *opts)
{
	struct config_feed *f = g_new0(struct config_feed, 1);

	f->opts = *opts;
	f->load_timer = loop_timer_add(opts->loop, on_load_timer, f);
	f->confirm_timer = loop_timer_add(opts->loop, on_confirm_timer, f);
	part_init(f, &f->parts[0], opts->prefix, "");
	part_init(f, &f->parts[1], opts->instances_prefix, "instance/");
	start_load(f);
	return f;
}

void config_feed_free(struct config_feed *f)
{
	loop_timer_set(f->load_timer, -1);
	loop_timer_set(f->confirm_timer, -1);
	if (f->load)
		etcd_load_free(f->load);
	for (int i = 0; i < PART_COUNT; i++) {
		etcd_watch_free(f->parts[i].watch);
		key_table_free(f->parts[i].keys);
	}
	g_free(f);
}
