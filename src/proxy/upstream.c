#include "proxy/upstream.h"

#include "proxy/primary_fence.h"

#include <string.h>
#include <xxhash.h>

enum {
	AVERAGE_WEIGHT = 8, /* a new value counts for one eighth */
	/* Assumed until the first answer: a few round trips and some work. */
	INITIAL_LATENCY_US = 20 * 1000,
	INITIAL_HANDSHAKE_US = 20 * 1000,
	/*
	 * Connecting takes one round trip, so a longer silence is more than a
	 * network delay.
	 */
	SILENCE_TIMEOUT_US = 150 * 1000,
	/*
	 * Assumed at first: detection, agreement and a promotion of about one
	 * second.
	 */
	INITIAL_OUTAGE_US = 1500 * 1000,
	OUTAGE_WEIGHT = 2, /* the last outage counts for half */
	/* A refusal that the next answer corrects is not an outage. */
	OUTAGE_MIN_US = 200 * 1000,
	/* A longer outage waits for a replica, not for a promotion. */
	OUTAGE_MAX_US = 6000 * 1000,
	/* An average that is not renewed halves in this time. */
	LATENCY_HALF_LIFE_US = 1000 * 1000,
	LATENCY_EXPIRY_US = 8 * LATENCY_HALF_LIFE_US,
	/* Statements that wait; many times what an endpoint runs at once. */
	QUEUE_JOBS_MAX = 2048,
	/*
	 * Part of the room, in thousandths, that a class keeps while more
	 * urgent ones wait: enough to see that its work is still done.
	 */
	CLASS_PART_MILLI = 50,
};

/* Far longer than the answers of an endpoint may be late. */
static const int64_t REPEATS_MEMORY_US = 60 * US_PER_S;

static void upstream_destroy(gpointer p)
{
	struct upstream *u = p;

	g_ptr_array_free(u->conns, TRUE);
	endpoint_health_free(u->health);
	g_free(u);
}

struct service *service_new(const char *name)
{
	const struct scheduler_opts queue = { .jobs_max = QUEUE_JOBS_MAX,
					      .part_milli = CLASS_PART_MILLI };
	struct service *s = g_new0(struct service, 1);

	g_strlcpy(s->name, name, sizeof(s->name));
	s->upstreams = g_ptr_array_new_with_free_func(upstream_destroy);
	s->homes = g_ptr_array_new_with_free_func(upstream_destroy);
	s->observers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->queue = scheduler_new(&queue);
	s->conns_max = 1;
	s->typical_outage_us = INITIAL_OUTAGE_US;
	return s;
}

void service_free(struct service *s)
{
	g_ptr_array_free(s->upstreams, TRUE);
	g_ptr_array_free(s->homes, TRUE);
	g_hash_table_destroy(s->observers);
	scheduler_free(s->queue);
	g_free(s);
}

static struct upstream *upstream_alloc(struct service *s,
				       const struct upstream_entry *e)
{
	struct upstream *u = g_new0(struct upstream, 1);

	u->entry = *e;
	u->service = s;
	u->listed = true;
	u->conns = g_ptr_array_new();
	u->health = endpoint_health_new();
	u->latency_us = INITIAL_LATENCY_US;
	u->handshake_us = INITIAL_HANDSHAKE_US;
	return u;
}

struct upstream *upstream_new(struct service *s, const struct upstream_entry *e)
{
	struct upstream *u = upstream_alloc(s, e);

	g_ptr_array_add(s->upstreams, u);
	return u;
}

struct upstream *upstream_new_home(struct service *s,
				   const struct upstream_entry *e)
{
	struct upstream *u = upstream_alloc(s, e);

	u->is_home = true;
	g_ptr_array_add(s->homes, u);
	return u;
}

void upstream_free_home(struct upstream *u)
{
	g_ptr_array_remove(u->service->homes, u);
}

void upstream_free(struct upstream *u)
{
	struct service *s = u->service;

	g_assert(s->primary != u);
	if (s->expired_primary == u)
		s->expired_primary = NULL;
	g_ptr_array_remove(s->upstreams, u);
}

uint64_t upstream_id_hash(const struct upstream *u)
{
	return XXH64(u->entry.id, strlen(u->entry.id), 0);
}

const struct upstream *service_last_primary(const struct service *s)
{
	return s->primary ? s->primary : s->expired_primary;
}

static bool has_known_successor(const struct upstream *u)
{
	const GPtrArray *upstreams = u->service->upstreams;

	for (guint i = 0; i < upstreams->len; i++) {
		const struct upstream *other = g_ptr_array_index(upstreams, i);

		if (upstream_started_before(u, other))
			return true;
	}
	return false;
}

bool upstream_has_ended(const struct upstream *u)
{
	return u->replaced && !u->listed;
}

bool upstream_has_unknown_successor(const struct upstream *u)
{
	return upstream_has_ended(u) && !has_known_successor(u);
}

bool upstream_started_before(const struct upstream *u,
			     const struct upstream *other)
{
	return other != u && !strcmp(other->entry.address, u->entry.address) &&
	       u->entry.started_ms < other->entry.started_ms;
}

bool upstream_is_usable(const struct upstream *u)
{
	return u->listed && !u->entry.leaving;
}

