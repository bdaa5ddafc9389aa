#include "peer/peer_codec.h"

#include <errno.h>
#include <msgpack.h>
#include <string.h>

/*
 * Writes or reads one message. Both directions walk the same description
 * of the fields; after the first error the rest does nothing.
 */
struct codec {
	bool writing;
	int error; /* 0 or a negative errno */
	msgpack_packer packer; /* writing */
	uint8_t *out;
	size_t size; /* of out or data */
	size_t used;
	const uint8_t *data; /* reading */
	msgpack_unpacked item;
};

static void fail(struct codec *c, int error)
{
	if (!c->error)
		c->error = error;
}

static int append(void *data, const char *buf, size_t len)
{
	struct codec *c = data;

	if (c->size - c->used < len) {
		fail(c, -EMSGSIZE);
		return -1;
	}
	memcpy(c->out + c->used, buf, len);
	c->used += len;
	return 0;
}

/* Containers are refused before the library reserves memory for them. */
static bool is_scalar_header(uint8_t b)
{
	bool fixmap_or_array = b >= 0x80 && b <= 0x9f;
	bool array_or_map = b >= 0xdc && b <= 0xdf;

	return !fixmap_or_array && !array_or_map;
}

/* Reads the next item of a type; NULL sets the error. */
static const msgpack_object *next(struct codec *c, msgpack_object_type type)
{
	if (c->error)
		return NULL;
	if (c->used >= c->size || !is_scalar_header(c->data[c->used]) ||
	    msgpack_unpack_next(&c->item, (const char *)c->data, c->size,
				&c->used) != MSGPACK_UNPACK_SUCCESS ||
	    c->item.data.type != type) {
		fail(c, -EINVAL);
		return NULL;
	}
	return &c->item.data;
}

static void walk_u64(struct codec *c, uint64_t *v, uint64_t max)
{
	const msgpack_object *o;

	if (c->writing) {
		if (*v > max)
			fail(c, -EINVAL);
		msgpack_pack_uint64(&c->packer, *v);
		return;
	}
	o = next(c, MSGPACK_OBJECT_POSITIVE_INTEGER);
	if (!o)
		return;
	if (o->via.u64 > max)
		fail(c, -EINVAL);
	*v = o->via.u64;
}

static void walk_u32(struct codec *c, uint32_t *v, uint32_t max)
{
	uint64_t wide = *v;

	walk_u64(c, &wide, max);
	*v = (uint32_t)wide;
}

/* A time or revision: never negative. */
static void walk_i64(struct codec *c, int64_t *v)
{
	uint64_t wide = (uint64_t)*v;

	walk_u64(c, &wide, INT64_MAX);
	*v = (int64_t)wide;
}

static void walk_bool(struct codec *c, bool *v)
{
	const msgpack_object *o;

	if (c->writing) {
		if (*v)
			msgpack_pack_true(&c->packer);
		else
			msgpack_pack_false(&c->packer);
		return;
	}
	o = next(c, MSGPACK_OBJECT_BOOLEAN);
	if (o)
		*v = o->via.boolean;
}

static bool is_printable(const char *s, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if ((unsigned char)s[i] < ' ' || s[i] == 0x7f)
			return false;
	}
	return true;
}

/* A string with its NUL in a buffer of `size` bytes. */
static void walk_text(struct codec *c, char *v, size_t size)
{
	const msgpack_object *o;
	size_t len;

	if (c->writing) {
		len = strnlen(v, size);
		if (len == size || !is_printable(v, len))
			fail(c, -EINVAL);
		msgpack_pack_str(&c->packer, len);
		msgpack_pack_str_body(&c->packer, v, len);
		return;
	}
	o = next(c, MSGPACK_OBJECT_STR);
	if (!o)
		return;
	if (o->via.str.size >= size ||
	    !is_printable(o->via.str.ptr, o->via.str.size)) {
		fail(c, -EINVAL);
		return;
	}
	/* The pointer may be NULL for an empty string. */
	if (o->via.str.size)
		memcpy(v, o->via.str.ptr, o->via.str.size);
	v[o->via.str.size] = '\0';
}

static void walk_bytes(struct codec *c, uint8_t *v, size_t size)
{
	const msgpack_object *o;

	if (c->writing) {
		msgpack_pack_bin(&c->packer, size);
		msgpack_pack_bin_body(&c->packer, v, size);
		return;
	}
	o = next(c, MSGPACK_OBJECT_BIN);
	if (!o)
		return;
	if (o->via.bin.size != size)
		fail(c, -EINVAL);
	else
		memcpy(v, o->via.bin.ptr, size);
}

static void walk_name(struct codec *c, char *v)
{
	walk_text(c, v, NAME_BYTES);
}

static void walk_profile(struct codec *c, struct profile_record *r)
{
	uint32_t repeat = r->repeat;

	walk_name(c, r->name);
	walk_i64(c, &r->max_age_us);
	walk_u32(c, &repeat, REPEAT_BY_ID);
	r->repeat = repeat;
	walk_u32(c, &r->cost_milli, UINT32_MAX);
	walk_bool(c, &r->open);
	walk_name(c, r->open_workspace);
}

