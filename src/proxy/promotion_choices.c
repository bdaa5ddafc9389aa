#include "proxy/promotion_choices.h"

#include <glib.h>
#include <string.h>

struct noted_choice {
	struct choice_entry entry;
	int64_t revision;
};

struct promotion_choices {
	GHashTable *by_service; /* name to struct noted_choice */
};

struct promotion_choices *promotion_choices_new(void)
{
	struct promotion_choices *p = g_new0(struct promotion_choices, 1);

	p->by_service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return p;
}

void promotion_choices_free(struct promotion_choices *p)
{
	g_hash_table_destroy(p->by_service);
	g_free(p);
}

void promotion_choices_observe(struct promotion_choices *p,
			       const struct store_item *item)
{
	struct noted_choice *n = g_hash_table_lookup(p->by_service, item->name);

	/* A list may come after a watch that was newer. */
	if (item->removed || !item->readable ||
	    (n && item->revision < n->revision))
		return;
	if (!n) {
		n = g_new0(struct noted_choice, 1);
		g_hash_table_insert(p->by_service, g_strdup(item->name), n);
	}
	n->entry = item->choice;
	n->revision = item->revision;
}

const char *promotion_choices_named(const struct promotion_choices *p,
				    const char *service, uint64_t term)
{
	const struct noted_choice *n =
		g_hash_table_lookup(p->by_service, service);

	return n && n->entry.term == term ? n->entry.endpoint : NULL;
}

bool promotion_choices_open(const struct promotion_choices *p,
			    const char *service, uint64_t term)
{
	const struct noted_choice *n =
		g_hash_table_lookup(p->by_service, service);

	return n && n->entry.term > term;
}
