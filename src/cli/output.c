#include "cli/output.h"

#include <glib.h>
#include <stdlib.h>

enum { INDENT = 2 };

/* Returns a string without quotes and any other value as JSON. */
static char *format_value(const json_t *j)
{
	char *dump;
	char *out;

	if (json_is_string(j))
		return g_strdup(json_string_value(j));
	dump = json_dumps(j, JSON_COMPACT | JSON_ENCODE_ANY);
	out = g_strdup(dump ? dump : "");
	free(dump);
	return out;
}

void output_json(FILE *f, const json_t *j)
{
	json_dumpf(j, f, JSON_INDENT(INDENT) | JSON_ENCODE_ANY);
	fputc('\n', f);
}

void output_entry(FILE *f, const json_t *entry)
{
	const char *name = json_string_value(json_object_get(entry, "name"));
	json_t *fields = json_object_get(entry, "fields");
	const char *key;
	json_t *value;

	fprintf(f, "%s revision=%lld", name ? name : "",
		json_integer_value(json_object_get(entry, "revision")));
	json_object_foreach(fields, key, value)
	{
		g_autofree char *text = format_value(value);

		fprintf(f, " %s=%s", key, text);
	}
	fputc('\n', f);
}

void output_entries(FILE *f, const json_t *entries)
{
	for (size_t i = 0; i < json_array_size(entries); i++)
		output_entry(f, json_array_get(entries, i));
}

/* A JSON value and its path, which is "" at the top and else "a.b[0]". */
struct flat_item {
	char *path;
	const json_t *value;
};

static void flat_item_free(gpointer p)
{
	struct flat_item *it = p;

	g_free(it->path);
	g_free(it);
}

/* Takes ownership of `path`. */
static void push_item(GQueue *q, char *path, const json_t *value)
{
	struct flat_item *it = g_new0(struct flat_item, 1);

	it->path = path;
	it->value = value;
	g_queue_push_tail(q, it);
}

/* Returns the members of an object or the items of an array, in order. */
static GQueue *list_children(const struct flat_item *parent)
{
	GQueue *q = g_queue_new();
	const char *dot = parent->path[0] ? "." : "";
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)parent->value, key, value)
		push_item(q, g_strconcat(parent->path, dot, key, NULL), value);
	for (size_t i = 0; i < json_array_size(parent->value); i++)
		push_item(q, g_strdup_printf("%s[%zu]", parent->path, i),
			  json_array_get(parent->value, i));
	return q;
}

/*
 * Replaces each container at the head of the queue by its items and prints
 * the scalars, until the queue is empty.
 */
void output_flat(FILE *f, const json_t *j)
{
	GQueue *queue = g_queue_new();
	struct flat_item *it;

	push_item(queue, g_strdup(""), j);
	while ((it = g_queue_pop_head(queue))) {
		if (json_is_object(it->value) || json_is_array(it->value)) {
			GQueue *children = list_children(it);
			gpointer child;

			while ((child = g_queue_pop_tail(children)))
				g_queue_push_head(queue, child);
			g_queue_free(children);
		} else {
			g_autofree char *text = format_value(it->value);

			fprintf(f, "%s: %s\n", it->path, text);
		}
		flat_item_free(it);
	}
	g_queue_free(queue);
}

void output_failure(const struct client_response *resp)
{
	fprintf(stderr, "zinnialine: %s\n",
		resp->message ? resp->message : "no instance answered");
}
