#include "core/member.h"

#include <glib.h>
#include <string.h>

/* Hysteresis, in consecutive pings without and with an answer. */
enum { PINGS_UNTIL_DOWN = 4, PINGS_UNTIL_UP = 2 };

static const int64_t PING_INTERVAL_DEFAULT_US = 500 * US_PER_MS;

struct member_table {
	char name[NAME_BYTES];
	char zone[NAME_BYTES];
	uint64_t incarnation;
	int64_t interval_us;
	int64_t next_ping_us;
	uint64_t sequence;
	uint32_t cursor; /* index of the member pinged last */
	struct member_self self;
	GPtrArray *members; /* struct member, sorted by name */
};

struct member_table *member_table_new(const struct member_opts *opts)
{
	struct member_table *t = g_new0(struct member_table, 1);

	g_strlcpy(t->name, opts->instance, sizeof(t->name));
	g_strlcpy(t->zone, opts->zone ? opts->zone : "", sizeof(t->zone));
	t->incarnation = opts->incarnation;
	t->interval_us = opts->ping_interval_us ? opts->ping_interval_us :
						  PING_INTERVAL_DEFAULT_US;
	t->cursor = (uint32_t)(opts->seed ^ g_str_hash(t->zone));
	t->self.synced_us = -1;
	t->members = g_ptr_array_new_with_free_func(g_free);
	return t;
}

void member_table_free(struct member_table *t)
{
	g_ptr_array_free(t->members, TRUE);
	g_free(t);
}

