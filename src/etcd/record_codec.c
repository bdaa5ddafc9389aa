#include "etcd/record_codec.h"

#include "core/error.h"
#include "etcd/field_reader.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define AGE_MAX_MS (INT64_C(30) * 24 * 3600 * 1000)

enum {
	COST_MAX_MILLI = 1000000,
	COST_DEFAULT_MILLI = 1000,
	RATE_MAX_MILLI = 1000000000,
	WEIGHT_MAX = 1000,
	SLOTS_MAX = 4096,
	CONNECTIONS_MAX = 65535,
	CELL_MAX = 65535,
	CELL_DIGITS_MAX = 5,
};

static const char *const repeat_names[] = {
	[REPEAT_NEVER] = "never",
	[REPEAT_READS] = "reads",
	[REPEAT_BY_ID] = "by_id",
};

static const char *const state_names[] = {
	[ENDPOINT_LIVE] = "live",
	[ENDPOINT_LEAVING] = "leaving",
};

enum { REPEAT_NAME_COUNT = 3, STATE_NAME_COUNT = 2 };

/* Converts one kind of record to and from a key path and a JSON object. */
struct record_ops {
	const char *directory; /* first part of the key path */
	/*
	 * Write and read the part of the path after "directory/"; reading
	 * returns false if it is invalid.
	 */
	void (*write_path)(const struct record *r, char *out, size_t size);
	bool (*read_path)(const char *path, struct record *r);
	json_t *(*write_fields)(const struct record *r);
	void (*read_fields)(struct field_reader *f, struct record *r);
};

static bool read_name(const char *path, char out[NAME_BYTES])
{
	if (!field_is_name(path))
		return false;
	snprintf(out, NAME_BYTES, "%s", path);
	return true;
}

static json_t *new_hex64_json(uint64_t v)
{
	return json_sprintf("%016" PRIx64, v);
}

/* profile */

static void profile_write_path(const struct record *r, char *out, size_t size)
{
	snprintf(out, size, "%s", r->profile.name);
}

static bool profile_read_path(const char *path, struct record *r)
{
	return read_name(path, r->profile.name);
}

static json_t *profile_write_fields(const struct record *r)
{
	const struct profile_record *p = &r->profile;

	return json_pack("{s:I, s:s, s:I, s:b, s:s}", "max_age_ms",
			 (json_int_t)(p->max_age_us / US_PER_MS), "repeat",
			 repeat_names[p->repeat], "cost_milli",
			 (json_int_t)p->cost_milli, "open", (int)p->open,
			 "open_workspace", p->open_workspace);
}

static void profile_read_fields(struct field_reader *f, struct record *r)
{
	struct profile_record *p = &r->profile;
	int64_t age_ms = 0;
	uint32_t repeat = REPEAT_NEVER;

	p->cost_milli = COST_DEFAULT_MILLI;
	p->open = false;
	p->open_workspace[0] = '\0';
	field_read_int(f, "max_age_ms", FIELD_REQUIRED,
		       (struct field_range){ 0, AGE_MAX_MS }, &age_ms);
	field_read_enum(f, "repeat", FIELD_REQUIRED, repeat_names,
			REPEAT_NAME_COUNT, &repeat);
	field_read_u32(f, "cost_milli", FIELD_OPTIONAL,
		       (struct field_range){ 1, COST_MAX_MILLI },
		       &p->cost_milli);
	field_read_bool(f, "open", FIELD_OPTIONAL, &p->open);
	field_read_name_or_empty(f, "open_workspace", FIELD_OPTIONAL,
				 p->open_workspace);
	p->max_age_us = age_ms * US_PER_MS;
	p->repeat = repeat;
	if (p->open != (p->open_workspace[0] != '\0'))
		field_reader_reject(
			f, "open_workspace",
			"goes with open profiles, and only with them");
}

/* workspace */

static void workspace_write_path(const struct record *r, char *out, size_t size)
{
	snprintf(out, size, "%s", r->workspace.name);
}

static bool workspace_read_path(const char *path, struct record *r)
{
	return read_name(path, r->workspace.name);
}

static json_t *workspace_write_fields(const struct record *r)
{
	const struct workspace_record *w = &r->workspace;

	return json_pack("{s:I, s:I, s:I}", "rate_milli_per_s",
			 (json_int_t)w->rate_milli_per_s, "burst_milli",
			 (json_int_t)w->burst_milli, "weight",
			 (json_int_t)w->weight);
}

static void workspace_read_fields(struct field_reader *f, struct record *r)
{
	struct workspace_record *w = &r->workspace;
	const struct field_range limit = { 0, RATE_MAX_MILLI };

	w->weight = 1;
	field_read_u32(f, "rate_milli_per_s", FIELD_REQUIRED, limit,
		       &w->rate_milli_per_s);
	field_read_u32(f, "burst_milli", FIELD_REQUIRED, limit,
		       &w->burst_milli);
	field_read_u32(f, "weight", FIELD_OPTIONAL,
		       (struct field_range){ 1, WEIGHT_MAX }, &w->weight);
}

/* key */

