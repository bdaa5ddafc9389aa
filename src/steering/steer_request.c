#include "steering/steer_request.h"

#include <glib.h>
#include <string.h>

/* A request in force, found by its subject. */
struct steer_row {
	struct steer_request request;
	int64_t end_us; /* steady clock */
	bool listed; /* put since the list began */
	/*
	 * The row stays for as long as the store has the entry: a list that
	 * brings it again must not begin it anew.
	 */
	bool ended;
};

struct steer_table {
	GHashTable *rows[STEER_KINDS]; /* subject to struct steer_row */
};

static const char *const kind_names[] = {
	[STEER_AVOID_ENDPOINT] = "avoid-endpoint",
	[STEER_AVOID_INSTANCE] = "avoid-instance",
	[STEER_AVOID_ZONE] = "avoid-zone",
	[STEER_MOVE_PRIMARY] = "move-primary",
	[STEER_PAUSE_WRITES] = "pause-writes",
};

const char *steer_kind_name(enum steer_kind kind)
{
	return kind_names[kind];
}

bool steer_kind_from_name(const char *name, enum steer_kind *out)
{
	for (uint32_t i = 0; i < STEER_KINDS; i++) {
		if (strcmp(name, kind_names[i]) != 0)
			continue;
		*out = (enum steer_kind)i;
		return true;
	}
	return false;
}

struct steer_table *steer_table_new(void)
{
	struct steer_table *t = g_new0(struct steer_table, 1);

	for (uint32_t i = 0; i < STEER_KINDS; i++)
		t->rows[i] = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, g_free);
	return t;
}

void steer_table_free(struct steer_table *t)
{
	for (uint32_t i = 0; i < STEER_KINDS; i++)
		g_hash_table_destroy(t->rows[i]);
	g_free(t);
}

static bool is_well_formed(const struct steer_request *r)
{
	return (uint32_t)r->kind < STEER_KINDS && r->subject[0] && r->by[0] &&
	       memchr(r->subject, '\0', sizeof(r->subject)) &&
	       memchr(r->by, '\0', sizeof(r->by)) && r->until_ms > 0;
}

static bool is_same_request(const struct steer_request *a,
			    const struct steer_request *b)
{
	return a->until_ms == b->until_ms && !strcmp(a->by, b->by);
}

bool steer_table_put(struct steer_table *t, const struct steer_request *r,
		     int64_t now_us, int64_t now_ms)
{
	const int64_t max_ms = (int64_t)STEER_MAX_S * 1000;
	struct steer_row *row;

	if (!is_well_formed(r))
		return false;
	row = g_hash_table_lookup(t->rows[r->kind], r->subject);
	if (row && is_same_request(&row->request, r)) {
		row->listed = true;
		return true;
	}
	steer_table_remove(t, r->kind, r->subject);
	row = g_new0(struct steer_row, 1);
	row->request = *r;
	row->end_us =
		now_us + CLAMP(r->until_ms - now_ms, 0, max_ms) * US_PER_MS;
	row->ended = row->end_us == now_us;
	row->listed = true;
	g_hash_table_insert(t->rows[r->kind], row->request.subject, row);
	return true;
}

void steer_table_remove(struct steer_table *t, enum steer_kind kind,
			const char *subject)
{
	if ((uint32_t)kind < STEER_KINDS)
		g_hash_table_remove(t->rows[kind], subject);
}

void steer_table_begin_list(struct steer_table *t)
{
	GHashTableIter it;
	gpointer row;

	for (uint32_t i = 0; i < STEER_KINDS; i++) {
		g_hash_table_iter_init(&it, t->rows[i]);
		while (g_hash_table_iter_next(&it, NULL, &row))
			((struct steer_row *)row)->listed = false;
	}
}

static gboolean is_unlisted(gpointer subject, gpointer row, gpointer data)
{
	return !((const struct steer_row *)row)->listed;
}

void steer_table_end_list(struct steer_table *t)
{
	for (uint32_t i = 0; i < STEER_KINDS; i++)
		g_hash_table_foreach_remove(t->rows[i], is_unlisted, NULL);
}

uint32_t steer_table_expire(struct steer_table *t, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	uint32_t count = 0;

	for (uint32_t i = 0; i < STEER_KINDS; i++) {
		g_hash_table_iter_init(&it, t->rows[i]);
		while (g_hash_table_iter_next(&it, NULL, &value)) {
			struct steer_row *row = value;

			if (row->ended || now_us < row->end_us)
				continue;
			row->ended = true;
			count++;
		}
	}
	return count;
}

int64_t steer_remaining_us(const struct steer_table *t, enum steer_kind kind,
			   const char *subject, int64_t now_us)
{
	const struct steer_row *row;

	if (!g_hash_table_size(t->rows[kind]))
		return 0;
	row = g_hash_table_lookup(t->rows[kind], subject);
	return row ? MAX(row->end_us - now_us, 0) : 0;
}

bool steer_applies(const struct steer_table *t, enum steer_kind kind,
		   const char *subject, int64_t now_us)
{
	return steer_remaining_us(t, kind, subject, now_us) > 0;
}

uint32_t steer_table_count(const struct steer_table *t)
{
	GHashTableIter it;
	gpointer row;
	uint32_t count = 0;

	for (uint32_t i = 0; i < STEER_KINDS; i++) {
		g_hash_table_iter_init(&it, t->rows[i]);
		while (g_hash_table_iter_next(&it, NULL, &row))
			count += !((const struct steer_row *)row)->ended;
	}
	return count;
}