static void walk_workspace(struct codec *c, struct workspace_record *r)
{
	walk_name(c, r->name);
	walk_u32(c, &r->rate_milli_per_s, UINT32_MAX);
	walk_u32(c, &r->burst_milli, UINT32_MAX);
	walk_u32(c, &r->weight, UINT32_MAX);
}

static void walk_key(struct codec *c, struct key_record *r)
{
	walk_bytes(c, r->digest, sizeof(r->digest));
	walk_name(c, r->workspace);
}

static void walk_endpoint(struct codec *c, struct endpoint_record *r)
{
	uint32_t state = r->state;

	walk_name(c, r->name);
	walk_name(c, r->group);
	walk_name(c, r->zone);
	walk_text(c, r->address, sizeof(r->address));
	walk_u32(c, &r->slots, UINT32_MAX);
	walk_u32(c, &r->connections_max, UINT32_MAX);
	walk_u32(c, &state, ENDPOINT_LEAVING);
	r->state = state;
}

static void walk_term(struct codec *c, struct term_record *r)
{
	walk_name(c, r->group);
	walk_u64(c, &r->term, UINT64_MAX);
	walk_name(c, r->primary);
	walk_name(c, r->promoter);
	walk_u64(c, &r->change_id, UINT64_MAX);
}

static void walk_share(struct codec *c, struct share_record *r)
{
	walk_u32(c, &r->cell, UINT32_MAX);
	walk_u32(c, &r->holder_count, SHARE_HOLDERS_MAX);
	for (uint32_t i = 0; !c->error && i < r->holder_count; i++) {
		walk_name(c, r->holders[i].instance);
		walk_u64(c, &r->holders[i].incarnation, UINT64_MAX);
		walk_u32(c, &r->holders[i].ppm, SHARE_WHOLE_PPM);
	}
}

static void walk_member(struct codec *c, struct member_record *r)
{
	walk_name(c, r->name);
	walk_name(c, r->zone);
	walk_text(c, r->address, sizeof(r->address));
	walk_u64(c, &r->incarnation, UINT64_MAX);
}

static void walk_instance(struct codec *c, struct instance_record *r)
{
	walk_name(c, r->name);
	walk_bool(c, &r->leaving);
}

static void walk_record_body(struct codec *c, struct record *r)
{
	switch (r->kind) {
	case RECORD_PROFILE:
		walk_profile(c, &r->profile);
		break;
	case RECORD_WORKSPACE:
		walk_workspace(c, &r->workspace);
		break;
	case RECORD_KEY:
		walk_key(c, &r->key);
		break;
	case RECORD_ENDPOINT:
		walk_endpoint(c, &r->endpoint);
		break;
	case RECORD_TERM:
		walk_term(c, &r->term);
		break;
	case RECORD_SHARE:
		walk_share(c, &r->share);
		break;
	case RECORD_MEMBER:
		walk_member(c, &r->member);
		break;
	case RECORD_INSTANCE:
		walk_instance(c, &r->instance);
		break;
	case RECORD_KIND_COUNT:
		fail(c, -EINVAL);
		break;
	}
}

static void walk_record(struct codec *c, struct peer_record *p)
{
	uint32_t kind = p->record.kind;

	walk_bool(c, &p->deleted);
	walk_u32(c, &kind, RECORD_KIND_COUNT - 1);
	p->record.kind = kind;
	walk_i64(c, &p->record.revision);
	if (!c->error)
		walk_record_body(c, &p->record);
}

static void walk_pong(struct codec *c, struct peer_pong *p)
{
	walk_u64(c, &p->sequence, UINT64_MAX);
	walk_i64(c, &p->config_revision);
	walk_i64(c, &p->sync_age_us);
	walk_bool(c, &p->draining);
}

static void walk_loan_ask(struct codec *c, struct peer_loan_request *a)
{
	walk_u64(c, &a->loan_id, UINT64_MAX);
	walk_u64(c, &a->renews, UINT64_MAX);
	walk_name(c, a->workspace);
	walk_u32(c, &a->rate_milli_per_s, UINT32_MAX);
	walk_u32(c, &a->burst_milli, UINT32_MAX);
	walk_i64(c, &a->duration_us);
}

static void walk_loan_grant(struct codec *c, struct peer_loan_grant *g)
{
	walk_u64(c, &g->loan_id, UINT64_MAX);
	walk_name(c, g->workspace);
	walk_u32(c, &g->rate_milli_per_s, UINT32_MAX);
	walk_u32(c, &g->burst_milli, UINT32_MAX);
	walk_u32(c, &g->tokens_milli, UINT32_MAX);
	walk_i64(c, &g->duration_us);
}

static void walk_view_ask(struct codec *c, struct peer_vote_request *v)
{
	walk_u64(c, &v->sequence, UINT64_MAX);
	walk_name(c, v->group);
	walk_u64(c, &v->term, UINT64_MAX);
}

static void walk_view(struct codec *c, struct peer_vote *v)
{
	walk_u64(c, &v->sequence, UINT64_MAX);
	walk_name(c, v->group);
	walk_u64(c, &v->term, UINT64_MAX);
	walk_bool(c, &v->silent);
}

