#include "group.h"

#include "base/loop.h"

#include <errno.h>

struct group {
	struct group_opts opts;
	uint64_t current_term;
	uint64_t primary_seen_term; /* last with another primary */
	bool primary;
	GPtrArray *entries; /* struct group_log_entry, from offset 1 */
};

static void entry_free(gpointer p)
{
	struct group_log_entry *e = p;

	json_decref(e->changes);
	g_free(e);
}

struct group *group_new(const struct group_opts *opts)
{
	struct group *g = g_new0(struct group, 1);

	g->opts = *opts;
	g->entries = g_ptr_array_new_with_free_func(entry_free);
	return g;
}

void group_free(struct group *g)
{
	g_ptr_array_free(g->entries, TRUE);
	g_free(g);
}

uint64_t group_current_term(const struct group *g)
{
	return g->current_term;
}

bool group_is_primary(const struct group *g)
{
	return g->primary;
}

uint64_t group_last_offset(const struct group *g)
{
	return g->entries->len;
}

const struct group_log_entry *group_get_entry(const struct group *g,
					      uint64_t offset)
{
	if (offset == 0 || offset > g->entries->len)
		return NULL;
	return g_ptr_array_index(g->entries, offset - 1);
}

const struct group_log_entry *group_last_entry(const struct group *g)
{
	return group_get_entry(g, g->entries->len);
}

static void add_entry(struct group *g, uint64_t term, json_t *changes)
{
	struct group_log_entry *e = g_new0(struct group_log_entry, 1);

	e->term = term;
	e->offset = g->entries->len + 1;
	e->appended_us = loop_now_us();
	e->changes = changes;
	g_ptr_array_add(g->entries, e);
}

void group_append(struct group *g, json_t *changes)
{
	add_entry(g, g->current_term, changes);
	g->opts.on_changed(g->opts.data);
}

static void demote(struct group *g)
{
	if (!g->primary)
		return;
	g->primary = false;
	g->opts.on_demoted(g->opts.data);
	g->opts.on_changed(g->opts.data);
}

void group_raise_term(struct group *g, uint64_t term)
{
	if (term <= g->current_term)
		return;
	g->current_term = term;
	demote(g);
}

int group_promote(struct group *g, uint64_t term)
{
	if (term < g->current_term || term == g->primary_seen_term)
		return -ESTALE;
	if (g->primary && term == g->current_term)
		return 0;
	group_raise_term(g, term);
	g->primary = true;
	group_append(g, NULL);
	return 0;
}

/*
 * Removes the entries from `offset` on. Tables keep no history, so they are
 * rebuilt from the remaining entries.
 */
static void truncate_log(struct group *g, uint64_t offset)
{
	g_ptr_array_set_size(g->entries, (gint)offset - 1);
	store_reset(g->opts.store);
	for (guint i = 0; i < g->entries->len; i++) {
		const struct group_log_entry *e =
			g_ptr_array_index(g->entries, i);

		store_apply(g->opts.store, e->changes);
	}
}

/*
 * Appends and applies an entry that the log does not have. An entry of another
 * term at its offset is removed first, with all that follow.
 */
static void accept_entry(struct group *g, const json_t *j)
{
	uint64_t term = json_integer_value(json_object_get(j, "term"));
	uint64_t offset = json_integer_value(json_object_get(j, "offset"));
	json_t *changes = json_object_get(j, "changes");
	const struct group_log_entry *existing = group_get_entry(g, offset);

	if (existing && existing->term == term)
		return;
	if (existing)
		truncate_log(g, offset);
	if (offset != g->entries->len + 1)
		return;
	add_entry(g, term, json_incref(changes));
	store_apply(g->opts.store, changes);
}

int group_handle_append(struct group *g, const struct group_append_request *r)
{
	const struct group_log_entry *previous;
	size_t i;
	json_t *j;

	if (r->term < g->current_term ||
	    (r->term == g->current_term && g->primary))
		return -ESTALE;
	group_raise_term(g, r->term);
	g->primary_seen_term = r->term;
	previous = group_get_entry(g, r->previous_offset);
	if (r->previous_offset > 0 &&
	    (!previous || previous->term != r->previous_term))
		return -ENOENT;
	json_array_foreach((json_t *)r->entries, i, j) accept_entry(g, j);
	return 0;
}
