#include "order_check.h"

#include "core/sizes.h"
#include "control_client.h"
#include "primary.h"

#include <stdio.h>
#include <string.h>

/* What is wrong, over all groups. */
struct findings {
	uint32_t lost;
	uint32_t twice;
	uint32_t rejected; /* by the endpoint, with an SQL error */
	uint32_t false_not_run;
	uint32_t unread_groups;
};

/* Returns how often each order id is stored, or NULL. */
static GHashTable *read_orders(const struct plan *p, const char *group)
{
	const struct plan_endpoint *e = primary_find(p, group);
	GHashTable *orders;
	char *dump;
	char **lines;

	if (!e)
		return NULL;
	dump = control_ask(e->control, "dump orders");
	lines = g_strsplit(dump, "\n", 0);
	orders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (char **l = lines; *l; l++) {
		char *id = g_strndup(*l, strcspn(*l, "\t"));
		gpointer n = g_hash_table_lookup(orders, id);

		g_hash_table_replace(orders, id,
				     GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
	}
	g_strfreev(lines);
	g_free(dump);
	return orders;
}

static void compare(const struct records *r, uint32_t group, GHashTable *orders,
		    struct findings *out)
{
	for (guint i = 0; i < r->rows->len; i++) {
		const struct record *x =
			&g_array_index(r->rows, struct record, i);
		guint stored;

		if (x->group != group || !work_writes(x->kind))
			continue;
		stored = GPOINTER_TO_UINT(
			g_hash_table_lookup(orders, x->order_id));
		if (!x->error && !stored) {
			out->lost++;
			printf("lost: %s\n", x->order_id);
		}
		if (x->error && x->verdict == VERDICT_NOT_RUN && stored) {
			out->false_not_run++;
			printf("false not_run: %s, error %d, kind %s\n",
			       x->order_id, x->error, work_kind_name(x->kind));
		}
		/* The order's key is new: it was there, so it ran twice. */
		out->twice += stored > 1 || x->duplicate;
		if (x->error == ERR_SQL) {
			out->rejected++;
			printf("rejected: %s, %s, kind %s, %u sends, stored "
			       "%u\n",
			       x->order_id,
			       x->duplicate ? "key exists" : "other error",
			       work_kind_name(x->kind), x->sends, stored);
		}
	}
}

void ledger_verify(const struct records *r, const struct plan *p,
		   struct figures *f)
{
	struct findings all = { 0 };

	for (uint32_t g = 0; g < p->group_count; g++) {
		GHashTable *orders = read_orders(p, p->groups[g]);

		if (!orders) {
			all.unread_groups++;
			continue;
		}
		compare(r, g, orders, &all);
		g_hash_table_destroy(orders);
	}
	figures_target(f, "confirmed_lost", all.lost, "requests", BOUND_AT_MOST,
		       0);
	figures_target(f, "booked_twice", all.twice, "requests", BOUND_AT_MOST,
		       0);
	figures_target(f, "rejected_writes", all.rejected, "requests",
		       BOUND_AT_MOST, 0);
	figures_target(f, "false_not_run", all.false_not_run, "requests",
		       BOUND_AT_MOST, 0);
	figures_target(f, "groups_not_verified", all.unread_groups, "groups",
		       BOUND_AT_MOST, 0);
}