/* Returns the index of the first member whose name is not less than `name`. */
static uint32_t lower_bound(const struct member_table *t, const char *name)
{
	uint32_t lo = 0;
	uint32_t hi = t->members->len;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;
		const struct member *m = g_ptr_array_index(t->members, mid);

		if (strcmp(m->name, name) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static struct member *find_member(const struct member_table *t,
				  const char *name)
{
	uint32_t i = lower_bound(t, name);
	struct member *m;

	if (i == t->members->len)
		return NULL;
	m = g_ptr_array_index(t->members, i);
	return strcmp(m->name, name) ? NULL : m;
}

/*
 * Resets a member when another process answers under its name. The last report
 * of the old process is kept.
 */
static void reset_process(struct member *m, uint64_t incarnation)
{
	if (m->report.ping_sent_us >= 0)
		m->previous_report = m->report;
	if (!m->previous_report.was_synced)
		m->previous_report.ping_sent_us = -1;
	m->incarnation = incarnation;
	m->ping_sequence = 0;
	m->pings_answered = 0;
	m->report = (struct member_report){ .ping_sent_us = -1 };
}

void member_put(struct member_table *t, const struct member_record *r)
{
	struct member *m;

	if (!strcmp(r->name, t->name))
		return;
	m = find_member(t, r->name);
	if (!m) {
		m = g_new0(struct member, 1);
		g_strlcpy(m->name, r->name, sizeof(m->name));
		m->incarnation = r->incarnation;
		m->report.ping_sent_us = -1;
		m->previous_report.ping_sent_us = -1;
		g_ptr_array_insert(t->members, (gint)lower_bound(t, r->name),
				   m);
	} else if (m->incarnation != r->incarnation) {
		reset_process(m, r->incarnation);
	}
	g_strlcpy(m->zone, r->zone, sizeof(m->zone));
	g_strlcpy(m->address, r->address, sizeof(m->address));
}

bool member_delete(struct member_table *t, const char *name)
{
	struct member *m = find_member(t, name);

	if (!m)
		return false;
	g_ptr_array_remove_index(t->members, lower_bound(t, name));
	return true;
}

void member_set_self(struct member_table *t, const struct member_self *self)
{
	t->self = *self;
}

static void record_unanswered_ping(struct member *m, struct action_queue *out)
{
	m->pings_answered = 0;
	m->pings_unanswered++;
	if (!m->alive || m->pings_unanswered < PINGS_UNTIL_DOWN)
		return;
	m->alive = false;
	action_queue_log(out, LOG_PEER_DOWN, 0, m->name, m->pings_unanswered,
			 "consecutive pings not answered; peer marked down");
}

static void send_ping(struct member_table *t, struct member *m, int64_t now_us,
		      struct action_queue *out)
{
	struct peer_message p = { .type = PEER_PING };
	struct action a = { .type = ACTION_PEER_SEND, .peer = &p };

	if (m->ping_sequence)
		record_unanswered_ping(m, out);
	m->ping_sequence = ++t->sequence;
	m->ping_sent_us = now_us;
	g_strlcpy(p.peer, m->name, sizeof(p.peer));
	p.incarnation = t->incarnation;
	p.ping.sequence = m->ping_sequence;
	action_queue_push(out, &a);
}

void member_run(struct member_table *t, int64_t now_us,
		struct action_queue *out)
{
	uint32_t n = MIN(t->members->len, MEMBER_PINGS_MAX);

	if (now_us < t->next_ping_us)
		return;
	t->next_ping_us = now_us + t->interval_us;
	for (uint32_t i = 0; i < n; i++) {
		t->cursor = (t->cursor + 1) % t->members->len;
		send_ping(t, g_ptr_array_index(t->members, t->cursor), now_us,
			  out);
	}
}

static void send_pong(const struct member_table *t,
		      const struct peer_message *m, int64_t now_us,
		      struct action_queue *out)
{
	struct peer_message p = { .type = PEER_PONG };
	struct action a = { .type = ACTION_PEER_SEND, .peer = &p };

	g_strlcpy(p.peer, m->peer, sizeof(p.peer));
	p.incarnation = t->incarnation;
	p.pong.sequence = m->ping.sequence;
	p.pong.config_revision = t->self.config_revision;
	p.pong.sync_age_us = t->self.synced_us < 0 ? SYNC_AGE_NEVER :
						     now_us - t->self.synced_us;
	p.pong.draining = t->self.draining;
	action_queue_push(out, &a);
}

static void record_answered_ping(struct member *m, struct action_queue *out)
{
	m->pings_unanswered = 0;
	m->pings_answered++;
	if (m->alive || m->pings_answered < PINGS_UNTIL_UP)
		return;
	m->alive = true;
	action_queue_log(out, LOG_PEER_UP, 0, m->name, m->pings_answered,
			 "consecutive pings answered; peer marked up");
}

static void handle_pong(struct member_table *t, const struct peer_message *p,
			struct action_queue *out)
{
	struct member *m = find_member(t, p->peer);
	bool never = p->pong.sync_age_us == SYNC_AGE_NEVER;

	if (!m || !m->ping_sequence || p->pong.sequence != m->ping_sequence ||
	    p->pong.sync_age_us < 0)
		return;
	if (p->incarnation != m->incarnation)
		reset_process(m, p->incarnation);
	m->ping_sequence = 0;
	if (m->report.ping_sent_us < 0)
		m->first_ping_sent_us = m->ping_sent_us;
	m->report.ping_sent_us = m->ping_sent_us;
	m->report.config_revision = p->pong.config_revision;
	m->report.was_synced = !never;
	m->report.sync_age_us = p->pong.sync_age_us;
	m->report.synced_us = never ? 0 : m->ping_sent_us - p->pong.sync_age_us;
	m->report.draining = p->pong.draining;
	record_answered_ping(m, out);
}

bool member_handle_message(struct member_table *t, const struct peer_message *m,
			   int64_t now_us, struct action_queue *out)
{
	switch (m->type) {
	case PEER_PING:
		send_pong(t, m, now_us, out);
		return true;
	case PEER_PONG:
		handle_pong(t, m, out);
		return true;
	default:
		return false;
	}
}

const struct member *member_find(const struct member_table *t, const char *name)
{
	return find_member(t, name);
}

const struct member *member_at(const struct member_table *t, uint32_t i)
{
	return i < t->members->len ? g_ptr_array_index(t->members, i) : NULL;
}

uint32_t member_count(const struct member_table *t)
{
	return t->members->len;
}

uint32_t member_count_alive(const struct member_table *t)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < t->members->len; i++)
		n += member_at(t, i)->alive;
	return n;
}

bool member_is_alive(const struct member_table *t, const char *name)
{
	const struct member *m = find_member(t, name);

	return m && m->alive;
}

uint32_t member_self_rank(const struct member_table *t)
{
	uint32_t end = lower_bound(t, t->name);
	uint32_t n = 0;

	for (uint32_t i = 0; i < end; i++)
		n += member_at(t, i)->alive;
	return n;
}

const char *member_self_name(const struct member_table *t)
{
	return t->name;
}

struct member_status member_get_status(const struct member_table *t, uint32_t i,
				       int64_t now_us)
{
	const struct member *m = member_at(t, i);
	struct member_status s = { .config_revision = -1,
				   .sync_age_us = -1,
				   .report_age_us = -1 };

	if (!m)
		return s;
	s.name = m->name;
	s.alive = m->alive;
	if (m->report.ping_sent_us < 0)
		return s;
	s.config_revision = m->report.config_revision;
	s.report_age_us = now_us - m->report.ping_sent_us;
	if (m->report.was_synced)
		s.sync_age_us = now_us - m->report.synced_us;
	return s;
}