bool upstream_is_usable_primary(const struct upstream *u)
{
	bool interim = u->interim_primary && u->entry.leaving;

	return u == u->service->primary && !u->expired && !interim &&
	       !service_is_fenced(u->service);
}

void upstream_record_position(struct upstream *u, struct position p,
			      int64_t now_us)
{
	struct service *s = u->service;

	u->has_position = true;
	u->position = p;
	u->received = position_max(u->received, p);
	u->lag_us = mark_ring_min_lag_us(&s->marks, p, now_us);
	s->term = MAX(s->term, p.term);
}

void upstream_note_repetition(struct upstream *u, int64_t now_us)
{
	/* The newest marks may rest on copies. */
	if (u->service->primary == u && !upstream_repeats_answers(u, now_us))
		mark_ring_clear(&u->service->marks);
	u->repeated_us = now_us;
}

bool upstream_repeats_answers(const struct upstream *u, int64_t now_us)
{
	return u->repeated_us && now_us - u->repeated_us < REPEATS_MEMORY_US;
}

void upstream_record_answer(struct upstream *u)
{
	u->silent_since_us = 0;
	u->connection_refused = false;
}

void upstream_record_own_answer(struct upstream *u)
{
	upstream_record_answer(u);
	u->unanswered_since_us = 0;
}

void upstream_expire(struct upstream *u, int64_t now_us)
{
	struct service *s = u->service;
	bool was_primary = s->primary == u;

	u->expired = true;
	service_update_primary(u, PRIMARY_CLAIM_DENIED, now_us);
	if (was_primary && !s->primary)
		s->expired_primary = u;
}

void upstream_set_listed(struct upstream *u)
{
	if (!u->listed) {
		u->replaced = false;
		u->foreign = false;
	}
	u->listed = true;
	u->expired = false;
	u->missing_since_us = 0;
	u->unanswered_since_us = 0;
}

void upstream_record_latency(struct upstream *u, int64_t took_us,
			     int64_t now_us)
{
	int64_t before = upstream_expected_latency_us(u, now_us);

	u->latency_us = before + (took_us - before) / AVERAGE_WEIGHT;
	u->latency_at_us = now_us;
}

void upstream_record_handshake(struct upstream *u, int64_t took_us)
{
	u->handshake_us += (took_us - u->handshake_us) / AVERAGE_WEIGHT;
}

int64_t upstream_expected_latency_us(const struct upstream *u, int64_t now_us)
{
	int64_t idle_us = now_us - u->latency_at_us;

	/* Try a slow endpoint again once its average is old. */
	if (!u->latency_at_us || idle_us >= LATENCY_EXPIRY_US)
		return MIN(u->latency_us, INITIAL_LATENCY_US);
	return MAX(u->latency_us >> (idle_us / LATENCY_HALF_LIFE_US), 1);
}

/*
 * Returns the endpoint with the latest term of those that claim to be primary.
 */
static struct upstream *find_latest_claimant(const struct service *s)
{
	struct upstream *best = NULL;

	for (guint i = 0; i < s->upstreams->len; i++) {
		struct upstream *u = g_ptr_array_index(s->upstreams, i);

		if (u->claims_primary &&
		    (!best || u->position.term > best->position.term))
			best = u;
	}
	return best;
}

static bool set_primary(struct service *s, struct upstream *u, int64_t now_us)
{
	int64_t since_us = service_outage_since_us(s, now_us);

	if (s->primary == u)
		return false;
	if (u && since_us)
		service_record_recovery(s, now_us - since_us);
	s->primary = u;
	if (u) {
		s->expired_primary = NULL;
		u->interim_primary = s->knew_primary && u->entry.leaving;
		s->knew_primary = true;
	}
	/* An outage that began with a silent primary keeps its start. */
	s->primary_lost_us = u ? 0 : since_us ? since_us : now_us;
	return true;
}

bool upstream_is_silent(const struct upstream *u, int64_t now_us)
{
	return u->silent_since_us &&
	       (u->connection_refused ||
		now_us - u->silent_since_us >= SILENCE_TIMEOUT_US);
}

int64_t service_outage_since_us(const struct service *s, int64_t now_us)
{
	if (!s->primary)
		return s->primary_lost_us;
	if (service_is_fenced(s))
		return s->ordered_us;
	return upstream_is_silent(s->primary, now_us) ?
		       s->primary->silent_since_us :
		       0;
}

void service_record_recovery(struct service *s, int64_t took_us)
{
	if (took_us < OUTAGE_MIN_US)
		return;
	s->typical_outage_us +=
		(MIN(took_us, OUTAGE_MAX_US) - s->typical_outage_us) /
		OUTAGE_WEIGHT;
}

bool service_update_primary(struct upstream *u, enum primary_claim claim,
			    int64_t now_us)
{
	struct service *s = u->service;

	u->claims_primary = claim != PRIMARY_CLAIM_DENIED;
	if (claim == PRIMARY_CLAIM_CONFIRMED)
		return set_primary(s, u, now_us);
	if (s->primary && s->primary->claims_primary)
		return false;
	return set_primary(s, find_latest_claimant(s), now_us);
}
