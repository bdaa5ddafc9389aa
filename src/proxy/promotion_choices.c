#include "proxy/promotion_choices.h"

#include <glib.h>
#include <string.h>

struct stored_choice {
	struct choice_entry entry;
	int64_t revision;
};

struct promotion_choices {
	GHashTable *by_service; /* name to struct stored_choice */
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

void promotion_choices_update(struct promotion_choices *p,
			      const struct store_item *item)
{
	struct stored_choice *c =
		g_hash_table_lookup(p->by_service, item->name);

	/* A list may arrive after a watch that already gave a newer entry. */
	if (item->removed || !item->readable ||
	    (c && item->revision < c->revision))
		return;
	if (!c) {
		c = g_new0(struct stored_choice, 1);
		g_hash_table_insert(p->by_service, g_strdup(item->name), c);
	}
	c->entry = item->choice;
	c->revision = item->revision;
}

const char *promotion_choices_find(const struct promotion_choices *p,
				   const char *service, uint64_t term)
{
	const struct stored_choice *c =
		g_hash_table_lookup(p->by_service, service);

	return c && c->entry.term == term ? c->entry.endpoint : NULL;
}

const char *promotion_choices_last(const struct promotion_choices *p,
				   const char *service)
{
	const struct stored_choice *c =
		g_hash_table_lookup(p->by_service, service);

	return c ? c->entry.endpoint : NULL;
}

bool promotion_choices_is_pending(const struct promotion_choices *p,
				  const char *service, uint64_t term)
{
	const struct stored_choice *c =
		g_hash_table_lookup(p->by_service, service);

	return c && c->entry.term > term;
}