static void walk_rates(struct codec *c, struct peer_rate *rates,
		       uint32_t *count)
{
	walk_u32(c, count, PEER_RATES_MAX);
	for (uint32_t i = 0; !c->error && i < *count; i++) {
		walk_u64(c, &rates[i].workspace, UINT64_MAX);
		walk_u32(c, &rates[i].rate_milli_per_s, UINT32_MAX);
		walk_u32(c, &rates[i].in_use_milli_per_s, UINT32_MAX);
	}
}

static void walk_report(struct codec *c, struct peer_report *r)
{
	walk_u64(c, &r->sequence, UINT64_MAX);
	walk_u64(c, &r->confirmed, UINT64_MAX);
	walk_rates(c, r->rates, &r->rate_count);
	walk_u32(c, &r->silent_count, PEER_SILENT_MAX);
	for (uint32_t i = 0; !c->error && i < r->silent_count; i++)
		walk_u64(c, &r->silent[i], UINT64_MAX);
}

static void walk_grant(struct codec *c, struct peer_grant *g)
{
	walk_u64(c, &g->report, UINT64_MAX);
	walk_u64(c, &g->sequence, UINT64_MAX);
	walk_i64(c, &g->duration_us);
	walk_i64(c, &g->store_revision);
	walk_i64(c, &g->store_age_us);
	walk_rates(c, g->rates, &g->rate_count);
}

static void walk_quota_ask(struct codec *c, struct peer_quota_request *a)
{
	walk_u64(c, &a->sequence, UINT64_MAX);
	walk_u64(c, &a->half, UINT64_MAX);
}

static void walk_quota_answer(struct codec *c, struct peer_quota_reply *a)
{
	uint32_t verdict = a->verdict;

	walk_u64(c, &a->sequence, UINT64_MAX);
	walk_u32(c, &verdict, PEER_QUOTA_VERDICT_COUNT - 1);
	a->verdict = verdict;
	walk_i64(c, &a->retry_us);
}

static void walk_body(struct codec *c, struct peer_message *m)
{
	switch (m->type) {
	case PEER_PING:
		walk_u64(c, &m->ping.sequence, UINT64_MAX);
		break;
	case PEER_PONG:
		walk_pong(c, &m->pong);
		break;
	case PEER_LOAN_REQUEST:
		walk_loan_ask(c, &m->loan_request);
		break;
	case PEER_LOAN_GRANT:
		walk_loan_grant(c, &m->loan_grant);
		break;
	case PEER_VOTE_REQUEST:
		walk_view_ask(c, &m->vote_request);
		break;
	case PEER_VOTE:
		walk_view(c, &m->vote);
		break;
	case PEER_RECORD:
		walk_record(c, &m->record);
		break;
	case PEER_REPORT:
		walk_report(c, &m->report);
		break;
	case PEER_GRANT:
		walk_grant(c, &m->grant);
		break;
	case PEER_QUOTA_REQUEST:
		walk_quota_ask(c, &m->quota_request);
		break;
	case PEER_QUOTA_REPLY:
		walk_quota_answer(c, &m->quota_reply);
		break;
	case PEER_MESSAGE_TYPE_COUNT:
		fail(c, -EINVAL);
		break;
	}
}

static void walk_message(struct codec *c, struct peer_message *m)
{
	uint64_t version = PEER_MESSAGE_VERSION;
	uint32_t type = m->type;

	walk_u64(c, &version, UINT64_MAX);
	if (!c->error && version != PEER_MESSAGE_VERSION)
		fail(c, -EPROTO);
	walk_name(c, m->peer);
	if (!c->error && !m->peer[0])
		fail(c, -EINVAL);
	walk_u64(c, &m->incarnation, UINT64_MAX);
	walk_u32(c, &type, PEER_MESSAGE_TYPE_COUNT - 1);
	m->type = type;
	if (!c->error)
		walk_body(c, m);
}

int peer_encode(const struct peer_message *m, const char *sender, uint8_t *out,
		size_t size)
{
	struct codec c = { .writing = true, .out = out, .size = size };
	struct peer_message copy = *m;

	size_t len = strlen(sender);

	if (len >= sizeof(copy.peer))
		return -EINVAL;
	memcpy(copy.peer, sender, len + 1);
	if (c.size > PEER_MESSAGE_MAX_BYTES)
		c.size = PEER_MESSAGE_MAX_BYTES;
	msgpack_packer_init(&c.packer, &c, append);
	walk_message(&c, &copy);
	return c.error ? c.error : (int)c.used;
}

int peer_decode(const uint8_t *data, size_t size, struct peer_message *m)
{
	struct codec c = { .data = data, .size = size };

	if (size > PEER_MESSAGE_MAX_BYTES)
		return -EMSGSIZE;
	memset(m, 0, sizeof(*m));
	msgpack_unpacked_init(&c.item);
	walk_message(&c, m);
	if (!c.error && c.used != size)
		fail(&c, -EINVAL);
	msgpack_unpacked_destroy(&c.item);
	return c.error;
}