static void key_write_path(const struct record *r, char *out, size_t size)
{
	char hex[2 * DIGEST_BYTES + 1];

	for (int i = 0; i < DIGEST_BYTES; i++)
		snprintf(hex + (size_t)2 * i, 3, "%02x", r->key.digest[i]);
	snprintf(out, size, "%s", hex);
}

/* Returns the value of a lower-case hex digit, or -1 if it is none. */
static int parse_hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

static bool key_read_path(const char *path, struct record *r)
{
	if (strlen(path) != (size_t)2 * DIGEST_BYTES)
		return false;
	for (size_t i = 0; i < DIGEST_BYTES; i++) {
		int high = parse_hex_digit(path[2 * i]);
		int low = parse_hex_digit(path[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		r->key.digest[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

static json_t *key_write_fields(const struct record *r)
{
	return json_pack("{s:s}", "workspace", r->key.workspace);
}

static void key_read_fields(struct field_reader *f, struct record *r)
{
	field_read_name(f, "workspace", FIELD_REQUIRED, r->key.workspace);
}

/* endpoint */

static void endpoint_write_path(const struct record *r, char *out, size_t size)
{
	snprintf(out, size, "%s/%s", r->endpoint.group, r->endpoint.name);
}

static bool endpoint_read_path(const char *path, struct record *r)
{
	const char *slash = strchr(path, '/');
	char group[NAME_BYTES];

	if (!slash || slash - path >= NAME_BYTES)
		return false;
	snprintf(group, sizeof(group), "%.*s", (int)(slash - path), path);
	return read_name(group, r->endpoint.group) &&
	       read_name(slash + 1, r->endpoint.name);
}

static json_t *endpoint_write_fields(const struct record *r)
{
	const struct endpoint_record *e = &r->endpoint;

	return json_pack("{s:s, s:s, s:I, s:I, s:s}", "zone", e->zone,
			 "address", e->address, "slots", (json_int_t)e->slots,
			 "connections_max", (json_int_t)e->connections_max,
			 "state", state_names[e->state]);
}

static void endpoint_read_fields(struct field_reader *f, struct record *r)
{
	struct endpoint_record *e = &r->endpoint;
	uint32_t state = ENDPOINT_LIVE;

	field_read_name(f, "zone", FIELD_REQUIRED, e->zone);
	field_read_address(f, "address", e->address);
	field_read_u32(f, "slots", FIELD_REQUIRED,
		       (struct field_range){ 1, SLOTS_MAX }, &e->slots);
	field_read_u32(f, "connections_max", FIELD_REQUIRED,
		       (struct field_range){ 1, CONNECTIONS_MAX },
		       &e->connections_max);
	field_read_enum(f, "state", FIELD_OPTIONAL, state_names,
			STATE_NAME_COUNT, &state);
	e->state = state;
}

/* term */

static void term_write_path(const struct record *r, char *out, size_t size)
{
	snprintf(out, size, "%s", r->term.group);
}

static bool term_read_path(const char *path, struct record *r)
{
	return read_name(path, r->term.group);
}

static json_t *term_write_fields(const struct record *r)
{
	const struct term_record *t = &r->term;

	return json_pack("{s:I, s:s, s:s, s:o}", "term", (json_int_t)t->term,
			 "primary", t->primary, "promoter", t->promoter,
			 "change_id", new_hex64_json(t->change_id));
}

static void term_read_fields(struct field_reader *f, struct record *r)
{
	struct term_record *t = &r->term;
	int64_t term = 0;

	field_read_int(f, "term", FIELD_REQUIRED,
		       (struct field_range){ 0, INT64_MAX }, &term);
	field_read_name_or_empty(f, "primary", FIELD_REQUIRED, t->primary);
	field_read_name_or_empty(f, "promoter", FIELD_REQUIRED, t->promoter);
	field_read_hex64(f, "change_id", &t->change_id);
	t->term = (uint64_t)term;
}

/* share */

static void share_write_path(const struct record *r, char *out, size_t size)
{
	snprintf(out, size, "%" PRIu32, r->share.cell);
}

static bool share_read_path(const char *path, struct record *r)
{
	size_t n = strlen(path);
	unsigned long cell;

	if (!n || n > CELL_DIGITS_MAX || strspn(path, "0123456789") != n)
		return false;
	if (n > 1 && path[0] == '0')
		return false;
	cell = strtoul(path, NULL, 10);
	if (cell > CELL_MAX)
		return false;
	r->share.cell = (uint32_t)cell;
	return true;
}

static json_t *share_write_fields(const struct record *r)
{
	const struct share_record *s = &r->share;
	json_t *holders = json_array();

	for (uint32_t i = 0; i < s->holder_count; i++) {
		const struct share_holder *h = &s->holders[i];

		json_array_append_new(holders,
				      json_pack("{s:s, s:o, s:I}", "instance",
						h->instance, "incarnation",
						new_hex64_json(h->incarnation),
						"ppm", (json_int_t)h->ppm));
	}
	return json_pack("{s:o}", "holders", holders);
}

static void holder_read_fields(struct field_reader *f, const json_t *j,
			       struct share_holder *h)
{
	struct field_reader holder_reader;

	field_reader_init(&holder_reader, j, f->reason, f->reason_size);
	field_read_name(&holder_reader, "instance", FIELD_REQUIRED,
			h->instance);
	field_read_hex64(&holder_reader, "incarnation", &h->incarnation);
	field_read_u32(&holder_reader, "ppm", FIELD_REQUIRED,
		       (struct field_range){ 0, SHARE_WHOLE_PPM }, &h->ppm);
	if (field_reader_finish(&holder_reader) != 0)
		f->rejected = true;
}

static bool has_holder(const struct share_record *s, const char *instance)
{
	for (uint32_t i = 0; i < s->holder_count; i++) {
		if (!strcmp(s->holders[i].instance, instance))
			return true;
	}
	return false;
}

static void share_read_fields(struct field_reader *f, struct record *r)
{
	struct share_record *s = &r->share;
	const json_t *a = field_read_array(f, "holders", SHARE_HOLDERS_MAX);
	const json_t *j;
	uint64_t sum_ppm = 0;
	size_t i;

	s->holder_count = 0;
	json_array_foreach(a, i, j)
	{
		struct share_holder h = { 0 };

		holder_read_fields(f, j, &h);
		if (f->rejected)
			return;
		if (has_holder(s, h.instance))
			field_reader_reject(f, "holders",
					    "an instance stands twice");
		sum_ppm += h.ppm;
		s->holders[s->holder_count++] = h;
	}
	if (sum_ppm > SHARE_WHOLE_PPM)
		field_reader_reject(f, "holders", "the sum exceeds the whole");
}

/* member */

static void member_write_path(const struct record *r, char *out, size_t size)
{
	snprintf(out, size, "%s", r->member.name);
}

static bool member_read_path(const char *path, struct record *r)
{
	return read_name(path, r->member.name);
}

static json_t *member_write_fields(const struct record *r)
{
	const struct member_record *m = &r->member;

	return json_pack("{s:s, s:s, s:o}", "zone", m->zone, "address",
			 m->address, "incarnation",
			 new_hex64_json(m->incarnation));
}

static void member_read_fields(struct field_reader *f, struct record *r)
{
	field_read_name(f, "zone", FIELD_REQUIRED, r->member.zone);
	field_read_address(f, "address", r->member.address);
	field_read_hex64(f, "incarnation", &r->member.incarnation);
}

/* instance */

static void instance_write_path(const struct record *r, char *out, size_t size)
{
	snprintf(out, size, "%s", r->instance.name);
}

static bool instance_read_path(const char *path, struct record *r)
{
	return read_name(path, r->instance.name);
}

static json_t *instance_write_fields(const struct record *r)
{
	return json_pack("{s:b}", "leaving", (int)r->instance.leaving);
}

static void instance_read_fields(struct field_reader *f, struct record *r)
{
	field_read_bool(f, "leaving", FIELD_REQUIRED, &r->instance.leaving);
}

#define RECORD_OPS(kind)                                        \
	{                                                       \
#kind, kind##_write_path, kind##_read_path,     \
			kind##_write_fields, kind##_read_fields \
	}

static const struct record_ops record_kinds[RECORD_KIND_COUNT] = {
	[RECORD_PROFILE] = RECORD_OPS(profile),
	[RECORD_WORKSPACE] = RECORD_OPS(workspace),
	[RECORD_KEY] = RECORD_OPS(key),
	[RECORD_ENDPOINT] = RECORD_OPS(endpoint),
	[RECORD_TERM] = RECORD_OPS(term),
	[RECORD_SHARE] = RECORD_OPS(share),
	[RECORD_MEMBER] = RECORD_OPS(member),
	[RECORD_INSTANCE] = RECORD_OPS(instance),
};

void record_to_path(const struct record *r, char *out, size_t size)
{
	const struct record_ops *ops = &record_kinds[r->kind];
	char name[RECORD_PATH_BYTES];

	ops->write_path(r, name, sizeof(name));
	snprintf(out, size, "%s/%s", ops->directory, name);
}

int record_from_path(const char *path, struct record *out)
{
	const char *slash = strchr(path, '/');

	if (!slash)
		return -EINVAL;
	for (int kind = 0; kind < RECORD_KIND_COUNT; kind++) {
		const struct record_ops *ops = &record_kinds[kind];
		size_t n = slash - path;

		if (strlen(ops->directory) != n ||
		    memcmp(path, ops->directory, n) != 0)
			continue;
		memset(out, 0, sizeof(*out));
		out->kind = kind;
		return ops->read_path(slash + 1, out) ? 0 : -EINVAL;
	}
	return -EINVAL;
}

json_t *record_to_json(const struct record *r)
{
	return record_kinds[r->kind].write_fields(r);
}

int32_t record_from_json(const json_t *j, struct record *r, char *reason,
			 size_t reason_size)
{
	struct field_reader f;

	field_reader_init(&f, j, reason, reason_size);
	record_kinds[r->kind].read_fields(&f, r);
	return field_reader_finish(&f);
}
