#include "admin/entry_json.h"

#include "etcd/record_codec.h"

#include <glib.h>
#include <string.h>

json_t *entry_to_json(const struct record *r)
{
	char name[RECORD_NAME_BYTES];

	record_format_name(r, name, sizeof(name));
	return json_pack("{s:s, s:I, s:o}", "name", name, "revision",
			 (json_int_t)r->revision, "fields", record_to_json(r));
}

json_t *entry_conflict_to_json(int64_t revision, const struct record *current)
{
	json_t *j = current ? entry_to_json(current) : json_object();

	json_object_set_new(j, "revision",
			    json_integer(current ? current->revision :
						   revision));
	json_object_set_new(
		j, "detail",
		json_string(current ? "the entry has another revision now" :
				      "the entry does not exist"));
	return j;
}

struct listing {
	json_t *entries;
	const char *group; /* list only endpoints of this group; NULL: all */
};

static void list_entry(void *data, const char *name, const struct record *r)
{
	struct listing *l = data;

	if (l->group && strcmp(r->endpoint.group, l->group) != 0)
		return;
	json_array_append_new(l->entries, entry_to_json(r));
}

json_t *entry_list_to_json(const struct record_store *s, enum record_kind kind,
			   const char *group)
{
	struct listing l = { .entries = json_array(), .group = group };

	record_store_iterate(s, kind, list_entry, &l);
	return l.entries;
}

json_t *group_to_json(const struct record_store *s, const char *group)
{
	const struct record *r;
	json_t *j = json_pack("{s:s}", "group", group);

	r = record_store_find(s, RECORD_TERM, group);
	json_object_set_new(j, "term",
			    json_integer(r ? (json_int_t)r->term.term : 0));
	json_object_set_new(j, "primary",
			    json_string(r ? r->term.primary : ""));
	json_object_set_new(j, "promoter",
			    json_string(r ? r->term.promoter : ""));
	json_object_set_new(j, "revision", json_integer(r ? r->revision : 0));
	json_object_set_new(j, "endpoints",
			    entry_list_to_json(s, RECORD_ENDPOINT, group));
	return j;
}

static void collect_group(void *data, const char *name, const struct record *r)
{
	g_hash_table_add(data, (gpointer)(r->kind == RECORD_TERM ?
						  r->term.group :
						  r->endpoint.group));
}

json_t *group_list_to_json(const struct record_store *s)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GList) sorted = NULL;
	json_t *groups = json_array();

	record_store_iterate(s, RECORD_ENDPOINT, collect_group, names);
	record_store_iterate(s, RECORD_TERM, collect_group, names);
	sorted =
		g_list_sort(g_hash_table_get_keys(names), (GCompareFunc)strcmp);
	for (GList *i = sorted; i; i = i->next)
		json_array_append_new(groups, group_to_json(s, i->data));
	return groups;
}
