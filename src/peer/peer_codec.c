#include "peer/peer_codec.h"

#include <errno.h>
#include <msgpack.h>
#include <string.h>

/*
 * State of encoding or decoding one message. The codec_*() functions below
 * serve both directions, so that a message has only one description of its
 * fields. After the first error the message is invalid and decoding stops.
 */
struct codec {
	bool encoding;
	int error; /* 0 or a negative errno */
	msgpack_packer packer; /* encoding */
	uint8_t *out;
	size_t size; /* of `out` or `data` */
	size_t used; /* bytes written to `out` or read from `data` */
	const uint8_t *data; /* decoding */
	msgpack_unpacked item;
};

static void set_error(struct codec *c, int error)
{
	if (!c->error)
		c->error = error;
}

static int append_bytes(void *data, const char *buf, size_t len)
{
	struct codec *c = data;

	if (c->size - c->used < len) {
		set_error(c, -EMSGSIZE);
		return -1;
	}
	memcpy(c->out + c->used, buf, len);
	c->used += len;
	return 0;
}

/* Arrays and maps are rejected before msgpack allocates memory for them. */
static bool is_scalar_tag(uint8_t b)
{
	bool fixmap_or_array = b >= 0x80 && b <= 0x9f;
	bool array_or_map = b >= 0xdc && b <= 0xdf;

	return !fixmap_or_array && !array_or_map;
}

/*
 * Decodes the next item, which must be of the given type. On failure, sets the
 * error and returns NULL.
 */
static const msgpack_object *read_item(struct codec *c,
				       msgpack_object_type type)
{
	if (c->error)
		return NULL;
	if (c->used >= c->size || !is_scalar_tag(c->data[c->used]) ||
	    msgpack_unpack_next(&c->item, (const char *)c->data, c->size,
				&c->used) != MSGPACK_UNPACK_SUCCESS ||
	    c->item.data.type != type) {
		set_error(c, -EINVAL);
		return NULL;
	}
	return &c->item.data;
}

static void codec_u64(struct codec *c, uint64_t *v, uint64_t max)
{
	const msgpack_object *o;

	if (c->encoding) {
		if (*v > max)
			set_error(c, -EINVAL);
		msgpack_pack_uint64(&c->packer, *v);
		return;
	}
	o = read_item(c, MSGPACK_OBJECT_POSITIVE_INTEGER);
	if (!o)
		return;
	if (o->via.u64 > max)
		set_error(c, -EINVAL);
	*v = o->via.u64;
}

static void codec_u32(struct codec *c, uint32_t *v, uint32_t max)
{
	uint64_t wide = *v;

	codec_u64(c, &wide, max);
	*v = (uint32_t)wide;
}

/* A time or revision, which is never negative. */
static void codec_i64(struct codec *c, int64_t *v)
{
	uint64_t wide = (uint64_t)*v;

	codec_u64(c, &wide, INT64_MAX);
	*v = (int64_t)wide;
}

