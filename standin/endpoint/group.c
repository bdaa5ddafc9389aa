#include "group.h"

#include "base/loop.h"

#include <errno.h>

struct group {
	struct group_opts opts;
	uint64_t current_term;
	uint64_t primary_seen_term; /* latest term with another primary */
	bool primary;
	GPtrArray *records; /* of struct log_record; offset 1 is first */
};

static void record_free(gpointer p)
{
	struct log_record *r = p;

	json_decref(r->changes);
	g_free(r);
}

struct group *group_new(const struct group_opts *opts)
{
	struct group *g = g_new0(struct group, 1);

	g->opts = *opts;
	g->records = g_ptr_array_new_with_free_func(record_free);
	return g;
}

void group_free(struct group *g)
{
	g_ptr_array_free(g->records, TRUE);
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
	return g->records->len;
}

const struct log_record *group_record(const struct group *g, uint64_t offset)
{
	if (offset == 0 || offset > g->records->len)
		return NULL;
	return g_ptr_array_index(g->records, offset - 1);
}

const struct log_record *group_last(const struct group *g)
{
	return group_record(g, g->records->len);
}

static void add_record(struct group *g, uint64_t term, json_t *changes)
{
	struct log_record *r = g_new0(struct log_record, 1);

	r->term = term;
	r->offset = g->records->len + 1;
	r->committed_us = loop_now_us();
	r->changes = changes;
	g_ptr_array_add(g->records, r);
}

void group_append(struct group *g, json_t *changes)
{
	add_record(g, g->current_term, changes);
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

/* Tables have no history, so a shorter log means to build them again. */
static void truncate_from(struct group *g, uint64_t offset)
{
	g_ptr_array_set_size(g->records, (gint)offset - 1);
	store_reset(g->opts.store);
	for (guint i = 0; i < g->records->len; i++) {
		const struct log_record *r = g_ptr_array_index(g->records, i);

		store_apply(g->opts.store, r->changes);
	}
}

static void accept_record(struct group *g, const json_t *j)
{
	uint64_t term = json_integer_value(json_object_get(j, "term"));
	uint64_t offset = json_integer_value(json_object_get(j, "offset"));
	json_t *changes = json_object_get(j, "changes");
	const struct log_record *have = group_record(g, offset);

	if (have && have->term == term)
		return;
	if (have)
		truncate_from(g, offset);
	if (offset != g->records->len + 1)
		return;
	add_record(g, term, json_incref(changes));
	store_apply(g->opts.store, changes);
}

int group_accept(struct group *g, const struct group_append_request *r)
{
	const struct log_record *previous;
	size_t i;
	json_t *j;

	if (r->term < g->current_term ||
	    (r->term == g->current_term && g->primary))
		return -ESTALE;
	group_raise_term(g, r->term);
	g->primary_seen_term = r->term;
	previous = group_record(g, r->previous_offset);
	if (r->previous_offset > 0 &&
	    (!previous || previous->term != r->previous_term))
		return -ENOENT;
	json_array_foreach((json_t *)r->records, i, j) accept_record(g, j);
	return 0;
}
