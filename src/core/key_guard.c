#include "core/key_guard.h"

#include "core/error.h"

#include <glib.h>

/* Default of S - 2 G; see key_guard.h. */
static const int64_t ACCEPT_MARGIN_US = US_PER_S;
static const int64_t RETRY_AFTER_US = 500 * US_PER_MS;

struct key_guard {
	int64_t grace_us;
	int64_t accept_after_us;
	int64_t outage_max_us;
	const struct member_table *members; /* not owned */
	int64_t applied_revision;
	int64_t reported_revision; /* includes changes accepted here */
	int64_t synced_us; /* when the last sync was requested; -1: never */
	int64_t synced_since_us; /* no gap between syncs since then */
};

struct key_guard *key_guard_new(const struct key_guard_opts *opts,
				const struct member_table *members)
{
	struct key_guard *g = g_new0(struct key_guard, 1);

	g->grace_us = opts->key_grace_us;
	g->accept_after_us = opts->accept_after_us ?
				     opts->accept_after_us :
				     2 * g->grace_us + ACCEPT_MARGIN_US;
	g->outage_max_us = opts->outage_max_us;
	g->members = members;
	g->synced_us = -1;
	return g;
}

void key_guard_free(struct key_guard *g)
{
	g_free(g);
}

void key_guard_note_synced(struct key_guard *g, int64_t revision,
			   int64_t requested_us, int64_t now_us)
{
	if (requested_us <= g->synced_us)
		return;
	/*
	 * Members compare the reported revision with what they have applied.
	 * Only the first sync sets it: the revisions of later syncs also count
	 * changes of the platform that are not operators' records.
	 */
	if (g->synced_us < 0)
		g->reported_revision = MAX(g->reported_revision, revision);
	/*
	 * The gap ends at the receipt, not at the request: until now members
	 * were told the age of the previous sync.
	 */
	if (g->synced_us < 0 || now_us - g->synced_us > g->grace_us)
		g->synced_since_us = now_us;
	g->synced_us = requested_us;
	g->applied_revision = MAX(g->applied_revision, revision);
}

void key_guard_note_applied(struct key_guard *g, int64_t revision)
{
	g->applied_revision = MAX(g->applied_revision, revision);
	g->reported_revision = MAX(g->reported_revision, revision);
}

void key_guard_note_accepted(struct key_guard *g, int64_t revision)
{
	g->reported_revision = MAX(g->reported_revision, revision);
}

/* Rule (a). */
static bool is_synced(const struct key_guard *g, int64_t now_us)
{
	return g->synced_us >= 0 && now_us - g->synced_us < g->grace_us;
}

/* Rule (b) for one member. */
static bool is_confirmed_by_member(const struct key_guard *g,
				   const struct member *m, int64_t now_us)
{
	const struct member_report *r = &m->report;

	return r->ping_sent_us >= 0 && r->was_synced &&
	       now_us - r->synced_us < g->grace_us &&
	       r->config_revision <= g->applied_revision;
}

/*
 * Returns true when the member's previous process cannot have accepted a
 * change that the current one does not report.
 */
static bool is_history_complete(const struct key_guard *g,
				const struct member *m)
{
	const struct member_report *p = &m->previous_report;

	if (m->report.was_synced)
		return true;
	return p->ping_sent_us >= 0 && p->sync_age_us > g->grace_us &&
	       p->config_revision <= g->applied_revision &&
	       m->first_ping_sent_us - p->ping_sent_us <
		       g->accept_after_us - g->grace_us;
}

/* Rule (c) for one member. */
static bool is_member_cut_off(const struct key_guard *g, const struct member *m,
			      int64_t now_us)
{
	const struct member_report *r = &m->report;

	return r->ping_sent_us >= 0 && now_us - r->ping_sent_us < g->grace_us &&
	       r->sync_age_us > g->grace_us &&
	       r->config_revision <= g->applied_revision &&
	       is_history_complete(g, m);
}

/* Rule (c), except that this instance may still be synced. */
static bool is_full_outage(const struct key_guard *g, int64_t now_us)
{
	if (g->synced_us < 0 || g->reported_revision > g->applied_revision)
		return false;
	if (g->outage_max_us && now_us - g->synced_us > g->outage_max_us)
		return false;
	for (uint32_t i = 0; i < member_count(g->members); i++) {
		if (!is_member_cut_off(g, member_at(g->members, i), now_us))
			return false;
	}
	return true;
}

enum key_rule key_guard_rule(const struct key_guard *g, int64_t now_us)
{
	if (is_synced(g, now_us))
		return KEY_RULE_SYNCED;
	for (uint32_t i = 0; i < member_count(g->members); i++) {
		if (is_confirmed_by_member(g, member_at(g->members, i), now_us))
			return KEY_RULE_MEMBER;
	}
	return is_full_outage(g, now_us) ? KEY_RULE_OUTAGE : KEY_RULE_NONE;
}

int32_t key_guard_check(const struct key_guard *g, int64_t now_us,
			int64_t *retry_after_us)
{
	if (key_guard_rule(g, now_us) != KEY_RULE_NONE)
		return ERR_NONE;
	*retry_after_us = RETRY_AFTER_US;
	return ERR_KEY_UNCONFIRMED;
}

int64_t key_guard_outage_until_us(const struct key_guard *g, int64_t now_us)
{
	int64_t until = now_us + g->grace_us;

	if (is_synced(g, now_us) || !is_full_outage(g, now_us))
		return INT64_MIN;
	for (uint32_t i = 0; i < member_count(g->members); i++)
		until = MIN(until,
			    member_at(g->members, i)->report.ping_sent_us +
				    g->grace_us);
	return until;
}

bool key_guard_may_accept(const struct key_guard *g, int64_t now_us)
{
	return is_synced(g, now_us) &&
	       now_us - g->synced_since_us >= g->accept_after_us;
}

struct member_self key_guard_get_self(const struct key_guard *g, bool draining)
{
	return (struct member_self){ .config_revision = g->reported_revision,
				     .synced_us = g->synced_us,
				     .draining = draining };
}