static void codec_bool(struct codec *c, bool *v)
{
	const msgpack_object *o;

	if (c->encoding) {
		if (*v)
			msgpack_pack_true(&c->packer);
		else
			msgpack_pack_false(&c->packer);
		return;
	}
	o = read_item(c, MSGPACK_OBJECT_BOOLEAN);
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

/* A printable string in a buffer of `size` bytes, including the NUL. */
static void codec_text(struct codec *c, char *v, size_t size)
{
	const msgpack_object *o;
	size_t len;

	if (c->encoding) {
		len = strnlen(v, size);
		if (len == size || !is_printable(v, len))
			set_error(c, -EINVAL);
		msgpack_pack_str(&c->packer, len);
		msgpack_pack_str_body(&c->packer, v, len);
		return;
	}
	o = read_item(c, MSGPACK_OBJECT_STR);
	if (!o)
		return;
	if (o->via.str.size >= size ||
	    !is_printable(o->via.str.ptr, o->via.str.size)) {
		set_error(c, -EINVAL);
		return;
	}
	/* msgpack may return a NULL pointer for an empty string. */
	if (o->via.str.size)
		memcpy(v, o->via.str.ptr, o->via.str.size);
	v[o->via.str.size] = '\0';
}

static void codec_bytes(struct codec *c, uint8_t *v, size_t size)
{
	const msgpack_object *o;

	if (c->encoding) {
		msgpack_pack_bin(&c->packer, size);
		msgpack_pack_bin_body(&c->packer, v, size);
		return;
	}
	o = read_item(c, MSGPACK_OBJECT_BIN);
	if (!o)
		return;
	if (o->via.bin.size != size)
		set_error(c, -EINVAL);
	else
		memcpy(v, o->via.bin.ptr, size);
}

static void codec_name(struct codec *c, char *v)
{
	codec_text(c, v, NAME_BYTES);
}

static void codec_profile(struct codec *c, struct profile_record *r)
{
	uint32_t repeat = r->repeat;

	codec_name(c, r->name);
	codec_i64(c, &r->max_age_us);
	codec_u32(c, &repeat, REPEAT_BY_ID);
	r->repeat = repeat;
	codec_u32(c, &r->cost_milli, UINT32_MAX);
	codec_bool(c, &r->open);
	codec_name(c, r->open_workspace);
}

static void codec_workspace(struct codec *c, struct workspace_record *r)
{
	codec_name(c, r->name);
	codec_u32(c, &r->rate_milli_per_s, UINT32_MAX);
	codec_u32(c, &r->burst_milli, UINT32_MAX);
	codec_u32(c, &r->weight, UINT32_MAX);
}

static void codec_key(struct codec *c, struct key_record *r)
{
	codec_bytes(c, r->digest, sizeof(r->digest));
	codec_name(c, r->workspace);
}

static void codec_endpoint(struct codec *c, struct endpoint_record *r)
{
	uint32_t state = r->state;

	codec_name(c, r->name);
	codec_name(c, r->group);
	codec_name(c, r->zone);
	codec_text(c, r->address, sizeof(r->address));
	codec_u32(c, &r->slots, UINT32_MAX);
	codec_u32(c, &r->connections_max, UINT32_MAX);
	codec_u32(c, &state, ENDPOINT_LEAVING);
	r->state = state;
}

static void codec_term(struct codec *c, struct term_record *r)
{
	codec_name(c, r->group);
	codec_u64(c, &r->term, UINT64_MAX);
	codec_name(c, r->primary);
	codec_name(c, r->promoter);
	codec_u64(c, &r->change_id, UINT64_MAX);
}

static void codec_share(struct codec *c, struct share_record *r)
{
	codec_u32(c, &r->cell, UINT32_MAX);
	codec_u32(c, &r->holder_count, SHARE_HOLDERS_MAX);
	for (uint32_t i = 0; !c->error && i < r->holder_count; i++) {
		codec_name(c, r->holders[i].instance);
		codec_u64(c, &r->holders[i].incarnation, UINT64_MAX);
		codec_u32(c, &r->holders[i].ppm, SHARE_WHOLE_PPM);
	}
}

static void codec_member(struct codec *c, struct member_record *r)
{
	codec_name(c, r->name);
	codec_name(c, r->zone);
	codec_text(c, r->address, sizeof(r->address));
	codec_u64(c, &r->incarnation, UINT64_MAX);
}

static void codec_instance(struct codec *c, struct instance_record *r)
{
	codec_name(c, r->name);
	codec_bool(c, &r->leaving);
}

static void codec_record_body(struct codec *c, struct record *r)
{
	switch (r->kind) {
	case RECORD_PROFILE:
		codec_profile(c, &r->profile);
		break;
	case RECORD_WORKSPACE:
		codec_workspace(c, &r->workspace);
		break;
	case RECORD_KEY:
		codec_key(c, &r->key);
		break;
	case RECORD_ENDPOINT:
		codec_endpoint(c, &r->endpoint);
		break;
	case RECORD_TERM:
		codec_term(c, &r->term);
		break;
	case RECORD_SHARE:
		codec_share(c, &r->share);
		break;
	case RECORD_MEMBER:
		codec_member(c, &r->member);
		break;
	case RECORD_INSTANCE:
		codec_instance(c, &r->instance);
		break;
	case RECORD_KIND_COUNT:
		set_error(c, -EINVAL);
		break;
	}
}

static void codec_record(struct codec *c, struct peer_record *p)
{
	uint32_t kind = p->record.kind;

	codec_bool(c, &p->deleted);
	codec_u32(c, &kind, RECORD_KIND_COUNT - 1);
	p->record.kind = kind;
	codec_i64(c, &p->record.revision);
	if (!c->error)
		codec_record_body(c, &p->record);
}

static void codec_pong(struct codec *c, struct peer_pong *p)
{
	codec_u64(c, &p->sequence, UINT64_MAX);
	codec_i64(c, &p->config_revision);
	codec_i64(c, &p->sync_age_us);
	codec_bool(c, &p->draining);
}

static void codec_loan_request(struct codec *c, struct peer_loan_request *r)
{
	codec_u64(c, &r->loan_id, UINT64_MAX);
	codec_u64(c, &r->renews, UINT64_MAX);
	codec_name(c, r->workspace);
	codec_u32(c, &r->rate_milli_per_s, UINT32_MAX);
	codec_u32(c, &r->burst_milli, UINT32_MAX);
	codec_i64(c, &r->duration_us);
}

static void codec_loan_grant(struct codec *c, struct peer_loan_grant *g)
{
	codec_u64(c, &g->loan_id, UINT64_MAX);
	codec_name(c, g->workspace);
	codec_u32(c, &g->rate_milli_per_s, UINT32_MAX);
	codec_u32(c, &g->burst_milli, UINT32_MAX);
	codec_u32(c, &g->tokens_milli, UINT32_MAX);
	codec_i64(c, &g->duration_us);
}

static void codec_vote_request(struct codec *c, struct peer_vote_request *v)
{
	codec_u64(c, &v->sequence, UINT64_MAX);
	codec_name(c, v->group);
	codec_u64(c, &v->term, UINT64_MAX);
}

static void codec_vote(struct codec *c, struct peer_vote *v)
{
	codec_u64(c, &v->sequence, UINT64_MAX);
	codec_name(c, v->group);
	codec_u64(c, &v->term, UINT64_MAX);
	codec_bool(c, &v->silent);
}

static void codec_rates(struct codec *c, struct peer_rate *rates,
			uint32_t *count)
{
	codec_u32(c, count, PEER_RATES_MAX);
	for (uint32_t i = 0; !c->error && i < *count; i++) {
		codec_u64(c, &rates[i].workspace, UINT64_MAX);
		codec_u32(c, &rates[i].rate_milli_per_s, UINT32_MAX);
		codec_u32(c, &rates[i].in_use_milli_per_s, UINT32_MAX);
	}
}

static void codec_report(struct codec *c, struct peer_report *r)
{
	codec_u64(c, &r->sequence, UINT64_MAX);
	codec_i64(c, &r->store_revision);
	codec_u64(c, &r->confirmed, UINT64_MAX);
	codec_rates(c, r->rates, &r->rate_count);
	codec_u32(c, &r->silent_count, PEER_SILENT_MAX);
	for (uint32_t i = 0; !c->error && i < r->silent_count; i++)
		codec_u64(c, &r->silent[i], UINT64_MAX);
}

static void codec_grant(struct codec *c, struct peer_grant *g)
{
	codec_u64(c, &g->report, UINT64_MAX);
	codec_u64(c, &g->sequence, UINT64_MAX);
	codec_i64(c, &g->duration_us);
	codec_i64(c, &g->store_revision);
	codec_i64(c, &g->store_age_us);
	codec_rates(c, g->rates, &g->rate_count);
}

static void codec_quota_request(struct codec *c, struct peer_quota_request *r)
{
	codec_u64(c, &r->sequence, UINT64_MAX);
	codec_u64(c, &r->part, UINT64_MAX);
}

static void codec_quota_reply(struct codec *c, struct peer_quota_reply *r)
{
	uint32_t verdict = r->verdict;

	codec_u64(c, &r->sequence, UINT64_MAX);
	codec_u32(c, &verdict, PEER_QUOTA_VERDICT_COUNT - 1);
	r->verdict = verdict;
	codec_i64(c, &r->retry_us);
}

static void codec_choice(struct codec *c, struct peer_choice *p)
{
	codec_name(c, p->service);
	codec_name(c, p->endpoint);
	codec_u64(c, &p->term, UINT64_MAX);
}

static void codec_handover(struct codec *c, struct home_handover *h)
{
	codec_name(c, h->service);
	codec_u64(c, &h->incarnation, UINT64_MAX);
	codec_i64(c, &h->valid_us);
	codec_u32(c, &h->need_count, HANDOVER_NEEDS_MAX);
	for (uint32_t i = 0; !c->error && i < h->need_count; i++) {
		codec_u64(c, &h->needs[i].workspace, UINT64_MAX);
		codec_u64(c, &h->needs[i].endpoint, UINT64_MAX);
		codec_u32(c, &h->needs[i].rate_milli_per_s, UINT32_MAX);
	}
}

static void codec_change(struct codec *c, struct peer_change *p)
{
	codec_i64(c, &p->after);
	codec_i64(c, &p->position);
	codec_text(c, p->text, sizeof(p->text));
}

static void codec_body(struct codec *c, struct peer_message *m)
{
	switch (m->type) {
	case PEER_PING:
		codec_u64(c, &m->ping.sequence, UINT64_MAX);
		break;
	case PEER_PONG:
		codec_pong(c, &m->pong);
		break;
	case PEER_LOAN_REQUEST:
		codec_loan_request(c, &m->loan_request);
		break;
	case PEER_LOAN_GRANT:
		codec_loan_grant(c, &m->loan_grant);
		break;
	case PEER_VOTE_REQUEST:
		codec_vote_request(c, &m->vote_request);
		break;
	case PEER_VOTE:
		codec_vote(c, &m->vote);
		break;
	case PEER_RECORD:
		codec_record(c, &m->record);
		break;
	case PEER_REPORT:
		codec_report(c, &m->report);
		break;
	case PEER_GRANT:
		codec_grant(c, &m->grant);
		break;
	case PEER_QUOTA_REQUEST:
		codec_quota_request(c, &m->quota_request);
		break;
	case PEER_QUOTA_REPLY:
		codec_quota_reply(c, &m->quota_reply);
		break;
	case PEER_CHOICE:
		codec_choice(c, &m->choice);
		break;
	case PEER_HANDOVER:
		codec_handover(c, &m->handover);
		break;
	case PEER_CHANGE:
		codec_change(c, &m->change);
		break;
	case PEER_DUTY_TAKEN:
		codec_i64(c, &m->duty_taken.position);
		break;
	case PEER_MESSAGE_TYPE_COUNT:
		set_error(c, -EINVAL);
		break;
	}
}

static void codec_message(struct codec *c, struct peer_message *m)
{
	uint64_t version = PEER_MESSAGE_VERSION;
	uint32_t type = m->type;

	codec_u64(c, &version, UINT64_MAX);
	if (!c->error && version != PEER_MESSAGE_VERSION)
		set_error(c, -EPROTO);
	codec_name(c, m->peer);
	if (!c->error && !m->peer[0])
		set_error(c, -EINVAL);
	codec_u64(c, &m->incarnation, UINT64_MAX);
	codec_u32(c, &type, PEER_MESSAGE_TYPE_COUNT - 1);
	m->type = type;
	if (!c->error)
		codec_body(c, m);
}

int peer_encode(const struct peer_message *m, const char *sender, uint8_t *out,
		size_t size)
{
	struct codec c = { .encoding = true, .out = out, .size = size };
	struct peer_message copy = *m;

	size_t len = strlen(sender);

	if (len >= sizeof(copy.peer))
		return -EINVAL;
	memcpy(copy.peer, sender, len + 1);
	if (c.size > PEER_MESSAGE_MAX_BYTES)
		c.size = PEER_MESSAGE_MAX_BYTES;
	msgpack_packer_init(&c.packer, &c, append_bytes);
	codec_message(&c, &copy);
	return c.error ? c.error : (int)c.used;
}

int peer_decode(const uint8_t *data, size_t size, struct peer_message *m)
{
	struct codec c = { .data = data, .size = size };

	if (size > PEER_MESSAGE_MAX_BYTES)
		return -EMSGSIZE;
	memset(m, 0, sizeof(*m));
	msgpack_unpacked_init(&c.item);
	codec_message(&c, m);
	if (!c.error && c.used != size)
		set_error(&c, -EINVAL);
	msgpack_unpacked_destroy(&c.item);
	return c.error;
}
