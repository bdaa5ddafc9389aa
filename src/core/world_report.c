#include "core/world_report.h"

#include "core/endpoint_set.h"
#include "core/world_state.h"

struct world_report world_report(const struct world *w, int64_t now_us)
{
	struct member_self self = key_guard_get_self(w->keys, w->draining);

	return (struct world_report){
		.config_revision = w->config_known ? self.config_revision : -1,
		.keys_confirmed =
			key_guard_rule(w->keys, now_us) != KEY_RULE_NONE,
		.draining = w->draining,
		.requests = w->requests.used,
		.transactions = w->transactions.open.count,
		.groups = w->groups->len,
		.endpoints = w->endpoints->len,
		.members = member_count(w->members),
	};
}

struct group_report world_report_group(const struct world *w, uint32_t i)
{
	const struct group *g = world_group(w, i);
	const struct promotion *p =
		&g_array_index(w->promotions, struct promotion, i);

	return (struct group_report){
		.name = g->name,
		.primary = g->primary == NO_INDEX ?
				   "" :
				   world_endpoint(w, g->primary)->record.name,
		.term = g->term,
		.waiting = g->waiting.count,
		.unconfirmed = g->unconfirmed.count,
		.promotions = p->completed,
	};
}

struct endpoint_report world_report_endpoint(const struct world *w, uint32_t i,
					     int64_t now_us)
{
	const struct endpoint *e = world_endpoint(w, i);

	return (struct endpoint_report){
		.name = e->record.name,
		.group = e->record.group,
		.zone = e->record.zone,
		.usable = endpoint_is_usable(e),
		.leaving = endpoint_is_leaving(e),
		.down = e->down,
		.status = e->status,
		.status_age_us = e->has_status ? now_us - e->requested_us : -1,
		.connections = e->work_conns,
		.queued = e->queue.count,
	};
}

struct member_status world_report_member(const struct world *w, uint32_t i,
					 int64_t now_us)
{
	return member_get_status(w->members, i, now_us);
}

struct limit_status world_report_limit(struct world *w, const char *workspace,
				       int64_t now_us)
{
	return limit_get_status(w->limits, workspace, now_us);
}

bool world_may_accept_changes(const struct world *w, int64_t now_us)
{
	return key_guard_may_accept(w->keys, now_us);
}

bool world_may_change_endpoint(const struct world *w,
			       const struct endpoint_record *r, bool deleted)
{
	return endpoint_set_may_change(w, r, deleted);
}

void world_record_accepted_change(struct world *w, int64_t revision)
{
	key_guard_note_accepted(w->keys, revision);
}

int32_t world_find_workspace(const struct world *w, const uint8_t *key_digest,
			     const char *profile, char workspace[NAME_BYTES])
{
	const struct profile_record *p =
		catalog_find_profile(&w->catalog, profile);
	const struct key_record *k;

	if (!w->config_known)
		return ERR_NO_CONFIG;
	if (!p)
		return ERR_UNKNOWN_PROFILE;
	if (p->open) {
		g_strlcpy(workspace, p->open_workspace, NAME_BYTES);
		return 0;
	}
	if (!key_digest)
		return ERR_NO_KEY;
	k = catalog_find_key(&w->catalog, key_digest);
	if (!k)
		return ERR_BAD_KEY;
	g_strlcpy(workspace, k->workspace, NAME_BYTES);
	return 0;
}

void world_get_endpoint_guard(const struct world *w, const char *group,
			      struct endpoint_guard *out)
{
	endpoint_set_get_guard(w, group, out);
}
